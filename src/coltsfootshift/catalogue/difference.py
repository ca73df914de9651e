"""Differences between two catalogues, by entry and field.

>>> old = {"team/a": {"owner": "x", "limits": {"burst": 5}}}
>>> new = {"team/a": {"owner": "x", "limits": {"burst": 9}}}
>>> [str(change) for change in compare_catalogues(old, new)]
['changed team/a (owner x): limits.burst: 5 -> 9']
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

__all__ = ["ChangeKind", "EntryChange", "FieldChange", "compare_catalogues", "compare_entries"]

MAX_VALUE_CHARACTERS = 120


class ChangeKind(Enum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A changed field: its dotted path and its JSON text before and after."""

    field: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.field}: {_shorten(self.before)} -> {_shorten(self.after)}"


@dataclass(frozen=True, slots=True)
class EntryChange:
    """A changed entry; `fields` is empty for one that was added or removed."""

    key: str
    kind: ChangeKind
    owner: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        text = f"{self.kind.value} {self.key} (owner {self.owner})"
        if not self.fields:
            return text
        return f"{text}: {'; '.join(str(field) for field in self.fields)}"


def compare_catalogues(before: dict[str, Any], after: dict[str, Any]) -> list[EntryChange]:
    """Return the differences between two catalogues (entries by key), sorted by key."""
    changes = []
    for key in sorted(before.keys() | after.keys()):
        if key not in before:
            changes.append(EntryChange(key, ChangeKind.ADDED, _find_owner(after[key])))
            continue
        if key not in after:
            changes.append(EntryChange(key, ChangeKind.REMOVED, _find_owner(before[key])))
            continue
        fields = compare_entries(before[key], after[key])
        if fields:
            owner = _find_owner(after[key])
            changes.append(EntryChange(key, ChangeKind.CHANGED, owner, tuple(fields)))
    return changes


def compare_entries(before: Any, after: Any, path: str = "") -> list[FieldChange]:
    """Return the fields that differ between two JSON values; `absent` marks a missing one."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if _render(before) == _render(after):
            return []
        return [FieldChange(path or "value", _render(before), _render(after))]
    changes = []
    for name in sorted(before.keys() | after.keys()):
        inner = f"{path}.{name}" if path else name
        if name not in before:
            changes.append(FieldChange(inner, "absent", _render(after[name])))
        elif name not in after:
            changes.append(FieldChange(inner, _render(before[name]), "absent"))
        else:
            changes.extend(compare_entries(before[name], after[name], inner))
    return changes


def _find_owner(entry: Any) -> str:
    return str(entry.get("owner", "")) if isinstance(entry, dict) else ""


def _render(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


def _shorten(text: str) -> str:
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:MAX_VALUE_CHARACTERS]}… ({len(text)} characters)"
