"""Reads the platform's tables and the operators' pages of instances."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import msgspec

from coltsfootshift.controllers.membership import InstanceRecord
from coltsfootshift.errors import ColtsfootshiftError

__all__ = [
    "InstancePage",
    "PlatformTable",
    "ReadError",
    "read_first_available",
    "read_instances",
    "read_page",
    "read_table",
]

TIMEOUT_SECONDS = 1.5
PARALLEL_READS = 256


class ReadError(ColtsfootshiftError):
    """The platform or an instance could not be read."""


@dataclass(frozen=True, slots=True)
class PlatformTable:
    """A table as the platform has it: values by key up to a revision."""

    revision: int
    values: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InstancePage:
    """The record of an instance and one of its pages, None with a problem if it gave none."""

    record: InstanceRecord
    page: dict[str, Any] | None
    problem: str = ""


def read_page(url: str) -> Any:
    """Return the JSON content of a page; raises `ReadError`."""
    try:
        with urllib.request.urlopen(url, timeout=TIMEOUT_SECONDS) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        raise ReadError(f"{url}: {error}: {error.read().decode(errors='replace')}") from error
    except (OSError, ValueError) as error:
        raise ReadError(f"{url}: {error}") from error


def read_table(platform: str, name: str) -> PlatformTable:
    """Return a platform table; raises `ReadError`."""
    content = read_page(f"{platform}/tables/{name}?after=0")
    try:
        values = {row["key"]: row["value"] for row in content["records"]}
        return PlatformTable(int(content["revision"]), values)
    except (KeyError, TypeError, ValueError) as error:
        raise ReadError(f"{platform}: table {name}: malformed answer") from error


def read_instances(platform: str, path: str, role: str = "") -> list[InstancePage]:
    """Return a page of every instance in the platform's list, read all at once.

    `role` limits it to one role. An instance that does not answer is in the list with its
    problem. Raises `ReadError` where the platform does not answer.
    """
    records = []
    for key, value in sorted(read_table(platform, "instances").values.items()):
        try:
            record = msgspec.convert(value, InstanceRecord)
        except msgspec.ValidationError as error:
            raise ReadError(f"instance {key}: {error}") from error
        if not role or record.role == role:
            records.append(record)
    if not records:
        return []
    with ThreadPoolExecutor(min(PARALLEL_READS, len(records))) as pool:
        return list(pool.map(lambda record: _read_instance(record, path), records))


def read_first_available(instances: list[InstancePage], path: str) -> dict[str, Any] | None:
    """Return a page of the first instance that gives it; those that were silent are not asked."""
    for item in instances:
        if item.page is None:
            continue
        page = _read_instance(item.record, path).page
        if page is not None:
            return page
    return None


def _read_instance(record: InstanceRecord, path: str) -> InstancePage:
    try:
        page = read_page(f"http://{record.operators.host}:{record.operators.port}{path}")
    except ReadError as error:
        return InstancePage(record, None, str(error))
    return InstancePage(record, page)
