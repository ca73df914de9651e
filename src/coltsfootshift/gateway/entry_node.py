"""The entry: the process that callers connect to."""

from __future__ import annotations

import time
from collections.abc import Mapping
from math import inf, isfinite
from typing import Any, Protocol

import msgspec
from twisted.web.server import Site

from coltsfootshift.gateway.beliefs import BeliefAnswer
from coltsfootshift.gateway.callers import CallerFactory
from coltsfootshift.gateway.calls import Dialect
from coltsfootshift.gateway.crashes import SURVIVAL_MEMORY_SECONDS
from coltsfootshift.gateway.directory_homes import DirectoryHomes
from coltsfootshift.gateway.endpoint_list import ENGINE_STATUS_TTL_SECONDS, EngineStatus
from coltsfootshift.gateway.entry_view import EntryView, SeedContact
from coltsfootshift.gateway.fleet import make_entry_row
from coltsfootshift.gateway.introductions import AgentIntroductions
from coltsfootshift.gateway.nodes import (
    DRAIN_CHECK_INTERVAL_SECONDS,
    MILLISECONDS_PER_SECOND,
    GatewayNode,
    NodeConfig,
)
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.service import Gateway, GatewayBounds
from coltsfootshift.gateway.stopping import StopSchedule
from coltsfootshift.gateway.table_cache import (
    ItemDecoder,
    Table,
    TableAnswer,
    TableConsumer,
    TablePosition,
)
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import ColdReport, EngineNotice, EntryRow, Message, WarmReport
from coltsfootshift.settings import Address

__all__ = ["GatewayEntry", "TableSource"]

# Readers confirm the table with the store every 1.5 s and gossip every 0.5 s; all entries must
# learn of a leaving endpoint within 2 s.
MAX_RELAYED_AGE_SECONDS = 1.8
# In each region one entry reads the catalogue itself sooner than the others, if nobody confirms it.
MAX_FIRST_RELAYED_AGE_SECONDS = 1.5
# A process that starts hears from its peers within some round trips whether they have a catalogue,
# and has it from them soon after.
STARTUP_CONTACT_SECONDS = 0.05
STARTUP_PEER_SECONDS = 0.3

logger = get_logger("gateway.node")


class TableSource(Protocol):
    """Reads the platform's tables until it is stopped."""

    def start(self) -> None: ...

    def stop(self) -> None: ...


