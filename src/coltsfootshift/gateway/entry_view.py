"""Which entries share what a cold endpoint takes, as far as this entry can know."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from math import inf

from coltsfootshift.logs import get_logger
from coltsfootshift.messages import EntryRow

__all__ = ["EntryView", "SeedContact"]

# News of an entry reaches all others within this time, over two connections that are dialled anew.
SETTLE_SECONDS = 1.5
# A seed that does not answer for so long is probably lost, and not only late to start.
LATE_SEED_SECONDS = 5.0
# A process that stood still for longer may have missed what made endpoints cold.
MAX_PAUSE_SECONDS = 0.5
# It may also have missed more entries than the reserve is for: they start within this time.
MAX_SETTLED_PAUSE_SECONDS = 2.5
# The longest partition after which its smaller side still keeps to its part.
MEMORY_SECONDS = 60.0
LONG_MEMORY_SECONDS = 600.0  # if so many are silent that this entry may be on the smaller side
# While at least this share is heard, what the others send on their own fits into the reserve
# of `endpoint_limits.RESERVED_SHARE`.
MAJORITY_SHARE = 0.75
# Of fewer entries, it is likely that none may send to a given cold endpoint and see it go silent.
ISOLATED_SHARE = 0.25

logger = get_logger("gateway.entry_view")


class SeedContact(Enum):
    """How many of the seeds are among the known entries; this entry counts as one of them."""

    ALL = "all"
    MOST = "most"
    FEW = "few"


class EntryView:
    """The entries that may send to a cold endpoint; it errs only on the side of too many.

    Load pattern: a fleet restarts, or part of it is cut off, while engines restart as well. An
    entry that believes itself alone would take the whole rate of each engine. So entries that fall
    silent are remembered, and one that has started, or stood still, is unsettled until it has known
    for `SETTLE_SECONDS` as many entries as a settled one does. If none is settled yet, its own view
    has to be stable for as long, and hold all seeds, or most of them for `LATE_SEED_SECONDS`.

    `own` is the name of this entry; all times are in seconds of this process's clock.

    >>> view = EntryView("a", now=0.0)
    >>> view.update([], SeedContact.ALL, now=0.1), view.settled
    (False, False)
    >>> for now in (0.5, 0.9, 1.3, 1.7):
    ...     changed = view.update([], SeedContact.ALL, now)
    >>> changed, view.settled
    (True, True)
    """

    def __init__(self, own: str, now: float) -> None:
        self.own = own
        self.settled = False
        self.names: tuple[str, ...] = (own,)
        self._heard_at: dict[str, float] = {}
        self._leaving: frozenset[str] = frozenset()
        self._live_count = 1
        self._stable_since = now
        self._complete_since = inf
        self._observed_at = now

    def __repr__(self) -> str:
        return f"EntryView({self.own!r}, names={self.names!r}, settled={self.settled})"

    @property
    def live_count(self) -> int:
        """The number of entries that are heard of, this one included."""
        return self._live_count

    @property
    def isolated(self) -> bool:
        """Whether this entry hears of none of the others, or of very few."""
        count = len(self.names)
        return count > 1 and self._live_count <= max(1.0, ISOLATED_SHARE * count)

    @property
    def hears_most(self) -> bool:
        """Whether more than half of the remembered entries are heard.

        So no other part of the fleet is as large, and an entry that starts may go by this one.
        """
        return 2 * self._live_count > len(self.names)

    def observe(self, now: float) -> bool:
        """Note that the process runs; return whether it has stood still.

        It is called before anything is sent: a process that wakes up may read callers' requests
        before its periodic task runs.
        """
        pause = now - self._observed_at
        self._observed_at = now
        if pause <= MAX_PAUSE_SECONDS:
            return False
        for name in self._heard_at:
            self._heard_at[name] += pause
        if not self.settled or pause > MAX_SETTLED_PAUSE_SECONDS:
            self._unsettle(now)
        return True

    def update(self, rows: Iterable[EntryRow], seeds: SeedContact, now: float) -> bool:
        """Take in the rows of the entries that are heard of; return whether the view has changed.

        The row of this entry itself is ignored.
        """
        paused = self.observe(now)
        live = {row.instance: row for row in rows if row.instance != self.own}
        if not live.keys() <= self._heard_at.keys():
            self._stable_since = now
        for name in live:
            self._heard_at[name] = now
        self._live_count = 1 + len(live)
        leaving = {name for name in self._leaving if name not in live}
        self._leaving = frozenset(leaving.union(n for n, row in live.items() if row.leaving))
        self._forget(live, now)
        settles = not self.settled and self._find_settling(live, seeds, now) <= now
        if settles:
            self.settled = True
            logger.info("view of entries settled", extra={"entries": len(self._heard_at) + 1})
        names = tuple(sorted([self.own, *self._heard_at]))
        changed = paused or settles or names != self.names
        self.names = names
        return changed

    def _unsettle(self, now: float) -> None:
        if self.settled:
            logger.info("view of entries unsettled", extra={"entries": len(self.names)})
        self.settled = False
        self._stable_since = now
        self._complete_since = inf

    def _find_settling(self, live: dict[str, EntryRow], seeds: SeedContact, now: float) -> float:
        """Return when the view counts as settled if nothing changes, infinite if it does not."""
        known = [row.settled_count for row in live.values() if row.settled_count]
        if not known or self._live_count < min(known):
            self._complete_since = inf
        else:
            self._complete_since = min(self._complete_since, now)
        at = self._complete_since + SETTLE_SECONDS
        if seeds is SeedContact.ALL:
            return min(at, self._stable_since + SETTLE_SECONDS)
        if seeds is SeedContact.MOST:
            return min(at, self._stable_since + LATE_SEED_SECONDS)
        return at

    def _forget(self, live: dict[str, EntryRow], now: float) -> None:
        """Forget those that have left, and those that have been silent for very long."""
        share = self._live_count / (1 + len(self._heard_at))
        memory = MEMORY_SECONDS if share >= MAJORITY_SHARE else LONG_MEMORY_SECONDS
        for name, heard_at in list(self._heard_at.items()):
            if name in live:
                continue
            if name in self._leaving or now - heard_at > memory:
                del self._heard_at[name]
                logger.info("silent entry forgotten", extra={"entry": name})
        self._leaving &= self._heard_at.keys()
