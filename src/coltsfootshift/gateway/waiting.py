"""Queues requests for a free endpoint slot and refuses those that cannot be sent in time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from coltsfootshift.outcomes import NotRun

__all__ = ["QueuedRequest", "ServiceQueue", "draw_retry_after"]

MAX_LATE_WAIT_SECONDS = 1.0  # maximum wait of a request that is already late
# Overload lasts longer than one slot takes to become free; an earlier retry would be refused too.
MIN_RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_JITTER = 0.5  # random share added, so that callers do not retry together
# Callers honour Retry-After values up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3


@dataclass(slots=True)
class QueuedRequest:
    """A queued request.

    `send_by` is the latest time to send it so that it meets its latency objective. `late` is set
    for a retry by this entry or by the caller, which cannot meet it. Times are in seconds of the
    same clock.
    """

    item: Any
    priority: int
    arrived_at: float
    send_by: float
    expires_at: float
    late: bool
    open: bool = True


class ServiceQueue:
    """The queued requests of one service, ordered by lateness, priority and `send_by`.

    Under sustained overload, a request that cannot be sent by its `send_by` time is refused on
    arrival. The queue therefore holds only requests that can still meet their objective, and the
    endpoints spend their capacity on those. Late requests are queued behind all others.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._heap: list[tuple[bool, int, float, int, QueuedRequest]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return sum(1 for row in self._heap if row[-1].open)

    def offer(self, request: QueuedRequest, interval: float, now: float) -> NotRun | None:
        """Queue a request, or return why it is refused.

        `interval` is the expected time in seconds between two slots that come free for this entry.
        """
        ahead = self._count_ahead(request)
        expected = now + (ahead + 1) * interval
        latest = request.send_by
        if request.late:
            latest = min(request.expires_at, request.arrived_at + MAX_LATE_WAIT_SECONDS)
        if expected > latest:
            reason = f"no place in time: {ahead} ahead, one leaves in {interval:.3f} s"
            return self._make_refusal(reason, request, len(self._heap) * interval, now)
        self._sequence += 1
        row = (request.late, request.priority, request.send_by, self._sequence, request)
        heapq.heappush(self._heap, row)
        return None

    def expire(self, now: float) -> Iterator[tuple[QueuedRequest, NotRun]]:
        """Remove the requests that can no longer be sent in time and yield them with refusals."""
        kept = []
        for row in self._heap:
            request = row[-1]
            latest = request.arrived_at + MAX_LATE_WAIT_SECONDS if request.late else request.send_by
            if not request.open:
                continue
            if now <= latest:
                kept.append(row)
                continue
            request.open = False
            yield request, self._make_refusal("no place came free in time", request, 0.0, now)
        heapq.heapify(kept)
        self._heap = kept

    def peek(self) -> QueuedRequest | None:
        """Return the next request without removing it, or None if the queue is empty."""
        while self._heap and not self._heap[0][-1].open:
            heapq.heappop(self._heap)
        return self._heap[0][-1] if self._heap else None

    def pop(self) -> None:
        """Remove the next request."""
        heapq.heappop(self._heap)[-1].open = False

    def _count_ahead(self, request: QueuedRequest) -> int:
        key = (request.late, request.priority, request.send_by)
        return sum(1 for row in self._heap if row[-1].open and row[:3] <= key)

    def _make_refusal(
        self, reason: str, request: QueuedRequest, expected_wait: float, now: float
    ) -> NotRun:
        left = request.expires_at - now
        return NotRun(reason, retry_after=draw_retry_after(left, expected_wait, self._rng))


def draw_retry_after(time_left: float, expected_wait: float, rng: Random) -> float:
    """Return after how many seconds a refused caller should retry.

    A refused request is late whenever it is retried, and most callers retry only once. The result
    is therefore the `expected_wait` for a free slot with jitter, limited to what callers honour.

    >>> 1.3 <= draw_retry_after(6.0, float("inf"), Random(1)) <= 2.0
    True
    """
    limit = MAX_RETRY_AFTER_SHARE * max(0.0, time_left)
    base = min(max(MIN_RETRY_AFTER_SECONDS, expected_wait), limit / (1.0 + RETRY_AFTER_JITTER))
    return round(base * (1.0 + RETRY_AFTER_JITTER * rng.random()), 3)
