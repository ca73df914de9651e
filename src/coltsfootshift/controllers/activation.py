"""Decides when to order an engine to load staged weights and tracks its confirmation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coltsfootshift.controllers.base import Action, Controller, Event
from coltsfootshift.controllers.waves import LoadWaves, ServingState, shorten_digest
from coltsfootshift.engines.base import EndpointStatus, LoadOrder
from coltsfootshift.ids import Digest, InstanceId

__all__ = [
    "ActivationController",
    "ActivationPhase",
    "AnnounceServing",
    "EngineReported",
    "LoadRefused",
    "OrderLoad",
    "PeerServingChanged",
    "ProcessPaused",
    "ReplicasChanged",
    "StagingLost",
    "VersionStaged",
    "VersionWanted",
    "VersionWithdrawn",
    "make_fencing",
]

CONFIRM_TIMEOUT_SECONDS = 15.0
REPEAT_ORDER_SECONDS = 2.0
REFUSED_BACKOFF_SECONDS = 0.5
PAUSE_HOLD_SECONDS = 2.0
START_TIME_BITS = 44  # milliseconds since the epoch fit for more than 500 years
SEQUENCE_BITS = 20
MILLISECONDS_PER_SECOND = 1000


class ActivationPhase(Enum):
    """Progress of this engine towards serving the wanted version."""

    IDLE = "idle"
    FETCHING = "fetching"
    WAITING = "waiting"
    LOADING = "loading"
    SERVING = "serving"


@dataclass(frozen=True, slots=True)
class VersionWanted(Event):
    """The catalogue names this version as wanted as of the given revision."""

    digest: Digest
    revision: int


@dataclass(frozen=True, slots=True)
class VersionStaged(Event):
    """All chunks of a version are staged and verified."""

    digest: Digest
    chunks: int


@dataclass(frozen=True, slots=True)
class EngineReported(Event):
    """The engine reported its status."""

    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class LoadRefused(Event):
    """The engine refused a load order or did not answer it."""


@dataclass(frozen=True, slots=True)
class VersionWithdrawn(Event):
    """The catalogue names no version as of this revision; the engine keeps serving its weights."""

    revision: int


@dataclass(frozen=True, slots=True)
class StagingLost(Event):
    """The engine has lost the staged chunks of a version."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class ProcessPaused(Event):
    """This process was paused, so its state may be stale."""


@dataclass(frozen=True, slots=True)
class ReplicasChanged(Event):
    """The set of replicas changed, or the number of them that must keep serving."""

    instances: tuple[InstanceId, ...]
    min_serving: int


@dataclass(frozen=True, slots=True)
class PeerServingChanged(Event):
    """A neighbour reported which version an instance serves."""

    state: ServingState


