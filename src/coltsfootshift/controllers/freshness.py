"""How recently the platform answered its watchers, as exchanged among peers."""

from __future__ import annotations

__all__ = ["RANK_GROUPS", "Freshness", "find_rank_group"]

RANK_GROUPS = (2, 4, 8, 16)
MIN_ADVANCE_SECONDS = 0.75
MILLISECONDS_PER_SECOND = 1000
UNKNOWN_AGE = -1


def find_rank_group(rank: int | None) -> int | None:
    """Return the watcher group that a rank belongs to, or None if it never watches.

    >>> [find_rank_group(rank) for rank in (0, 1, 2, 7, 15, 16, None)]
    [0, 0, 1, 2, 3, None, None]
    """
    if rank is None:
        return None
    for group, limit in enumerate(RANK_GROUPS):
        if rank < limit:
            return group
    return None


class Freshness:
    """The time of the newest platform answer to each group of watchers, on the local clock.

    Processes exchange ages, not times, so that their clocks need not agree. A confirmation is
    sent to peers only if it is at least `MIN_ADVANCE_SECONDS` newer than the one sent before.

    >>> freshness = Freshness()
    >>> freshness.confirm(0, now=10.0)
    >>> freshness.list_ages(now=10.5)
    [500, -1, -1, -1]
    """

    def __init__(self) -> None:
        self._confirmed_at: list[float | None] = [None] * len(RANK_GROUPS)
        self._sent: list[float | None] = [None] * len(RANK_GROUPS)

    def confirm(self, group: int, now: float) -> None:
        """Record that the platform answered a watcher of this group at time `now`."""
        held = self._confirmed_at[group]
        self._confirmed_at[group] = now if held is None else max(held, now)

    def merge(self, ages: list[int], now: float) -> None:
        """Merge the ages that a peer sent, in milliseconds; a negative age means unknown."""
        for group, age in enumerate(ages[: len(RANK_GROUPS)]):
            if age < 0:
                continue
            self.confirm(group, now - age / MILLISECONDS_PER_SECOND)

    def list_ages(self, now: float) -> list[int]:
        """Return the age of each group's newest confirmation in milliseconds, -1 if unknown."""
        ages = []
        for at in self._confirmed_at:
            ages.append(
                UNKNOWN_AGE if at is None else max(0, round((now - at) * MILLISECONDS_PER_SECOND))
            )
        return ages

    def find_newest(self, groups: int) -> float | None:
        """Return the time of the newest confirmation in the first `groups` groups, or None."""
        times = [at for at in self._confirmed_at[:groups] if at is not None]
        return max(times) if times else None

    def needs_sending(self) -> bool:
        """Return whether a confirmation is new enough to be sent to peers."""
        for at, sent in zip(self._confirmed_at, self._sent, strict=True):
            if at is None:
                continue
            if sent is None or at - sent >= MIN_ADVANCE_SECONDS:
                return True
        return False

    def record_sent(self) -> None:
        """Record that all confirmations have been sent to all peers."""
        self._sent = list(self._confirmed_at)

    def forget(self) -> None:
        """Discard all confirmations."""
        self._confirmed_at = [None] * len(RANK_GROUPS)
        self._sent = [None] * len(RANK_GROUPS)
