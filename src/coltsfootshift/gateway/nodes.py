"""The two processes of the gateway: an entry before callers, an agent beside an engine."""

from __future__ import annotations

import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import isfinite
from random import Random
from typing import Any, Protocol

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import Site

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.errors import SettingsError
from coltsfootshift.gateway.callers import CallerFactory
from coltsfootshift.gateway.calls import Dialect
from coltsfootshift.gateway.engines import LocalEngine, VersionOrigin
from coltsfootshift.gateway.fleet import FleetObserver, FleetTask, make_entry_row
from coltsfootshift.gateway.knowledge import (
    EngineStatus,
    ItemDecoder,
    Table,
    TableAnswer,
    TableCache,
    TableConsumer,
)
from coltsfootshift.gateway.rollout import RolloutTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.service import Gateway, GatewayBounds
from coltsfootshift.ids import (
    FailureDomain,
    InstanceId,
    Purpose,
    Role,
    ServiceName,
    make_incarnation,
)
from coltsfootshift.keys import KeyRing
from coltsfootshift.logs import get_logger, set_up_bounded_logs
from coltsfootshift.messages import EngineNotice, Hello
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address, StreamTiming
from coltsfootshift.streams import StreamContext, StreamListener

__all__ = ["GatewayAgent", "GatewayEntry", "GatewayNode", "NodeConfig", "TableSource"]

PLACEHOLDER_SECRET = (
    "the platform gives its processes no secret"  # a label, no protection (docs/PLATFORM.md)
)
ACCEPT_AFTER_LEAVING_SECONDS = 4.0  # callers that kept an address come for about two answers' lives
STOP_MARGIN_SECONDS = 0.7  # before the platform kills the process
DRAIN_CHECK_INTERVAL_SECONDS = 0.1
STARTUP_SECONDS = 1.0  # an interpreter and its imports take half a second on a machine's share
# Readers confirm every 1.5 s and tell it every 0.5 s; a leaving endpoint must be known in 2 s.
MAX_RELAYED_AGE_SECONDS = 1.8
# A change has two seconds to be in force, so a lost peer shows and is dialled again within that.
PEER_TIMING = StreamTiming(heartbeat=0.5, silence=1.5, connect_timeout=1.0, retry_most=1.0)
MILLISECONDS_PER_SECOND = 1000

logger = get_logger("gateway.node")


