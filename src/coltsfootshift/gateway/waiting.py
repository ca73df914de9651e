"""Queues requests for a free endpoint slot and refuses those that cannot be sent in time."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from math import inf
from random import Random
from typing import Any

from coltsfootshift.outcomes import NotRun

__all__ = [
    "RequestsAhead",
    "QueuedRequest",
    "ServiceQueue",
    "SlotForecast",
    "Turn",
    "draw_retry_after",
]

# Overload lasts longer than one slot takes to become free; an earlier retry would be refused too.
MIN_RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_JITTER = 0.5  # random share added, so that callers do not retry together
# Callers honour Retry-After values up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3


class Turn(IntEnum):
    """What a request waits for; of the same priority, a lower one is sent first.

    `INTERRUPTED` is for a request that may have run and may run again: its caller has waited for an
    answer, or has part of it. `NEW` can still meet its latency objective. `LATE` is for a retry, by
    this entry or by the caller, of what has not run. It is sent after the others of all priorities.
    """

    INTERRUPTED = 0
    NEW = 1
    LATE = 2


@dataclass(slots=True)
class QueuedRequest:
    """A queued request.

    `latest` is the latest time to send it, and `spent_at` when a retry was taken from the budget
    for it, None if none was. Times are in seconds of the same clock. `sequence` is set by the
    queue.
    """

    item: Any
    priority: int
    latest: float
    expires_at: float
    turn: Turn
    spent_at: float | None = None
    open: bool = True
    sequence: int = 0

    @property
    def key(self) -> tuple[bool, int, Turn, float]:
        """What the order of the queue follows."""
        return (self.turn is Turn.LATE, self.priority, self.turn, self.latest)


class SlotForecast:
    """When slots come free for this entry, while some endpoints are paused.

    It is made of the seconds until each endpoint may be sent requests, and of the slots a second
    that come free there for this entry from then on. `min_rate` is assumed if all rates are lower.

    >>> forecast = SlotForecast([(0.0, 1.0), (2.0, 3.0)])
    >>> [forecast.find_wait(count) for count in (0, 1, 2, 6)]
    [0.0, 1.0, 2.0, 3.0]
    >>> SlotForecast([(0.5, 10.0)]).find_wait(1)
    0.6
    """

    def __init__(self, endpoints: Iterable[tuple[float, float]], min_rate: float = 0.001) -> None:
        rates: dict[float, float] = {}
        for delay, rate in endpoints:
            rates[delay] = rates.get(delay, 0.0) + rate
        self._rates = sorted(rates.items())
        self._min_rate = min_rate

    def __repr__(self) -> str:
        return f"SlotForecast({self._rates!r})"

    def find_wait(self, count: float) -> float:
        """Return the expected seconds until `count` slots have come free."""
        since = rate = freed = 0.0
        for delay, added in self._rates:
            freed_before = freed + (delay - since) * rate
            if rate > 0.0 and freed_before >= count:
                break
            since, freed = delay, freed_before
            rate += added
        return since + (count - freed) / max(self._min_rate, rate)


class RequestsAhead(ABC):
    """The requests of a queue that are ahead of the next one, while all are gone through."""

    @abstractmethod
    def add(self, request: QueuedRequest) -> None:
        """Add a request that is ahead of all that come after it."""

    @abstractmethod
    def count_ahead(self, request: QueuedRequest) -> float:
        """Return by how many requests those ahead delay one."""


class ServiceQueue:
    """The queued requests of one service, ordered by lateness, priority, turn and `latest`.

    Under sustained overload, a request that cannot be sent by its `latest` time is refused on
    arrival. The queue therefore holds only requests that can still meet their objective, or be
    finished, and the endpoints spend their capacity on those. Late requests are queued behind all
    others.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._heap: list[tuple[tuple[bool, int, Turn, float], int, QueuedRequest]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return sum(1 for row in self._heap if row[-1].open)

    def offer(
        self,
        request: QueuedRequest,
        slots: SlotForecast,
        now: float,
        weigh: Callable[[QueuedRequest], float] | None = None,
    ) -> NotRun | None:
        """Queue a request, or return why it is refused.

        `weigh` returns for how many requests each one ahead counts; all count for one without it.
        """
        ahead = self._count_ahead(request, weigh)
        wait = slots.find_wait(ahead + 1)
        if now + wait > request.latest:
            reason = f"no place in time: {ahead:g} ahead, a place in {wait:.3f} s"
            expected_wait = slots.find_wait(len(self._heap))
            return self._make_refusal(reason, request, expected_wait, now)
        self._sequence += 1
        request.sequence = self._sequence
        heapq.heappush(self._heap, (request.key, request.sequence, request))
        return None

    def expire(
        self, now: float, estimate_pause: Callable[[Any], float] | None = None
    ) -> Iterator[tuple[QueuedRequest, NotRun]]:
        """Remove the requests that can no longer be sent in time and yield them with refusals.

        `estimate_pause` returns for how many seconds all endpoints for an item are paused.
        """
        kept = []
        for row in self._heap:
            request = row[-1]
            if not request.open:
                continue
            pause = estimate_pause(request.item) if estimate_pause is not None else 0.0
            if now + pause <= request.latest:
                kept.append(row)
                continue
            request.open = False
            yield request, self._make_refusal("no place came free in time", request, pause, now)
        heapq.heapify(kept)
        self._heap = kept

    def recheck(
        self, forecast: Callable[[Any], SlotForecast | None], kept_ahead: RequestsAhead, now: float
    ) -> Iterator[tuple[QueuedRequest, NotRun]]:
        """Remove the requests that will get no place in time; yield them with refusals.

        Load pattern: a failure domain is emptied at a moment of full load, so that far more waits
        than the other endpoints take in time. `forecast` returns when places for an item come free,
        or None if there will be none. `kept_ahead` counts what is kept.
        """
        kept: list[tuple[tuple[bool, int, Turn, float], int, QueuedRequest]] = []
        for row in sorted(row for row in self._heap if row[-1].open):
            request = row[-1]
            slots = forecast(request.item)
            ahead = kept_ahead.count_ahead(request)
            wait = inf if slots is None else slots.find_wait(ahead + 1)
            if now + wait <= request.latest:
                kept.append(row)
                kept_ahead.add(request)
                continue
            request.open = False
            reason = f"places were lost: {ahead:g} ahead, a place in {wait:.3f} s"
            yield request, self._make_refusal(reason, request, wait, now)
        self._heap = kept

    def peek(
        self,
        after: QueuedRequest | None = None,
        accept: Callable[[QueuedRequest], bool] | None = None,
    ) -> QueuedRequest | None:
        """Return the next request, or the next one `after` another that `accept` takes, or None."""
        while self._heap and not self._heap[0][-1].open:
            heapq.heappop(self._heap)
        if after is None:
            return self._heap[0][-1] if self._heap else None
        passed = (after.key, after.sequence)
        rows = [row for row in self._heap if row[-1].open and row[:2] > passed]
        rows = rows if accept is None else [row for row in rows if accept(row[-1])]
        return min(rows)[-1] if rows else None

    def pop(self) -> None:
        """Remove the next request."""
        heapq.heappop(self._heap)[-1].open = False

    def _count_ahead(
        self, request: QueuedRequest, weigh: Callable[[QueuedRequest], float] | None
    ) -> float:
        ahead = [row[-1] for row in self._heap if row[-1].open and row[0] <= request.key]
        return len(ahead) if weigh is None else sum(weigh(queued) for queued in ahead)

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
