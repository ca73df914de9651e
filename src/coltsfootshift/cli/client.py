"""HTTP client for the platform's tables and the operator pages of instances."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPException
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

READ_TIMEOUT_SECONDS = 1.5
MAX_PARALLEL_READS = 256


class ReadError(ColtsfootshiftError):
    """The platform or an instance did not respond, or its response was malformed."""


@dataclass(frozen=True, slots=True)
class PlatformTable:
    """The values of a platform table by key, as of `revision`."""

    revision: int
    values: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InstancePage:
    """The record of an instance and one of its operator pages.

    If the page could not be read, `page` is None and `problem` is the reason.
    """

    record: InstanceRecord
    page: dict[str, Any] | None
    problem: str = ""


def read_page(url: str) -> Any:
    """Return the decoded JSON content of a page.

    Raises `ReadError` if the page cannot be fetched or is not JSON.
    """
    try:
        with urllib.request.urlopen(url, timeout=READ_TIMEOUT_SECONDS) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        raise ReadError(f"{url}: {error}: {error.read().decode(errors='replace')}") from error
    except (OSError, ValueError, HTTPException) as error:
        raise ReadError(f"{url}: {error!r}") from error


def read_table(platform: str, name: str) -> PlatformTable:
    """Return a platform table.

    Raises `ReadError` if the platform does not respond or the response is malformed.
    """
    content = read_page(f"{platform}/tables/{name}?after=0")
    try:
        values = {row["key"]: row["value"] for row in content["records"]}
        return PlatformTable(int(content["revision"]), values)
    except (KeyError, TypeError, ValueError) as error:
        raise ReadError(f"{platform}: table {name}: malformed response") from error


def read_instances(platform: str, path: str, role: str = "") -> list[InstancePage]:
    """Return a page of every instance in the platform's list; the pages are read in parallel.

    A non-empty `role` selects the instances of that role. For an instance that does not respond,
    the result has an `InstancePage` without a page. Raises `ReadError` if the platform does not
    respond or an instance record is invalid.
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
    with ThreadPoolExecutor(min(MAX_PARALLEL_READS, len(records))) as pool:
        return list(pool.map(lambda record: _read_instance(record, path), records))


def read_first_available(instances: list[InstancePage], path: str) -> dict[str, Any] | None:
    """Return a page of the first instance that responds, or None.

    Instances that did not respond before (`page` is None) are skipped.
    """
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
