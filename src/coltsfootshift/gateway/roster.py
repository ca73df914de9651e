"""Which entries there are: learnt from seeds and from each other, forgotten in silence."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import EntryRow
from coltsfootshift.settings import Address

__all__ = ["Roster"]

SILENCE_TIMEOUT_SECONDS = 2.5  # two and a half heartbeats of an entry
READER_COUNT = 4  # two may be lost at once and another turned away by the store
READERS_KEY = "readers"
MAX_LISTED = 64  # callers read no more addresses


class Roster:
    """The entries heard of, with the time of the last word from each.

    An entry is live while it is heard of, directly or through others. Rows carry a sequence, so
    that an old row that was passed on late changes nothing.
    """

    def __init__(self, own: EntryRow | None) -> None:
        self.own = own
        self._rows: dict[InstanceId, EntryRow] = {}
        self._heard_at: dict[InstanceId, float] = {}

    def __repr__(self) -> str:
        return f"Roster({sorted(self._rows)})"

    def merge(self, rows: Iterable[EntryRow], now: float) -> list[EntryRow]:
        """Take rows told by a peer; return those that say something new."""
        news = []
        for row in rows:
            name = InstanceId(row.instance)
            if self.own is not None and name == self.own.instance:
                continue
            held = self._rows.get(name)
            if held is not None and row.sequence <= held.sequence:
                continue
            self._rows[name] = row
            self._heard_at[name] = now
            if held is None or _strip(held) != _strip(row):
                news.append(row)
        return news

    def remove_silent(self, now: float) -> list[InstanceId]:
        """Drop the entries not heard of for a while; return their names."""
        silent = [n for n, at in self._heard_at.items() if now - at > SILENCE_TIMEOUT_SECONDS]
        for name in silent:
            del self._rows[name]
            del self._heard_at[name]
        return silent

    def list_rows(self) -> list[EntryRow]:
        """Return all live rows, the own one first."""
        own = [self.own] if self.own is not None else []
        return own + list(self._rows.values())

    def count_live(self) -> int:
        """Return how many entries are live, leaving ones included."""
        return len(self.list_rows())

    def is_reader(self) -> bool:
        """Return whether this entry reads the endpoints' table for the fleet.

        All entries work out the same few from the live ones, so that the store is not asked more
        often by a larger fleet.
        """
        names = [row.instance for row in self.list_rows() if not row.leaving]
        if self.own is None:
            return False
        return self.own.instance in rank_by_hash(READERS_KEY, names)[:READER_COUNT]

    def list_caller_addresses(self, domain: str, region: str, rng: Random) -> list[Address]:
        """Return where callers of a place may connect: ready entries, nearest first.

        Entries that are not ready are named only where none is, since some answer is better than
        none for a caller that keeps its last one.
        """
        rows = [row for row in self.list_rows() if row.ready and not row.leaving]
        if not rows:
            rows = [row for row in self.list_rows() if not row.leaving]
        rng.shuffle(rows)
        rows.sort(key=lambda row: (row.failure_domain != domain, row.region != region))
        return [Address(row.host, row.caller_port) for row in rows[:MAX_LISTED]]


def _strip(row: EntryRow) -> tuple:
    return (row.host, row.peer_port, row.caller_port, row.ready, row.leaving)