class GatewayEntry(GatewayNode, TableConsumer):
    """Accepts callers' requests, places them on endpoints and answers directory queries.

    `agent_port` is the port on which the agents beside model engines listen for peers, if there are
    any.
    """

    role = Role.ENTRY

    def __init__(
        self,
        reactor: Any,
        config: NodeConfig,
        decoder: ItemDecoder,
        dialect: Dialect,
        callers: Address,
        bounds: GatewayBounds,
        regions: Mapping[str, str] | None = None,
        agent_port: int | None = None,
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
            self.beliefs,
            regions,
        )
        self.gateway.notify_peers = self.fleet.notify_peers
        self.gateway.cold.notify_peers = self.fleet.notify_peers
        self.gateway.cold.read_entries = self._read_entries
        self.gateway.cold.view = EntryView(config.instance, reactor.seconds())
        self._introductions: AgentIntroductions | None = None
        if agent_port is not None:
            self._introductions = AgentIntroductions(
                self.context,
                self.tables,
                self.fleet,
                agent_port,
                regions or {},
                lambda: self.stop_schedule is not None,
                self.rng,
            )
        self._started_at = reactor.seconds()
        self._store_seconds = inf
        self._directory_homes = DirectoryHomes()
        self._callers = callers
        self._caller_factory = CallerFactory(self.gateway, reactor)
        self._port: Any = None
        self._closed_idle_at = inf

    @property
    def ready(self) -> bool:
        """Whether the directory may list this entry to callers."""
        return self.tables.complete and self.stop_schedule is None

    def list_caller_addresses(self, domain: str, region: str, host: str = "") -> list[Address]:
        """Return the addresses of entries for a host's callers in a failure domain and region."""
        listed = self._directory_homes.find(self.tables.catalogue, host, region)
        return self.roster.list_caller_addresses(domain, region, self.rng, listed)

    def choose_start(self, table: Table) -> TablePosition | None:
        """Return the cached position, or None if other entries keep the table up to date.

        Only the readers of the roster read a table, unless their confirmations stop arriving. Of
        the catalogue, whose answers are large, a process that starts first asks its peers.
        """
        now = self.reactor.seconds()
        age = self.tables.measure_age(table, now)
        if table is Table.ENDPOINTS:
            reads = self.roster.is_reader() or age >= MAX_RELAYED_AGE_SECONDS
        elif self._awaits_first_catalogue(now):
            reads = False
        else:
            reads = self.roster.is_catalogue_reader() or age >= self._get_max_relayed_age()
        return self.tables.get_position(table) if reads else None

    def record_contact(self, reached: bool, seconds: float = inf) -> None:
        """Announce how soon the store answers this entry, by which the readers are chosen."""
        self._store_seconds = min(self._store_seconds, seconds)
        store_ms = None
        if reached and isfinite(self._store_seconds):
            store_ms = round(self._store_seconds * MILLISECONDS_PER_SECOND, 1)
        own = self.roster.own
        assert own is not None
        if own.store_ms == store_ms:
            return
        self.roster.own = msgspec.structs.replace(own, store_ms=store_ms)
        logger.info("distance to the store changed", extra={"milliseconds": store_ms})
        self.fleet.announce()

    def count_readers(self) -> int:
        """Return the number of live entries: all of them read while the store is lost."""
        return self.roster.count_live()

    def reads_store(self, table: Table) -> bool:
        """Return whether this entry is to read a table from the store now."""
        return self.choose_start(table) is not None

    def expects_answer(self, table: Table) -> bool:
        """Return whether this entry reads a table from a store that answers it."""
        own = self.roster.own
        return own is not None and own.store_ms is not None and self.reads_store(table)

    def handle_answer(self, answer: TableAnswer) -> None:
        """Apply an answer of the store; announce it to the peers if it changed the tables."""
        if self.tables.apply(answer, self.reactor.seconds()):
            self.tables_changed()
            self.fleet.announce()

    def _awaits_first_catalogue(self, now: float) -> bool:
        """Return whether a peer may send the first catalogue sooner than the store would."""
        elapsed = now - self._started_at
        if elapsed < STARTUP_CONTACT_SECONDS:
            return True
        return elapsed < STARTUP_PEER_SECONDS and self.fleet.knows_of_changes(Table.OPERATOR)

    def _get_max_relayed_age(self) -> float:
        first = self.roster.is_first_of_region()
        return MAX_FIRST_RELAYED_AGE_SECONDS if first else MAX_RELAYED_AGE_SECONDS

    def tables_changed(self) -> None:
        """Apply the changed tables to routing and update readiness."""
        self.gateway.refresh()
        self._publish_readiness()

    def roster_changed(self) -> None:
        """Divide connections, limits and the retry budget among the live entries."""
        names = [row.instance for row in self.roster.list_rows()]
        self.gateway.set_entries(self.config.instance, names)

    def engine_status_received(self, notice: EngineNotice, transit_delay: float) -> None:
        """Apply an agent's report of its engine, unless the store's record is newer by now."""
        if transit_delay > ENGINE_STATUS_TTL_SECONDS:
            row = {"host": notice.host, "version": notice.version, "age": round(transit_delay, 3)}
            logger.info("late report of an engine ignored", extra=row)
            return
        sent_at = self.reactor.seconds() - transit_delay
        status = EngineStatus(notice.born, notice.model, notice.version, notice.loading, sent_at)
        self.gateway.update_engine_status(Address(notice.host, notice.port), status)

    def choose_judging_start(self) -> float:
        """Return when this entry has seen for long enough what is served."""
        return self.reactor.seconds() + SURVIVAL_MEMORY_SECONDS

    def list_beliefs(self) -> list[Message]:
        """Return what a new peer has to know of endpoints."""
        report = self.gateway.cold.make_warm_report(self.reactor.seconds())
        return super().list_beliefs() + ([] if report is None else [report])

    def belief_received(self, message: Message, peer: InstanceId) -> BeliefAnswer:
        """Merge what a peer knows of endpoints, and act on it."""
        if isinstance(message, ColdReport):
            return BeliefAnswer(self.gateway.cold.receive(message, self.reactor.seconds()))
        if isinstance(message, WarmReport):
            self.gateway.cold.receive_warm(message, self.reactor.seconds())
            return BeliefAnswer()
        answer = super().belief_received(message, peer)
        if answer.relay is not None:
            self.gateway.apply_limits()
            self.gateway.end_quarantined()
        return answer

    def start_role(self) -> None:
        """Listen for peers, callers and HTTP queries, and start reading the store."""
        self.listener.register(Purpose.ENTRIES, self.fleet)
        for address, site in self.sites:
            self.reactor.listenTCP(address.port, site, interface=address.host)
        self._port = self.reactor.listenTCP(
            self._callers.port, self._caller_factory, backlog=512, interface=self._callers.host
        )
        self.gateway.start()
        if self._introductions is not None:
            self._introductions.start()
        assert self.source is not None
        self.source.start()

    def stop_new_work(self, schedule: StopSchedule) -> None:
        """Announce that this entry is leaving; stop listening after callers had time to move."""
        self.gateway.leave(schedule)
        self._publish_readiness()
        now = self.reactor.seconds()
        self.reactor.callLater(max(0.0, schedule.listen_until - now), self._stop_listening)
        delay = max(0.0, schedule.close_idle_at - now)
        self.reactor.callLater(delay, self._close_idle)

    def stop_role(self) -> None:
        """Break off the responses that are unfinished and stop reading the store."""
        self.gateway.break_off()
        self._caller_factory.abort_broken_off()
        if self.source is not None:
            self.source.stop()

    def count_unfinished(self) -> int:
        """Return the number of requests without a final answer."""
        return self.gateway.unfinished

    def can_stop(self, schedule: StopSchedule, now: float) -> bool:
        """Return whether callers have had time to move and have been sent all of their answers.

        After this process has stood still, timers that are all due run before sockets are read.
        """
        moved = now > self._closed_idle_at + DRAIN_CHECK_INTERVAL_SECONDS
        return moved and not self.gateway.unfinished and not self._caller_factory.count_busy()

    def _stop_listening(self) -> None:
        """Close the port after accepting the callers that have connected, which it would reset."""
        self._port.numberAccepts = self._port.backlog
        self._port.doRead()
        self._port.stopListening()

    def _close_idle(self) -> None:
        self._caller_factory.close_idle()
        self._closed_idle_at = self.reactor.seconds()

    def _read_entries(self) -> tuple[list[EntryRow], SeedContact]:
        """Return the live entries and the contact with the seeds; announce what this one knows."""
        own, view = self.roster.own, self.gateway.cold.view
        assert own is not None
        count = view.live_count if view.settled and view.hears_most else 0
        if own.settled_count != count:
            self.roster.own = msgspec.structs.replace(own, settled_count=count)
            if not own.settled_count or not count:
                self.fleet.announce()
        return self.roster.list_rows(), self.fleet.find_seed_contact()

    def _publish_readiness(self) -> None:
        own = self.roster.own
        assert own is not None
        leaving = self.stop_schedule is not None
        if (own.ready, own.leaving) == (self.ready, leaving):
            return
        self.roster.own = msgspec.structs.replace(own, ready=self.ready, leaving=leaving)
        logger.info("readiness changed", extra={"ready": self.ready, "leaving": leaving})
        self.fleet.announce()
