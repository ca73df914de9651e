"""The mesh task, which synchronises the platform's tables over control streams to peers."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from coltsfootshift.audit import AuditTrail
from coltsfootshift.catalogue.table import RecordTable
from coltsfootshift.catalogue.view import CatalogueView
from coltsfootshift.catalogueservice.base import CATALOGUE_TABLE, INSTANCES_TABLE, Platform
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.catalogue import TableController
from coltsfootshift.controllers.fallbacks import FallbackRequester
from coltsfootshift.controllers.freshness import RANK_GROUPS, Freshness
from coltsfootshift.controllers.membership import Membership
from coltsfootshift.controllers.tableevents import (
    ApplyRecords,
    DifferenceReceived,
    DifferenceRequested,
    PeerCountChanged,
    PeerDisconnected,
    PlatformAnswered,
    PlatformFailed,
    ProcessResumed,
    RefusePeer,
    RequestDifference,
    RevisionReceived,
    SendDifference,
    SendNotice,
    SendStates,
    StateReceived,
    StatesSent,
    TableAction,
    TableStarted,
    TableTick,
    WatchPlatform,
    WatchRankChanged,
)
from coltsfootshift.ids import InstanceId, Purpose
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    Difference,
    Fallbacks,
    InstanceNotice,
    InstanceNotices,
    Leaving,
    Message,
    PullFallbacks,
    PullTable,
    RevisionNotice,
    TableState,
    TableStates,
)
from coltsfootshift.peer_connector import PeerConnector
from coltsfootshift.settings import ProcessSettings
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner
from coltsfootshift.tasks import Task

__all__ = ["CatalogueChanged", "InstancesChanged", "MeshTask", "PeerLeaving", "ProcessPaused"]

TICK_INTERVAL_SECONDS = 0.25
MAX_TICK_GAP_SECONDS = 2.0
CATALOGUE_AFTER_INSTANCES_SECONDS = 3.0
MAX_IN_FORCE_TIMES = 256
NOTICE_DELAY_SECONDS = 0.02

logger = get_logger("mesh")


@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """The catalogue entries in force for `keys` have changed.

    `keys` is empty if the first catalogue applied is empty.
    """

    keys: list[str]


@dataclass(frozen=True, slots=True)
class InstancesChanged:
    """The list of instances or the leaving state of an instance has changed."""


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """A peer has announced that it accepts no new work."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """The process was paused or its clock was set, so its view of other processes may be stale."""

    seconds: float


class MeshTask(Task, StreamOwner):
    """Keeps the platform's tables up to date in this process, mainly through its peers.

    Owns the control streams, the connection to the platform, both tables, the catalogue in force
    and the membership. Posts messages about changes to its subscribers.
    """

    def __init__(
        self, context: StreamContext, settings: ProcessSettings, platform: Platform, rng: Random
    ) -> None:
        super().__init__(context.reactor)
        self.audit = AuditTrail()
        self.view = CatalogueView(self.audit)
        self.membership = Membership(InstanceId(settings.instance))
        self._context = context
        self._settings = settings
        self._platform = platform
        self._rng = rng
        self._streams: dict[InstanceId, list[PeerStream]] = {}
        self._states_scheduled = False
        self._notices: list[InstanceNotice] = []
        self._fallbacks = FallbackRequester()
        self._ticked_at = 0.0
        dialer = Dialer(context, Purpose.CONTROL, self, rng)
        self._peer_connector = PeerConnector(dialer, settings, self.membership)
        self._freshness = Freshness()
        self._controllers = {
            CATALOGUE_TABLE: TableController(
                RecordTable(CATALOGUE_TABLE), self._freshness, gated=True
            ),
            INSTANCES_TABLE: TableController(RecordTable(INSTANCES_TABLE), self._freshness),
        }
        self._subscribers: list[Task] = []
        self._in_force_at: deque[tuple[int, float]] = deque(maxlen=MAX_IN_FORCE_TIMES)
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor
        self._add_gauges()

    def subscribe(self, task: Task) -> None:
        """Post a message to `task` on each later change."""
        self._subscribers.append(task)

    @property
    def is_ready(self) -> bool:
        """Whether a catalogue is in force, so that callers can be served."""
        return self._controllers[CATALOGUE_TABLE].settled and self.view.revision > 0

    def start(self) -> None:
        """Dial the seeds, schedule the first reads from the platform and start the ticks."""
        self._peer_connector.start()
        interval = self._settings.first_read_seconds
        delay = self._rng.uniform(0, interval)
        self._ticked_at = self.reactor.seconds()
        self._dispatch(INSTANCES_TABLE, TableStarted(delay, interval))
        delay += CATALOGUE_AFTER_INSTANCES_SECONDS
        self._dispatch(CATALOGUE_TABLE, TableStarted(delay, interval))
        self._loop.start(TICK_INTERVAL_SECONDS, now=True)

    def announce_leaving(self) -> None:
        """Announce to all peers that this process accepts no new work."""
        for peer in self._streams:
            self._send(peer, Leaving())
        self._queue_notices(self.membership.notices.announce_leaving())

    def describe(self) -> dict[str, Any]:
        """Return the state shown on the status page."""
        return {
            "catalogue_revision": self._controllers[CATALOGUE_TABLE].table.revision,
            "instances_revision": self._controllers[INSTANCES_TABLE].table.revision,
            "entries_in_force": len(self.view.list_keys()),
            "invalid_entries": dict(self.view.problems),
            "instances": len(self.membership),
            "control_streams": sorted(self._streams),
            "in_force_at": list(self._in_force_at),
            "watching": self._controllers[CATALOGUE_TABLE].watching,
            "ready": self.is_ready,
            "platform_revision": self._controllers[CATALOGUE_TABLE].platform_revision,
        }

    def handle(self, message: Any) -> None:
        """Raise `TypeError`, since the mesh accepts no messages from other tasks."""
        raise TypeError(f"unexpected message {message!r}")

    def stream_opened(self, stream: PeerStream) -> None:
        """Add a stream and send the table states to the peer.

        A peer may have two streams if both ends dial each other.
        """
        peer = stream.peer_id
        for existing in list(self._streams.get(peer, [])):
            if existing.peer_incarnation != stream.peer_incarnation:
                existing.abort("replaced by a stream of a newer incarnation")
        self._streams.setdefault(peer, []).append(stream)
        self._peer_connector.record_opened(peer)
        self.membership.record_connected(peer, stream.peer_incarnation)
        stream.send(self._make_states())
        not_live = self.membership.notices.list_not_live()
        if not_live:
            stream.send(InstanceNotices(not_live))

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Handle a control message; most are passed to the controller of their table."""
        peer = stream.peer_id
        if isinstance(message, Leaving):
            self._handle_leaving(stream)
        elif isinstance(message, RevisionNotice):
            self._dispatch(message.table, RevisionReceived(peer, message.revision))
        elif isinstance(message, PullTable):
            self._dispatch(message.table, DifferenceRequested(peer, message.after, message.floor))
        elif isinstance(message, TableStates):
            self._handle_states(peer, message)
        elif isinstance(message, InstanceNotices):
            self._handle_notices(message)
        elif isinstance(message, PullFallbacks):
            self._answer_fallbacks(peer, message)
        elif isinstance(message, Fallbacks):
            self._handle_fallbacks(message)
        elif isinstance(message, Difference):
            self._dispatch(message.table, DifferenceReceived(peer, message))
        else:
            stream.abort(f"sent {type(message).__name__} on a control stream")

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove the stream, and the peer if this was its last stream."""
        peer = stream.peer_id
        self.membership.record_disconnected(peer)
        streams = self._streams.get(peer, [])
        if stream in streams:
            streams.remove(stream)
        if streams:
            return
        self._streams.pop(peer, None)
        self._peer_connector.record_closed(peer, self.reactor.seconds())
        for name in self._controllers:
            self._dispatch(name, PeerDisconnected(peer))

    def _add_gauges(self) -> None:
        metrics = self._context.metrics
        metrics.add_gauge("platform_age_seconds", self._get_platform_age)
        metrics.add_gauge("platform_behind_revisions", self._get_platform_behind)
        metrics.add_gauge("invalid_entries", lambda: len(self.view.problems))
        metrics.add_gauge("control_peers", lambda: len(self._streams))

    def _get_platform_age(self) -> float:
        """Return the seconds since the last platform answer to any watcher, or -1 if unknown."""
        newest = self._freshness.find_newest(len(RANK_GROUPS))
        return -1.0 if newest is None else round(self.reactor.seconds() - newest, 3)

    def _get_platform_behind(self) -> float:
        """Return how many revisions the platform's last answer is behind the local table.

        Returns 0 if this process is not a watcher or has had no answer.
        """
        controller = self._controllers[CATALOGUE_TABLE]
        if not controller.watching or not controller.platform_revision:
            return 0.0
        return float(max(0, controller.table.revision - controller.platform_revision))

    def _handle_states(self, peer: InstanceId, message: TableStates) -> None:
        self._freshness.merge(message.ages, self.reactor.seconds())
        for row in message.rows:
            self._dispatch(row.table, StateReceived(peer, row.revision, message.settled))

    def _handle_notices(self, message: InstanceNotices) -> None:
        for notice in message.rows:
            self._queue_notices(self.membership.merge_notice(notice))

    def _queue_notices(self, notices: list[InstanceNotice]) -> None:
        """Queue notices for all peers; those queued within a short delay share one message."""
        if notices and not self._notices:
            self.reactor.callLater(NOTICE_DELAY_SECONDS, self._send_notices)
        self._notices.extend(notices)

    def _send_notices(self) -> None:
        rows, self._notices = self._notices, []
        for peer in self._streams:
            self._send(peer, InstanceNotices(rows))

    def _answer_fallbacks(self, peer: InstanceId, message: PullFallbacks) -> None:
        table = self._controllers[CATALOGUE_TABLE].table
        records = self.view.list_fallbacks(table, message.keys)
        if records:
            self._send(peer, Fallbacks(records))

    def _handle_fallbacks(self, message: Fallbacks) -> None:
        table = self._controllers[CATALOGUE_TABLE].table
        keys = self.view.apply_fallbacks(table, message.records)
        if keys:
            self._publish(CatalogueChanged(keys))

    def _request_fallbacks(self, now: float) -> None:
        """Request the earlier texts of invalid catalogue entries from peers.

        A process that started from the platform has no earlier text of an entry that was already
        invalid.
        """
        missing = self.view.list_missing_fallbacks(self._controllers[CATALOGUE_TABLE].table)
        request = self._fallbacks.choose(missing, list(self._streams), now)
        if request is not None:
            self._send(request[0], PullFallbacks(request[1]))

    def _handle_leaving(self, stream: PeerStream) -> None:
        self.membership.record_leaving(stream.peer_id, stream.peer_incarnation)
        self._publish(PeerLeaving(stream.peer_id))

    def _dispatch(self, table: str, event: Event) -> None:
        controller = self._controllers.get(table)
        if controller is None:
            self._context.metrics.count("unknown_tables")
            return
        for action in controller.handle(event, self.reactor.seconds()):
            self._perform(table, action)

    def _perform(self, table: str, action: TableAction) -> None:
        if isinstance(action, ApplyRecords):
            self._apply(table, action)
        elif isinstance(action, WatchPlatform):
            self.reactor.callLater(action.delay, self._watch, table, action.number)
        elif isinstance(action, RequestDifference):
            self._send(action.peer, PullTable(table, action.after, action.floor))
        elif isinstance(action, SendNotice):
            self._send(action.peer, RevisionNotice(table, action.revision))
        elif isinstance(action, SendDifference):
            self._send(action.peer, action.difference)
        elif isinstance(action, RefusePeer):
            self._refuse(action)
        elif isinstance(action, SendStates) and not self._states_scheduled:
            self._states_scheduled = True
            self.reactor.callLater(0, self._send_states)

    def _send_states(self) -> None:
        """Send the state of all tables to all peers; this also serves as a heartbeat."""
        self._states_scheduled = False
        states = self._make_states()
        for peer in self._streams:
            self._send(peer, states)
        for name in self._controllers:
            self._dispatch(name, StatesSent())

    def _make_states(self) -> TableStates:
        rows = []
        for name, controller in self._controllers.items():
            rows.append(TableState(name, controller.table.revision))
        ages = self._freshness.list_ages(self.reactor.seconds())
        return TableStates(rows, self.is_ready, ages)

    def _refuse(self, action: RefusePeer) -> None:
        self._context.metrics.count("differences_refused")
        for stream in list(self._streams.get(action.peer, [])):
            stream.abort(action.reason)

    def _send(self, peer: InstanceId, message: Message) -> None:
        streams = self._streams.get(peer)
        if streams:
            streams[-1].send(message)

    def _apply(self, table: str, action: ApplyRecords) -> None:
        self._context.metrics.count(f"{table}_applies")
        if table == CATALOGUE_TABLE:
            catalogue = self._controllers[table].table
            keys = self.view.apply(catalogue, action.records, action.source)
            self._in_force_at.append((self.view.revision, time.time()))
            self._publish(CatalogueChanged(keys))
            return
        for problem in self.membership.apply(action.records):
            logger.warning("instance record refused", extra={"problem": problem})
        self._peer_connector.update_instances(action.records)
        self._choose_peers()
        self._publish(InstancesChanged())

    def _publish(self, message: Any) -> None:
        for task in self._subscribers:
            task.post(message)

    def _choose_peers(self) -> None:
        self._peer_connector.choose(self.reactor.seconds())
        for name in self._controllers:
            self._dispatch(name, PeerCountChanged(self._peer_connector.reachable_count))
            self._dispatch(name, WatchRankChanged(self._peer_connector.watch_rank))

    def _replace_unreachable_peers(self, now: float) -> None:
        """Reselect the peers if one has become unreachable or an unreachable mark has expired."""
        unreachable = self._peer_connector.detect_unreachable(self._streams, now)
        for instance in unreachable:
            self._report_unreachable(instance)
        if unreachable or self._peer_connector.has_expired(now):
            self._choose_peers()

    def _report_unreachable(self, instance: InstanceId) -> None:
        """Report an unreachable entry to all peers, so that directories can avoid it."""
        record = self.membership.find(instance)
        if record is None or record.role != "entry":
            return
        self._context.metrics.count("entries_unreachable")
        self._queue_notices(self.membership.report_unreachable(instance))

    def _watch(self, table: str, number: int) -> None:
        after = self._controllers[table].table.revision
        self._context.metrics.count("platform_calls")
        deferred = self._platform.watch(table, after)
        deferred.addCallbacks(
            self._handle_platform_answer,
            self._handle_platform_failure,
            (number,),
            {},
            (table, number),
            {},
        )

    def _handle_platform_answer(self, difference: Difference, number: int) -> None:
        self._context.metrics.count("platform_reads")
        self._dispatch(difference.table, PlatformAnswered(difference, number))

    def _handle_platform_failure(self, failure: Failure, table: str, number: int) -> None:
        self._context.metrics.count("platform_failures")
        logger.debug("platform read failed", extra={"problem": failure.getErrorMessage()})
        self._dispatch(table, PlatformFailed(number))

    def _tick(self) -> None:
        now = self.reactor.seconds()
        elapsed = now - self._ticked_at
        self._ticked_at = now
        if not 0 <= elapsed <= MAX_TICK_GAP_SECONDS:
            self._handle_pause(elapsed)
        for name in self._controllers:
            self._dispatch(name, TableTick())
        self._replace_unreachable_peers(now)
        self._request_fallbacks(now)

    def _handle_pause(self, seconds: float) -> None:
        self._context.metrics.count("pauses")
        logger.warning(
            "process was paused or its clock was set", extra={"seconds": round(seconds, 3)}
        )
        for name in self._controllers:
            self._dispatch(name, ProcessResumed())
        self._publish(ProcessPaused(seconds))
