"""Validation of catalogue entries; errors name the entry, the field and the rule."""

from __future__ import annotations

from typing import Any

import msgspec

from coltsfootshift.catalogue.model import (
    CatalogueEntry,
    ModelEntry,
    ServiceEntry,
    TeamEntry,
)
from coltsfootshift.errors import ColtsfootshiftError

__all__ = ["CatalogueEntryError", "check_entry"]

MAX_VALUE_BYTES = 1_000_000

_KINDS: dict[str, type[CatalogueEntry]] = {
    "model": ModelEntry,
    "service": ServiceEntry,
    "team": TeamEntry,
}


class CatalogueEntryError(ColtsfootshiftError):
    """A catalogue entry is invalid."""


def check_entry(key: str, value: bytes) -> CatalogueEntry:
    """Return the typed entry of a key; raises `CatalogueEntryError` if it is invalid.

    >>> check_entry("team/crew", b'{"owner": "a", "class": "batch", "limits": {}}')
    Traceback (most recent call last):
    ...
    coltsfootshift.catalogue.checks.CatalogueEntryError: team/crew: Object missing required field \
`requests_per_second` - at `$.limits`
    """
    kind, separator, name = key.partition("/")
    entry_type = _KINDS.get(kind)
    if not separator or not name or entry_type is None:
        allowed = ", ".join(sorted(_KINDS))
        raise CatalogueEntryError(f"{key}: the key is not KIND/NAME with a kind of {allowed}")
    if len(value) > MAX_VALUE_BYTES:
        raise CatalogueEntryError(
            f"{key}: {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
        )
    try:
        entry: Any = msgspec.json.decode(value, type=entry_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CatalogueEntryError(f"{key}: {error}") from error
    if isinstance(entry, ServiceEntry) and (entry.class_ == "engine") != (entry.model is not None):
        raise CatalogueEntryError(
            f"{key}: model: {entry.model!r}; an engine service names one, others none"
        )
    return entry