class ActivationAction(Action):
    """Base class of the actions of an `ActivationController`."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class OrderLoad(ActivationAction):
    """Send the engine a load order."""

    order: LoadOrder


@dataclass(frozen=True, slots=True)
class AnnounceServing(ActivationAction):
    """Announce to the neighbours which version an instance serves."""

    state: ServingState


class ActivationController(Controller[ActivationAction]):
    """Orders loads of versions that are fully staged and still wanted by the catalogue.

    Each order carries a fencing number that increases with the catalogue's revision and, within
    a revision, with the start time of the process. A version counts as serving only once the
    engine reports it, and an order as ignored only once a report that was made long enough after
    it shows another version: answers may be late and out of order. Replicas load in waves so that
    the required minimum keeps serving. After a pause of the process, orders are held back until
    peers had time to send newer state.
    """

    def __init__(self, own: InstanceId, started_at: float) -> None:
        self.waves = LoadWaves(own)
        self.phase = ActivationPhase.IDLE
        self.serving = Digest("")
        self.wanted = Digest("")
        self._own = own
        self._start_milliseconds = int(started_at * MILLISECONDS_PER_SECOND)
        self._revision = 0
        self._staged: dict[Digest, int] = {}
        self._ordered_at: float | None = None
        self._in_flight: tuple[Digest, float] | None = None
        self._reported_serving = False
        self._reported_fencing = 0
        self._report_asked_at = float("-inf")
        self._report_made_at = float("-inf")
        self._hold_until = 0.0
        self._announced_digest: Digest | None = None
        self._announcement_count = 0

    def __repr__(self) -> str:
        return f"ActivationController(phase={self.phase}, wanted={self.wanted!r})"

    @property
    def engine_idle(self) -> bool:
        """Whether the engine is known to be idle, so that staged chunks can be dropped safely."""
        return self._reported_serving and self._in_flight is None

    def handle(self, event: Event, now: float) -> list[ActivationAction]:
        """Process an event and return the resulting actions."""
        actions: list[ActivationAction] = []
        if isinstance(event, VersionWanted):
            self._set_wanted(event.digest, event.revision, now)
        elif isinstance(event, VersionWithdrawn):
            self._set_wanted(Digest(""), event.revision, now)
        elif isinstance(event, VersionStaged):
            self._staged = {event.digest: event.chunks}
        elif isinstance(event, StagingLost):
            self._staged.pop(event.digest, None)
            self._ordered_at = None
        elif isinstance(event, EngineReported):
            actions = self._handle_report(event.status, now)
        elif isinstance(event, LoadRefused):
            self._ordered_at = None
            self._in_flight = None
            self._hold_until = max(self._hold_until, now + REFUSED_BACKOFF_SECONDS)
        elif isinstance(event, ProcessPaused):
            self._hold_until = now + PAUSE_HOLD_SECONDS
        elif isinstance(event, ReplicasChanged):
            self.waves.set_instances(event.instances, event.min_serving, now)
        elif isinstance(event, PeerServingChanged):
            actions = self._handle_peer(event.state, now)
        else:
            raise TypeError(f"unexpected event {event!r}")
        return actions + self._decide(now)

    def _set_wanted(self, digest: Digest, revision: int, now: float) -> None:
        if revision < self._revision:
            return
        self._revision = revision
        if digest == self.wanted:
            return
        self.wanted = digest
        self._ordered_at = None
        self.waves.set_wanted(digest, now)

    def _handle_report(self, status: EndpointStatus, now: float) -> list[ActivationAction]:
        asked_at = now - status.waited
        if asked_at < self._report_asked_at:
            return []
        self._report_asked_at = asked_at
        self._report_made_at = asked_at - status.age
        self.serving = status.digest if status.serving else Digest("")
        self._reported_serving = status.serving
        if status.fencing < self._reported_fencing:
            self._ordered_at = None
            self._in_flight = None
        self._reported_fencing = status.fencing
        self._update_in_flight()
        if self.serving == self._announced_digest:
            return []
        self._announced_digest = self.serving
        self._announcement_count += 1
        sequence = (self._start_milliseconds << SEQUENCE_BITS) + self._announcement_count
        state = ServingState(self._own, sequence, shorten_digest(self.serving))
        self.waves.record(state, now)
        return [AnnounceServing(state)]

    def _update_in_flight(self) -> None:
        """Clear the order in flight once the engine serves its digest or has ignored the order."""
        if self._in_flight is None or not self.serving:
            return
        digest, ordered_at = self._in_flight
        ignored = self._report_made_at - ordered_at >= REPEAT_ORDER_SECONDS
        if self.serving == digest or ignored:
            self._in_flight = None

    def _handle_peer(self, state: ServingState, now: float) -> list[ActivationAction]:
        if state.instance == self._own or not self.waves.record(state, now):
            return []
        return [AnnounceServing(state)]

    def _decide(self, now: float) -> list[ActivationAction]:
        if not self.wanted:
            self.phase = ActivationPhase.IDLE
            return []
        if self.serving == self.wanted:
            self.phase = ActivationPhase.SERVING
            self._ordered_at = None
            return []
        chunks = self._staged.get(self.wanted)
        if chunks is None:
            self.phase = ActivationPhase.FETCHING
            return []
        if self._is_ordered(now):
            self.phase = ActivationPhase.LOADING
            return []
        self.phase = ActivationPhase.WAITING
        if now < self._hold_until or not self.waves.may_load(now):
            return []
        self.phase = ActivationPhase.LOADING
        self._ordered_at = now
        self._in_flight = (self.wanted, now)
        fencing = make_fencing(self._revision, self._start_milliseconds)
        return [OrderLoad(LoadOrder(self.wanted, fencing, chunks))]

    def _is_ordered(self, now: float) -> bool:
        """Return whether an order is in flight that the engine has not ignored."""
        if self._ordered_at is None:
            return False
        if self.serving and self._report_made_at - self._ordered_at >= REPEAT_ORDER_SECONDS:
            return False
        return now - self._ordered_at < CONFIRM_TIMEOUT_SECONDS


def make_fencing(revision: int, start_milliseconds: int) -> int:
    """Return a fencing number ordered by revision, then by start time of the process.

    >>> make_fencing(2, 0) > make_fencing(1, 10**12)
    True
    """
    return (revision << START_TIME_BITS) + start_milliseconds
