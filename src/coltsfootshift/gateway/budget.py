"""Limits the retries that all entries together send to a service."""

from __future__ import annotations

from collections import deque

from coltsfootshift.ids import ServiceName

__all__ = ["RetryBudget"]

# A starting entry needs this long to learn of all other entries: twice the longest dial.
STARTUP_GRACE_SECONDS = 2.0
# Share of the budget that is used. The windows of the entries are not aligned, and entries start
# and leave at different times; the remainder covers the error.
SAFETY_FACTOR = 0.7
# The largest part of an entry's limit that is kept for requests with a claim to it.
MAX_RESERVED_SHARE = 0.1


class RetryBudget:
    """Keeps the retries of all entries below a share of the requests in every sliding window.

    `ratio` is the number of retries allowed per request, `allowance` a number of retries per
    window that all entries share, and `window` the length of the window in seconds. Each entry
    limits itself to `ratio` times its own requests plus an equal part of the allowance. The sum
    over all entries then stays within the budget without a message for each retry. An entry does
    not know the others when it starts, so it uses none of the allowance until
    `STARTUP_GRACE_SECONDS` after `started_at`.

    >>> budget = RetryBudget(ratio=0.2, allowance=10.0, window=10.0, started_at=0.0)
    >>> budget.set_entry_count(5)
    >>> [budget.try_spend(ServiceName("s"), at) for at in (1.0, 3.0, 3.0)]
    [False, True, False]
    """

    def __init__(self, ratio: float, allowance: float, window: float, started_at: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window = window
        self._allowance_from = started_at + STARTUP_GRACE_SECONDS
        self._entries = 1
        self._requests: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that share the allowance."""
        self._entries = max(1, count)

    def record_request(self, service: ServiceName, now: float) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, deque()).append(now)

    def try_spend(self, service: ServiceName, now: float, claims: int = 0) -> bool:
        """Count one more retry if the budget allows it; return whether it does.

        `claims` is the number of other requests that would lose more than this one if the budget
        were spent when they fail. A retry is left for each, up to `MAX_RESERVED_SHARE` of the
        limit.

        Load pattern: many engines fail within one window. Requests that had only waited there are
        retried first and spend the budget, so that answers of which callers have a part are broken
        off.
        """
        retries = self._retries.setdefault(service, deque())
        limit = self.compute_limit(service, now)
        if len(retries) + 1 > limit - min(claims, MAX_RESERVED_SHARE * limit):
            return False
        retries.append(now)
        return True

    def postpone(self, service: ServiceName, spent_at: float, now: float) -> None:
        """Count a retry that was spent at `spent_at` as of `now`, when it is sent.

        A retry that waits counts already, so that it may be sent when there is a place for it.
        """
        retries = self._retries.setdefault(service, deque())
        if spent_at in retries:
            retries.remove(spent_at)
        retries.append(now)

    def compute_limit(self, service: ServiceName, now: float) -> float:
        """Return how many retries this entry may make per window, including those already made."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        for times in (requests, retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        share = self._allowance / self._entries if now >= self._allowance_from else 0.0
        return SAFETY_FACTOR * (self._ratio * len(requests) + share)
