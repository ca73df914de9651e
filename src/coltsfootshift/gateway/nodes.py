"""What the gateway's processes, the entry and the agent, have in common."""

from __future__ import annotations

import gc
import signal
import sys
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import partial
from math import inf, isfinite
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.web.resource import Resource
from twisted.web.server import Site

from coltsfootshift.gateway.beliefs import BeliefAnswer, SharedBeliefs
from coltsfootshift.gateway.fleet import FleetObserver, FleetTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.settings_reload import SettingsReloader
from coltsfootshift.gateway.stopping import StopSchedule
from coltsfootshift.gateway.table_cache import (
    ItemDecoder,
    Table,
    TableCache,
)
from coltsfootshift.ids import (
    FailureDomain,
    InstanceId,
    Purpose,
    Role,
    make_incarnation,
)
from coltsfootshift.keys import KeyRing
from coltsfootshift.logs import get_logger, set_up_bounded_logs
from coltsfootshift.loop import end_process
from coltsfootshift.messages import ColdReport, EngineNotice, Hello, Message, WarmReport
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import EXIT_CANNOT_LISTEN, Address, StreamTiming
from coltsfootshift.streams import StreamContext, StreamListener

__all__ = ["GatewayNode", "NodeConfig"]

# The platform provides no shared secret; this placeholder gives no protection (docs/PLATFORM.md).
PLACEHOLDER_SECRET = "the platform gives its processes no secret"
DRAIN_CHECK_INTERVAL_SECONDS = 0.1
STARTUP_SECONDS = 1.0  # interpreter start and imports take 0.5 s on a shared machine
INTERPRETER_SECONDS = 0.3  # from the start of the process to the first line of the program
# The settings file may change without a signal, and what it names must be in force within 2 s.
SETTINGS_CHECK_SECONDS = 0.5
# A change must be in force within 2 s, so a lost peer must be detected and redialled within that.
# After a loss of the whole fleet agents are started some tenths of a second before entries listen,
# and each later dial delays the return of the engines. Dials to a machine without power take the
# whole time-out, so that they are no more frequent.
PEER_TIMING = StreamTiming(
    heartbeat=0.5, silence=1.5, connect_timeout=1.0, retry_first=0.05, retry_most=0.25
)
MILLISECONDS_PER_SECOND = 1000

