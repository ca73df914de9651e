"""Simulates how the chunks of a version reach all agents, with the daemons' own controllers.

Only time, links and the origin are simulated: an agent's link carries its uploads and its downloads
at the same rate each, one link joins each pair of regions, and the origin divides its bandwidth
among the chunks that it is sending.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.chunk_ranks import choose_neighbours
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
    RefuseChunk,
    RequestChunk,
    SendBitfield,
    SendChunk,
    SendHave,
    WeightsTick,
    WeightsWanted,
    unpack_bitfield,
)
from coltsfootshift.controllers.waves import order_loads
from coltsfootshift.controllers.weights import WeightsController
from coltsfootshift.gateway.rollout import (
    LINK_SHARE,
    MAX_REQUESTS_IN_FLIGHT,
    ORIGIN_COPIES,
    TICK_SECONDS,
)
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["SITES", "StagingFault", "StagingRun", "StagingSite", "simulate_staging"]

KEY = "engines"
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8
# From the publication until an agent has the digests and starts to fetch; it differs by agent.
MIN_START_SECONDS = 0.05
MAX_START_SECONDS = 0.35
MAX_SECONDS = 30.0
ORIGIN_REPLY_SECONDS = 0.01  # until an idle origin begins to send a chunk


@dataclass(frozen=True, slots=True)
class StagingSite:
    """The links of a deployment: rates in Mbit/s, delays in seconds one way."""

    agents: int
    regions: int
    chunks: int
    chunk_bytes: int
    link_mbps: float
    origin_mbps: float
    region_mbps: float
    delay: float = 0.0014
    region_delay: float = 0.0028

    @property
    def floor_seconds(self) -> float:
        """The time that one copy takes over an agent's link."""
        return self.chunks * self.chunk_bytes / count_bytes(self.link_mbps)


# Deployments of the users' pages, and one of twice their largest size.
SITES = {
    "tawfiq": StagingSite(10, 3, 96, 24_576, 3.65, 7.3, 10.0),
    "tawfiq-grown": StagingSite(34, 3, 96, 24_576, 3.65, 7.3, 12.0),
    "tentline": StagingSite(6, 3, 48, 49_152, 4.7, 15.0, 12.5),
    "tentline-grown": StagingSite(34, 3, 48, 49_152, 4.7, 15.0, 12.5),
    "tentline-large": StagingSite(45, 5, 48, 49_152, 4.7, 15.0, 15.0, 0.0005, 0.001),
    "tentline-90": StagingSite(90, 5, 48, 49_152, 4.7, 15.0, 15.0, 0.0005, 0.001),
}


@dataclass(frozen=True, slots=True)
class StagingFault:
    """What fails in mid-transfer: agents that are lost, and a time without the origin.

    `lost_agents` end `lost_at` seconds after the publication. The origin refuses all requests from
    `origin_down_at` on, for `origin_down_for` seconds.
    """

    lost_agents: int = 0
    lost_at: float = 1.5
    origin_down_at: float = 0.5
    origin_down_for: float = 0.0


@dataclass(slots=True)
class StagingRun:
    """The seconds from the publication until each agent was staged, and what it cost.

    `first_staged` has those of the agents that load first. Copies are multiples of the version's
    size; `region_copies` is the mean for each region.
    """

    staged: list[float] = field(default_factory=list)
    first_staged: list[float] = field(default_factory=list)
    origin_copies: float = 0.0
    region_copies: float = 0.0
    refused: int = 0

    def find_share(self, share: float) -> float:
        """Return when a share of the agents was staged.

        >>> StagingRun([5.0, 4.0, 6.0, 7.0]).find_share(0.5)
        5.0
        """
        ordered = sorted(self.staged)
        return ordered[max(0, round(share * len(ordered)) - 1)]