class TableSource(Protocol):
    """Reads the platform's tables until it is stopped."""

    def start(self) -> None: ...

    def stop(self) -> None: ...


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Who a process is and where; `peers` is where it listens for peers."""

    instance: InstanceId
    peers: Address
    region: str
    failure_domain: FailureDomain
    seeds: tuple[Address, ...]
    stop_within: float
    metrics_port: int


class GatewayNode(FleetObserver, ABC):
    """What both processes share: streams to entries, the tables, logs, metrics, the way to stop."""

    role: Role

    def __init__(
        self,
        reactor: Any,
        config: NodeConfig,
        decoder: ItemDecoder,
        roster: Roster,
        listens_for_entries: bool,
    ) -> None:
        self.reactor = reactor
        self.config = config
        self.metrics = Metrics()
        self.tables = TableCache(decoder, reactor.seconds() - STARTUP_SECONDS)
        self.roster = roster
        self.read_seeds: Callable[[], tuple[Address, ...]] | None = None
        self.leaving_since: float | None = None
        self.started_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        self._incarnation = make_incarnation()
        self.rng = Random(self._incarnation)
        self.context = StreamContext(
            reactor,
            PEER_TIMING,
            self.metrics,
            self._make_hello,
            KeyRing.make(PLACEHOLDER_SECRET),
            source=config.peers.host,
        )
        self.listener = StreamListener(self.context)
        for table in Table:
            self.metrics.add_gauge(f"{table.value}_age_seconds", partial(self._read_age, table))
        self.metrics.add_gauge("entries_live", lambda: float(roster.count_live()))
        own = config.peers if listens_for_entries else None
        self.fleet = FleetTask(
            self.context, self.tables, roster, list(config.seeds), own, self, self.rng
        )

    def run(self) -> None:
        """Run until the process has left."""
        set_up_bounded_logs("INFO", self.config.instance)
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.leave))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.leave))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)

    def start(self) -> None:
        """Open the ports and start the tasks."""
        peers = self.config.peers
        self.reactor.listenTCP(peers.port, self.listener, interface=peers.host)
        page = Site(_MetricsPage(self.metrics))
        self.reactor.listenTCP(self.config.metrics_port, page, interface=peers.host)
        self.start_role()
        self.fleet.start()
        logger.info("started", extra={"role": self.role.value, "incarnation": self._incarnation})

    def leave(self) -> None:
        """Take no new work, finish what is in progress, then stop."""
        if self.leaving_since is not None:
            return
        self.leaving_since = self.reactor.seconds()
        logger.info("leaving", extra={"unfinished": self.count_unfinished()})
        self.stop_new_work()
        self._check_drained()

    def reload(self) -> None:
        """Read the settings again; only the seeds may change while a process runs."""
        if self.read_seeds is None:
            return
        try:
            seeds = self.read_seeds()
        except SettingsError as error:
            logger.error("reload failed, settings kept", extra={"cause": str(error)})
            return
        self.fleet.set_seeds(list(seeds))
        rows = [f"{seed.host}:{seed.port}" for seed in seeds]
        logger.info("settings read again", extra={"seeds": rows})

    def stop_role(self) -> None:
        """Stop what would report the end of its connections as a fault."""

    def roster_changed(self) -> None:
        """Nothing follows for a process that only listens."""

    def engine_status_received(self, notice: EngineNotice) -> None:
        """Nothing follows for a process without callers."""

    @abstractmethod
    def start_role(self) -> None:
        """Start what only this role has."""

    @abstractmethod
    def stop_new_work(self) -> None:
        """Take no new work from now on."""

    @abstractmethod
    def count_unfinished(self) -> int:
        """Return how many pieces of work are in progress."""

    @abstractmethod
    def may_stop(self, left_for: float) -> bool:
        """Return whether the process may stop, `left_for` seconds after it began to leave."""

    def _check_drained(self) -> None:
        assert self.leaving_since is not None
        left_for = self.reactor.seconds() - self.leaving_since
        overrun = left_for >= self.config.stop_within - STOP_MARGIN_SECONDS
        if not overrun and not self.may_stop(left_for):
            self.reactor.callLater(DRAIN_CHECK_INTERVAL_SECONDS, self._check_drained)
            return
        self.stop_role()
        logger.info("stopped", extra={"unfinished": self.count_unfinished(), "overrun": overrun})
        self.reactor.stop()

    def _read_age(self, table: Table) -> float:
        age = self.tables.measure_age(table, self.reactor.seconds())
        return round(age, 3) if isfinite(age) else -1.0

    def _make_hello(self, purpose: Purpose) -> Hello:
        return Hello(
            instance=self.config.instance,
            incarnation=self._incarnation,
            role=self.role.value,
            purpose=purpose.value,
            service="",
            region=self.config.region,
            failure_domain=self.config.failure_domain,
            sent_at=self.reactor.seconds(),
        )


class GatewayEntry(GatewayNode, TableConsumer):
    """Callers' door, directory and placement."""

    role = Role.ENTRY

    def __init__(
        self,
        reactor: Any,
        config: NodeConfig,
        decoder: ItemDecoder,
        dialect: Dialect,
        callers: Address,
        bounds: GatewayBounds,
    ) -> None:
        started_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        row = make_entry_row(
            config.instance, started_ms, config.peers, callers, config.region, config.failure_domain
        )
        super().__init__(reactor, config, decoder, Roster(row), listens_for_entries=True)
        self.source: TableSource | None = None
        self.sites: list[tuple[Address, Site]] = []
        self.gateway = Gateway(
            reactor,
            self.tables,
            dialect,
            config.failure_domain,
            config.peers.host,
            bounds,
            self.metrics,
            self.rng,
        )
        self._callers = callers
        self._factory = CallerFactory(self.gateway, reactor)
        self._port: Any = None

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.tables.complete and self.leaving_since is None

    def list_caller_addresses(self, domain: str, region: str) -> list[Address]:
        """Return where callers of a place may connect."""
        return self.roster.list_caller_addresses(domain, region, self.rng)

    def choose_start_revision(self, table: Table) -> int | None:
        """Return the revision held; None for endpoints while other entries confirm them.

        Every entry reads the operator's table itself, so that a change is in force in time
        whatever becomes of other entries.
        """
        age = self.tables.measure_age(table, self.reactor.seconds())
        told = table is Table.ENDPOINTS and age < MAX_RELAYED_AGE_SECONDS
        if told and not self.roster.is_reader():
            return None
        return self.tables.get_revision(table)

    def handle_answer(self, answer: TableAnswer) -> None:
        """Take an answer of the store."""
        if self.tables.apply(answer, self.reactor.seconds()):
            self.tables_changed()
            self.fleet.announce()

    def tables_changed(self) -> None:
        """Bring the tables into force."""
        self.gateway.refresh()
        self._tell_ready()

    def roster_changed(self) -> None:
        """Share connections and the budget of retries with the entries that are live."""
        self.gateway.set_entry_count(self.roster.count_live())

    def engine_status_received(self, notice: EngineNotice) -> None:
        """Take what an agent says of its engine before the store lists it."""
        now = self.reactor.seconds()
        note = EngineStatus(notice.born, notice.model, notice.version, notice.loading, now)
        self.gateway.update_engine_status(Address(notice.host, notice.port), note)

    def start_role(self) -> None:
        """Listen for peers, callers and questions; follow the store."""
        self.listener.register(Purpose.ENTRIES, self.fleet)
        for address, site in self.sites:
            self.reactor.listenTCP(address.port, site, interface=address.host)
        self._port = self.reactor.listenTCP(
            self._callers.port, self._factory, backlog=512, interface=self._callers.host
        )
        self.gateway.start()
        assert self.source is not None
        self.source.start()

    def stop_new_work(self) -> None:
        """Tell all peers, and close what carries no request."""
        self.gateway.leaving_since = self.leaving_since
        self._tell_ready()
        self.reactor.callLater(ACCEPT_AFTER_LEAVING_SECONDS, self._stop_listening)

    def stop_role(self) -> None:
        """Read the store no more."""
        if self.source is not None:
            self.source.stop()

    def count_unfinished(self) -> int:
        """Return how many calls have no final answer yet."""
        return self.gateway.unfinished

    def may_stop(self, left_for: float) -> bool:
        """Stop once callers have had time to go elsewhere and all answers are out."""
        return (
            left_for > ACCEPT_AFTER_LEAVING_SECONDS + DRAIN_CHECK_INTERVAL_SECONDS
            and not self.gateway.unfinished
        )

    def _stop_listening(self) -> None:
        self._port.stopListening()
        self._factory.close_idle()

    def _tell_ready(self) -> None:
        own = self.roster.own
        assert own is not None
        leaving = self.leaving_since is not None
        if (own.ready, own.leaving) == (self.ready, leaving):
            return
        self.roster.own = msgspec.structs.replace(own, ready=self.ready, leaving=leaving)
        logger.info("readiness changed", extra={"ready": self.ready, "leaving": leaving})
        self.fleet.announce()


