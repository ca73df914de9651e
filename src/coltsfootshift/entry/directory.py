"""The directory: the entries that callers may connect to, with weights and a lifetime."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from coltsfootshift.controllers.membership import InstanceRecord

__all__ = ["Directory", "DirectorySelection", "DirectoryHandler", "EntryStatus"]

MAX_ENTRIES = 16
MIN_ENTRIES_IN_REGION = 8
MIN_DOMAINS_IN_REGION = 2
LIFETIME_JITTER_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """The record of an entry, and whether the entry is leaving or unreachable."""

    record: InstanceRecord
    leaving: bool = False
    unreachable: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether callers may be directed to this entry."""
        return not self.leaving and not self.unreachable


@dataclass(frozen=True, slots=True)
class DirectorySelection:
    """The entries that a caller may use, and for how long, in seconds."""

    entries: list[InstanceRecord]
    lifetime: float


class Directory:
    """Selects the entries to return to a caller.

    The entry that serves the request is alive, so it counts as usable unless it is leaving, even
    if others report it as unreachable. Each caller gets a weighted random sample of the usable
    entries, limited to this entry's region if that has enough entries in enough failure domains.
    The lifetime has random jitter so that callers that arrived together do not refresh together.
    """

    def __init__(self, own: InstanceRecord, region: str, lifetime: float) -> None:
        self._own = own
        self._region = region
        self._lifetime = lifetime

    def select_entries(
        self, statuses: list[EntryStatus], leaving: bool, rng: Random
    ) -> DirectorySelection:
        """Return the selection for one caller; `leaving` refers to this entry."""
        records = [status.record for status in statuses if self._may_use(status)]
        if not leaving:
            records.append(self._find_own(statuses))
        if not records:
            records = self._list_fallback(statuses)
        chosen = _sample(self._prefer_region(records), MAX_ENTRIES, rng)
        factor = rng.uniform(1 - LIFETIME_JITTER_RATIO, 1 + LIFETIME_JITTER_RATIO)
        return DirectorySelection(chosen, self._lifetime * factor)

    def _may_use(self, status: EntryStatus) -> bool:
        return status.is_usable and status.record.instance != self._own.instance

    def _find_own(self, statuses: list[EntryStatus]) -> InstanceRecord:
        for status in statuses:
            if status.record.instance == self._own.instance:
                return status.record
        return self._own

    def _list_fallback(self, statuses: list[EntryStatus]) -> list[InstanceRecord]:
        """Return this entry, which is alive, and all others that are not leaving."""
        records = [self._find_own(statuses)]
        for status in statuses:
            if status.leaving or status.record.instance == self._own.instance:
                continue
            records.append(status.record)
        return records

    def _prefer_region(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        same_region = [record for record in records if record.region == self._region]
        domains = {record.failure_domain for record in same_region}
        if len(same_region) < MIN_ENTRIES_IN_REGION or len(domains) < MIN_DOMAINS_IN_REGION:
            return records
        return same_region


class DirectoryHandler:
    """Serves the directory over HTTP."""

    def __init__(
        self,
        directory: Directory,
        list_statuses: Callable[[], list[EntryStatus]],
        is_leaving: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._directory = directory
        self._list_statuses = list_statuses
        self._is_leaving = is_leaving
        self._rng = rng

    def handle_request(self, request: Any) -> bytes:
        """Return the JSON body for `GET /directory`."""
        selection = self._directory.select_entries(
            self._list_statuses(), self._is_leaving(), self._rng
        )
        rows = []
        for record in selection.entries:
            assert record.callers is not None
            address = {"host": record.callers.host, "port": record.callers.port}
            rows.append({"instance": record.instance, "weight": record.weight, **address})
        request.setHeader("Content-Type", "application/json")
        content = {"entries": rows, "lifetime_seconds": round(selection.lifetime, 3)}
        return json.dumps(content).encode()


def _sample(records: list[InstanceRecord], count: int, rng: Random) -> list[InstanceRecord]:
    """Return at most `count` records, sampled by weight without replacement, in random order."""
    keyed = sorted(records, key=lambda record: rng.random() ** (1 / record.weight), reverse=True)
    return keyed[:count]