logger = get_logger("gateway.node")


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The identity, location and addresses of a process.

    `peers` is the address on which it listens for peers, and `stop_within` the time in seconds
    from the stop signal until the platform kills the process. `began_at` is when the program
    began, in seconds of the reactor's clock; infinite if unknown.
    """

    instance: InstanceId
    peers: Address
    region: str
    failure_domain: FailureDomain
    seeds: tuple[Address, ...]
    stop_within: float
    metrics_port: int
    began_at: float = inf

    def find_start(self, now: float) -> float:
        """Return when the platform has started the process, or a little before.

        The imports of a slow or busy machine take seconds.
        """
        return min(now - STARTUP_SECONDS, self.began_at - INTERPRETER_SECONDS)


class GatewayNode(FleetObserver, ABC):
    """The base of entry and agent: streams to entries, table cache, logs, metrics, draining."""

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
        self.tables = TableCache(decoder, config.find_start(reactor.seconds()))
        self.roster = roster
        self.beliefs = SharedBeliefs(self.choose_judging_start())
        self.settings: SettingsReloader | None = None
        self.stop_schedule: StopSchedule | None = None
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
            self.metrics.add_gauge(
                f"{table.value}_age_seconds", partial(self._measure_gauge_age, table)
            )
        self.metrics.add_gauge("entries_live", lambda: float(roster.count_live()))
        self.metrics.add_gauge("entry_rows_outdated", lambda: float(roster.outdated_count))
        own = config.peers if listens_for_entries else None
        self.fleet = FleetTask(
            self.context, self.tables, roster, list(config.seeds), own, self, self.rng
        )

    def run(self) -> None:
        """Run the reactor until the process has drained and stopped.

        Exits with status 3 if a port cannot be opened. The reactor logs exceptions of functions
        that it calls and runs on, so the ports are opened before it runs.
        """
        set_up_bounded_logs("INFO", self.config.instance)
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.leave))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.leave))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        try:
            self.start()
        except CannotListenError as error:
            address = {"host": error.interface, "port": error.port}
            cause = str(error.socketError)
            logger.error("cannot listen, process ends", extra={**address, "cause": cause})
            sys.exit(EXIT_CANNOT_LISTEN)
        # What was imported and made at the start stays; the collector need not visit it again.
        gc.collect()
        gc.freeze()
        self.reactor.run(installSignalHandlers=False)
        end_process()

    def start(self) -> None:
        """Open the ports and start the tasks."""
        peers = self.config.peers
        self.reactor.listenTCP(peers.port, self.listener, interface=peers.host)
        page = Site(_MetricsPage(self.metrics))
        self.reactor.listenTCP(self.config.metrics_port, page, interface=peers.host)
        self.start_role()
        self.fleet.start()
        self.reactor.callLater(SETTINGS_CHECK_SECONDS, self._check_settings)
        logger.info("started", extra={"role": self.role.value, "incarnation": self._incarnation})

    def leave(self) -> None:
        """Stop accepting work, finish the work in flight, then stop the process."""
        if self.stop_schedule is not None:
            return
        schedule = StopSchedule(self.reactor.seconds(), self.config.stop_within)
        self.stop_schedule = schedule
        unfinished = self.count_unfinished()
        logger.info("leaving", extra={"unfinished": unfinished, "within": self.config.stop_within})
        self.stop_new_work(schedule)
        self._check_drained(schedule)

    def reload(self) -> None:
        """Read the settings file now, and dial the seeds that it names."""
        if self.settings is not None:
            self.fleet.set_seeds(list(self.settings.reload()))

    def stop_role(self) -> None:
        """Break off what is unfinished; stop what would log closed connections as a fault."""

    def roster_changed(self) -> None:
        """Ignore roster changes; only entries share limits with other entries."""

    def engine_status_received(self, notice: EngineNotice, transit_delay: float) -> None:
        """Ignore reports of engines; only entries route requests to them."""

    def choose_judging_start(self) -> float:
        """Return from when on this process decides what crashes endpoints: never, by default."""
        return inf

    def list_beliefs(self) -> list[Message]:
        """Return what a new peer has to know of endpoints.

        Agents keep it as well, so that entries that have all restarted learn it from them.
        """
        return self.beliefs.list_messages(self.reactor.seconds())

    def belief_received(self, message: Message, peer: InstanceId) -> BeliefAnswer:
        """Merge what a peer knows of endpoints; only entries place requests on cold ones."""
        if isinstance(message, (ColdReport, WarmReport)):
            return BeliefAnswer()
        return self.beliefs.receive(message, peer, self.reactor.seconds())

    @abstractmethod
    def start_role(self) -> None:
        """Start the components that are specific to the role."""

    @abstractmethod
    def stop_new_work(self, schedule: StopSchedule) -> None:
        """Stop accepting new work, and end the work in flight in time."""

    @abstractmethod
    def count_unfinished(self) -> int:
        """Return the number of requests in flight."""

    @abstractmethod
    def can_stop(self, schedule: StopSchedule, now: float) -> bool:
        """Return whether the process can stop before the end of the time that it has."""

    def _check_settings(self) -> None:
        """Read the settings file again and again; an unexpected error does not end this."""
        self.reactor.callLater(SETTINGS_CHECK_SECONDS, self._check_settings)
        if self.settings is None:
            return
        seeds = self.settings.check()
        if seeds is not None:
            self.fleet.set_seeds(list(seeds))

    def _check_drained(self, schedule: StopSchedule) -> None:
        now = self.reactor.seconds()
        overrun = now >= schedule.stop_by
        if not overrun and not self.can_stop(schedule, now):
            interval = min(DRAIN_CHECK_INTERVAL_SECONDS, schedule.stop_by - now)
            self.reactor.callLater(interval, self._check_drained, schedule)
            return
        unfinished = self.count_unfinished()
        self.stop_role()
        # What the reactor still reads in its next iteration is answered in the one after that, in
        # which it also aborts connections.
        self.reactor.callLater(0, self.reactor.callLater, 0, self._stop, unfinished, overrun)

    def _stop(self, unfinished: int, overrun: bool) -> None:
        logger.info("stopped", extra={"unfinished": unfinished, "overrun": overrun})
        self.reactor.stop()

    def _measure_gauge_age(self, table: Table) -> float:
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


class _MetricsPage(Resource):
    isLeaf = True

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.render_text().encode()
