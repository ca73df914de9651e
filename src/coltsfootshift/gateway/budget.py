"""How many orders beyond the first of each request may be sent to a service."""

from __future__ import annotations

from collections import deque

from coltsfootshift.ids import ServiceName

__all__ = ["RetryBudget"]

SAFE_SHARE = 0.7  # left unused: other entries start, leave and count windows at other moments


class RetryBudget:
    """Keeps the retries of all entries below a share of the requests in every sliding window.

    Each entry spends at most its own requests' share and an equal part of the allowance, so that
    the sum over all entries holds without a message for each retry.

    >>> budget = RetryBudget(ratio=0.2, allowance=10.0, window=10.0)
    >>> budget.set_entries(5)
    >>> [budget.take(ServiceName("s"), 1.0) for _ in range(2)]
    [True, False]
    """

    def __init__(self, ratio: float, allowance: float, window: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window = window
        self._entries = 1
        self._requests: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def set_entries(self, count: int) -> None:
        """Take how many entries share the allowance."""
        self._entries = max(1, count)

    def note_request(self, service: ServiceName, now: float) -> None:
        """A caller's request for a service has arrived here."""
        self._requests.setdefault(service, deque()).append(now)

    def take(self, service: ServiceName, now: float) -> bool:
        """Return whether one more order may be sent, and count it."""
        retries = self._retries.setdefault(service, deque())
        if len(retries) + 1 > self.measure_room(service, now):
            return False
        retries.append(now)
        return True

    def measure_room(self, service: ServiceName, now: float) -> float:
        """Return how many retries the window allows here, those already made included."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        for times in (requests, retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        whole = self._ratio * len(requests) + self._allowance / self._entries
        return SAFE_SHARE * whole
