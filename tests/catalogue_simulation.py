"""Entries of several regions that follow a catalogue, on a simulated clock, store and network."""

from __future__ import annotations

import json
from functools import partial
from random import Random

from coltsfootshift_platform.dialect import PlatformDialect
from coltsfootshift_platform.items import StoreItemDecoder
from gateway_harness import BOUNDS
from platform_standins import make_config
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.entry_node import GatewayEntry
from coltsfootshift.gateway.nodes import NodeConfig
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TablePosition
from coltsfootshift.gateway.table_reader import StoreError, TableReader
from coltsfootshift.ids import FailureDomain, InstanceId, Role
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

STEP_SECONDS = 0.02
STORE_SECONDS = 0.004
REGION_DELAY_SECONDS = 0.003
BASE64_SHARE = 4 / 3
# What an entry needs after a disturbance of its own before it is held to the bounds.
CONTACT_SECONDS = 3.0
STORE_REGION = "north"


def make_catalogue_value(version, routes):
    names = [f"route-{number}" for number in range(routes)]
    return json.dumps(make_config(version, "10.0.0.2:90", names)).encode()


class _Stream:
    """One end of a stream; what is sent on it arrives at the other end over a link."""

    transit_delay = 0.0
    max_transit_seconds = 0.0
    peer_role = Role.ENTRY.value

    def __init__(self, simulation, own, peer):
        self._simulation = simulation
        self.own, self.peer = own, peer
        self.peer_id = InstanceId(peer.name)
        self.peer_incarnation = peer.incarnation
        self.peer_is_near = own.region == peer.region
        self.open = True

    def send(self, message):
        frame = encode_message(message)
        deliver = partial(self._deliver, frame)
        self._simulation.transfer(self.own, self.peer, len(frame), deliver)

    def set_needed(self, needed):
        pass

    def abort(self, reason):
        self.open = False

    def _deliver(self, frame):
        other = self.peer.streams.get(self.own.name)
        if other is not None and other.peer_incarnation == self.own.incarnation:
            self.peer.entry.fleet.stream_received(other, decode_message(frame))


class _NodeClock:
    """The clock of a node: what is due while it is frozen happens when it runs again."""

    def __init__(self, node):
        self.seconds = node.simulation.clock.seconds
        self.callLater = self._call_later
        self._node = node

    def _call_later(self, seconds, function, *args):
        action = partial(function, *args)
        clock = self._node.simulation.clock
        return clock.callLater(seconds, self._node.when_running, action)


class _Reader(TableReader):
    """Reads the simulated store, as `StoreWatcher` does that of the platform."""

    def __init__(self, node):
        super().__init__(_NodeClock(node), node.entry, Metrics(), node.simulation.rng)
        self._node = node

    async def fetch_table(self, table, request):
        return await self._node.simulation.store.read(self._node, table, TablePosition(), 0.0)

    async def fetch_changes(self, table, after, wait, request):
        answer = await self._node.simulation.store.read(self._node, table, after, wait)
        if answer.era != after.era:
            older = answer.era < after.era
            raise StoreError("another era", answered=older, history_lost=not older)
        return answer

    async def fetch_probe(self, request):
        await self._node.simulation.store.read(self._node, None, TablePosition(), 0.0)

    async def close_connections(self, request):
        pass


class Node:
    """One entry and what happens to it: `frozen` and `cut` (from the store) until a time."""

    def __init__(self, simulation, name, region):
        self.simulation, self.name, self.region = simulation, name, region
        self.streams = {}
        self.incarnation = "1"
        self.frozen_until = self.cut_until = self.dead_until = 0.0
        self.waiting = []
        self.disturbed_until = 0.0
        self.starts = 0
        self.reader = None
        self.start()

    @property
    def version(self):
        catalogue = self.entry.tables.catalogue
        return catalogue.version if catalogue else 0

    def start(self):
        address = Address(f"10.0.0.{len(self.name)}", 1)
        config = NodeConfig(
            InstanceId(self.name), address, self.region, FailureDomain(self.region), (), 8.0, 3
        )
        clock = self.simulation.clock
        self.entry = GatewayEntry(
            clock, config, StoreItemDecoder(), PlatformDialect(), address, BOUNDS
        )
        self.entry.fleet._choose_peers = lambda: None
        self.starts += 1
        self.reader = _Reader(self)
        self.simulation.call_later(0.0, partial(self.when_running, self.reader.start))
        self.simulation.call_later(0.0, lambda number=self.starts: self.tick(number))

    def runs(self):
        now = self.simulation.clock.seconds()
        return now >= max(self.frozen_until, self.dead_until)

    def when_running(self, action):
        """Perform an action now, or when the process runs again."""
        if self.runs():
            action()
        else:
            self.waiting.append(action)

    def tick(self, number):
        if number == self.starts:
            self.when_running(self.entry.fleet._tick)
            self.simulation.call_later(0.5, lambda: self.tick(number))


