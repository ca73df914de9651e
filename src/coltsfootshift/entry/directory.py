"""The directory for callers: which entries to connect to, with weights and a lifetime."""

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
LIFETIME_JITTER = 0.25


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """What is known of one entry: its record and whether it leaves or cannot be reached."""

    record: InstanceRecord
    leaving: bool = False
    unreachable: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether a caller may be sent there."""
        return not self.leaving and not self.unreachable


@dataclass(frozen=True, slots=True)
class DirectorySelection:
    """The entries that a caller may use, and for how many seconds."""

    entries: list[InstanceRecord]
    lifetime: float


class Directory:
    """Chooses the entries that one caller is told.

    The entry that answers is alive, whatever others say of it, so it counts as usable unless it is
    leaving. Where many entries are usable, each caller gets a weighted random sample, from the
    answering entry's own region where that has enough entries in several failure domains. The
    lifetime varies, so that callers who came together do not return together.
    """

    def __init__(self, own: InstanceRecord, region: str, lifetime: float) -> None:
        self._own = own
        self._region = region
        self._lifetime = lifetime

    def select_entries(
        self, statuses: list[EntryStatus], leaving: bool, rng: Random
    ) -> DirectorySelection:
        """Return the answer to one caller; `leaving` tells whether this entry is."""
        rows = [status.record for status in statuses if self._may_use(status)]
        if not leaving:
            rows.append(self._find_own(statuses))
        if not rows:
            rows = self._list_fallback(statuses)
        chosen = _sample(self._prefer_region(rows), MAX_ENTRIES, rng)
        spread = rng.uniform(1 - LIFETIME_JITTER, 1 + LIFETIME_JITTER)
        return DirectorySelection(chosen, self._lifetime * spread)

    def _may_use(self, status: EntryStatus) -> bool:
        return status.is_usable and status.record.instance != self._own.instance

    def _find_own(self, statuses: list[EntryStatus]) -> InstanceRecord:
        for status in statuses:
            if status.record.instance == self._own.instance:
                return status.record
        return self._own

    def _list_fallback(self, statuses: list[EntryStatus]) -> list[InstanceRecord]:
        """Return entries that do not leave but were not reached, and this one, which is alive."""
        rows = [self._find_own(statuses)]
        for status in statuses:
            if status.leaving or status.record.instance == self._own.instance:
                continue
            rows.append(status.record)
        return rows

    def _prefer_region(self, rows: list[InstanceRecord]) -> list[InstanceRecord]:
        near = [row for row in rows if row.region == self._region]
        domains = {row.failure_domain for row in near}
        if len(near) < MIN_ENTRIES_IN_REGION or len(domains) < MIN_DOMAINS_IN_REGION:
            return rows
        return near


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

    def answer(self, request: Any) -> bytes:
        """Answer `GET /directory`."""
        answer = self._directory.select_entries(
            self._list_statuses(), self._is_leaving(), self._rng
        )
        rows = []
        for record in answer.entries:
            assert record.callers is not None
            address = {"host": record.callers.host, "port": record.callers.port}
            rows.append({"instance": record.instance, "weight": record.weight, **address})
        request.setHeader("Content-Type", "application/json")
        content = {"entries": rows, "lifetime_seconds": round(answer.lifetime, 3)}
        return json.dumps(content).encode()


def _sample(rows: list[InstanceRecord], count: int, rng: Random) -> list[InstanceRecord]:
    """Return at most `count` rows, drawn by weight without repetition, in random order."""
    keyed = sorted(rows, key=lambda row: rng.random() ** (1 / row.weight), reverse=True)
    return keyed[:count]
