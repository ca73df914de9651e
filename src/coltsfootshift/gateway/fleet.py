"""Gossip between entries and agents: the roster, table changes and engine status."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.contacts import ContactChooser, Preference
from coltsfootshift.gateway.beliefs import BeliefAnswer
from coltsfootshift.gateway.entry_view import SeedContact
from coltsfootshift.gateway.item_values import (
    EncodedValue,
    UndecodableValueError,
    ValueEncoding,
    digest_value,
)
from coltsfootshift.gateway.roster import MILLISECONDS_PER_SECOND, Roster
from coltsfootshift.gateway.table_cache import (
    Item,
    Table,
    TableAnswer,
    TableCache,
    TablePosition,
)
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    ColdReport,
    EndpointLimitReport,
    EngineNotice,
    EntryList,
    EntryRow,
    HeldValue,
    Leaving,
    Message,
    OperatorVersion,
    PublishedVersion,
    SuspicionReport,
    TableChanges,
    TableChangesRequest,
    TableItem,
    TableRevision,
    TableRevisions,
    WarmReport,
)
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner

__all__ = ["FleetObserver", "FleetTask"]

TICK_SECONDS = 0.5
FAR_ANNOUNCEMENT_TICKS = 2  # an entry counts as silent after 2.5 s
REQUEST_TIMEOUT_SECONDS = 1.0  # a peer normally answers within a few round trips of milliseconds
# Changes of endpoints are small, and a leaving endpoint must be known everywhere within 2 s.
ENDPOINTS_REQUEST_TIMEOUT_SECONDS = 0.4
# An answer of the store normally arrives within this time after the first announcement of a change,
# and a change must have spread 0.3 s after it.
STORE_ANSWER_SECONDS = 0.2
# An entry of the own region passes on what one of them has requested from another region.
NEAR_ANSWER_SECONDS = 0.2
# Of news that an endpoint is warm: it may have become cold since.
MAX_WARM_DELAY_SECONDS = 0.5
MIN_WAIT_SECONDS = 0.01  # shorter ones are over, whatever rounding leaves of them
MAX_PEERS = 32  # heartbeats go to every peer; larger fleets need relays (docs/CAPACITY.md)
ENTRIES_PER_AGENT = 2  # connections of an agent, so that it tolerates the loss of one entry
# Entries that are not heard of any more; one that restarts with stale seeds is found this way.
FORMER_PER_ENTRY = 2
FALLBACK_ENTRIES = 4  # further entries sent to an agent, in case all that it is connected to fail

# Entries announce their own changes to all peers at once; this is for processes that are not peers.
RELAY_DELAY_SECONDS = 0.1

logger = get_logger("gateway.fleet")


class FleetObserver(ABC):
    """Receives notifications from the fleet task."""

    @abstractmethod
    def tables_changed(self) -> None:
        """Handle a change of the tables."""

    @abstractmethod
    def roster_changed(self) -> None:
        """Handle entries that were added, removed or changed."""

    @abstractmethod
    def engine_status_received(self, notice: EngineNotice, transit_delay: float) -> None:
        """Handle an agent's report of what its engine serves, `transit_delay` seconds old."""

    def list_beliefs(self) -> list[Message]:
        """Return messages that tell a new peer what this process knows of endpoints."""
        return []

    def belief_received(self, message: Message, peer: InstanceId) -> BeliefAnswer:
        """Merge what a peer knows of endpoints."""
        return BeliefAnswer()

    def reads_store(self, table: Table) -> bool:
        """Return whether this process itself reads a table from the store."""
        return False

    def expects_answer(self, table: Table) -> bool:
        """Return whether this process reads a table, and the store is likely to answer soon."""
        return self.reads_store(table)


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request for the changes of a table, or for the whole table, that has no answer yet."""

    peer: InstanceId
    sent_at: float
    is_whole: bool


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
        self._contacts = self._make_contacts()
        self._pending_requests: dict[Table, _PendingRequest] = {}
        self._announced: dict[Table, dict[InstanceId, TablePosition]] = {t: {} for t in Table}
        self._checks: dict[Table, Any] = {}
        self._behind_since: dict[Table, tuple[TablePosition, float]] = {}
        self._ticked_at = context.reactor.seconds()
        self._ticks = 0
        self._relayed_names: set[str] = set()
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor

    def _make_contacts(self) -> ContactChooser:
        if self._own_address is not None:
            return ContactChooser(_name_address(self._own_address), MAX_PEERS, FORMER_PER_ENTRY)
        own = self._context.make_hello(Purpose.ENTRIES).instance
        return ContactChooser(own, ENTRIES_PER_AGENT)

    def start(self) -> None:
        """Dial the seeds and start the periodic task."""
        self._choose_peers()
        self._ticked_at = self._context.reactor.seconds()
        self._loop.start(TICK_SECONDS, now=True)

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the seed addresses at which entries can be reached."""
        self._seeds = seeds
        self._choose_peers()

    def is_dialled_by_agent(self) -> bool:
        """Return whether an agent has dialled this process and is connected."""
        return any(
            stream.peer_role == Role.AGENT.value and not stream.dialled
            for streams in self._streams.values()
            for stream in streams
        )

    def find_seed_contact(self) -> SeedContact:
        """Return how many of the seeds are live entries, this one included."""
        known = {Address(row.host, row.peer_port) for row in self._roster.list_rows()}
        missing = sum(seed not in known for seed in self._seeds)
        if not missing:
            return SeedContact.ALL
        return SeedContact.MOST if 2 * missing < len(self._seeds) else SeedContact.FEW

    def list_entries(self) -> EntryList:
        """Return the known entries, for a process that has no connection to any."""
        return EntryList(self._roster.list_rows())  # without ages: it is for finding any entry

    def learn_entries(self, message: EntryList) -> None:
        """Learn of entries from a process that is none."""
        self._merge_roster(message.rows, [])

    def announce(self) -> None:
        """Send this entry's row and table revisions to all peers now."""
        if self._roster.own is None:
            return
        self._raise_sequence()
        self._send_announcement([streams[-1] for streams in self._streams.values()])

    def _raise_sequence(self) -> None:
        own = self._roster.own
        assert own is not None
        self._roster.own = msgspec.structs.replace(own, sequence=own.sequence + 1)

    def _send_announcement(self, streams: list[PeerStream]) -> None:
        own = self._roster.own
        assert own is not None
        other_rows = self._roster.list_rows()[1:]
        fallbacks = self._rng.sample(other_rows, min(FALLBACK_ENTRIES, len(other_rows)))
        to_entries, to_agents = EntryList([own]), self._make_list([own, *fallbacks])
        agents = [stream for stream in streams if stream.peer_role == Role.AGENT.value]
        # One message after the other, so that each is encoded once.
        for stream in agents:
            stream.send(to_agents)
        for stream in streams:
            if stream.peer_role != Role.AGENT.value:
                stream.send(to_entries)
        report = self._make_revision_report()
        for stream in streams:
            stream.send(report)

    def knows_of_changes(self, table: Table) -> bool:
        """Return whether a peer has announced changes of a table that have not arrived yet."""
        return bool(self._list_announcers(table))

    def send_engine_status(self, notice: EngineNotice) -> None:
        """Send the status of the engine to the connected entries."""
        self._broadcast(notice)

    def notify_peers(self, message: Message) -> None:
        """Send a message to all connected processes."""
        self._broadcast(message)

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
            stream.send(self._make_list(self._roster.list_rows()))
            stream.send(self._make_revision_report())
        for message in self._observer.list_beliefs():
            stream.send(message)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove the stream and its pending requests."""
        peer = stream.peer_id
        for table in Table:
            self._remove_request(table, peer)
            self._announced[table].pop(peer, None)
        streams = self._streams.get(peer, [])
        if stream in streams:
            streams.remove(stream)
        if not streams:
            self._streams.pop(peer, None)
            logger.info("peer disconnected", extra={"peer": peer, "cause": reason})
        for table in Table:
            self._request_announced(table)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Dispatch a message received from a peer."""
        if isinstance(message, EntryList):
            self._merge_roster(message.rows, _age_relayed(message, stream))
        elif isinstance(message, TableRevisions):
            self._compare_revisions(stream, message)
        elif isinstance(message, TableChangesRequest):
            self._send_changes(stream, message)
        elif isinstance(message, TableChanges):
            self._apply_changes(stream, message)
        elif isinstance(message, EngineNotice):
            self._observer.engine_status_received(message, stream.transit_delay)
        elif isinstance(message, (SuspicionReport, EndpointLimitReport, ColdReport, WarmReport)):
            self._receive_belief(stream, message)
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a stream of the fleet")

    def message_invalid(self, stream: PeerStream, text: str) -> None:
        """Go on without an invalid message: what it held is sent or requested again."""
        logger.warning("invalid message ignored", extra={"peer": stream.peer_id, "cause": text})

    def _receive_belief(self, stream: PeerStream, message: Message) -> None:
        """Merge a report and pass on what was news: not all processes are connected."""
        if isinstance(message, EndpointLimitReport):
            message = _add_transit(message, stream.transit_delay)
        elif isinstance(message, ColdReport):
            message = _take_transit(message, stream.transit_delay)
        elif isinstance(message, WarmReport) and stream.transit_delay > MAX_WARM_DELAY_SECONDS:
            return
        answer = self._observer.belief_received(message, stream.peer_id)
        if answer.reply is not None:
            stream.send(answer.reply)
        if answer.relay is None:
            return
        for peer, streams in list(self._streams.items()):
            if peer != stream.peer_id:
                streams[-1].send(answer.relay)

    def _tick(self) -> None:
        now = self._context.reactor.seconds()
        self._catch_up(now)
        self._ticked_at = now
        silent = self._roster.remove_silent(now)
        for name in silent:
            logger.info("entry silent", extra={"entry": name})
        self._log_traffic(now)
        self._choose_peers()
        if silent:
            self._observer.roster_changed()
        self._announce_periodically()

    def _catch_up(self, now: float) -> None:
        """Allow the entries the time for which this process stood still.

        A busy process reads what has arrived meanwhile before its timers run.
        """
        self._roster.extend(max(0.0, now - self._ticked_at - TICK_SECONDS), now)
        self._ticked_at = max(self._ticked_at, now - TICK_SECONDS)

    def _announce_periodically(self) -> None:
        """Announce that nothing has changed, to peers in other regions less often.

        Load pattern: every entry is connected to every other, so that these messages grow with the
        square of their number, and most of them cross the links between regions. What a reader of
        the store confirms goes to all with every tick, since it must not be older than
        `MAX_RELAYED_AGE_SECONDS` anywhere. Changes are announced to all at once.
        """
        if self._roster.own is None:
            return
        self._ticks += 1
        is_reader = any(self._observer.reads_store(table) for table in Table)
        if is_reader or self._ticks % FAR_ANNOUNCEMENT_TICKS == 0:
            self.announce()
            return
        self._raise_sequence()
        near = [streams[-1] for streams in self._streams.values() if streams[-1].peer_is_near]
        self._send_announcement(near)

    def _log_traffic(self, now: float) -> None:
        sent = self._context.traffic.take_report(now)
        if sent is not None:
            logger.info("bytes sent to other regions", extra={"sent": sent})

    def _choose_peers(self) -> None:
        chosen = self._contacts.choose(
            self._list_known(), self._dialer.list_connected(), self._context.reactor.seconds()
        )
        self._dialer.set_targets({InstanceId(name): _parse_address(name) for name in chosen})

    def _list_known(self) -> dict[str, Preference]:
        """Return the names of the addresses at which there may be entries.

        An agent prefers the entries of its region, since a copy of each table change goes to every
        agent, and links between regions are narrow.
        """
        is_agent = self._own_address is None
        region = self._context.make_hello(Purpose.ENTRIES).region if is_agent else ""
        known = {_name_address(seed): Preference.SEED for seed in self._seeds}
        for row in self._roster.list_rows():
            address = Address(row.host, row.peer_port)
            is_near = is_agent and row.region == region
            known[_name_address(address)] = Preference.NEAR if is_near else Preference.LIVE
        if self._own_address is not None:
            known.pop(_name_address(self._own_address), None)
        return known

    def _make_list(self, rows: list[EntryRow]) -> EntryList:
        now = self._context.reactor.seconds()
        return EntryList(rows, self._roster.measure_ages(rows, now))

    def _merge_roster(self, rows: list[EntryRow], ages_ms: list[float]) -> None:
        now = self._context.reactor.seconds()
        self._catch_up(now)
        changed = self._roster.merge(rows, now, ages_ms)
        if not changed:
            return
        for row in changed:
            logger.info(
                "entry updated",
                extra={"entry": row.instance, "ready": row.ready, "leaving": row.leaving},
            )
        if self._roster.own is not None:
            self._schedule_relay(changed)
        self._observer.roster_changed()
        self._choose_peers()

    def _schedule_relay(self, rows: list[EntryRow]) -> None:
        """Pass on the rows of other entries, those that arrive within a moment together.

        Load pattern: all entries start at once, and each one's row changes some times until it is
        ready. If every entry passed on each change by itself, each would receive as many messages
        as there are pairs of entries.
        """
        if not self._relayed_names:
            self._context.reactor.callLater(RELAY_DELAY_SECONDS, self._relay_rows)
        self._relayed_names.update(row.instance for row in rows)

    def _relay_rows(self) -> None:
        names, self._relayed_names = self._relayed_names, set()
        rows = [row for row in self._roster.list_rows() if row.instance in names]
        if rows:
            self._broadcast(self._make_list(rows))

    def _compare_revisions(self, stream: PeerStream, message: TableRevisions) -> None:
        now = self._context.reactor.seconds()
        for row in message.rows:
            table = Table(row.table)
            cached = self._tables.get_position(table)
            announced = TablePosition(row.era, row.revision)
            if announced == cached:
                self._tables.confirm(table, cached, now - row.age - stream.max_transit_seconds)
            elif announced > cached and self._is_unchanged(row, cached):
                confirmed_at = now - row.age - stream.max_transit_seconds
                unchanged = TableAnswer(table, (), row.revision, False, confirmed_at, row.era)
                if self._tables.apply(unchanged, now):
                    self._observer.tables_changed()
            elif announced > cached:
                self._announced[table][stream.peer_id] = announced
                self._request_changes(stream, table)
            if announced <= cached and self._lacks_version(row):
                logger.info(
                    "peer has a newer item than the store",
                    extra={"table": table.value, "peer": stream.peer_id},
                )
                self._request_table(stream, table)
        for published in message.published:
            # Without the transit delay: an age that is too high would end the version too soon.
            published_at = now - published.age
            unpublished_at = None
            if published.unpublished_age is not None:
                unpublished_at = now - published.unpublished_age - stream.max_transit_seconds
            self._tables.record_publication(
                published.model,
                published.version,
                published_at,
                published.observed,
                unpublished_at,
            )

    def _is_unchanged(self, row: TableRevision, cached: TablePosition) -> bool:
        """Return whether a peer's table is at a later revision with the same items."""
        if not row.content or row.era != cached.era:
            return False
        return row.content == self._tables.digest_content(Table(row.table))

    def _request_changes(self, stream: PeerStream, table: Table) -> None:
        """Request the changes of a table from a peer that has announced a newer revision.

        One request per table is pending at a time, since all peers announce a change at once and
        each would send a copy of it. Another peer is asked if the stream is lost, or if there is no
        answer in time.
        """
        seconds = self._find_wait(table, stream)
        if seconds > MIN_WAIT_SECONDS:
            self._schedule_check(table, seconds)
            return
        timeout = REQUEST_TIMEOUT_SECONDS
        if table is Table.ENDPOINTS:
            timeout = ENDPOINTS_REQUEST_TIMEOUT_SECONDS
        after = self._tables.get_position(table)
        self._send_request(stream, table, after, timeout)

    def _request_table(self, stream: PeerStream, table: Table) -> None:
        """Request all items from a peer."""
        self._send_request(stream, table, TablePosition(), REQUEST_TIMEOUT_SECONDS)

    def _send_request(
        self, stream: PeerStream, table: Table, after: TablePosition, timeout: float
    ) -> None:
        """Request what changed after a position, unless another request has not timed out yet."""
        now = self._context.reactor.seconds()
        pending = self._pending_requests.get(table)
        if pending is not None and now - pending.sent_at < timeout - MIN_WAIT_SECONDS:
            self._schedule_check(table, pending.sent_at + timeout - now)
            return
        is_whole = after == TablePosition()
        self._pending_requests[table] = _PendingRequest(stream.peer_id, now, is_whole)
        logger.info(
            "changes requested",
            extra={
                "table": table.value,
                "peer": stream.peer_id,
                "after": after.revision,
                "unanswered": pending.peer if pending is not None else None,
            },
        )
        self._schedule_check(table, timeout)
        held = [] if is_whole else self._list_held_values(table)
        stream.send(TableChangesRequest(table.value, after.revision, after.era, held))

    def _lacks_version(self, row: TableRevision) -> bool:
        """Return whether a peer has a newer version of an operator's item than this process."""
        now = self._context.reactor.seconds()
        return any(self._tables.lacks_version(v.key, v.version, now) for v in row.versions)

    def _find_wait(self, table: Table, stream: PeerStream) -> float:
        """Return for how long an announced change may still come without a request to this peer.

        It probably comes while this process reads the table itself, and while another entry of its
        region requests a catalogue from the peer's region. It is requested once the process has
        been behind the peers for `STORE_ANSWER_SECONDS` or `NEAR_ANSWER_SECONDS`.
        """
        patience = 0.0
        reads = self._observer.expects_answer(table)
        if reads:
            patience = STORE_ANSWER_SECONDS
        elif table is Table.OPERATOR and not stream.peer_is_near:
            patience = 0.0 if self._roster.is_first_of_region() else NEAR_ANSWER_SECONDS
        if not patience:
            return 0.0
        now = self._context.reactor.seconds()
        cached = self._tables.get_position(table)
        position, since = self._behind_since.get(table, (None, now))
        if position != cached:
            since = now
            row: dict[str, object] = {"table": table.value, "peer": stream.peer_id}
            row.update(held=cached.revision, reads=reads, seconds=patience)
            logger.info("announced change awaited", extra=row)
        self._behind_since[table] = (cached, since)
        return since + patience - now

    def _schedule_check(self, table: Table, seconds: float) -> None:
        """Look later whether an announced change has come; no other message may bring it up.

        A check that is due sooner leads to this one if it is still needed.
        """
        clock = self._context.reactor
        planned = self._checks.get(table)
        if planned is not None and planned.active():
            if planned.getTime() <= clock.seconds() + seconds:
                return
            planned.cancel()
        self._checks[table] = clock.callLater(seconds, self._request_announced, table)

    def _list_held_values(self, table: Table) -> list[HeldValue]:
        """Return what differences may begin from; records of endpoints are too small for them."""
        if table is not Table.OPERATOR:
            return []
        items, _ = self._tables.list_items(table, TablePosition())
        return [HeldValue(item.key, digest_value(item.value)) for item in items if item.value]

    def _remove_request(self, table: Table, peer: InstanceId) -> bool:
        """Remove the pending request of a table if it was sent to this peer.

        Returns whether it was for the whole table.
        """
        pending = self._pending_requests.get(table)
        if pending is not None and pending.peer == peer:
            del self._pending_requests[table]
            return pending.is_whole
        return False

    def _send_changes(self, stream: PeerStream, message: TableChangesRequest) -> None:
        table = Table(message.table)
        now = self._context.reactor.seconds()
        after = TablePosition(message.era, message.after)
        items, keys = self._tables.list_items(table, after)
        rows = self._encode_items(items, message)
        position = self._tables.get_position(table)
        age = max(0.0, self._tables.measure_age(table, now))
        if rows:
            logger.info(
                "changes sent",
                extra={
                    "table": table.value,
                    "peer": stream.peer_id,
                    "after": message.after,
                    "revision": position.revision,
                    "items": len(rows),
                    "bytes": sum(len(row.value) for row in rows),
                },
            )
        stream.send(
            TableChanges(table.value, position.revision, age, rows, keys, now, position.era)
        )

    def _encode_items(self, items: list[Item], request: TableChangesRequest) -> list[TableItem]:
        bases = {held.key: held.digest for held in request.held or ()}
        rows = []
        for item in items:
            if item.value is None:
                continue
            encoded = EncodedValue(ValueEncoding.PLAIN, item.value)
            if request.held is not None:
                encoded = self._tables.operator_values.encode(item.value, bases.get(item.key, b""))
            rows.append(
                TableItem(
                    item.key,
                    item.revision,
                    encoded.data,
                    item.era,
                    encoded.encoding.value,
                    encoded.digest,
                    encoded.base,
                )
            )
        return rows

    def _decode_items(self, rows: list[TableItem], peer: InstanceId) -> list[Item]:
        """Return the items; one that cannot be decoded is logged and left out."""
        items = []
        for row in rows:
            encoded = EncodedValue(ValueEncoding(row.encoding), row.value, row.digest, row.base)
            try:
                value = self._tables.operator_values.decode(encoded)
            except UndecodableValueError as error:
                extra = {"key": row.key, "revision": row.revision, "peer": peer}
                logger.warning("value of a peer not decoded", extra={**extra, "cause": str(error)})
                continue
            items.append(Item(row.key, row.revision, value, row.era))
        return items

    def _apply_changes(self, stream: PeerStream, message: TableChanges) -> None:
        table = Table(message.table)
        was_whole = self._remove_request(table, stream.peer_id)
        now = self._context.reactor.seconds()
        received = self._decode_items(message.items, stream.peer_id)
        items, missing = self._tables.merge_items(table, received, message.keys)
        is_newer = TablePosition(message.era, message.revision) > self._tables.get_position(table)
        if is_newer and (missing or len(received) < len(message.items)):
            # The position must not go past an item that is missing here.
            row = {"table": table.value, "peer": stream.peer_id, "missing": missing[:9]}
            logger.warning("incomplete changes of a peer ignored", extra=row)
            if not was_whole:
                self._request_table(stream, table)
            return
        confirmed_at = now - message.age - stream.max_transit_seconds
        answer = TableAnswer(table, tuple(items), message.revision, True, confirmed_at, message.era)
        if self._tables.apply(answer, now):
            logger.info(
                "table learnt from a peer",
                extra={
                    "table": table.value,
                    "peer": stream.peer_id,
                    "revision": message.revision,
                    "era": message.era,
                    "age": round(message.age, 3),
                },
            )
            self._observer.tables_changed()
            if self._roster.own is not None:
                self._broadcast(self._make_revision_report())
        answered = TablePosition(message.era, message.revision)
        self._request_newer(table, answered, stream.peer_id)

    def _request_newer(self, table: Table, answered: TablePosition, answerer: InstanceId) -> None:
        """Request what others have announced beyond the position that a peer has answered.

        What was announced up to that position is not asked for again, even if the answer was of no
        use, and neither is what the answering peer has announced.
        """
        positions = self._announced[table]
        for peer, position in list(positions.items()):
            if position <= answered or peer == answerer:
                del positions[peer]
        self._request_announced(table)

    def _request_announced(self, table: Table) -> None:
        """Request what a peer has announced and what has not come otherwise.

        A peer that has not answered is asked again only once it has announced something again.
        """
        pending = self._pending_requests.get(table)
        for peer in self._list_announcers(table):
            if pending is None or peer != pending.peer:
                self._request_changes(self._streams[peer][-1], table)
                return

    def _list_announcers(self, table: Table) -> list[InstanceId]:
        """Return the connected peers that have announced what is not cached here, newest first."""
        cached = self._tables.get_position(table)
        positions = self._announced[table]
        for peer, position in list(positions.items()):
            if position <= cached or peer not in self._streams:
                del positions[peer]
        return sorted(positions, key=lambda peer: positions[peer], reverse=True)

    def _make_revision_report(self) -> TableRevisions:
        now = self._context.reactor.seconds()
        rows = []
        for table in Table:
            position = self._tables.get_position(table)
            if not position.revision:
                continue
            age = max(0.0, self._tables.measure_age(table, now))
            versions = []
            if table is Table.OPERATOR:
                known = self._tables.get_operator_versions()
                versions = [OperatorVersion(key, version) for key, version in known.items()]
            rows.append(
                TableRevision(
                    table.value,
                    position.revision,
                    age,
                    position.era,
                    versions,
                    self._tables.digest_content(table),
                )
            )
        published = []
        for wanted in self._tables.list_shared_versions(now):
            published.append(
                PublishedVersion(
                    wanted.model,
                    wanted.version,
                    max(0.0, now - wanted.known_by),
                    wanted.observed,
                    max(0.0, now - wanted.unpublished_at),
                )
            )
        return TableRevisions(rows, now, published)

    def _broadcast(self, message: Message) -> None:
        for streams in list(self._streams.values()):
            streams[-1].send(message)


