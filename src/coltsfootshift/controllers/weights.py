"""Schedules the downloads and uploads of the chunks of a version."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil
from random import Random

from coltsfootshift.controllers.base import Controller, Event
from coltsfootshift.controllers.chunk_availability import ChunkAvailability, Neighbour
from coltsfootshift.controllers.chunks import (
    ORIGIN,
    ChunkFailed,
    ChunkRequested,
    ChunkSent,
    ChunkStored,
    FinishWeights,
    LimitsChanged,
    Location,
    NeighbourClosed,
    NeighbourHasChunks,
    NeighbourOpened,
    NeighboursTrusted,
    PullChunk,
    PullersChanged,
    RequestChunk,
    SendBitfield,
    SendHave,
    WeightsAction,
    WeightsTick,
    WeightsWanted,
    WeightsWithdrawn,
    pack_bitfield,
)
from coltsfootshift.controllers.pacing import Pacer
from coltsfootshift.controllers.pulls import PullPlan
from coltsfootshift.controllers.uploads import UploadQueue
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["WeightsController"]

ORIGIN_RETRY_SECONDS = 0.5
MAX_ORIGIN_PULLS = 2
MAX_REQUESTS_PER_NEIGHBOUR = 2
MAX_REQUESTS_IN_FLIGHT = 10
MIN_REQUEST_TIMEOUT_SECONDS = 4.0
REQUEST_TIMEOUT_CHUNKS = 40
REFUSAL_BACKOFF_SECONDS = 0.1
TIMEOUT_BACKOFF_SECONDS = 5.0
MAX_MISMATCHES = 3  # chunks in a row that do not match, until a neighbour is left out
MAX_MISMATCH_BACKOFF_SECONDS = 5.0  # for a neighbour that keeps sending corrupted chunks
MAX_BACKLOG_CHUNKS = 6
PAUSE_THRESHOLD_SECONDS = 2.0


@dataclass(slots=True)
class _PendingRequest:
    source: InstanceId
    sent_at: float


class WeightsController(Controller[WeightsAction]):
    """Fetches the chunks of one version to this instance and answers requests for them.

    The instance of rank 0 for a chunk fetches it into the region: from the origin if the region is
    first in the chunk's order, else from a neighbour in the preceding region. All others fetch it
    from neighbours in the region, rarest chunk first, preferring neighbours with the fewest
    requests in flight and then their own failure domain. The next rank takes over if no new chunk
    has appeared in the region for a while and the chunk is not known to exist there. Chunks of a
    version that is no longer wanted are dropped.
    """

    def __init__(
        self,
        own: InstanceId,
        rng: Random,
        own_location: Location,
        store_region: str = "",
        max_requests_in_flight: int = MAX_REQUESTS_IN_FLIGHT,
    ) -> None:
        self._max_requests_in_flight = max_requests_in_flight
        self._rng = rng
        self._location = own_location
        self._availability = ChunkAvailability(Digest(""), 0, ())
        self._former = self._availability
        self._chunk_bytes = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._neighbours: dict[InstanceId, Neighbour] = {}
        self._distrusted: set[InstanceId] = set()
        self._pull_plan = PullPlan(own, own_location.region, store_region)
        self._planned_copies = 1
        self._origin_rate: float | None = None
        self._urgent: frozenset[InstanceId] = frozenset()
        self._downloads = Pacer()
        self._upload_queue = UploadQueue()
        self._next_pull_at = 0.0
        self._ticked_at: float | None = None
        self._finished = False

    def __repr__(self) -> str:
        availability = self._availability
        return (
            f"WeightsController({availability.digest!r}, "
            f"{len(availability.held)}/{availability.chunks})"
        )

    @property
    def digest(self) -> Digest:
        """The digest of the wanted version, empty if there is none."""
        return self._availability.digest

    @property
    def share(self) -> float:
        """The fraction of the wanted version's chunks that are staged."""
        availability = self._availability
        return len(availability.held) / availability.chunks if availability.chunks else 0.0

    @property
    def held(self) -> frozenset[int]:
        """The indexes of the wanted version's chunks that are staged."""
        return frozenset(self._availability.held)

    def handle(self, event: Event, now: float) -> list[WeightsAction]:
        """Process an event and return the resulting actions."""
        if isinstance(event, WeightsWanted):
            return self._set_wanted(event, now)
        if isinstance(event, WeightsWithdrawn):
            return self._set_wanted(WeightsWanted(Digest(""), 0), now)
        if isinstance(event, LimitsChanged):
            return self._set_limits(event, now)
        if isinstance(event, PullersChanged):
            return self._set_pullers(event, now)
        if isinstance(event, NeighbourOpened):
            return self._add_neighbour(event)
        if isinstance(event, NeighbourClosed):
            return self._remove_neighbour(event.peer, now)
        if isinstance(event, NeighboursTrusted):
            return self._trust_neighbours(now)
        if isinstance(event, NeighbourHasChunks):
            return self._update_neighbour_chunks(event, now)
        if isinstance(event, ChunkRequested):
            return self._answer_request(event, now)
        if isinstance(event, ChunkStored):
            return self._record_stored(event, now)
        if isinstance(event, ChunkFailed):
            return self._record_failure(event, now)
        if isinstance(event, ChunkSent):
            return [*self._upload_queue.end_upload(event.peer, self._neighbours, now)]
        if isinstance(event, WeightsTick):
            return self._tick(now)
        raise TypeError(f"unexpected event {event!r}")

    def _set_wanted(self, event: WeightsWanted, now: float) -> list[WeightsAction]:
        if event.digest == self.digest:
            return []
        if self.digest:
            self._former = self._availability
        self._availability = ChunkAvailability(event.digest, event.chunks, event.held)
        self._chunk_bytes = event.chunk_bytes
        self._pending = {}
        self._next_pull_at = now
        self._finished = False
        self._distrusted.clear()
        for peer, neighbour in self._neighbours.items():
            neighbour.requests_in_flight = 0
            neighbour.mismatches = 0
            neighbour.former = set()
            if neighbour.digest == event.digest:
                self._availability.add_holder(peer, neighbour.held)
        self._pull_plan.begin(self._availability, now, event.age)
        self._apply_limits()
        if not event.digest:
            return []
        actions: list[WeightsAction] = [self._make_bitfield(peer) for peer in self._neighbours]
        return actions + self._finish_if_complete() + self._plan(now)

    def _set_limits(self, event: LimitsChanged, now: float) -> list[WeightsAction]:
        self._planned_copies = event.planned_copies
        self._origin_rate = event.origin_bytes_per_second
        self._downloads.bytes_per_second = event.bytes_per_second
        self._upload_queue.pacer.bytes_per_second = event.bytes_per_second
        self._apply_limits()
        return self._plan(now)

    def _apply_limits(self) -> None:
        origin_seconds = self._chunk_bytes / self._origin_rate if self._origin_rate else 0.0
        self._pull_plan.set_limits(
            self._planned_copies, self._compute_chunk_seconds(), origin_seconds
        )

    def _compute_chunk_seconds(self) -> float:
        """Return the transfer time of a chunk on the link in seconds, 0 without a rate limit."""
        rate = self._downloads.bytes_per_second
        return self._chunk_bytes / rate if rate else 0.0

    def _set_pullers(self, event: PullersChanged, now: float) -> list[WeightsAction]:
        self._urgent = event.first
        if not self._pull_plan.set_locations(event.locations, self._availability, event.key):
            return []
        return self._plan(now)

    def _add_neighbour(self, event: NeighbourOpened) -> list[WeightsAction]:
        self._neighbours[event.peer] = Neighbour(event.location)
        self._pull_plan.record_reconnected(event.peer, self._availability)
        return [self._make_bitfield(event.peer)] if self.digest else []

    def _make_bitfield(self, peer: InstanceId) -> SendBitfield:
        availability = self._availability
        held = pack_bitfield(availability.held, availability.chunks)
        return SendBitfield(
            peer,
            self.digest,
            held,
            pack_bitfield(availability.known_in_region, availability.chunks),
        )

    def _remove_neighbour(self, peer: InstanceId, now: float) -> list[WeightsAction]:
        neighbour = self._neighbours.pop(peer, None)
        self._distrusted.discard(peer)
        self._upload_queue.remove_neighbour(peer)
        self._pull_plan.record_closed(peer, now)
        if neighbour is not None:
            held = neighbour.held if neighbour.digest == self.digest else set()
            self._availability.remove_holder(peer, held | neighbour.former)
        for index, request in list(self._pending.items()):
            if request.source == peer:
                self._remove_pending(index)
        return self._plan(now)

    def _replace_chunks(self, peer: InstanceId, neighbour: Neighbour, digest: Digest) -> None:
        """Forget what a neighbour held; when it turns to another version, it keeps the former.

        Load pattern: versions are published in quick succession. The instances that complete one
        first turn to the next, and the others still need what only those hold.
        """
        self._availability.remove_holder(peer, neighbour.former)
        neighbour.former = set()
        if neighbour.digest == self.digest and digest != self.digest and digest:
            neighbour.former = neighbour.held
        elif neighbour.digest == self.digest:
            self._availability.remove_holder(peer, neighbour.held)
        neighbour.digest = digest
        neighbour.held = set()

    def _trust_neighbours(self, now: float) -> list[WeightsAction]:
        for neighbour in self._neighbours.values():
            if not neighbour.mismatches:
                continue
            neighbour.mismatches = 0
            neighbour.avoid_until = now
        for peer in self._distrusted:
            neighbour = self._neighbours[peer]
            self._pull_plan.record_reconnected(peer, self._availability)
            if neighbour.digest == self.digest:
                self._availability.add_holder(peer, neighbour.held)
        self._distrusted.clear()
        return self._plan(now)

    def _record_mismatch(self, peer: InstanceId, neighbour: Neighbour, now: float) -> None:
        """Leave out a neighbour that keeps sending chunks that do not match.

        What only it holds counts as missing, so that another instance fetches it.
        """
        neighbour.mismatches += 1
        if neighbour.mismatches < MAX_MISMATCHES or peer in self._distrusted:
            return
        self._distrusted.add(peer)
        self._availability.remove_holder(peer, neighbour.held | neighbour.former)
        self._pull_plan.record_closed(peer, now)

    def _update_neighbour_chunks(
        self, event: NeighbourHasChunks, now: float
    ) -> list[WeightsAction]:
        neighbour = self._neighbours.get(event.peer)
        if neighbour is None:
            return []
        if neighbour.digest != event.digest or event.replaces:
            self._replace_chunks(event.peer, neighbour, event.digest)
        neighbour.held.update(event.indexes)
        if event.digest != self.digest or event.peer in self._distrusted:
            return []
        self._availability.add_holder(event.peer, event.indexes)
        if neighbour.location.region == self._location.region:
            in_region = (*event.indexes, *event.known_in_region)
            if self._availability.mark_in_region(in_region):
                self._pull_plan.progress_at = now
        else:
            self._pull_plan.record_outside(event.indexes, now)
        return self._plan(now)

    def _answer_request(self, event: ChunkRequested, now: float) -> list[WeightsAction]:
        if event.peer not in self._neighbours:
            return []
        held = False
        for availability in (self._availability, self._former):
            if event.digest == availability.digest and event.index in availability.held:
                held = True
        leaves_region = self._neighbours[event.peer].location.region != self._location.region
        urgent = leaves_region or event.peer in self._urgent
        return [
            *self._upload_queue.answer(
                event, held, urgent, self._chunk_bytes, self._neighbours, now
            )
        ]

    def _record_stored(self, event: ChunkStored, now: float) -> list[WeightsAction]:
        if event.digest != self.digest:
            return []
        self._remove_pending(event.index)
        neighbour = self._neighbours.get(event.source)
        if neighbour is not None:
            neighbour.avoid_until = 0.0
            neighbour.mismatches = 0
        if event.index not in self._availability.known_in_region:
            self._pull_plan.progress_at = now
        self._pull_plan.stored_at = now
        first_holder = not self._availability.holders[event.index]
        self._availability.add_held(event.index)
        # Nobody else can pass the chunk on, so the neighbours learn of it before the next tick.
        actions = self._announce_pending() if first_holder else []
        return actions + self._finish_if_complete() + self._plan(now)

    def _finish_if_complete(self) -> list[WeightsAction]:
        if self._finished or not self._availability.complete:
            return []
        self._finished = True
        return [FinishWeights(self.digest)]

    def _record_failure(self, event: ChunkFailed, now: float) -> list[WeightsAction]:
        if event.digest != self.digest:
            return []
        request = self._pending.get(event.index)
        if request is None or request.source != event.source:
            return []
        self._remove_pending(event.index)
        self._downloads.refund(self._chunk_bytes)
        neighbour = self._neighbours.get(event.source)
        if neighbour is not None:
            if event.corrupted:
                self._record_mismatch(event.source, neighbour, now)
            backoff = REFUSAL_BACKOFF_SECONDS * 2**neighbour.mismatches
            neighbour.avoid_until = now + min(backoff, MAX_MISMATCH_BACKOFF_SECONDS)
            return self._plan(now)
        if event.source == ORIGIN:
            self._next_pull_at = now + ORIGIN_RETRY_SECONDS
            self._pull_plan.move_to_end(event.index, now)
        return []

    def _remove_pending(self, index: int) -> None:
        request = self._pending.pop(index, None)
        if request is None:
            return
        neighbour = self._neighbours.get(request.source)
        if neighbour is not None:
            neighbour.requests_in_flight -= 1

    def _tick(self, now: float) -> list[WeightsAction]:
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_THRESHOLD_SECONDS:
            self._reset_after_pause(now)
        self._ticked_at = now
        actions: list[WeightsAction] = []
        if self.digest:
            actions.extend(self._announce_pending())
        self._expire_requests(now)
        return actions + self._plan(now, scan=True)

    def _reset_after_pause(self, now: float) -> None:
        """Drop all pending requests and restart the timeouts after a pause of this process."""
        for index in list(self._pending):
            self._remove_pending(index)
        self._pull_plan.reset_timers(now)

    def _announce_pending(self) -> list[WeightsAction]:
        gained, newly_known = self._availability.take_changes()
        if not gained and not newly_known:
            return []
        return list(self._announce_changes(gained, newly_known))

    def _announce_changes(
        self, gained: tuple[int, ...], newly_known: tuple[int, ...]
    ) -> Iterator[WeightsAction]:
        for peer, neighbour in self._neighbours.items():
            same_region = neighbour.location.region == self._location.region
            if same_region or gained:
                yield SendHave(peer, self.digest, gained, newly_known if same_region else ())

    def _expire_requests(self, now: float) -> None:
        timeout = max(
            MIN_REQUEST_TIMEOUT_SECONDS, REQUEST_TIMEOUT_CHUNKS * self._compute_chunk_seconds()
        )
        for index, request in list(self._pending.items()):
            if request.source == ORIGIN or now - request.sent_at <= timeout:
                continue
            self._remove_pending(index)
            neighbour = self._neighbours.get(request.source)
            if neighbour is not None:
                neighbour.avoid_until = now + TIMEOUT_BACKOFF_SECONDS

    def _plan(self, now: float, scan: bool = False) -> list[WeightsAction]:
        """Start transfers while there is room: origin pulls first, then requests to neighbours.

        Lost instances and due takeovers are only checked if `scan` is set, as on every tick.
        """
        if not self.digest or self._finished or not self._has_room(now):
            return []
        pull_plan = self._pull_plan
        if scan:
            pull_plan.detect_lost(self._availability, self._count_pulls() > 0, now)
        actions = self._plan_pulls(
            pull_plan.list_planned(self._availability, self._pending, now), now
        )
        if scan:
            takeovers = pull_plan.list_takeovers(self._availability, self._pending, now)
            actions += self._plan_pulls(takeovers, now)
        return actions + self._plan_requests(now)

    def _has_room(self, now: float) -> bool:
        if len(self._pending) >= self._max_requests_in_flight:
            return False
        chunk_seconds = self._compute_chunk_seconds()
        if not chunk_seconds:
            return True
        max_backlog_seconds = MAX_BACKLOG_CHUNKS * chunk_seconds
        return self._downloads.measure_backlog(now) < max_backlog_seconds

    def _plan_pulls(self, indexes: Iterable[int], now: float) -> list[WeightsAction]:
        actions: list[WeightsAction] = []
        pulling = self._count_pulls()
        if now < self._next_pull_at or pulling >= MAX_ORIGIN_PULLS:
            return actions
        for index in indexes:
            if pulling >= MAX_ORIGIN_PULLS or not self._has_room(now):
                break
            self._pending[index] = _PendingRequest(ORIGIN, now)
            self._downloads.reserve(self._chunk_bytes, now)
            pulling += 1
            actions.append(PullChunk(self.digest, index))
        return actions

    def _count_pulls(self) -> int:
        return sum(1 for request in self._pending.values() if request.source == ORIGIN)

    def _plan_requests(self, now: float) -> list[WeightsAction]:
        actions: list[WeightsAction] = []
        limit = self._limit_per_neighbour()
        for index in self._order_available():
            if not self._has_room(now):
                break
            peer = self._choose_peer(index, limit, now)
            if peer is None:
                continue
            self._neighbours[peer].requests_in_flight += 1
            self._pending[index] = _PendingRequest(peer, now)
            self._downloads.reserve(self._chunk_bytes, now)
            actions.append(RequestChunk(peer, self.digest, index))
        return actions

    def _order_available(self) -> list[int]:
        """Return the chunks held by a neighbour that are not pending, rarest first."""
        choices = []
        for index in self._availability.available:
            if index not in self._pending:
                holders = len(self._availability.holders[index])
                choices.append((holders, self._rng.random(), index))
        return [index for _, _, index in sorted(choices)]

    def _limit_per_neighbour(self) -> int:
        """Return how many requests may be in flight to one neighbour.

        Requests to many neighbours find those whose links are idle. With few neighbours in the
        region, more of each keep this instance's own link busy.
        """
        in_region = 0
        for neighbour in self._neighbours.values():
            in_region += neighbour.location.region == self._location.region
        needed = ceil(self._max_requests_in_flight / max(1, in_region))
        return min(MAX_REQUESTS_PER_NEIGHBOUR, needed)

    def _choose_peer(self, index: int, limit: int, now: float) -> InstanceId | None:
        best: tuple[int, bool, float, InstanceId] | None = None
        for peer in sorted(self._availability.holders[index]):
            neighbour = self._neighbours[peer]
            if neighbour.requests_in_flight >= limit or neighbour.avoid_until > now:
                continue
            known_in_region = index in self._availability.known_in_region
            if not self._pull_plan.may_fetch_from(
                index, neighbour.location.region, known_in_region, now
            ):
                continue
            other_domain = neighbour.location.failure_domain != self._location.failure_domain
            choice = (neighbour.requests_in_flight, other_domain, self._rng.random(), peer)
            if best is None or choice < best:
                best = choice
        return best[3] if best else None
