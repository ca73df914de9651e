"""Streams from an entry to agents, with the attempts and ticket requests in flight on them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from coltsfootshift.controllers.load import EndpointTable
from coltsfootshift.controllers.subsets import SubsetTable
from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import InstanceId, Purpose
from coltsfootshift.mesh import CatalogueChanged, InstancesChanged, MeshTask, PeerLeaving
from coltsfootshift.messages import (
    AnswerEnd,
    AnswerFrame,
    Cancel,
    Credit,
    IssueTicket,
    Leaving,
    LoadReport,
    Message,
    Submit,
    TicketIssued,
    TicketSettled,
    VoidTicket,
)
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner
from coltsfootshift.tasks import Task

__all__ = ["AttemptObserver", "EndpointGoneError", "WorkTask"]

KEEP_CONNECTED_SECONDS = 60.0


class EndpointGoneError(ColtsfootshiftError):
    """The stream to an agent has closed or was never open."""


class AttemptObserver(ABC):
    """Receives the frames of an attempt in order, then one `end_received` or `attempt_lost`."""

    @abstractmethod
    def frame_received(self, payload: bytes, digest: str) -> None:
        """Handle the next batch of answer bytes; the first carries the digest of the weights."""

    @abstractmethod
    def end_received(self, end: AnswerEnd) -> None:
        """Handle the end of the attempt, after all of its frames."""

    @abstractmethod
    def attempt_lost(self, reason: str) -> None:
        """Handle a closed stream or missing frames; the result at the agent is unknown."""


@dataclass(slots=True)
class _Attempt:
    instance: InstanceId
    request: str
    number: int
    observer: AttemptObserver
    frames: int = 0


@dataclass(slots=True)
class _AgentConnection:
    stream: PeerStream
    attempts: dict[tuple[str, int], _Attempt] = field(default_factory=dict)
    pending_replies: dict[str, Deferred[Any]] = field(default_factory=dict)


class WorkTask(Task, StreamOwner):
    """Owns the work streams of an entry and the endpoint table.

    `on_capacity` is called with the name of a service when one of its endpoints may have capacity.
    """

    def __init__(self, context: StreamContext, mesh: MeshTask, own: InstanceId, rng: Random):
        super().__init__(context.reactor)
        self.endpoints = EndpointTable()
        self.on_capacity: Callable[[str], None] = lambda service: None
        self._context = context
        self._mesh = mesh
        self._own = own
        self._rng = rng
        self._connections: dict[InstanceId, _AgentConnection] = {}
        self._keep_until: dict[InstanceId, float] = {}
        self._dialer = Dialer(context, Purpose.WORK, self, rng)
        self._subsets: dict[str, SubsetTable] = {}
        mesh.subscribe(self)

    def handle(self, message: Any) -> None:
        """Update the connected agents when the mesh reports a change."""
        if isinstance(message, (CatalogueChanged, InstancesChanged)):
            self._choose_agents()
        elif isinstance(message, PeerLeaving):
            self._mark_leaving(message.instance)

    def choose(self, service: str, avoid: list[InstanceId], digest: str = "") -> InstanceId | None:
        """Return an endpoint for a request of a service, or None if none has capacity.

        If `digest` is not empty, only an endpoint that reports these weights is returned.
        """
        excluded = [] if not digest else self._list_without_weights(digest)
        instance = self.endpoints.choose(
            service, [*avoid, *excluded], self._rng, self.reactor.seconds()
        )
        return None if instance in excluded else instance

    def keep_connected(self, instance: InstanceId) -> None:
        """Keep a stream to an agent for `KEEP_CONNECTED_SECONDS`, even outside the subset.

        Requests with a ticket must reach the agent that issued the ticket.
        """
        record = self._mesh.membership.find(instance)
        if record is None or record.role != "agent":
            return
        known = instance in self._keep_until
        self._keep_until[instance] = self.reactor.seconds() + KEEP_CONNECTED_SECONDS
        if not known:
            self._choose_agents()

    def choose_for_ticket(self, service: str, avoid: list[InstanceId]) -> InstanceId | None:
        """Return an endpoint to request a ticket from, or None if none is available."""
        now = self.reactor.seconds()
        return self.endpoints.choose_for_ticket(service, avoid, self._rng, now)

    def find_incarnation(self, instance: InstanceId) -> str | None:
        """Return the incarnation of a connected agent, or None if it is not connected."""
        connection = self._connections.get(instance)
        return connection.stream.peer_incarnation if connection else None

    def start(self, instance: InstanceId, submit: Submit, observer: AttemptObserver) -> None:
        """Send an attempt; raises `EndpointGoneError` if the agent is not connected."""
        connection = self._get_connection(instance)
        attempt = _Attempt(instance, submit.request, submit.attempt, observer)
        connection.attempts[submit.request, submit.attempt] = attempt
        self._update_needed(connection)
        self.endpoints.record_sent(instance, self.reactor.seconds())
        connection.stream.send(submit)

    def cancel(self, instance: InstanceId, request: str, number: int) -> None:
        """Cancel an attempt at the agent and ignore its later frames."""
        connection = self._connections.get(instance)
        if connection is None or connection.attempts.pop((request, number), None) is None:
            return
        self._update_needed(connection)
        self._record_ended(instance)
        connection.stream.send(Cancel(request, number))

    def grant_credit(self, instance: InstanceId, request: str, number: int, amount: int) -> None:
        """Allow the agent to send `amount` more bytes of an attempt's answer."""
        connection = self._connections.get(instance)
        if connection is not None and (request, number) in connection.attempts:
            connection.stream.send(Credit(request, number, amount))

    def issue_ticket(
        self, instance: InstanceId, request: str, service: str, team: str
    ) -> Deferred[TicketIssued]:
        """Request a ticket from an agent; fails with `EndpointGoneError` if disconnected."""
        return self._send_request(instance, request, IssueTicket(request, service, team))

    def void_ticket(
        self, instance: InstanceId, request: str, ticket: str
    ) -> Deferred[TicketSettled]:
        """Request that an agent void a ticket; fails with `EndpointGoneError` if disconnected."""
        return self._send_request(instance, request, VoidTicket(request, ticket))

    def stream_opened(self, stream: PeerStream) -> None:
        """Add the agent's endpoint to the table and close any older stream of the agent."""
        previous = self._connections.get(stream.peer_id)
        self._connections[stream.peer_id] = _AgentConnection(stream)
        assert stream.peer is not None
        self.endpoints.add(stream.peer_id, stream.peer.service)
        if self._mesh.membership.is_leaving(stream.peer_id):
            self._mark_leaving(stream.peer_id)
        if previous is not None:
            previous.stream.abort("replaced by a newer stream")
            self._fail_pending(previous)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Pass a message from an agent to its handler."""
        connection = self._connections.get(stream.peer_id)
        if connection is None or connection.stream is not stream:
            return
        if isinstance(message, LoadReport):
            self.endpoints.record_report(stream.peer_id, message, self.reactor.seconds())
            self._notify_capacity(stream.peer_id)
        elif isinstance(message, AnswerFrame):
            self._handle_frame(connection, message)
        elif isinstance(message, AnswerEnd):
            self._handle_end(connection, message)
        elif isinstance(message, (TicketIssued, TicketSettled)):
            self._handle_reply(connection, message)
        elif isinstance(message, Leaving):
            self._mark_leaving(stream.peer_id)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove the endpoint and report all attempts in flight on the stream as lost."""
        connection = self._connections.get(stream.peer_id)
        if connection is None or connection.stream is not stream:
            return
        del self._connections[stream.peer_id]
        self.endpoints.remove(stream.peer_id)
        self._fail_pending(connection)

    def _fail_pending(self, connection: _AgentConnection) -> None:
        peer = connection.stream.peer_id
        attempts = list(connection.attempts.values())
        replies = list(connection.pending_replies.values())
        connection.attempts.clear()
        connection.pending_replies.clear()
        for attempt in attempts:
            attempt.observer.attempt_lost(f"stream to {peer} is gone")
        for deferred in replies:
            deferred.errback(EndpointGoneError(f"stream to {peer} is gone"))

    def _update_needed(self, connection: _AgentConnection) -> None:
        """Use the short heartbeat interval while attempts or replies are pending."""
        connection.stream.set_needed(bool(connection.attempts or connection.pending_replies))

    def _get_connection(self, instance: InstanceId) -> _AgentConnection:
        connection = self._connections.get(instance)
        if connection is None:
            raise EndpointGoneError(f"no stream to {instance}")
        return connection

    def _send_request(self, instance: InstanceId, request: str, message: Message) -> Deferred[Any]:
        deferred: Deferred[Any] = Deferred()
        try:
            connection = self._get_connection(instance)
        except EndpointGoneError as error:
            deferred.errback(error)
            return deferred
        connection.pending_replies[request] = deferred
        self._update_needed(connection)
        connection.stream.send(message)
        return deferred

    def _handle_reply(
        self, connection: _AgentConnection, message: TicketIssued | TicketSettled
    ) -> None:
        deferred = connection.pending_replies.pop(message.request, None)
        self._update_needed(connection)
        if deferred is not None:
            deferred.callback(message)

    def _handle_frame(self, connection: _AgentConnection, frame: AnswerFrame) -> None:
        attempt = connection.attempts.get((frame.request, frame.attempt))
        if attempt is None:
            self._context.metrics.count("frames_of_old_attempts")
            return
        if frame.sequence != attempt.frames:
            self._fail_attempt(connection, attempt, f"frame {frame.sequence} came out of order")
            return
        attempt.frames += 1
        attempt.observer.frame_received(frame.payload, frame.digest)

    def _handle_end(self, connection: _AgentConnection, end: AnswerEnd) -> None:
        attempt = connection.attempts.get((end.request, end.attempt))
        if attempt is None:
            return
        if end.count != attempt.frames:
            self._fail_attempt(connection, attempt, f"{attempt.frames} of {end.count} frames came")
            return
        del connection.attempts[end.request, end.attempt]
        self._update_needed(connection)
        self._record_ended(attempt.instance)
        attempt.observer.end_received(end)

    def _fail_attempt(self, connection: _AgentConnection, attempt: _Attempt, reason: str) -> None:
        del connection.attempts[attempt.request, attempt.number]
        self._update_needed(connection)
        self._record_ended(attempt.instance)
        connection.stream.send(Cancel(attempt.request, attempt.number))
        attempt.observer.attempt_lost(reason)

    def _record_ended(self, instance: InstanceId) -> None:
        self.endpoints.record_ended(instance, self.reactor.seconds())
        self._notify_capacity(instance)

    def _notify_capacity(self, instance: InstanceId) -> None:
        endpoint = self.endpoints.endpoints.get(instance)
        if endpoint is not None:
            self.on_capacity(endpoint.service)

    def _mark_leaving(self, instance: InstanceId) -> None:
        endpoint = self.endpoints.endpoints.get(instance)
        if endpoint is not None:
            endpoint.usable = False

    def _choose_agents(self) -> None:
        targets = {}
        rows = self._mesh.membership.list_all()
        entries = [row.instance for row in rows if row.role == "entry"]
        for service in self._mesh.view.list_services():
            records = {row.instance: row for row in self._mesh.membership.list_agents(service)}
            subset = self._subsets.setdefault(service, SubsetTable(self._own))
            subset.update(records, entries)
            chosen = subset.list_chosen()
            entries_per_agent = len(entries) * len(chosen) / max(1, len(records))
            self.endpoints.entries[service] = max(1, round(entries_per_agent))
            for name in chosen:
                targets[InstanceId(name)] = records[name].peers
                if records[name].state == "leaving":
                    self._mark_leaving(InstanceId(name))
        targets.update(self._list_kept_addresses())
        self._dialer.set_targets(targets)

    def _list_kept_addresses(self) -> dict[InstanceId, Address]:
        now = self.reactor.seconds()
        addresses = {}
        for instance, until in list(self._keep_until.items()):
            record = self._mesh.membership.find(instance)
            if now > until:
                del self._keep_until[instance]
                continue
            if record is not None:
                addresses[instance] = record.peers
        return addresses

    def _list_without_weights(self, digest: str) -> list[InstanceId]:
        instances = []
        for instance, endpoint in self.endpoints.endpoints.items():
            if endpoint.report is None or endpoint.report.digest != digest:
                instances.append(instance)
        return instances
