"""Several agents with real rollout tasks, joined by streams in memory, beside one origin."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from random import Random
from unittest.mock import Mock

from gateway_harness import ENGINE_SPEC, GatewayHarness
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactorClock

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.gateway.engines import EngineReport, OrderResult, PortError
from coltsfootshift.gateway.model import ServiceSpec
from coltsfootshift.gateway.rollout import RolloutTask, name_agent
from coltsfootshift.gateway.table_cache import WantedVersion
from coltsfootshift.ids import FailureDomain, ServiceName
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

PORT = 7700
CHUNKS = 12
CHUNK_BYTES = 4096
TICK_SECONDS = 0.01
DELAY_SECONDS = 0.003  # of a message between agents, and of an answer of the origin
LINK_MBPS = 20.0


def make_chunk(version, index):
    """Return the bytes of a chunk of a version."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def list_digests(version=2, chunks=CHUNKS):
    """Return the digests of a version's chunks."""
    return [hashlib.sha256(make_chunk(version, index)).digest() for index in range(chunks)]


class Origin:
    """An origin whose n-th answer with digests is `answers[n]`, and sound after these."""

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = list(answers)
        self.digest_reads = 0
        self.chunk_reads = 0

    def read_digests(self, model, version):
        self.digest_reads += 1
        answer = self.answers.pop(0) if self.answers else list_digests(version)
        return self._answer(answer)

    def read_chunk(self, model, version, index):
        self.chunk_reads += 1
        return self._answer(make_chunk(version, index))

    def reset_connections(self):
        pass

    def _answer(self, value):
        deferred = Deferred()
        fire = deferred.errback if isinstance(value, Exception) else deferred.callback
        self.clock.callLater(DELAY_SECONDS, fire, value)
        return deferred


class Engine:
    """An engine that starts without weights; `version` is the one that it has loaded."""

    def __init__(self):
        self.staged = {}
        self.version = 0
        self.orders = 0

    def read_report(self):
        versions = {"m": self.version} if self.version else {}
        return succeed(EngineReport(versions, False, self.orders, 1))

    def list_staged(self, model):
        return succeed(frozenset(self.staged))

    def read_staged(self, model, index):
        return succeed(self.staged[index])

    def reset_connections(self):
        pass

    def stage(self, model, index, data):
        self.staged[index] = data
        return succeed(None)

    def load(self, model, version, fencing, expected_orders, abort, valid_until):
        self.orders += 1
        assert [self.staged[index] for index in range(CHUNKS)] == [
            make_chunk(version, index) for index in range(CHUNKS)
        ]
        self.version = version
        return succeed(OrderResult(True, 202))


class Stream:
    """One direction between two agents; `change` replaces each message, None for a lost one."""

    def __init__(self, clock, source, target, change):
        self.clock = clock
        self.source = source
        self.target = target
        self.change = change
        self.peer_id = target.name
        self.peer = Mock(region=target.region, failure_domain=target.region)
        self.reverse = None
        self.dialled = source.name < target.name

    def send(self, message):
        changed = self.change(message)
        if changed is not None and not (self.source.is_dead or self.target.is_dead):
            self.clock.callLater(DELAY_SECONDS, self._deliver, changed)

    def measure_transit_delay(self, sent_at):
        return 0.0

    def abort(self, text):
        raise AssertionError(text)

    def _deliver(self, message):
        self.target.rollout.stream_received(self.reverse, message)


class Member:
    """An agent and its engine."""

    def __init__(self, cluster, number, regions):
        self.host = f"10.0.0.{10 + number}"
        self.name = name_agent(self.host, PORT)
        self.region = regions[number % len(regions)]
        self.is_dead = False
        self.engine = Engine()
        harness = GatewayHarness(endpoints=0, clock=cluster.clock)
        self.tables = harness.tables
        self.rollout = RolloutTask(
            # Agents dial each other in turn; `Cluster` joins them itself.
            Mock(reactor=cluster.clock, **{"timing.heartbeat": 1e9}),
            harness.tables,
            self.engine,
            lambda address: cluster.origin,
            Address(self.host, PORT),
            ServiceName("llm"),
            Location(self.region, FailureDomain(self.region)),
            {region: region for region in regions},
            cluster.link_mbps,
            8.0,
            3.0,
            Metrics(),
            Random(number),
            Mock(),
        )
        spec = replace(ENGINE_SPEC, chunks=CHUNKS, chunk_bytes=CHUNK_BYTES)
        origin = ServiceSpec(ServiceName("origin"), 30, origin=Address("10.0.0.8", 1))
        services = {
            ServiceName("llm"): ServiceSpec(ServiceName("llm"), 300, spec),
            ServiceName("origin"): origin,
        }
        self.tables.catalogue = replace(harness.tables.catalogue, services=services)
        self.harness = harness


class Cluster:
    """Agents of which each is joined to each other.

    `changes` maps the number of a member to a function that changes each message that it sends.
    """

    def __init__(self, count, answers=(), regions=("north",), changes=None, link_mbps=LINK_MBPS):
        self.link_mbps = link_mbps
        self.clock = MemoryReactorClock()
        self.origin = Origin(self.clock, answers)
        self.members = [Member(self, number, regions) for number in range(count)]
        changes = changes or {}
        for member in self.members:
            for number, other in enumerate(self.members):
                member.harness.add_endpoint(f"m-{number}", "llm", 180, domain=other.region)
                record = member.tables.endpoints[f"m-{number}"]
                address = Address(other.host, record.address.port)
                member.tables.endpoints[f"m-{number}"] = replace(record, address=address)
            member.rollout.refresh()
        for number, member in enumerate(self.members):
            for other_number, other in enumerate(self.members[:number]):
                self._join(member, other, changes.get(number), changes.get(other_number))

    def _join(self, member, other, change, other_change):
        forth = Stream(self.clock, member, other, change or keep)
        back = Stream(self.clock, other, member, other_change or keep)
        forth.reverse, back.reverse = back, forth
        member.rollout.stream_opened(forth)
        other.rollout.stream_opened(back)

    def publish(self, version=2):
        """Publish a version, and start the agents if they have not started yet."""
        for member in self.members:
            published = member.tables.wanted_versions.setdefault("m", [])
            published.append(WantedVersion("m", version, self.clock.seconds()))
            member.rollout.refresh()
            if not member.rollout._loop.running:
                member.rollout.start(1)

    def run_until_loaded(self, members, version, seconds):
        """Run until the engines of `members` serve a version; return after how long, or None."""
        for tick in range(round(seconds / TICK_SECONDS)):
            if all(member.engine.version == version for member in members):
                return tick * TICK_SECONDS
            self.clock.advance(TICK_SECONDS)
        return None


def keep(message):
    """Pass a message on unchanged."""
    return message


def lose_origin(error="reset"):
    """Return an answer of an origin that has reset the connection."""
    return PortError(error)