class _Origin:
    """Divides its bandwidth evenly among the chunks that it sends, up to an agent's link each."""

    def __init__(self, rate: float, link_rate: float) -> None:
        self._rate = rate
        self._link_rate = link_rate
        self._progress = 0.0
        self._updated_at = 0.0
        self._transfers: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, size: int, done: Callable[[], None], now: float) -> None:
        self._advance(now)
        self._count += 1
        heapq.heappush(self._transfers, (self._progress + size, self._count, done))

    def find_next(self) -> float:
        """Return when the next transfer ends."""
        if not self._transfers:
            return float("inf")
        return self._updated_at + max(0.0, self._transfers[0][0] - self._progress) / self._share()

    def finish(self, now: float) -> None:
        """End the transfer that is due."""
        self._advance(now)
        heapq.heappop(self._transfers)[2]()

    def _share(self) -> float:
        return min(self._link_rate, self._rate / max(1, len(self._transfers)))

    def _advance(self, now: float) -> None:
        if self._transfers:
            self._progress += (now - self._updated_at) * self._share()
        self._updated_at = now


class _Fleet:
    def __init__(self, site: StagingSite, rng: Random, fault: StagingFault) -> None:
        self.site = site
        self.fault = fault
        self._lost: set[InstanceId] = set()
        self.rng = rng
        self.run = StagingRun()
        self.now = 0.0
        self.link_rate = count_bytes(site.link_mbps)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.origin = _Origin(count_bytes(site.origin_mbps), self.link_rate)
        self._region_free: dict[tuple[str, str], float] = {}
        self._receive_free: dict[InstanceId, float] = {}
        self.locations: dict[InstanceId, Location] = {}
        for number in range(site.agents):
            region = f"region-{number % site.regions}"
            name = InstanceId(f"10.{number % site.regions}.0.{number}-7700")
            self.locations[name] = Location(region, region)
        order = order_loads(self.locations, KEY)
        self.first = frozenset(order[: len(order) // 2])
        self.controllers = {
            name: WeightsController(
                name, Random(rng.random()), location, max_requests_in_flight=MAX_REQUESTS_IN_FLIGHT
            )
            for name, location in self.locations.items()
        }

    def call(self, at: float, function: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, function))

    def start(self) -> None:
        for name, controller in self.controllers.items():
            controller.handle(
                LimitsChanged(
                    ORIGIN_COPIES, LINK_SHARE * self.link_rate, count_bytes(self.site.origin_mbps)
                ),
                0.0,
            )
            controller.handle(PullersChanged(self.locations, KEY, self.first), 0.0)
            for peer in choose_neighbours(name, self.locations, KEY):
                other = InstanceId(peer)
                self.dispatch(name, NeighbourOpened(other, self.locations[other]))
                self.dispatch(other, NeighbourOpened(name, self.locations[name]))
            self.call(self.rng.random() * TICK_SECONDS, partial(self.tick, name))
            at = self.rng.uniform(MIN_START_SECONDS, MAX_START_SECONDS)
            wanted = WeightsWanted(
                Digest("m@2"), self.site.chunks, self.site.chunk_bytes, frozenset(), at - 0.05
            )
            self.call(at, partial(self.dispatch, name, wanted))

    def lose_agents(self) -> None:
        """End the agents that load last; their neighbours see the streams close."""
        self._lost = set(order_loads(self.locations, KEY)[-self.fault.lost_agents :])
        for name in self.locations:
            for lost in self._lost if name not in self._lost else ():
                self.dispatch(name, NeighbourClosed(lost))

    def play(self) -> StagingRun:
        count = self.site.agents - self.fault.lost_agents
        while len(self.run.staged) < count and self.now < MAX_SECONDS:
            due = self.origin.find_next()
            if due < self._events[0][0]:
                self.now = due
                self.origin.finish(due)
                continue
            self.now, _, function = heapq.heappop(self._events)
            function()
        size = self.site.chunks * self.site.chunk_bytes
        self.run.origin_copies /= size
        self.run.region_copies /= size * self.site.regions
        missing = count - len(self.run.staged)
        self.run.staged += [MAX_SECONDS] * missing
        return self.run

    def tick(self, name: InstanceId) -> None:
        self.dispatch(name, WeightsTick())
        self.call(self.now + TICK_SECONDS, lambda: self.tick(name))

    def dispatch(self, name: InstanceId, event: Event) -> None:
        if name in self._lost:
            return
        for action in self.controllers[name].handle(event, self.now):
            self.perform(name, action)

    def perform(self, name: InstanceId, action: Any) -> None:
        if isinstance(action, PullChunk):
            self.call(self.now + ORIGIN_REPLY_SECONDS, lambda: self.pull(name, action))
        elif isinstance(action, RequestChunk):
            self.send(name, action.peer, ChunkRequested(name, action.digest, action.index))
        elif isinstance(action, SendChunk):
            self.upload(name, action)
        elif isinstance(action, RefuseChunk):
            self.run.refused += 1
            self.send(name, action.peer, ChunkFailed(action.digest, action.index, name))
        elif isinstance(action, SendBitfield):
            held, known = unpack_bitfield(action.bitfield), unpack_bitfield(action.known_in_region)
            bitfield = NeighbourHasChunks(name, action.digest, held, known, replaces=True)
            self.send(name, action.peer, bitfield)
        elif isinstance(action, SendHave):
            have = NeighbourHasChunks(name, action.digest, action.indexes, action.known_in_region)
            self.send(name, action.peer, have)
        elif isinstance(action, FinishWeights):
            self.run.staged.append(self.now)
            if name in self.first:
                self.run.first_staged.append(self.now)

    def pull(self, name: InstanceId, action: PullChunk) -> None:
        size = self.site.chunk_bytes
        since_down = self.now - self.fault.origin_down_at
        if 0.0 <= since_down < self.fault.origin_down_for:
            self.dispatch(name, ChunkFailed(action.digest, action.index, ORIGIN))
            return
        self.run.origin_copies += size
        stored = ChunkStored(action.digest, action.index, ORIGIN)

        def receive() -> None:
            self.call(self.receive(name, self.now), lambda: self.dispatch(name, stored))

        self.origin.add(size, receive, self.now)

    def send(self, name: InstanceId, peer: InstanceId, event: Event) -> None:
        at = self.now + self.find_delay(name, peer)
        self.call(at, lambda: self.dispatch(peer, event))

    def upload(self, name: InstanceId, action: SendChunk) -> None:
        """Send a chunk so that it has left at the end of the action's delay."""
        sent_at = self.now + action.delay
        self.call(sent_at, lambda: self.dispatch(name, ChunkSent(action.peer)))
        here, there = self.locations[name].region, self.locations[action.peer].region
        if here != there:
            self.run.region_copies += self.site.chunk_bytes
            seconds = self.site.chunk_bytes / count_bytes(self.site.region_mbps)
            free_at = max(self._region_free.get((here, there), 0.0), sent_at - seconds)
            sent_at = self._region_free[here, there] = free_at + seconds
        arrived_at = self.receive(action.peer, sent_at + self.find_delay(name, action.peer))
        stored = ChunkStored(action.digest, action.index, name)
        self.call(arrived_at, lambda: self.dispatch(action.peer, stored))

    def receive(self, name: InstanceId, at: float) -> float:
        """Return when a chunk that has left the other side by then has arrived completely."""
        seconds = self.site.chunk_bytes / self.link_rate
        arrived_at = max(self._receive_free.get(name, 0.0), at - seconds) + seconds
        self._receive_free[name] = arrived_at
        return arrived_at

    def find_delay(self, name: InstanceId, peer: InstanceId) -> float:
        if self.locations[name].region != self.locations[peer].region:
            return self.site.region_delay
        return self.site.delay


def simulate_staging(site: StagingSite, seed: int, fault: StagingFault | None = None) -> StagingRun:
    """Publish a version to agents that hold nothing of it, and return when each was staged."""
    fleet = _Fleet(site, Random(seed), fault or StagingFault())
    fleet.start()
    if fleet.fault.lost_agents:
        fleet.call(fleet.fault.lost_at, fleet.lose_agents)
    return fleet.play()


def count_bytes(mbps: float) -> float:
    """Return a rate in bytes per second.

    >>> count_bytes(8.0)
    1000000.0
    """
    return mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
