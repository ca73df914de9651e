"""The task that keeps entries and agents in step: roster, tables, notices of engines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import Random

import msgspec
from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.gateway.knowledge import Item, Table, TableAnswer, TableCache
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    EngineNotice,
    EntryRow,
    KnowledgeAsked,
    KnowledgeItem,
    KnowledgeRow,
    KnowledgeStated,
    KnowledgeTold,
    Leaving,
    Message,
    RosterTold,
)
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner

__all__ = ["FleetObserver", "FleetTask"]

TICK_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.0  # an answer of a peer takes a few round trips of milliseconds
MAX_PEERS = 32  # every peer is told each heartbeat; larger fleets need relays (docs/CAPACITY.md)
ENTRIES_PER_AGENT = 2  # an agent learns from this many entries, so that one may die
FALLBACK_ENTRIES = 4  # others that an agent is told of, so that it knows where to go when both die

logger = get_logger("gateway.fleet")


class FleetObserver(ABC):
    """Is told of what the fleet task learns."""

    @abstractmethod
    def tables_changed(self) -> None:
        """The tables have changed."""

    @abstractmethod
    def roster_changed(self) -> None:
        """Entries have come, gone or changed."""

    @abstractmethod
    def engine_status_received(self, notice: EngineNotice) -> None:
        """An agent told what its engine serves."""


class FleetTask(StreamOwner):
    """Owns the streams to entries.

    Entries tell each other who they are and which revisions they hold, so that an entry that the
    store refuses learns changes, and their confirmation, from one that it serves. Agents only
    follow. `sent_at` bounds the age of what is told: a message that waited in a suspended
    process counts as late.
    """

    def __init__(
        self,
        context: StreamContext,
        known: TableCache,
        roster: Roster,
        seeds: list[Address],
        own_address: Address | None,
        observer: FleetObserver,
        rng: Random,
    ) -> None:
        self._context = context
        self._known = known
        self._roster = roster
        self._seeds = seeds
        self._own_address = own_address
        self._observer = observer
        self._rng = rng
        self._streams: dict[InstanceId, list[PeerStream]] = {}
        self._dialer = Dialer(context, Purpose.ENTRIES, self, rng)
        self._asked: dict[tuple[InstanceId, Table], tuple[int, float]] = {}
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor

    def start(self) -> None:
        """Dial the seeds and start the ticks."""
        self._choose_peers()
        self._loop.start(TICK_SECONDS, now=True)

    def set_seeds(self, seeds: list[Address]) -> None:
        """Take other addresses at which entries may be found."""
        self._seeds = seeds
        self._choose_peers()

    def announce(self) -> None:
        """Tell all peers the own row and revisions now."""
        own = self._roster.own
        if own is None:
            return
        self._roster.own = msgspec.structs.replace(own, sequence=own.sequence + 1)
        others = self._roster.list_rows()[1:]
        some = self._rng.sample(others, min(FALLBACK_ENTRIES, len(others)))
        state = self._make_state()
        for streams in list(self._streams.values()):
            follows = streams[-1].peer_role == Role.AGENT.value
            streams[-1].send(RosterTold([self._roster.own, *(some if follows else ())]))
            streams[-1].send(state)

    def send_engine_status(self, notice: EngineNotice) -> None:
        """Tell the followed entries what the engine serves."""
        self._broadcast(notice)

    def stream_opened(self, stream: PeerStream) -> None:
        """Greet a peer; two may be open for a while, where both ends have dialled."""
        peer = stream.peer_id
        for held in list(self._streams.get(peer, [])):
            if held.peer_incarnation != stream.peer_incarnation:
                held.abort("replaced by a stream of a newer incarnation")
        self._streams.setdefault(peer, []).append(stream)
        stream.set_needed(True)
        logger.info("peer connected", extra={"peer": peer})
        if self._roster.own is not None:
            stream.send(RosterTold(self._roster.list_rows()))
            stream.send(self._make_state())

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Forget the stream, and what was asked on it."""
        peer = stream.peer_id
        for table in Table:
            self._asked.pop((peer, table), None)
        held = self._streams.get(peer, [])
        if stream in held:
            held.remove(stream)
        if not held:
            self._streams.pop(peer, None)
            logger.info("peer lost", extra={"peer": peer, "cause": reason})

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Take a message of a peer."""
        if isinstance(message, RosterTold):
            self._take_roster(message)
        elif isinstance(message, KnowledgeStated):
            self._take_state(stream, message)
        elif isinstance(message, KnowledgeAsked):
            self._answer(stream, message)
        elif isinstance(message, KnowledgeTold):
            self._take_items(stream, message)
        elif isinstance(message, EngineNotice):
            self._observer.engine_status_received(message)
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a stream of the fleet")

    def _tick(self) -> None:
        now = self._context.reactor.seconds()
        silent = self._roster.remove_silent(now)
        for name in silent:
            logger.info("entry silent", extra={"entry": name})
        self._choose_peers()
        if silent:
            self._observer.roster_changed()
        self.announce()

    def _choose_peers(self) -> None:
        addresses = list(self._seeds)
        for row in self._roster.list_rows():
            addresses.append(Address(row.host, row.peer_port))
        targets = {}
        for address in addresses:
            if address != self._own_address:
                targets[InstanceId(f"{address.host}:{address.port}")] = address
        most = MAX_PEERS if self._own_address is not None else ENTRIES_PER_AGENT
        if len(targets) > most:
            own = self._context.make_hello(Purpose.ENTRIES).instance
            chosen = rank_by_hash(own, list(targets))[:most]
            targets = {InstanceId(name): targets[InstanceId(name)] for name in chosen}
        self._dialer.set_targets(targets)

    def _take_roster(self, message: RosterTold) -> None:
        news = self._roster.merge(message.rows, self._context.reactor.seconds())
        if not news:
            return
        for row in news:
            logger.info(
                "entry told",
                extra={"entry": row.instance, "ready": row.ready, "leaving": row.leaving},
            )
        if self._roster.own is not None:
            self._broadcast(RosterTold(news))
        self._observer.roster_changed()
        self._choose_peers()

    def _take_state(self, stream: PeerStream, message: KnowledgeStated) -> None:
        now = self._context.reactor.seconds()
        for row in message.rows:
            table = Table(row.table)
            held = self._known.get_revision(table)
            if row.revision == held:
                self._known.confirm(table, held, now - row.age - stream.transit_delay)
            elif row.revision > held:
                self._ask(stream, table, row.revision)

    def _ask(self, stream: PeerStream, table: Table, revision: int) -> None:
        """Ask for a difference, once for each revision that the peer tells of.

        An answer that does not come, for whatever reason, is asked for again.
        """
        now = self._context.reactor.seconds()
        asked, at = self._asked.get((stream.peer_id, table), (0, 0.0))
        if asked == revision and now - at < REQUEST_TIMEOUT_SECONDS:
            return
        self._asked[stream.peer_id, table] = (revision, now)
        stream.send(KnowledgeAsked(table.value, self._known.get_revision(table)))

    def _answer(self, stream: PeerStream, message: KnowledgeAsked) -> None:
        table = Table(message.table)
        now = self._context.reactor.seconds()
        items, keys = self._known.list_items(table, message.after)
        rows = [KnowledgeItem(i.key, i.revision, i.value) for i in items if i.value is not None]
        revision = self._known.get_revision(table)
        age = self._known.measure_age(table, now)
        stream.send(KnowledgeTold(table.value, revision, age, rows, keys, now))

    def _take_items(self, stream: PeerStream, message: KnowledgeTold) -> None:
        table = Table(message.table)
        self._asked.pop((stream.peer_id, table), None)
        now = self._context.reactor.seconds()
        told = [Item(row.key, row.revision, row.value) for row in message.items]
        items = self._known.merge_items(table, told, message.keys)
        confirmed_at = now - message.age - stream.transit_delay
        answer = TableAnswer(table, tuple(items), message.revision, True, confirmed_at)
        if self._known.apply(answer, now):
            logger.info(
                "table learnt from a peer",
                extra={
                    "table": table.value,
                    "peer": stream.peer_id,
                    "revision": message.revision,
                    "age": round(message.age, 3),
                },
            )
            self._observer.tables_changed()
            if self._roster.own is not None:
                self._broadcast(self._make_state())

    def _make_state(self) -> KnowledgeStated:
        now = self._context.reactor.seconds()
        rows = []
        for table in Table:
            revision = self._known.get_revision(table)
            if revision:
                age = self._known.measure_age(table, now)
                rows.append(KnowledgeRow(table.value, revision, age))
        return KnowledgeStated(rows, now)

    def _broadcast(self, message: Message) -> None:
        for streams in list(self._streams.values()):
            streams[-1].send(message)


def make_entry_row(
    instance: InstanceId,
    started_ms: int,
    peers: Address,
    callers: Address,
    region: str,
    domain: str,
) -> EntryRow:
    """Return the first row of an entry; a later start has higher sequences."""
    return EntryRow(
        instance, started_ms, peers.host, peers.port, callers.port, region, domain, False, False
    )
