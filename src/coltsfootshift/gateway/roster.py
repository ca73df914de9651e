"""The known entries, learnt by gossip and removed when their heartbeats stop."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.gateway.homes import ANYWHERE, Homes
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import EntryRow
from coltsfootshift.settings import Address

__all__ = ["Roster"]

SILENCE_TIMEOUT_SECONDS = 2.5  # two and a half heartbeat intervals of an entry
# After this process stood still it reads for this long what arrived meanwhile.
LATE_READING_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000.0
READER_COUNT = 4  # one still reads if two are lost at once and the store rejects a third
# Readers of the operator's table: the second one reads on while it is noticed that the first one
# does not. A copy of each change of the catalogue is sent to each of them.
CATALOGUE_READER_COUNT = 2
READERS_KEY = "readers"
MAX_LISTED = 64  # callers read at most this many addresses


@dataclass(frozen=True, slots=True)
class _Roles:
    """What an entry does on behalf of others."""

    reads_endpoints: bool
    reads_catalogue: bool
    is_first_of_region: bool


class Roster:
    """The live entries and the time at which a row of each was last received.

    An entry is live while its row keeps arriving, directly or through other entries. Rows carry a
    sequence number, so that an outdated row that is relayed late is ignored. A row that is relayed
    carries the time since the entry itself was last heard, so that it is not taken for a sign of
    life: an entry that has ended would come back with each process that still knows of it.

    Load pattern: processes freeze and wake, links are cut and heal, and all of them tell each other
    whom they know while some of those have ended. `outdated_count` is how many rows were ignored
    because their entries had been silent for too long.

    >>> row = EntryRow("entry-2", 7, "10.0.0.2", 1, 2, "north", "a", True, False)
    >>> roster = Roster(None)
    >>> len(roster.merge([row], 10.0, ages_ms=[2600])), len(roster.merge([row], 10.0))
    (0, 1)
    >>> roster.measure_ages([row], 11.5)
    [1500]
    """

    def __init__(self, own: EntryRow | None) -> None:
        self.own = own
        self._rows: dict[InstanceId, EntryRow] = {}
        self._last_seen: dict[InstanceId, float] = {}
        # As `_last_seen`, but not later than the entry can have sent its row; for other processes.
        self._heard_at: dict[InstanceId, float] = {}
        self._late_seconds = 0.0
        self._late_until = 0.0
        self.outdated_count = 0
        self._changes = 0
        self._roles: tuple[object, _Roles] | None = None

    def __repr__(self) -> str:
        return f"Roster({sorted(self._rows)})"

    def merge(
        self, rows: Iterable[EntryRow], now: float, ages_ms: Sequence[float] = ()
    ) -> list[EntryRow]:
        """Merge rows received from a peer; return those that are new or have changed.

        `ages_ms` are for how long the peer has not heard from each entry; a missing one is zero.
        """
        changed = []
        late_seconds = self._late_seconds if now < self._late_until else 0.0
        for index, row in enumerate(rows):
            name = InstanceId(row.instance)
            if self.own is not None and name == self.own.instance:
                continue
            current = self._rows.get(name)
            if current is not None and row.sequence <= current.sequence:
                continue
            age = ages_ms[index] / MILLISECONDS_PER_SECOND if index < len(ages_ms) else 0.0
            if current is None and age > SILENCE_TIMEOUT_SECONDS:
                self.outdated_count += 1
                continue
            self._rows[name] = row
            heard_at = now - age
            self._last_seen[name] = max(heard_at, self._last_seen.get(name, heard_at))
            heard_at -= late_seconds
            self._heard_at[name] = max(heard_at, self._heard_at.get(name, heard_at))
            if current is None or _get_announced_fields(current) != _get_announced_fields(row):
                changed.append(row)
        self._changes += len(changed)
        return changed

    def extend(self, seconds: float, now: float) -> None:
        """Allow all entries so much more time, for which this process did not read their rows.

        The rows that it reads next may have waited for that long, which other processes are told.
        """
        for name, at in self._last_seen.items():
            self._last_seen[name] = max(at, min(at + seconds, now))
        if now >= self._late_until:
            self._late_seconds = 0.0
        if seconds > self._late_seconds:
            self._late_seconds = seconds
            self._late_until = now + LATE_READING_SECONDS

    def measure_ages(self, rows: Iterable[EntryRow], now: float) -> list[int]:
        """Return for how many milliseconds the entries of these rows have not been heard."""
        ages = []
        for row in rows:
            age = max(0.0, now - self._heard_at.get(InstanceId(row.instance), now))
            ages.append(int(age * MILLISECONDS_PER_SECOND))
        return ages

    def remove_silent(self, now: float) -> list[InstanceId]:
        """Remove the entries that have been silent for too long; return their names."""
        silent = [n for n, at in self._last_seen.items() if now - at > SILENCE_TIMEOUT_SECONDS]
        for name in silent:
            del self._rows[name]
            del self._last_seen[name]
            del self._heard_at[name]
        self._changes += len(silent)
        return silent

    def list_rows(self) -> list[EntryRow]:
        """Return the rows of all live entries, this entry's own first."""
        own = [self.own] if self.own is not None else []
        return own + list(self._rows.values())

    def count_live(self) -> int:
        """Return the number of live entries, including those that are leaving."""
        return len(self.list_rows())

    def is_reader(self) -> bool:
        """Return whether this entry reads the endpoint table on behalf of all entries.

        All entries derive the same `READER_COUNT` readers from the live entries, so that the load
        on the store does not grow with the number of entries.
        """
        return self._find_roles().reads_endpoints

    def is_catalogue_reader(self) -> bool:
        """Return whether this entry reads the operator's table on behalf of all entries.

        The readers are those that the store answers soonest, all of one region: its answers hold
        whole catalogues, which would fill the links to other regions, while entries tell each other
        differences.
        """
        return self._find_roles().reads_catalogue

    def is_first_of_region(self) -> bool:
        """Return whether this entry, of all live ones of its region, talks to other regions first.

        It is true of a process that is no entry, which has no others to wait for.
        """
        return self._find_roles().is_first_of_region

    def _find_roles(self) -> _Roles:
        """Return what this entry does for others, computed once for each change of the rows."""
        own = self.own
        if own is None:
            return _Roles(reads_endpoints=False, reads_catalogue=False, is_first_of_region=True)
        state = (self._changes, _get_announced_fields(own))
        if self._roles is not None and self._roles[0] == state:
            return self._roles[1]
        roles = self._choose_roles(own)
        self._roles = (state, roles)
        return roles

    def _choose_roles(self, own: EntryRow) -> _Roles:
        rows = {row.instance: row for row in self.list_rows() if not row.leaving}
        ranked = [rows[name] for name in rank_by_hash(READERS_KEY, list(rows))]
        nearest = sorted(ranked, key=_get_store_ms)
        near = [row for row in nearest if row.region == nearest[0].region]
        first = [row for row in ranked if row.region == own.region][:1]
        return _Roles(
            reads_endpoints=own in ranked[:READER_COUNT],
            reads_catalogue=own in near[:CATALOGUE_READER_COUNT],
            is_first_of_region=own in first,
        )

    def list_caller_addresses(
        self, domain: str, region: str, rng: Random, listed: Homes = ANYWHERE
    ) -> list[Address]:
        """Return the addresses for callers in a failure domain and region, nearest entries first.

        Only ready entries are listed. If there are none, entries that are not ready yet are listed
        instead, because a caller that receives no addresses keeps its previous list. Entries in
        other regions than the `listed` ones are listed only if none of these is ready: what they
        get from a caller they send to homes alone.
        """
        rows = [row for row in self.list_rows() if row.ready and not row.leaving]
        rows = [row for row in rows if listed.allow(row.region)] or rows
        if not rows:
            rows = [row for row in self.list_rows() if not row.leaving]
        rng.shuffle(rows)
        rows.sort(key=lambda row: (row.failure_domain != domain, row.region != region))
        return [Address(row.host, row.caller_port) for row in rows[:MAX_LISTED]]


def _get_store_ms(row: EntryRow) -> float:
    return inf if row.store_ms is None else row.store_ms


def _get_announced_fields(row: EntryRow) -> tuple:
    return (row.host, row.peer_port, row.caller_port, row.ready, row.leaving, row.store_ms)
