"""Gossip between entries and agents: the roster, table changes and engine status."""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import Random

import msgspec
from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TableCache
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    EngineNotice,
    EntryList,
    EntryRow,
    Leaving,
    Message,
    PublishedVersion,
    TableChanges,
    TableChangesRequest,
    TableItem,
    TableRevision,
    TableRevisions,
)
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner

__all__ = ["FleetObserver", "FleetTask"]

TICK_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.0  # a peer normally answers within a few round trips of milliseconds
# The store answers a process that reads a table within this time, unless the store is out of reach.
OWN_ANSWER_SECONDS = 1.0
MAX_PEERS = 32  # heartbeats go to every peer; larger fleets need relays (docs/CAPACITY.md)
ENTRIES_PER_AGENT = 2  # connections of an agent, so that it tolerates the loss of one entry
FALLBACK_ENTRIES = 4  # further entries sent to an agent, in case all that it is connected to fail

logger = get_logger("gateway.fleet")


class FleetObserver(ABC):
    """Receives notifications from the fleet task."""

    def reads_table(self, table: Table) -> bool:
        """Return whether this process reads the table from the store itself."""
        return False

    @abstractmethod
    def tables_changed(self) -> None:
        """Handle a change of the tables."""

    @abstractmethod
    def roster_changed(self) -> None:
        """Handle entries that were added, removed or changed."""

    @abstractmethod
    def engine_status_received(self, notice: EngineNotice) -> None:
        """Handle an agent's report of what its engine serves."""


