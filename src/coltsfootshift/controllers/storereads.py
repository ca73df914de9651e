"""Decides when a process probes the store, and which of its reads it sends again."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from random import Random
from typing import NewType

from coltsfootshift.controllers.base import Action, Controller, Event

__all__ = [
    "Abandon",
    "Answered",
    "Dropped",
    "Failed",
    "Heard",
    "ReportContact",
    "RequestId",
    "Resume",
    "SendProbe",
    "Sent",
    "StoreAction",
    "StoreReads",
    "TimeReached",
]

RequestId = NewType("RequestId", str)

RESPONSE_SECONDS = 0.5  # the store answers within some milliseconds once an answer is due
BODY_PAUSE_SECONDS = 1.0  # between two pieces of an answer on a narrow link
MAX_RESPONSE_SECONDS = 8.0  # a store that is slower than this cannot be followed
# Bounds the time from the return of the store to the first answer.
PROBE_SECONDS = 0.4
# Of all entries together, or twice as many by the random part of the pauses, as long as that leaves
# each one of them a probe in `MAX_PROBE_SECONDS`.
PROBES_PER_SECOND = 50.0
MAX_PROBE_SECONDS = 1.5  # a catalogue must be in force 2 s after the return of the store
PROBE_LIFETIME_SECONDS = 2.0  # answers of a slow store count until then
MEASURING_PROBES = 3  # after the start, to measure the distance to the store
MEASURING_SECONDS = 2.0


class StoreAction(Action):
    """Base class of the actions that the reader of the store carries out."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class SendProbe(StoreAction):
    """Send a small request on a new connection."""


@dataclass(frozen=True, slots=True)
class Abandon(StoreAction):
    """Close the connection of a request; a read is sent again unless it is paused."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Resume(StoreAction):
    """Send a read that was paused after a failure."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class ReportContact(StoreAction):
    """The store has been lost, or regained."""

    reached: bool


