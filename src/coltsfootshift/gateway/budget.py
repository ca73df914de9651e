"""How many orders beyond the first of each request may be sent to a service."""

from __future__ import annotations

from collections import deque

from coltsfootshift.ids import ServiceName

__all__ = ["RetryBudget"]

STARTUP_GRACE_SECONDS = (
    2.0  # until an entry that starts has heard of all others, twice the longest dial
)
SAFETY_FACTOR = 0.7  # left unused: other entries start, leave and count windows at other moments


class RetryBudget:
    """Keeps the retries of all entries below a share of the requests in every sliding window.

    Each entry spends at most its own requests' share and an equal part of the allowance, so that
    the sum over all entries holds without a message for each retry. An entry that starts knows no
    others yet and leaves the allowance alone; `started_at` is when that was.

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
        """Take how many entries share the allowance."""
        self._entries = max(1, count)

    def record_request(self, service: ServiceName, now: float) -> None:
        """A caller's request for a service has arrived here."""
        self._requests.setdefault(service, deque()).append(now)

    def try_spend(self, service: ServiceName, now: float) -> bool:
        """Return whether one more order may be sent, and count it."""
        retries = self._retries.setdefault(service, deque())
        if len(retries) + 1 > self.compute_limit(service, now):
            return False
        retries.append(now)
        return True

    def compute_limit(self, service: ServiceName, now: float) -> float:
        """Return how many retries the window allows here, those already made included."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        for times in (requests, retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        share = self._allowance / self._entries if now >= self._allowance_from else 0.0
        return SAFETY_FACTOR * (self._ratio * len(requests) + share)