class FleetTask(StreamOwner):
    """Owns the streams to entries and exchanges gossip on them.

    Entries send each other their roster rows and the revisions of their tables, so that an entry
    that cannot read from the store receives changes, and the time at which the store confirmed
    them, from one that can. They also tell which versions were published lately, and when, for
    those that learn of them late or missed them. Agents receive this gossip but do not send it. The
    time in `sent_at` bounds the age of the contents: a message delayed in a suspended process is
    treated as old.
    """

    def __init__(
        self,
        context: StreamContext,
        tables: TableCache,
        roster: Roster,
        seeds: list[Address],
        own_address: Address | None,
        observer: FleetObserver,
        rng: Random,
    ) -> None:
        self._context = context
        self._tables = tables
        self._roster = roster
        self._seeds = seeds
        self._own_address = own_address
        self._observer = observer
        self._rng = rng
        self._streams: dict[InstanceId, list[PeerStream]] = {}
        self._dialer = Dialer(context, Purpose.ENTRIES, self, rng)
        self._pending_requests: dict[tuple[InstanceId, Table], tuple[int, float]] = {}
        self._catalogue_request: tuple[InstanceId, float] | None = None
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor

    def start(self) -> None:
        """Dial the seeds and start the periodic task."""
        self._choose_peers()
        self._loop.start(TICK_SECONDS, now=True)

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the seed addresses at which entries can be reached."""
        self._seeds = seeds
        self._choose_peers()

    def announce(self) -> None:
        """Send this entry's row and table revisions to all peers now."""
        own = self._roster.own
        if own is None:
            return
        self._roster.own = msgspec.structs.replace(own, sequence=own.sequence + 1)
        other_rows = self._roster.list_rows()[1:]
        fallbacks = self._rng.sample(other_rows, min(FALLBACK_ENTRIES, len(other_rows)))
        report = self._make_revision_report()
        for streams in list(self._streams.values()):
            is_agent = streams[-1].peer_role == Role.AGENT.value
            streams[-1].send(EntryList([self._roster.own, *(fallbacks if is_agent else ())]))
            streams[-1].send(report)

    def send_engine_status(self, notice: EngineNotice) -> None:
        """Send the status of the engine to the connected entries."""
        self._broadcast(notice)

    def stream_opened(self, stream: PeerStream) -> None:
        """Send the roster and revisions to a new peer.

        If both ends dialled, two streams to the same peer are open for a while. Streams of an
        earlier incarnation of the peer are aborted.
        """
        peer = stream.peer_id
        for existing in list(self._streams.get(peer, [])):
            if existing.peer_incarnation != stream.peer_incarnation:
                existing.abort("replaced by a stream of a newer incarnation")
        self._streams.setdefault(peer, []).append(stream)
        stream.set_needed(True)
        logger.info("peer connected", extra={"peer": peer})
        if self._roster.own is not None:
            stream.send(EntryList(self._roster.list_rows()))
            stream.send(self._make_revision_report())

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove the stream and its pending requests."""
        peer = stream.peer_id
        for table in Table:
            self._finish_request(peer, table)
        streams = self._streams.get(peer, [])
        if stream in streams:
            streams.remove(stream)
        if not streams:
            self._streams.pop(peer, None)
            logger.info("peer disconnected", extra={"peer": peer, "cause": reason})

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Dispatch a message received from a peer."""
        if isinstance(message, EntryList):
            self._merge_roster(message)
        elif isinstance(message, TableRevisions):
            self._compare_revisions(stream, message)
        elif isinstance(message, TableChangesRequest):
            self._send_changes(stream, message)
        elif isinstance(message, TableChanges):
            self._apply_changes(stream, message)
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
        rows = self._roster.list_rows()
        addresses = list(self._seeds)
        addresses.extend(Address(row.host, row.peer_port) for row in rows)
        targets = {}
        for address in addresses:
            if address != self._own_address:
                targets[InstanceId(f"{address.host}:{address.port}")] = address
        max_targets = MAX_PEERS if self._own_address is not None else ENTRIES_PER_AGENT
        if len(targets) > max_targets:
            hello = self._context.make_hello(Purpose.ENTRIES)
            chosen = rank_by_hash(hello.instance, list(targets))
            if self._own_address is None:
                # Whole catalogues come from these entries; the links between regions are narrow.
                near = {f"{row.host}:{row.peer_port}" for row in rows if row.region == hello.region}
                chosen.sort(key=lambda name: name not in near)
            targets = {InstanceId(name): targets[InstanceId(name)] for name in chosen[:max_targets]}
        self._dialer.set_targets(targets)

    def _merge_roster(self, message: EntryList) -> None:
        changed = self._roster.merge(message.rows, self._context.reactor.seconds())
        if not changed:
            return
        for row in changed:
            logger.info(
                "entry updated",
                extra={"entry": row.instance, "ready": row.ready, "leaving": row.leaving},
            )
        if self._roster.own is not None:
            self._broadcast(EntryList(changed))
        self._observer.roster_changed()
        self._choose_peers()

    def _compare_revisions(self, stream: PeerStream, message: TableRevisions) -> None:
        now = self._context.reactor.seconds()
        for row in message.rows:
            table = Table(row.table)
            cached = self._tables.get_revision(table)
            if row.revision == cached:
                self._tables.confirm(table, cached, now - row.age - stream.transit_delay)
            elif row.revision > cached:
                self._request_changes(stream, table, row.revision)
        for published in message.published:
            # Without the transit delay: an age that is too high would end the version too soon.
            published_at = now - published.age
            self._tables.record_publication(
                published.model, published.version, published_at, published.observed
            )

    def _request_changes(self, stream: PeerStream, table: Table, revision: int) -> None:
        """Request the changes up to a revision that the peer has announced.

        A request for the same revision is repeated only if it was not answered within
        `REQUEST_TIMEOUT_SECONDS`. The operator table holds whole catalogues, and copies of a large
        one would fill the links between regions: it is requested from one peer at a time, and only
        if the store does not send it.
        """
        now = self._context.reactor.seconds()
        if table is Table.OPERATOR:
            age = self._tables.measure_age(table, now)
            if self._observer.reads_table(table) and age < OWN_ANSWER_SECONDS:
                return
            if self._catalogue_request is not None:
                _, asked_at = self._catalogue_request
                if now - asked_at < REQUEST_TIMEOUT_SECONDS:
                    return
            self._catalogue_request = (stream.peer_id, now)
        requested, requested_at = self._pending_requests.get((stream.peer_id, table), (0, 0.0))
        if requested == revision and now - requested_at < REQUEST_TIMEOUT_SECONDS:
            return
        self._pending_requests[stream.peer_id, table] = (revision, now)
        stream.send(TableChangesRequest(table.value, self._tables.get_revision(table)))

    def _finish_request(self, peer: InstanceId, table: Table) -> None:
        self._pending_requests.pop((peer, table), None)
        asked, _ = self._catalogue_request or (None, 0.0)
        if table is Table.OPERATOR and asked == peer:
            self._catalogue_request = None

    def _send_changes(self, stream: PeerStream, message: TableChangesRequest) -> None:
        table = Table(message.table)
        now = self._context.reactor.seconds()
        items, keys = self._tables.list_items(table, message.after)
        rows = [TableItem(i.key, i.revision, i.value) for i in items if i.value is not None]
        revision = self._tables.get_revision(table)
        age = self._tables.measure_age(table, now)
        stream.send(TableChanges(table.value, revision, age, rows, keys, now))

    def _apply_changes(self, stream: PeerStream, message: TableChanges) -> None:
        table = Table(message.table)
        self._finish_request(stream.peer_id, table)
        now = self._context.reactor.seconds()
        received = [Item(row.key, row.revision, row.value) for row in message.items]
        items = self._tables.merge_items(table, received, message.keys)
        confirmed_at = now - message.age - stream.transit_delay
        answer = TableAnswer(table, tuple(items), message.revision, True, confirmed_at)
        if self._tables.apply(answer, now):
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
                self._broadcast(self._make_revision_report())

    def _make_revision_report(self) -> TableRevisions:
        now = self._context.reactor.seconds()
        rows = []
        for table in Table:
            revision = self._tables.get_revision(table)
            if revision:
                age = self._tables.measure_age(table, now)
                rows.append(TableRevision(table.value, revision, age))
        published = [
            PublishedVersion(wanted.model, wanted.version, now - wanted.known_by, wanted.observed)
            for wanted in self._tables.list_shared_versions(now)
        ]
        return TableRevisions(rows, now, published)

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
    """Return the initial row of an entry.

    The sequence starts at the start time in milliseconds, so that it also rises over restarts.
    """
    return EntryRow(
        instance, started_ms, peers.host, peers.port, callers.port, region, domain, False, False
    )