class Store:
    """The store in the first region: revisions, eras, answers after a wait or a change."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.history = []
        self.era, self.revision = 1, 1
        self.down_until = 0.0

    def put(self, version, routes):
        self.revision += 1
        value = make_catalogue_value(version, routes)
        self.history.append(Item("op/config", self.revision, value, self.era))

    def restore(self, count):
        """Come back from a copy that lacks the last `count` changes."""
        del self.history[-count:]
        self.era += 1
        self.revision = self.history[-1].revision
        self.history = [Item(i.key, i.revision, i.value, self.era) for i in self.history]

    def read(self, node, table, position, wait):
        """Return the answer, once there is a change or another era, or at the end of the wait.

        A request that is under way in an outage gets no answer, also after it. `table` is None for
        a probe. The table of endpoints is empty.
        """
        done = Deferred()
        until = self.simulation.clock.seconds() + wait
        self._answer(done, node, table, position, until)
        return done

    def _answer(self, done, node, table, position, until):
        clock = self.simulation.clock
        if done.called or clock.seconds() < max(node.cut_until, self.down_until):
            return
        whole = not position.revision or position.era != self.era
        items = []
        if table is Table.OPERATOR:
            items = [item for item in self.history if whole or item.revision > position.revision]
            items = items[-1:] if whole else items
        if not items and not whole and clock.seconds() < until:
            again = partial(self._answer, done, node, table, position, until)
            self.simulation.call_later(STEP_SECONDS, again)
            return
        size = 100 + sum(int(len(item.value) * BASE64_SHARE) for item in items)
        answer = TableAnswer(table, tuple(items), self.revision, whole, clock.seconds(), self.era)

        def deliver():
            if not done.called:
                done.callback(answer)

        send = partial(self.simulation.transfer, None, node, size, deliver)
        self.simulation.call_later(STORE_SECONDS, send)


class Simulation:
    """Entries `north-1`, ... with a store in the north; links between regions in Mbit/s."""

    def __init__(self, regions, mbps=12.5, seed=1):
        self.clock = MemoryReactorClock()
        self.rng = Random(seed)
        self.mbps = mbps
        self.link_free_at = {}
        self.store = Store(self)
        self.nodes = []
        for region, count in regions.items():
            for number in range(count):
                self.nodes.append(Node(self, f"{region}-{number}", region))
        for node in self.nodes:
            self.connect(node)

    def call_later(self, seconds, action):
        self.clock.callLater(seconds, action)

    def transfer(self, source, target, size, deliver):
        """Deliver after the delay of the link, behind what is on it already."""
        region = source.region if source else STORE_REGION
        now = arrives = self.clock.seconds()
        if source is not None and not source.runs():
            return
        if region != target.region:
            link = (region, target.region)
            begins = max(now, self.link_free_at.get(link, 0.0))
            arrives = begins + size * 8 / (self.mbps * 1e6)
            self.link_free_at[link] = arrives
            arrives += REGION_DELAY_SECONDS
        self.call_later(arrives - now, lambda: target.when_running(deliver))

    def connect(self, node):
        """Open streams between a node that has started and all others."""
        for other in self.nodes:
            if other is node:
                continue
            for own, peer in ((node, other), (other, node)):
                former = own.streams.pop(peer.name, None)
                if former is not None:
                    own.entry.fleet.stream_closed(former, "lost")
            for own, peer in ((node, other), (other, node)):
                own.streams[peer.name] = _Stream(self, own, peer)
            for own, peer in ((node, other), (other, node)):
                own.when_running(
                    lambda own=own, peer=peer: own.entry.fleet.stream_opened(own.streams[peer.name])
                )

    def freeze(self, node, seconds):
        node.frozen_until = self.clock.seconds() + seconds
        self._disturb(node, seconds)

    def cut_from_store(self, node, seconds):
        node.cut_until = self.clock.seconds() + seconds
        self._disturb(node, seconds)

    def restart(self, node, seconds):
        """Kill a node, and start it again later."""
        node.dead_until = self.clock.seconds() + seconds
        node.starts += 1
        node.reader.stop()
        self._disturb(node, seconds)
        for other in self.nodes:
            former = other.streams.pop(node.name, None)
            if former is not None:
                other.entry.fleet.stream_closed(former, "lost")
        node.streams.clear()
        self.call_later(seconds, lambda: self._start_again(node))

    def advance(self, seconds):
        ends_at = self.clock.seconds() + seconds
        while self.clock.seconds() < ends_at - STEP_SECONDS / 2:
            self.clock.advance(STEP_SECONDS)
            for node in self.nodes:
                if node.waiting and node.runs():
                    waiting, node.waiting = node.waiting, []
                    for action in waiting:
                        action()

    def list_in_touch(self):
        """Return the nodes that are held to the bounds now."""
        now = self.clock.seconds()
        return [node for node in self.nodes if now >= node.disturbed_until + CONTACT_SECONDS]

    def _disturb(self, node, seconds):
        node.disturbed_until = max(node.disturbed_until, self.clock.seconds() + seconds)

    def _start_again(self, node):
        node.incarnation += "1"
        node.waiting.clear()
        node.start()
        self.connect(node)