class GatewayAgent(GatewayNode):
    """Brings weights to the engine on its own machine."""

    role = Role.AGENT

    def __init__(
        self,
        reactor: Any,
        config: NodeConfig,
        decoder: ItemDecoder,
        engine: LocalEngine,
        engine_address: Address,
        make_origin: Callable[[Address], VersionOrigin],
        service: ServiceName,
        regions: dict[str, str],
        link_mbps: float,
        version_within: float,
    ) -> None:
        super().__init__(reactor, config, decoder, Roster(None), listens_for_entries=False)
        self._engine_address = engine_address
        self.rollout = RolloutTask(
            self.context,
            self.tables,
            engine,
            make_origin,
            config.peers,
            service,
            Location(config.region, config.failure_domain),
            regions,
            link_mbps,
            version_within,
            self.metrics,
            self.rng,
            self._tell_entries,
        )

    def tables_changed(self) -> None:
        """Bring the wanted version to the engine."""
        self.rollout.refresh()

    def start_role(self) -> None:
        """Listen for other agents."""
        self.listener.register(Purpose.WEIGHTS, self.rollout)
        self.rollout.start(self.started_ms)

    def stop_new_work(self) -> None:
        """Chunks that are on their way are asked for elsewhere."""

    def count_unfinished(self) -> int:
        """Nothing of an agent must be finished before it stops."""
        return 0

    def may_stop(self, left_for: float) -> bool:
        """An agent may stop at once."""
        return True

    def _tell_entries(self, model: str, version: int, loading: bool, born: int) -> None:
        address = self._engine_address
        notice = EngineNotice(
            address.host, address.port, born, model, version, loading, self.reactor.seconds()
        )
        self.fleet.send_engine_status(notice)


class _MetricsPage(Resource):
    isLeaf = True

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.render_text().encode()
