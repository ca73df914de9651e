"""How long ago watchers last had an answer of the platform, as spread among peers."""

from __future__ import annotations

__all__ = ["RANK_GROUPS", "Freshness", "find_rank_group"]

RANK_GROUPS = (2, 4, 8, 16)
SPREAD_SECONDS = 0.75
MILLISECONDS = 1000
UNKNOWN_AGE = -1


def find_rank_group(rank: int | None) -> int | None:
    """Return the group of a watcher's rank, None for those that never watch.

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
    """The newest confirmation of the platform by each group of watchers, on this process's clock.

    Ages cross between processes, never times, so that clocks need not agree. A confirmation is
    spread on only where it is markedly newer than the one spread before.

    >>> freshness = Freshness()
    >>> freshness.confirm(0, now=10.0)
    >>> freshness.list_ages(now=10.5)
    [500, -1, -1, -1]
    """

    def __init__(self) -> None:
        self._at: list[float | None] = [None] * len(RANK_GROUPS)
        self._spread: list[float | None] = [None] * len(RANK_GROUPS)

    def confirm(self, group: int, now: float) -> None:
        """A watcher of this group had an answer of the platform now."""
        held = self._at[group]
        self._at[group] = now if held is None else max(held, now)

    def merge(self, ages: list[int], now: float) -> None:
        """Take the ages that a peer knows, in milliseconds; negative where it knows none."""
        for group, age in enumerate(ages[: len(RANK_GROUPS)]):
            if age < 0:
                continue
            self.confirm(group, now - age / MILLISECONDS)

    def list_ages(self, now: float) -> list[int]:
        """Return the age of the newest confirmation of each group in milliseconds."""
        ages = []
        for at in self._at:
            ages.append(UNKNOWN_AGE if at is None else max(0, round((now - at) * MILLISECONDS)))
        return ages

    def find_newest(self, groups: int) -> float | None:
        """Return when one of the first `groups` groups last confirmed, None where none did."""
        known = [at for at in self._at[:groups] if at is not None]
        return max(known) if known else None

    def needs_sending(self) -> bool:
        """Return whether a confirmation is worth spreading."""
        for at, spread in zip(self._at, self._spread, strict=True):
            if at is None:
                continue
            if spread is None or at - spread >= SPREAD_SECONDS:
                return True
        return False

    def note_sent(self) -> None:
        """All that is known has been told to all peers."""
        self._spread = list(self._at)

    def forget(self) -> None:
        """Nothing is known any more."""
        self._at = [None] * len(RANK_GROUPS)
        self._spread = [None] * len(RANK_GROUPS)
