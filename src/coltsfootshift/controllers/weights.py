"""Decides which chunk of a version comes from where, and who gets which."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
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

RETRY_PULL_SECONDS = 0.5
ORIGIN_PULLS_AT_ONCE = 2
ASKS_PER_NEIGHBOUR = 2
MAX_REQUESTS_IN_FLIGHT = 10
ASK_TIMEOUT_SECONDS = 4.0
ASK_TIMEOUT_CHUNKS = 40
AVOID_REFUSER_SECONDS = 0.2
AVOID_LATE_SECONDS = 5.0
PACE_AHEAD_CHUNKS = 6
PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class _Ask:
    source: InstanceId
    at: float


class WeightsController(Controller[WeightsAction]):
    """Brings one version to this instance, chunk by chunk.

    The first in rank for a chunk brings it into the region: from the origin where the region is
    first in the chunk's order, else from a neighbour in the region before. Everyone else takes it
    from neighbours in the region, rarest first, own failure domain first. The next in rank takes
    over once nothing new has appeared in the region for a while and the chunk is not known to
    exist there. Chunks of a version no longer wanted are dropped.
    """

    def __init__(
        self,
        own: InstanceId,
        rng: Random,
        own_place: Location,
        store_region: str = "",
        max_requests_in_flight: int = MAX_REQUESTS_IN_FLIGHT,
    ) -> None:
        self._max_requests_in_flight = max_requests_in_flight
        self._rng = rng
        self._place = own_place
        self._holdings = ChunkAvailability(Digest(""), 0, ())
        self._chunk_bytes = 0
        self._asked: dict[int, _Ask] = {}
        self._neighbours: dict[InstanceId, Neighbour] = {}
        self._pulls = PullPlan(own, own_place.region, store_region)
        self._planned_copies = 1
        self._downloads = Pacer()
        self._uploads = UploadQueue()
        self._pulls_after = 0.0
        self._ticked_at: float | None = None
        self._finished = False

    def __repr__(self) -> str:
        holdings = self._holdings
        return f"WeightsController({holdings.digest!r}, {len(holdings.held)}/{holdings.chunks})"

    @property
    def digest(self) -> Digest:
        """The version wanted now."""
        return self._holdings.digest

    @property
    def share(self) -> float:
        """The share of the wanted version's chunks that are staged."""
        holdings = self._holdings
        return len(holdings.held) / holdings.chunks if holdings.chunks else 0.0

    @property
    def held(self) -> frozenset[int]:
        """The chunks of the wanted version that are staged."""
        return frozenset(self._holdings.held)

    def handle(self, event: Event, now: float) -> list[WeightsAction]:
        """Take an event and return the actions that follow."""
        if isinstance(event, WeightsWanted):
            return self._want(event, now)
        if isinstance(event, WeightsWithdrawn):
            return self._want(WeightsWanted(Digest(""), 0), now)
        if isinstance(event, LimitsChanged):
            return self._limit(event, now)
        if isinstance(event, PullersChanged):
            return self._rank(event.locations, now)
        if isinstance(event, NeighbourOpened):
            return self._open(event)
        if isinstance(event, NeighbourClosed):
            return self._close(event.peer, now)
        if isinstance(event, NeighbourHasChunks):
            return self._note_has(event, now)
        if isinstance(event, ChunkRequested):
            return self._answer(event, now)
        if isinstance(event, ChunkStored):
            return self._store(event, now)
        if isinstance(event, ChunkFailed):
            return self._fail(event, now)
        if isinstance(event, ChunkSent):
            return self._end_upload(event.peer)
        if isinstance(event, WeightsTick):
            return self._tick(now)
        raise TypeError(f"unexpected event {event!r}")

    def _want(self, event: WeightsWanted, now: float) -> list[WeightsAction]:
        if event.digest == self.digest:
            return []
        self._holdings = ChunkAvailability(event.digest, event.chunks, event.held)
        self._chunk_bytes = event.chunk_bytes
        self._asked = {}
        self._pulls_after = now
        self._finished = False
        for peer, neighbour in self._neighbours.items():
            neighbour.requests_in_flight = 0
            if neighbour.digest == event.digest:
                self._holdings.add_holder(peer, neighbour.held)
        self._pulls.begin(self._holdings, now)
        self._pulls.set_limits(self._planned_copies, self._measure_chunk())
        if not event.digest:
            return []
        actions: list[WeightsAction] = [self._make_bits(peer) for peer in self._neighbours]
        return actions + self._finish_if_whole() + self._plan(now)

    def _limit(self, event: LimitsChanged, now: float) -> list[WeightsAction]:
        self._planned_copies = event.planned_copies
        self._downloads.bytes_per_second = event.bytes_per_second
        self._uploads.pacer.bytes_per_second = event.bytes_per_second
        self._pulls.set_limits(event.planned_copies, self._measure_chunk())
        return self._plan(now)

    def _measure_chunk(self) -> float:
        """Return how long a chunk takes on this instance's link, 0 where that is not known."""
        rate = self._downloads.bytes_per_second
        return self._chunk_bytes / rate if rate else 0.0

    def _rank(self, places: dict[InstanceId, Location], now: float) -> list[WeightsAction]:
        if not self._pulls.set_locations(places, self._holdings):
            return []
        return self._plan(now)

    def _open(self, event: NeighbourOpened) -> list[WeightsAction]:
        self._neighbours[event.peer] = Neighbour(event.location)
        self._pulls.note_reconnected(event.peer, self._holdings)
        return [self._make_bits(event.peer)] if self.digest else []

    def _make_bits(self, peer: InstanceId) -> SendBitfield:
        holdings = self._holdings
        held = pack_bitfield(holdings.held, holdings.chunks)
        return SendBitfield(
            peer, self.digest, held, pack_bitfield(holdings.known_in_region, holdings.chunks)
        )

    def _close(self, peer: InstanceId, now: float) -> list[WeightsAction]:
        neighbour = self._neighbours.pop(peer, None)
        if neighbour is not None and neighbour.digest == self.digest:
            self._holdings.remove_holder(peer, neighbour.held)
        for index, ask in list(self._asked.items()):
            if ask.source == peer:
                self._drop_ask(index)
        return self._plan(now)

    def _note_has(self, event: NeighbourHasChunks, now: float) -> list[WeightsAction]:
        neighbour = self._neighbours.get(event.peer)
        if neighbour is None:
            return []
        if neighbour.digest != event.digest or event.replaces:
            if neighbour.digest == self.digest:
                self._holdings.remove_holder(event.peer, neighbour.held)
            neighbour.digest = event.digest
            neighbour.held = set()
        neighbour.held.update(event.indexes)
        if event.digest != self.digest:
            return []
        self._holdings.add_holder(event.peer, event.indexes)
        if neighbour.location.region == self._place.region:
            known = (*event.indexes, *event.known_in_region)
            if self._holdings.mark_in_region(known):
                self._pulls.progress_at = now
        return self._plan(now)

    def _answer(self, event: ChunkRequested, now: float) -> list[WeightsAction]:
        if event.peer not in self._neighbours:
            return []
        held = event.digest == self.digest and event.index in self._holdings.held
        return [self._uploads.answer(event, held, self._chunk_bytes, self._neighbours, now)]

    def _end_upload(self, peer: InstanceId) -> list[WeightsAction]:
        neighbour = self._neighbours.get(peer)
        if neighbour is not None:
            neighbour.uploads = max(0, neighbour.uploads - 1)
        return []

    def _store(self, event: ChunkStored, now: float) -> list[WeightsAction]:
        if event.digest != self.digest:
            return []
        self._drop_ask(event.index)
        neighbour = self._neighbours.get(event.source)
        if neighbour is not None:
            neighbour.avoid_until = 0.0
        if event.index not in self._holdings.known_in_region:
            self._pulls.progress_at = now
        self._pulls.stored_at = now
        self._holdings.add_held(event.index)
        return self._finish_if_whole() + self._plan(now)

    def _finish_if_whole(self) -> list[WeightsAction]:
        if self._finished or not self._holdings.complete:
            return []
        self._finished = True
        return [FinishWeights(self.digest)]

    def _fail(self, event: ChunkFailed, now: float) -> list[WeightsAction]:
        if event.digest != self.digest:
            return []
        ask = self._asked.get(event.index)
        if ask is None or ask.source != event.source:
            return []
        self._drop_ask(event.index)
        self._downloads.refund(self._chunk_bytes)
        neighbour = self._neighbours.get(event.source)
        if neighbour is not None:
            neighbour.avoid_until = now + AVOID_REFUSER_SECONDS
            return self._plan(now)
        if event.source == ORIGIN:
            self._pulls_after = now + RETRY_PULL_SECONDS
            self._pulls.move_to_end(event.index, now)
        return []

    def _drop_ask(self, index: int) -> None:
        ask = self._asked.pop(index, None)
        if ask is None:
            return
        neighbour = self._neighbours.get(ask.source)
        if neighbour is not None:
            neighbour.requests_in_flight -= 1

    def _tick(self, now: float) -> list[WeightsAction]:
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_SECONDS:
            self._forget_pause(now)
        self._ticked_at = now
        actions: list[WeightsAction] = []
        if self.digest:
            gained, learnt = self._holdings.take_changes()
            if gained or learnt:
                actions.extend(self._spread(gained, learnt))
        self._drop_late_asks(now)
        return actions + self._plan(now, scan=True)

    def _forget_pause(self, now: float) -> None:
        """After a pause of this process nothing asked before it counts."""
        for index in list(self._asked):
            self._drop_ask(index)
        self._pulls.reset_timers(now)

    def _spread(self, gained: tuple[int, ...], learnt: tuple[int, ...]) -> Iterator[WeightsAction]:
        for peer, neighbour in self._neighbours.items():
            near = neighbour.location.region == self._place.region
            if near or gained:
                yield SendHave(peer, self.digest, gained, learnt if near else ())

    def _drop_late_asks(self, now: float) -> None:
        timeout = max(ASK_TIMEOUT_SECONDS, ASK_TIMEOUT_CHUNKS * self._measure_chunk())
        for index, ask in list(self._asked.items()):
            if ask.source == ORIGIN or now - ask.at <= timeout:
                continue
            self._drop_ask(index)
            neighbour = self._neighbours.get(ask.source)
            if neighbour is not None:
                neighbour.avoid_until = now + AVOID_LATE_SECONDS

    def _plan(self, now: float, scan: bool = False) -> list[WeightsAction]:
        """Fill the free places: pulls first, then asks; late pulls only on a tick's scan."""
        if not self.digest or self._finished or not self._has_room(now):
            return []
        pulls = self._pulls
        if scan:
            pulls.detect_lost(self._holdings, self._count_pulls() > 0, now)
        actions = self._plan_pulls(pulls.list_planned(self._holdings, self._asked), now)
        if scan:
            late = pulls.list_takeovers(self._holdings, self._asked, now)
            actions += self._plan_pulls(late, now)
        return actions + self._plan_asks(now)

    def _has_room(self, now: float) -> bool:
        if len(self._asked) >= self._max_requests_in_flight:
            return False
        chunk_seconds = self._measure_chunk()
        if not chunk_seconds:
            return True
        ahead = PACE_AHEAD_CHUNKS * chunk_seconds
        return self._downloads.measure_backlog(now) < ahead

    def _plan_pulls(self, indexes: Iterable[int], now: float) -> list[WeightsAction]:
        actions: list[WeightsAction] = []
        pulling = self._count_pulls()
        if now < self._pulls_after or pulling >= ORIGIN_PULLS_AT_ONCE:
            return actions
        for index in indexes:
            if pulling >= ORIGIN_PULLS_AT_ONCE or not self._has_room(now):
                break
            self._asked[index] = _Ask(ORIGIN, now)
            self._downloads.reserve(self._chunk_bytes, now)
            pulling += 1
            actions.append(PullChunk(self.digest, index))
        return actions

    def _count_pulls(self) -> int:
        return sum(1 for ask in self._asked.values() if ask.source == ORIGIN)

    def _plan_asks(self, now: float) -> list[WeightsAction]:
        actions: list[WeightsAction] = []
        for index in self._order_available():
            if not self._has_room(now):
                break
            peer = self._choose_peer(index, now)
            if peer is None:
                continue
            self._neighbours[peer].requests_in_flight += 1
            self._asked[index] = _Ask(peer, now)
            self._downloads.reserve(self._chunk_bytes, now)
            actions.append(RequestChunk(peer, self.digest, index))
        return actions

    def _order_available(self) -> list[int]:
        """Return the chunks that a neighbour holds and nobody was asked for, rarest first."""
        choices = []
        for index in self._holdings.available:
            if index not in self._asked:
                holders = len(self._holdings.holders[index])
                choices.append((holders, self._rng.random(), index))
        return [index for _, _, index in sorted(choices)]

    def _choose_peer(self, index: int, now: float) -> InstanceId | None:
        best: tuple[int, bool, float, InstanceId] | None = None
        for peer in sorted(self._holdings.holders[index]):
            neighbour = self._neighbours[peer]
            if neighbour.requests_in_flight >= ASKS_PER_NEIGHBOUR or neighbour.avoid_until > now:
                continue
            exists = index in self._holdings.known_in_region
            if not self._pulls.may_fetch_from(index, neighbour.location.region, exists, now):
                continue
            far = neighbour.location.failure_domain != self._place.failure_domain
            choice = (neighbour.requests_in_flight, far, self._rng.random(), peer)
            if best is None or choice < best:
                best = choice
        return best[3] if best else None
