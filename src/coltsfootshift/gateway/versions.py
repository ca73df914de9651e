"""Which named version an agent brings to its engine next."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootshift.gateway.knowledge import WantedVersion

__all__ = ["VersionSelector"]

MAX_SWITCH_AGE_SECONDS = (
    1.0  # a transfer that has run for longer is nearer to its end than a new one
)
STUCK_TRANSFER_SECONDS = 8.0  # a transfer takes four to six seconds; one that takes longer is stuck


class VersionSelector:
    """Chooses the version to bring, such that engines always get one that may still serve.

    Answers a version that is named while the one before is on its way: each has its own time by
    which requests must be answered by it, so dropping the first would leave nothing that may
    serve until the second is everywhere. The first is finished, unless it has hardly begun or is
    stuck. All agents learn of a version at about the same time, so all choose alike.

    >>> plan = VersionSelector()
    >>> two, three = WantedVersion("m", 2, 18.0), WantedVersion("m", 3, 21.0)
    >>> plan.choose([two], 18.0).version, plan.choose([two, three], 21.0).version
    (2, 2)
    >>> plan.record_order(2)
    >>> plan.choose([two, three], 23.0).version
    3
    """

    def __init__(self) -> None:
        self._current: WantedVersion | None = None
        self._begun_at = 0.0
        self._ordered = 0

    def record_order(self, version: int) -> None:
        """The engine has accepted the order to load a version."""
        self._ordered = max(self._ordered, version)

    def clear_orders(self) -> None:
        """The engine has started anew and holds nothing."""
        self._ordered = 0

    def choose(self, named: Sequence[WantedVersion], now: float) -> WantedVersion | None:
        """Return the version to bring now, None where none was named."""
        if not named:
            return None
        newest, current = named[-1], self._current
        if current is None or self._may_leave(current, newest, now):
            self._current = newest
            self._begun_at = now
        return self._current

    def _may_leave(self, current: WantedVersion, newest: WantedVersion, now: float) -> bool:
        if newest.version <= current.version:
            return False
        if self._ordered >= current.version:
            return True
        running = newest.learnt_at - self._begun_at
        return running < MAX_SWITCH_AGE_SECONDS or now - self._begun_at > STUCK_TRANSFER_SECONDS
