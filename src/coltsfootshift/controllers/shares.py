"""Divides limits among entries whose instance lists may differ, without exceeding the limits.

Let `n` be the number of entries in this entry's list. Its share is `1/n` of a limit, but zero
until every entry in its list has reported the same list; from then on it is active. An active
entry that another active entry's list does not contain could not have reported that list. So all
active entries are in the shortest list among them, and their shares add up to at most one. The
remainder of a division into whole units goes to the first entries in the list, and only while all
entries in the list report the same list (the division is then settled).

There are two assumptions. An instance that the platform has removed from its list has stopped
after `REMOVAL_SECONDS`. If no reachable entry is active, the reachable entries may become active
after `START_WAIT_SECONDS` without reports from the others.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from coltsfootshift.ids import Incarnation, InstanceId

__all__ = ["Division", "EntryViews"]

REMOVAL_SECONDS = 10.0
START_WAIT_SECONDS = 30.0
VIEW_BYTES = 8


@dataclass(frozen=True, slots=True)
class Division:
    """This entry's share of all limits, which is one part in `count`.

    `rank` is the position of this entry in the list, from zero.

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
        """Return this entry's part of a limit in whole units."""
        if not self.active:
            return 0
        extra = self.settled and self.rank < limit % self.count
        return limit // self.count + int(extra)

    def fraction(self) -> float:
        """Return this entry's part of a divisible limit, as a fraction of one."""
        return 1 / self.count if self.active else 0.0


@dataclass(slots=True)
class _PeerView:
    incarnation: Incarnation
    view: str
    active: bool


class EntryViews:
    """The lists of entries that this entry and the others use; times are in monotonic seconds."""

    def __init__(self, own: InstanceId, now: float) -> None:
        self._own = own
        self._entries: list[InstanceId] = []
        self._peer_views: dict[InstanceId, _PeerView] = {}
        self._active = False
        self._waiting_since = now
        self._counts: list[tuple[float, int]] = []

    @property
    def active(self) -> bool:
        """Whether this entry may use its share."""
        return self._active

    def digest(self) -> str:
        """Return the digest of this entry's list; entries with equal lists have equal digests."""
        text = "\n".join(self._entries).encode()
        return hashlib.blake2b(text, digest_size=VIEW_BYTES).hexdigest()

    def list_others(self) -> list[InstanceId]:
        """Return the other entries in the list."""
        return [entry for entry in self._entries if entry != self._own]

    def update_entries(self, entries: list[InstanceId], now: float) -> bool:
        """Replace the list of entries, including leaving ones; return whether it has changed."""
        ordered = sorted(entries)
        if ordered == self._entries:
            return False
        if len(ordered) < len(self._entries):
            self._counts.append((now + REMOVAL_SECONDS, len(self._entries)))
        self._entries = ordered
        for peer in list(self._peer_views):
            if peer not in ordered:
                del self._peer_views[peer]
        if self._own not in ordered:
            self._active = False
        self._activate(now)
        return True

    def record_peer_view(
        self, peer: InstanceId, incarnation: Incarnation, view: str, active: bool, now: float
    ) -> None:
        """Record the list digest and the activity that another entry has reported."""
        self._peer_views[peer] = _PeerView(incarnation, view, active)
        self._activate(now)

    def record_restarted(self, peer: InstanceId, incarnation: Incarnation) -> None:
        """Discard the report of an earlier incarnation of another entry."""
        reported = self._peer_views.get(peer)
        if reported is not None and reported.incarnation != incarnation:
            del self._peer_views[peer]

    def tick(self, now: float) -> None:
        """Activate this entry if the start wait is over."""
        self._activate(now)

    def divide(self, now: float) -> Division:
        """Return this entry's current share of all limits.

        After entries were removed, `count` stays at its old value for `REMOVAL_SECONDS`.
        """
        self._counts = [(until, count) for until, count in self._counts if until > now]
        held = max((count for _, count in self._counts), default=0)
        count = max(held, len(self._entries), 1)
        if self._own not in self._entries:
            return Division(count, 0, active=False, settled=False)
        settled = count == len(self._entries) and self._all_views_match()
        return Division(count, self._entries.index(self._own), self._active, settled)

    def _all_views_match(self) -> bool:
        view = self.digest()
        for peer in self.list_others():
            reported = self._peer_views.get(peer)
            if reported is None or reported.view != view:
                return False
        return True

    def _activate(self, now: float) -> None:
        if self._active or self._own not in self._entries:
            return
        self._active = self._all_views_match() or self._may_activate_without_reports(now)

    def _may_activate_without_reports(self, now: float) -> bool:
        """Return whether this entry may become active before all others have reported.

        All entries that have reported must be inactive and have the same list.
        """
        if now - self._waiting_since < START_WAIT_SECONDS:
            return False
        view = self.digest()
        return all(not peer.active and peer.view == view for peer in self._peer_views.values())
