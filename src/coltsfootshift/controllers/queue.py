"""The queue of a service at one entry: by class, then by arrival, bounded and aware of deadlines.

A request that cannot be answered in time is refused when it comes, or dropped as soon as that is
certain, so that no endpoint works on an answer that nobody waits for.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field

from coltsfootshift.controllers.base import Action

__all__ = ["Drop", "RequestQueue", "QueuedRequest"]

MEASURE_WEIGHT = 0.1
SPREAD_MARGIN = 2.0
LEAST_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """One waiting request: low priority numbers go first; times are monotonic seconds."""

    priority: int
    arrived_at: float
    number: int
    deadline: float = field(compare=False)


@dataclass(frozen=True, slots=True)
class Drop(Action):
    """Answer a waiting request `not_run`; `retry_after` is in seconds."""

    number: int
    reason: str
    retry_after: float


@dataclass(slots=True)
class RequestQueue:
    """Waiting requests of one service.

    `service_seconds` is the time from sending a request to the end of its answer;
    `service_spread` is its mean deviation.
    `seconds_between` is the time between two departures while requests wait.
    """

    most: int
    service_seconds: float = 0.0
    service_spread: float = 0.0
    seconds_between: float = 0.0
    _items: list[QueuedRequest] = field(default_factory=list)
    _departed_at: float | None = None

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, item: QueuedRequest, now: float) -> list[Drop]:
        """Take a request, or drop it or a lower one in its place."""
        ahead = bisect.bisect(self._items, item)
        wait = ahead * self.seconds_between
        if now + wait + self._need() > item.deadline:
            return [Drop(item.number, "cannot be answered within its deadline", self._wait())]
        self._items.insert(ahead, item)
        if len(self._items) <= self.most:
            return []
        last = self._items.pop()
        return [Drop(last.number, "the queue is full", self._wait())]

    def expire(self, now: float) -> list[Drop]:
        """Drop what cannot be answered in time any more."""
        drops = []
        kept = []
        for item in self._items:
            if now + self._need() <= item.deadline:
                kept.append(item)
                continue
            drops.append(Drop(item.number, "cannot be answered in time", self._wait()))
        self._items = kept
        return drops

    def list_first(self, most: int) -> list[QueuedRequest]:
        """Return the requests that go first."""
        return self._items[:most]

    def take(self, item: QueuedRequest, now: float) -> None:
        """Take a request out, and measure the time since the one before it."""
        self._items.remove(item)
        if self._departed_at is not None and item.arrived_at <= self._departed_at:
            self.seconds_between = _smooth(self.seconds_between, now - self._departed_at)
        self._departed_at = now

    def note_served(self, seconds: float) -> None:
        """Measure one whole answer."""
        deviation = abs(seconds - self.service_seconds) if self.service_seconds else 0.0
        self.service_spread += MEASURE_WEIGHT * (deviation - self.service_spread)
        self.service_seconds = _smooth(self.service_seconds, seconds)

    def _need(self) -> float:
        """Return the time that a request needs once it is sent, with a margin."""
        return self.service_seconds + SPREAD_MARGIN * self.service_spread

    def _wait(self) -> float:
        return max(LEAST_RETRY_AFTER_SECONDS, len(self._items) * self.seconds_between)


def _smooth(held: float, measured: float) -> float:
    return measured if not held else held + MEASURE_WEIGHT * (measured - held)
