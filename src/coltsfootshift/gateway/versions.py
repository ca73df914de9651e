"""Until when an engine's version may serve, and which one its agent loads next."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from coltsfootshift.controllers.verification import MAX_ENGINE_SILENCE_SECONDS
from coltsfootshift.gateway.table_cache import WantedVersion

__all__ = [
    "LOAD_MARGIN_SECONDS",
    "MIN_START_SECONDS",
    "VERSION_MARGIN_SECONDS",
    "WITHDRAWAL_MARGIN_SECONDS",
    "VersionSelector",
    "find_first_limit",
]

# After its silence an engine reads requests and withdrawals together. This covers the delay of a
# full link between regions as well.
MAX_DELIVERY_SECONDS = MAX_ENGINE_SILENCE_SECONDS
CANCEL_SECONDS = 0.25  # an attempt needs up to this long to stop after its cancellation
# How long before a version's limit requests that have not begun are withdrawn.
WITHDRAWAL_MARGIN_SECONDS = MAX_DELIVERY_SECONDS + CANCEL_SECONDS
MIN_START_SECONDS = 0.25  # assumed from sending a request to its first event
# How long before the limit no request is sent any more.
VERSION_MARGIN_SECONDS = WITHDRAWAL_MARGIN_SECONDS + MIN_START_SECONDS
RUN_MARGIN_SECONDS = 0.5  # in which an engine finishes part of what it runs
# How long before the limit an engine loads even if it is not in the current wave.
LOAD_MARGIN_SECONDS = VERSION_MARGIN_SECONDS + RUN_MARGIN_SECONDS
MAX_SWITCH_AGE_SECONDS = 1.0  # a transfer older than this finishes before a new one would
STUCK_TRANSFER_SECONDS = 8.0  # transfers take four to six seconds; a longer one is stuck


class VersionSelector:
    """Selects the version to transfer so that engines always have one that is allowed to serve.

    A new version may be published while the previous one is still being transferred. Each has
    its own deadline from which requests must be answered by it, so abandoning the first transfer
    would leave no version allowed to serve until the second has reached all engines. The current
    transfer is therefore finished, unless it has only just started or is stuck. Times count from
    when the earliest process had a version, so that agents that learn of it late make the same
    choice.

    >>> selector = VersionSelector()
    >>> two, three = WantedVersion("m", 2, 18.0), WantedVersion("m", 3, 21.0)
    >>> selector.choose([two], 18.0).version, selector.choose([two, three], 21.0).version
    (2, 2)
    >>> selector.record_order(2)
    >>> selector.choose([two, three], 23.0).version
    3
    """

    def __init__(self) -> None:
        self._current: WantedVersion | None = None
        self._started_at = 0.0
        self._ordered_version = 0

    def record_order(self, version: int) -> None:
        """Record that the engine has accepted the order to load a version, or serves it."""
        self._ordered_version = max(self._ordered_version, version)

    def clear_orders(self) -> None:
        """Forget accepted load orders, after the engine has restarted without weights."""
        self._ordered_version = 0

    def choose(self, wanted: Sequence[WantedVersion], now: float) -> WantedVersion | None:
        """Return the version to transfer now, or None if `wanted` is empty.

        `wanted` lists the published versions of one model, oldest first; `now` is in seconds.
        """
        if not wanted:
            return None
        newest, current = wanted[-1], self._current
        if current is None or self._can_switch(current, newest, now):
            self._current = newest
            self._started_at = now - max(0.0, newest.learnt_at - newest.known_by)
        return self._current

    def _can_switch(self, current: WantedVersion, newest: WantedVersion, now: float) -> bool:
        if newest.version <= current.version:
            return False
        if self._ordered_version >= current.version:
            return True
        elapsed = newest.known_by - self._started_at
        return elapsed < MAX_SWITCH_AGE_SECONDS or now - self._started_at > STUCK_TRANSFER_SECONDS


def find_first_limit(
    wanted: Sequence[WantedVersion], serving: int, version_within: float, contact_within: float
) -> float:
    """Return when entries stop sending requests to an engine that serves the version `serving`.

    This is the earliest limit of all newer versions, infinite if there is none.

    >>> two, three = WantedVersion("m", 2, 18.0), WantedVersion("m", 3, 21.0)
    >>> find_first_limit([two, three], 1, 8.0, 3.0), find_first_limit([two, three], 2, 8.0, 3.0)
    (26.0, 29.0)
    """
    first = inf
    for published in wanted:
        if published.version > serving:
            first = min(first, published.compute_limit(version_within, contact_within))
    return first
