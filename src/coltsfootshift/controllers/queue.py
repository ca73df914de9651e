"""The bounded request queue of a service at one entry, ordered by class and time of arrival.

A request that cannot be answered before its deadline is refused on arrival, or dropped as soon as
this is known, so that no endpoint works on an answer that comes too late for the caller.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field

from coltsfootshift.controllers.base import Action

__all__ = ["Drop", "QueuedRequest", "RequestQueue"]

SMOOTHING_WEIGHT = 0.1
DEVIATION_MARGIN_FACTOR = 2.0
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A queued request; low priority numbers go first, times are in monotonic seconds.

    `begun` is set if the caller has part of the answer; how long the rest takes is not known.
    """

    priority: int
    arrived_at: float
    number: int
    deadline: float = field(compare=False)
    begun: bool = field(compare=False, default=False)


@dataclass(frozen=True, slots=True)
class Drop(Action):
    """Answer a queued request with `not_run`; `retry_after` is in seconds."""

    number: int
    reason: str
    retry_after: float


@dataclass(slots=True)
class RequestQueue:
    """The queued requests of one service, at most `max_length`.

    The following are exponential moving averages in seconds: `service_seconds` is the time from
    sending a request to the end of its answer, `service_deviation` its mean absolute deviation,
    and `departure_interval` the time between two departures while requests are queued.
    """

    max_length: int
    service_seconds: float = 0.0
    service_deviation: float = 0.0
    departure_interval: float = 0.0
    _items: list[QueuedRequest] = field(default_factory=list)
    _departed_at: float | None = None

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, item: QueuedRequest, now: float) -> list[Drop]:
        """Queue a request; return a drop if it would be late or the queue overflows.

        On overflow the last request in the queue is dropped, which may be another one. A begun
        answer is dropped only if all others are begun as well.
        """
        ahead = bisect.bisect(self._items, item)
        wait = ahead * self.departure_interval
        if now + wait + self._find_service_time(item) > item.deadline:
            return [
                Drop(
                    item.number, "cannot be answered within its deadline", self._find_retry_after()
                )
            ]
        self._items.insert(ahead, item)
        if len(self._items) <= self.max_length:
            return []
        last = next((item for item in reversed(self._items) if not item.begun), self._items[-1])
        self._items.remove(last)
        return [Drop(last.number, "the queue is full", self._find_retry_after())]

    def expire(self, now: float) -> list[Drop]:
        """Remove the requests that can no longer be answered in time and return their drops."""
        drops = []
        kept = []
        for item in self._items:
            if now + self._find_service_time(item) <= item.deadline:
                kept.append(item)
                continue
            drops.append(Drop(item.number, "cannot be answered in time", self._find_retry_after()))
        self._items = kept
        return drops

    def list_first(self, count: int) -> list[QueuedRequest]:
        """Return up to `count` requests from the head of the queue."""
        return self._items[:count]

    def take(self, item: QueuedRequest, now: float) -> None:
        """Remove a request to be sent, and update the average time between departures."""
        self._items.remove(item)
        if self._departed_at is not None and item.arrived_at <= self._departed_at:
            self.departure_interval = _smooth(self.departure_interval, now - self._departed_at)
        self._departed_at = now

    def record_served(self, seconds: float) -> None:
        """Update the service time averages with one complete answer."""
        deviation = abs(seconds - self.service_seconds) if self.service_seconds else 0.0
        self.service_deviation += SMOOTHING_WEIGHT * (deviation - self.service_deviation)
        self.service_seconds = _smooth(self.service_seconds, seconds)

    def _find_service_time(self, item: QueuedRequest) -> float:
        """Return the expected service time of a request in seconds, with a margin."""
        if item.begun:
            return 0.0
        return self.service_seconds + DEVIATION_MARGIN_FACTOR * self.service_deviation

    def _find_retry_after(self) -> float:
        return max(MIN_RETRY_AFTER_SECONDS, len(self._items) * self.departure_interval)


def _smooth(average: float, measured: float) -> float:
    return measured if not average else average + SMOOTHING_WEIGHT * (measured - average)