@dataclass(frozen=True, slots=True)
class Sent(Event):
    """A request has been sent, whose answer is due `wait` seconds later at the latest."""

    request: RequestId
    wait: float = 0.0
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class Heard(Event):
    """A part of an answer has arrived."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Answered(Event):
    """A complete answer has arrived."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Failed(Event):
    """A request was refused, its connection was lost, or, if `answered`, its answer is of no use.

    The reader repeats a read of the latter kind by itself.
    """

    request: RequestId
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Dropped(Event):
    """A read is not needed any more."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class TimeReached(Event):
    """The time of `find_next_time` has come; `readers` processes may be probing the store."""

    readers: int = 1


@dataclass(slots=True)
class _Request:
    is_probe: bool
    sent_at: float
    due_at: float
    heard_at: float = -inf

    @property
    def quiet_since(self) -> float:
        """The time from which on the store has owed an answer, or the rest of it."""
        return max(self.due_at, self.heard_at)

    @property
    def overdue_at(self) -> float:
        """The time from which on the answer is late."""
        patience = BODY_PAUSE_SECONDS if self.heard_at > -inf else RESPONSE_SECONDS
        return self.quiet_since + patience

    @property
    def ends_at(self) -> float:
        """The time at which the request is given up although nothing else was answered."""
        if self.is_probe:
            return self.sent_at + PROBE_LIFETIME_SECONDS
        return self.quiet_since + MAX_RESPONSE_SECONDS


class StoreReads(Controller[StoreAction]):
    """Keeps the reads of the store from outlasting the outage in which they were sent.

    Load pattern: the store is silent, resets, refuses, loses answers or is many times slower than
    usual, for seconds, for one process or for all. A request that was sent into a silence gets no
    answer even when the store answers others, while one that a slow store has received will get
    one. Neither a short nor a long time limit serves both, and one that grows with each failure
    outlasts the outage. So a late read keeps waiting, and probes find out whether the store
    answers: a read is sent again once a request has been answered that was sent after the read's
    own answer was due. A read that failed is sent again after the next answer. Probes are small,
    since a large answer is late on a narrow link and a second copy would make it later.

    >>> reads = StoreReads(Random(1), now=0.0)
    >>> read, probe = RequestId("table"), RequestId("probe")
    >>> reads.handle(Sent(read, wait=0.5), 0.0)
    []
    >>> reads.handle(TimeReached(), 1.0)
    [SendProbe()]
    >>> reads.handle(Sent(probe, is_probe=True), 1.0)
    []
    >>> reads.handle(Answered(probe), 1.004)
    [Abandon(request='table')]
    """

    def __init__(self, rng: Random, now: float) -> None:
        self._rng = rng
        self._requests: dict[RequestId, _Request] = {}
        self._paused: dict[RequestId, float] = {}
        self._answered_up_to = -inf  # when the latest request was sent that has been answered
        self._answered_at = -inf
        self._lost = False
        self._probed_at = now
        self._pause_share = rng.uniform(0.5, 1.0)
        self._probes_answered = 0
        self._readers = 1

    def __repr__(self) -> str:
        return f"StoreReads(requests={sorted(self._requests)}, paused={sorted(self._paused)})"

    def is_paused(self, request: RequestId) -> bool:
        """Return whether a read waits for the next answer of the store."""
        return request in self._paused

    def is_overdue(self, request: RequestId, now: float) -> bool:
        """Return whether the answer of a request is late."""
        known = self._requests.get(request)
        return known is not None and now >= known.overdue_at

    def find_next_time(self, now: float) -> float:
        """Return when `TimeReached` has to be handled next."""
        times = [max(now, self._find_probe_time(now))]
        for request in self._requests.values():
            times.append(max(now, request.ends_at))
            if not request.is_probe and now < request.overdue_at:
                times.append(request.overdue_at)
            if request.is_probe and now < request.sent_at + RESPONSE_SECONDS:
                times.append(request.sent_at + RESPONSE_SECONDS)
        return min(times)

    def handle(self, event: Event, now: float) -> list[StoreAction]:
        """Process an event and return the resulting actions in order."""
        if isinstance(event, Sent):
            self._paused.pop(event.request, None)
            self._requests[event.request] = _Request(event.is_probe, now, now + event.wait)
        elif isinstance(event, Heard) and event.request in self._requests:
            self._requests[event.request].heard_at = now
        elif isinstance(event, Answered):
            return self._handle_answer(event.request, now)
        elif isinstance(event, Failed):
            return self._handle_failure(event, now)
        elif isinstance(event, Dropped):
            self._requests.pop(event.request, None)
            self._paused.pop(event.request, None)
        elif isinstance(event, TimeReached):
            self._readers = max(1, event.readers)
            return self._handle_time(now)
        return []

    def _handle_answer(self, name: RequestId, now: float) -> list[StoreAction]:
        request = self._requests.pop(name, None)
        if request is None:
            return []
        actions: list[StoreAction] = []
        self._answered_at = now
        self._answered_up_to = max(self._answered_up_to, request.sent_at)
        self._probes_answered += request.is_probe
        if self._lost:
            self._lost = False
            actions.append(ReportContact(True))
        actions += self._abandon_unanswered(now)
        for paused, failed_at in list(self._paused.items()):
            if request.sent_at >= failed_at:
                del self._paused[paused]
                actions.append(Resume(paused))
        return actions + self._abandon_probes(now)

    def _abandon_unanswered(self, now: float) -> list[StoreAction]:
        """Give up the late reads that were due before a request was sent that has been answered."""
        actions: list[StoreAction] = []
        for name, request in list(self._requests.items()):
            if request.is_probe or now < request.overdue_at:
                continue
            if request.quiet_since < self._answered_up_to:
                del self._requests[name]
                actions.append(Abandon(name))
        return actions

    def _abandon_probes(self, now: float) -> list[StoreAction]:
        """Give up the probes that cannot tell anything new."""
        actions: list[StoreAction] = []
        in_doubt = self._is_in_doubt(now)
        for name, request in list(self._requests.items()):
            if request.is_probe and (not in_doubt or request.sent_at < self._answered_up_to):
                del self._requests[name]
                actions.append(Abandon(name))
        return actions

    def _handle_failure(self, event: Failed, now: float) -> list[StoreAction]:
        request = self._requests.pop(event.request, None)
        if request is None or request.is_probe:
            return []
        if event.answered:
            self._answered_up_to = max(self._answered_up_to, request.sent_at)
        else:
            self._paused[event.request] = now
        return self._report_loss()

    def _report_loss(self) -> list[StoreAction]:
        if self._lost:
            return []
        self._lost = True
        return [ReportContact(False)]

    def _handle_time(self, now: float) -> list[StoreAction]:
        actions = self._abandon_unanswered(now)
        for name, request in list(self._requests.items()):
            if now < request.ends_at:
                continue
            del self._requests[name]
            if not request.is_probe:
                self._paused[name] = now
            actions.append(Abandon(name))
        unanswered = [r.sent_at for r in self._requests.values() if r.is_probe]
        quiet_since = max(min(unanswered, default=inf), self._answered_at)
        if now >= quiet_since + RESPONSE_SECONDS and self._is_in_doubt(now):
            actions += self._report_loss()
        if now >= self._find_probe_time(now):
            self._probed_at = now
            self._pause_share = self._rng.uniform(0.5, 1.0)
            actions.append(SendProbe())
        return actions

    def _is_in_doubt(self, now: float) -> bool:
        """Return whether a read has failed or is late, so that it waits for a probe's answer."""
        reads = [request for request in self._requests.values() if not request.is_probe]
        return bool(self._paused) or any(now >= request.overdue_at for request in reads)

    def _find_probe_time(self, now: float) -> float:
        """Return when the next probe is to be sent; it may have passed."""
        if not self._is_in_doubt(now):
            if self._probes_answered >= MEASURING_PROBES and not self._lost:
                return inf
            return self._probed_at + MEASURING_SECONDS * self._pause_share
        seconds = min(MAX_PROBE_SECONDS, max(PROBE_SECONDS, self._readers / PROBES_PER_SECOND))
        doubtful_since = min(
            [request.overdue_at for request in self._requests.values() if not request.is_probe]
            + [failed_at + seconds * self._pause_share for failed_at in self._paused.values()]
        )
        return max(doubtful_since, self._probed_at + seconds * self._pause_share)
