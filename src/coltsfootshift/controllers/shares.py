"""Divides limits among entries whose instance lists may differ, never beyond the whole limit.

Let `n` be the number of entries in this entry's list. Its share is `1/n` of a limit, but nothing
until every entry of its list has told the same list (then it is active). An active entry that is
missing from the list of another active one would not have been told that list, so the active
entries are all contained in the shortest list among them, and their shares add up to at most one.
The whole numbers left over by a division go to the first in the list, and only while all entries
of the list tell the same one (then it is settled).

Two assumptions are made: an instance that the platform has removed from its list is gone after
`REMOVAL_SECONDS`, and a fleet in which no reachable entry is active may start without the entries
that nobody has heard of for `START_SECONDS`.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from coltsfootshift.ids import Incarnation, InstanceId

__all__ = ["Division", "EntryViews"]

REMOVAL_SECONDS = 10.0
START_SECONDS = 30.0
VIEW_BYTES = 8


@dataclass(frozen=True, slots=True)
class Division:
    """How this entry takes its share: one `count`-th, `rank` is its place from zero.

    >>> Division(count=4, rank=1, active=True, settled=True).split(6)
    2
    >>> Division(count=4, rank=1, active=True, settled=False).split(6)
    1
    """

    count: int
    rank: int
    active: bool
    settled: bool

    def split(self, limit: int) -> int:
        """Return this entry's part of a limit of whole units."""
        if not self.active:
            return 0
        extra = self.settled and self.rank < limit % self.count
        return limit // self.count + int(extra)

    def fraction(self) -> float:
        """Return this entry's part of a limit that can be divided at will."""
        return 1 / self.count if self.active else 0.0


@dataclass(slots=True)
class _Told:
    incarnation: Incarnation
    view: str
    active: bool


class EntryViews:
    """What this entry and the others hold for the list of entries; times are monotonic seconds."""

    def __init__(self, own: InstanceId, now: float) -> None:
        self._own = own
        self._entries: list[InstanceId] = []
        self._told: dict[InstanceId, _Told] = {}
        self._active = False
        self._waiting_since = now
        self._counts: list[tuple[float, int]] = []

    @property
    def active(self) -> bool:
        """Whether this entry holds its share."""
        return self._active

    def digest(self) -> str:
        """Return the digest of this entry's list, the same for every entry that holds the list."""
        text = "\n".join(self._entries).encode()
        return hashlib.blake2b(text, digest_size=VIEW_BYTES).hexdigest()

    def list_others(self) -> list[InstanceId]:
        """Return the other entries of the list."""
        return [entry for entry in self._entries if entry != self._own]

    def update_entries(self, entries: list[InstanceId], now: float) -> bool:
        """Take the list of entries, leaving ones included; return whether it has changed."""
        ordered = sorted(entries)
        if ordered == self._entries:
            return False
        if len(ordered) < len(self._entries):
            self._counts.append((now + REMOVAL_SECONDS, len(self._entries)))
        self._entries = ordered
        for peer in list(self._told):
            if peer not in ordered:
                del self._told[peer]
        if self._own not in ordered:
            self._active = False
        self._activate(now)
        return True

    def note_peer_view(
        self, peer: InstanceId, incarnation: Incarnation, view: str, active: bool, now: float
    ) -> None:
        """Take what another entry holds."""
        self._told[peer] = _Told(incarnation, view, active)
        self._activate(now)

    def note_restarted(self, peer: InstanceId, incarnation: Incarnation) -> None:
        """Forget what an earlier incarnation of another entry has told."""
        told = self._told.get(peer)
        if told is not None and told.incarnation != incarnation:
            del self._told[peer]

    def tick(self, now: float) -> None:
        """Let time pass."""
        self._activate(now)

    def divide(self, now: float) -> Division:
        """Return this entry's division of all limits now."""
        self._counts = [(until, count) for until, count in self._counts if until > now]
        held = max((count for _, count in self._counts), default=0)
        count = max(held, len(self._entries), 1)
        if self._own not in self._entries:
            return Division(count, 0, active=False, settled=False)
        settled = count == len(self._entries) and self._all_told()
        return Division(count, self._entries.index(self._own), self._active, settled)

    def _all_told(self) -> bool:
        view = self.digest()
        for peer in self.list_others():
            told = self._told.get(peer)
            if told is None or told.view != view:
                return False
        return True

    def _activate(self, now: float) -> None:
        if self._active or self._own not in self._entries:
            return
        self._active = self._all_told() or self._may_start_alone(now)

    def _may_start_alone(self, now: float) -> bool:
        """Return whether no share is held on this side and the silent entries stay silent."""
        if now - self._waiting_since < START_SECONDS:
            return False
        view = self.digest()
        return all(not told.active and told.view == view for told in self._told.values())
