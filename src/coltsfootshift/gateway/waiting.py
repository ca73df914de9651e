"""How requests wait for a place at an endpoint, and which are refused at once."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from coltsfootshift.outcomes import NotRun

__all__ = ["QueuedRequest", "ServiceQueue", "draw_retry_after"]

MAX_LATE_WAIT_SECONDS = 1.0  # how long a request that is late already may wait for a spare place
MIN_RETRY_AFTER_SECONDS = (
    1.0  # overload lasts longer than one departure; an earlier return meets it
)
RETRY_AFTER_JITTER = 0.5  # share of the return time that is drawn, so that callers return apart
MAX_RETRY_AFTER_SHARE = 1 / 3  # callers honour return times up to this share of their time left


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits; `due` is when it has to be sent to be in time, `late` if it is not."""

    item: Any
    priority: int
    arrived_at: float
    send_by: float
    expires_at: float
    late: bool
    open: bool = True


class ServiceQueue:
    """The requests of one service that found no place, most urgent and earliest due first.

    Answers sustained overload: what cannot be sent before it is due is refused on arrival, so
    that the queue is never longer than what can still be answered in time, and the endpoints work
    only on answers that count in full. Requests that are late already wait behind all others.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._heap: list[tuple[bool, int, float, int, QueuedRequest]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return sum(1 for row in self._heap if row[-1].open)

    def offer(self, request: QueuedRequest, interval: float, now: float) -> NotRun | None:
        """Queue a request, or return why it is refused.

        `interval` is the expected time between two places that come free for this entry.
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
        """Yield the requests whose time to be sent has passed, and take them out."""
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
        """Return the next request, without taking it out."""
        while self._heap and not self._heap[0][-1].open:
            heapq.heappop(self._heap)
        return self._heap[0][-1] if self._heap else None

    def pop(self) -> None:
        """Take the next request out."""
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
    """Return after how many seconds a refused caller should come back.

    A request that was refused is late when it returns, whenever that is, and most callers return
    once. So the time is that after which a place is expected, spread, within what callers honour.

    >>> 1.3 <= draw_retry_after(6.0, float("inf"), Random(1)) <= 2.0
    True
    """
    limit = MAX_RETRY_AFTER_SHARE * max(0.0, time_left)
    base = min(max(MIN_RETRY_AFTER_SECONDS, expected_wait), limit / (1.0 + RETRY_AFTER_JITTER))
    return round(base * (1.0 + RETRY_AFTER_JITTER * rng.random()), 3)