def _name_address(address: Address) -> str:
    return f"{address.host}:{address.port}"


def _parse_address(name: str) -> Address:
    """Return the address that `_name_address` has named.

    >>> _parse_address("10.1.0.1:8000")
    Address(host='10.1.0.1', port=8000)
    """
    host, _, port = name.rpartition(":")
    return Address(host, int(port))


def _age_relayed(message: EntryList, stream: PeerStream) -> list[float]:
    """Return the ages of a list's rows; what others have said waited as long as the message did."""
    transit_ms = max(0.0, stream.transit_delay * MILLISECONDS_PER_SECOND)
    ages: list[float] = []
    for index, row in enumerate(message.rows):
        age = message.ages_ms[index] if index < len(message.ages_ms) else 0
        ages.append(age if row.instance == stream.peer_id else age + transit_ms)
    return ages


def _add_transit(report: EndpointLimitReport, seconds: float) -> EndpointLimitReport:
    """Return a report whose ages include how long it was on its way."""
    rows = [msgspec.structs.replace(row, age=row.age + seconds) for row in report.rows]
    return msgspec.structs.replace(report, rows=rows)


def _take_transit(report: ColdReport, seconds: float) -> ColdReport:
    """Return a report whose remaining times are less by how long it was on its way."""
    rows = [msgspec.structs.replace(r, seconds=max(0.0, r.seconds - seconds)) for r in report.rows]
    return msgspec.structs.replace(report, rows=rows)


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
