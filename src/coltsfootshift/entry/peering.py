"""Streams between entries, which carry loans of limit shares and reports of suspect requests."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.limits import (
    DivisionChanged,
    EntryConnected,
    EntryMessageReceived,
    LimitsController,
    LimitsTick,
    SendToEntry,
)
from coltsfootshift.controllers.rings import choose_ring_peers
from coltsfootshift.controllers.shares import Division, EntryViews
from coltsfootshift.ids import InstanceId, Purpose
from coltsfootshift.logs import get_logger
from coltsfootshift.mesh import InstancesChanged, MeshTask
from coltsfootshift.messages import (
    Leaving,
    Message,
    ShareHeld,
    ShareLent,
    ShareRequested,
    ShareReturned,
    ViewAnnounced,
)
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner
from coltsfootshift.tasks import Task

__all__ = ["EntryPeering"]

TICK_INTERVAL_SECONDS = 0.25
FULL_MESH_MAX_ENTRIES = 16  # including this one; in a larger fleet each dials only ring neighbours
ENTRY_RINGS = 4
MIN_LONGEST_DEADLINE_SECONDS = 30.0  # used if all services have shorter deadlines

logger = get_logger("entry.exchange")


class EntryPeering(Task, StreamOwner):
    """Owns the streams to other entries.

    In a small fleet every pair is connected, and the entry with the lower name dials. In a large
    fleet each entry dials its successors on several hash rings.

    Limits are divided among the entries. Each entry sends its peers a digest of the list of
    entries that it divides by, once its requests in flight and its loans fit that division.
    """

    def __init__(self, context: StreamContext, mesh: MeshTask, own: InstanceId, rng: Random):
        super().__init__(context.reactor)
        now = context.reactor.seconds()
        self.views = EntryViews(own, now)
        self.limits = LimitsController(now)
        self.receivers: dict[type[Message], Callable[[PeerStream, Any], None]] = {}
        self.on_opened: Callable[[PeerStream], None] | None = None
        self._context = context
        self._mesh = mesh
        self._own = own
        self._streams: dict[InstanceId, PeerStream] = {}
        self._dialer = Dialer(context, Purpose.ENTRIES, self, rng)
        self._division: Division | None = None
        self._sent_view = ViewAnnounced("", False)
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor
        mesh.subscribe(self)

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """The connected entries, in order of their names."""
        return tuple(sorted(self._streams))

    def start(self) -> None:
        """Start the periodic update."""
        self._loop.start(TICK_INTERVAL_SECONDS, now=False)

    def handle(self, message: Any) -> None:
        """Update the list of entries when the instance list of the mesh changes."""
        if not isinstance(message, InstancesChanged):
            return
        rows = [row for row in self._mesh.membership.list_all() if row.role == "entry"]
        if self.views.update_entries(
            [InstanceId(row.instance) for row in rows], self.reactor.seconds()
        ):
            self._choose_peers()
        self._update_division()

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send a message to an entry; it is dropped if the entry is not connected."""
        stream = self._streams.get(peer)
        if stream is not None:
            stream.send(message)

    def stream_opened(self, stream: PeerStream) -> None:
        """Replace any older stream of the peer and send this entry's state to it."""
        previous = self._streams.get(stream.peer_id)
        self._streams[stream.peer_id] = stream
        if previous is not None:
            previous.abort("replaced by a newer stream")
        self.views.record_restarted(stream.peer_id, stream.peer_incarnation)
        now = self.reactor.seconds()
        self._perform(self.limits.handle(EntryConnected(stream.peer_id), now))
        stream.send(self._sent_view)
        if self.on_opened is not None:
            self.on_opened(stream)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Pass a message to the controller or receiver that handles its type."""
        now = self.reactor.seconds()
        if isinstance(message, ViewAnnounced):
            self.views.record_peer_view(
                stream.peer_id, stream.peer_incarnation, message.view, message.active, now
            )
            self._update_division()
        elif isinstance(message, (ShareRequested, ShareHeld, ShareLent, ShareReturned)):
            entry = self._mesh.view.find_team(message.team)
            limits = entry.limits if entry is not None else None
            self._perform(
                self.limits.handle(EntryMessageReceived(stream.peer_id, message, limits), now)
            )
        elif type(message) in self.receivers:
            self.receivers[type(message)](stream, message)
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a stream between entries")

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove the stream; the state received from the entry is kept."""
        if self._streams.get(stream.peer_id) is stream:
            del self._streams[stream.peer_id]

    def describe(self) -> dict[str, Any]:
        """Return the peers and the division of limits for the status page."""
        now = self.reactor.seconds()
        division = self.views.divide(now)
        return {
            "entries": list(self.peers),
            "count": division.count,
            "active": division.active,
            "settled": division.settled,
            "teams": self.limits.describe(now),
        }

    def _choose_peers(self) -> None:
        others = self.views.list_others()
        if len(others) >= FULL_MESH_MAX_ENTRIES:
            names = choose_ring_peers(self._own, [*others, self._own], ENTRY_RINGS, "entries")
            wanted = [InstanceId(name) for name in names]
        else:
            wanted = [name for name in others if name > self._own]
        targets = {}
        for name in wanted:
            record = self._mesh.membership.find(name)
            if record is not None:
                targets[name] = record.peers
        self._dialer.set_targets(targets)

    def _tick(self) -> None:
        now = self.reactor.seconds()
        self.views.tick(now)
        self._update_division()
        longest_deadline = MIN_LONGEST_DEADLINE_SECONDS
        for name in self._mesh.view.list_services():
            service = self._mesh.view.find_service(name)
            if service is not None:
                longest_deadline = max(longest_deadline, service.limits.deadline_seconds)
        self._perform(self.limits.handle(LimitsTick(self.peers, longest_deadline), now))

    def _update_division(self) -> None:
        """Apply the current division, and announce it to peers once this entry fits it."""
        now = self.reactor.seconds()
        division = self.views.divide(now)
        if division != self._division:
            self._division = division
            self.limits.handle(DivisionChanged(division), now)
            logger.info(
                "division of limits changed",
                extra={"entries": division.count, "active": division.active},
            )
        view = ViewAnnounced(self.views.digest(), division.active)
        if view == self._sent_view or not self.limits.fits_division(now):
            return
        self._sent_view = view
        for stream in self._streams.values():
            stream.send(view)

    def _perform(self, actions: list[SendToEntry]) -> None:
        for action in actions:
            self.send(action.peer, action.message)
