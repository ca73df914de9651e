"""The work task of an entry: streams to agents, attempts and tickets in progress on them."""

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
from coltsfootshift.mesh import CatalogueChanged, InstancesChanged, MeshTask, PeerLeft
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

REACH_SECONDS = 60.0


class EndpointGoneError(ColtsfootshiftError):
    """The stream to an agent is gone or was never there."""


class AttemptObserver(ABC):
    """Receives what an attempt brings: frames in order, then one of `ended` and `lost`."""

    @abstractmethod
    def framed(self, payload: bytes, digest: str) -> None:
        """The next batch of answer bytes; the first names the weights that make the answer."""

    @abstractmethod
    def ended(self, end: AnswerEnd) -> None:
        """The attempt has ended and all of its frames came before."""

    @abstractmethod
    def lost(self, reason: str) -> None:
        """The stream broke or frames are missing: what happened at the agent is not known."""


@dataclass(slots=True)
class _Attempt:
    instance: InstanceId
    request: str
    number: int
    observer: AttemptObserver
    frames: int = 0


@dataclass(slots=True)
class _AgentLink:
    stream: PeerStream
    attempts: dict[tuple[str, int], _Attempt] = field(default_factory=dict)
    questions: dict[str, Deferred[Any]] = field(default_factory=dict)


class WorkTask(Task, StreamOwner):
    """Owns the work streams of an entry and the endpoint table that they feed."""

    def __init__(self, context: StreamContext, mesh: MeshTask, own: InstanceId, rng: Random):
        super().__init__(context.reactor)
        self.endpoints = EndpointTable()
        self.on_room: Callable[[str], None] = lambda service: None
        self._context = context
        self._mesh = mesh
        self._own = own
        self._rng = rng
        self._links: dict[InstanceId, _AgentLink] = {}
        self._reached: dict[InstanceId, float] = {}
        self._dialer = Dialer(context, Purpose.WORK, self, rng)
        self._subsets: dict[str, SubsetTable] = {}
        mesh.subscribe(self)

    def handle(self, message: Any) -> None:
        """Take changes from the mesh."""
        if isinstance(message, (CatalogueChanged, InstancesChanged)):
            self._choose_agents()
        elif isinstance(message, PeerLeft):
            self._mark_leaving(message.instance)

    def choose(self, service: str, avoid: list[InstanceId], digest: str = "") -> InstanceId | None:
        """Return an endpoint for a request of a service, None where none can take it.

        Where `digest` is not empty, only an endpoint that reports these weights is returned.
        """
        others = [] if not digest else self._list_other_weights(digest)
        instance = self.endpoints.choose(
            service, [*avoid, *others], self._rng, self.reactor.seconds()
        )
        return None if instance in others else instance

    def reach(self, instance: InstanceId) -> None:
        """Keep a stream to an agent outside the subset for a while, to settle its tickets."""
        record = self._mesh.membership.find(instance)
        if record is None or record.role != "agent":
            return
        known = instance in self._reached
        self._reached[instance] = self.reactor.seconds() + REACH_SECONDS
        if not known:
            self._choose_agents()

    def choose_for_ticket(self, service: str, avoid: list[InstanceId]) -> InstanceId | None:
        """Return an endpoint that is to issue a ticket, None where none can."""
        now = self.reactor.seconds()
        return self.endpoints.choose_for_ticket(service, avoid, self._rng, now)

    def find_incarnation(self, instance: InstanceId) -> str | None:
        """Return the incarnation at the end of an open stream, None without a stream."""
        link = self._links.get(instance)
        return link.stream.peer_incarnation if link else None

    def start(self, instance: InstanceId, submit: Submit, observer: AttemptObserver) -> None:
        """Send an attempt; raises `EndpointGoneError` where no stream is open."""
        link = self._find_link(instance)
        attempt = _Attempt(instance, submit.request, submit.attempt, observer)
        link.attempts[submit.request, submit.attempt] = attempt
        self._update_need(link)
        self.endpoints.record_sent(instance, self.reactor.seconds())
        link.stream.send(submit)

    def cancel(self, instance: InstanceId, request: str, number: int) -> None:
        """Drop an attempt: its later frames are ignored and the agent is told."""
        link = self._links.get(instance)
        if link is None or link.attempts.pop((request, number), None) is None:
            return
        self._update_need(link)
        self._note_ended(instance)
        link.stream.send(Cancel(request, number))

    def grant(self, instance: InstanceId, request: str, number: int, amount: int) -> None:
        """Tell the agent that the caller has taken `amount` more bytes of an attempt."""
        link = self._links.get(instance)
        if link is not None and (request, number) in link.attempts:
            link.stream.send(Credit(request, number, amount))

    def issue_ticket(
        self, instance: InstanceId, request: str, service: str, team: str
    ) -> Deferred[TicketIssued]:
        """Ask an agent for a ticket; fails with `EndpointGoneError`."""
        return self._ask(instance, request, IssueTicket(request, service, team))

    def void_ticket(
        self, instance: InstanceId, request: str, ticket: str
    ) -> Deferred[TicketSettled]:
        """Ask an agent to void a ticket; fails with `EndpointGoneError`."""
        return self._ask(instance, request, VoidTicket(request, ticket))

    def stream_opened(self, stream: PeerStream) -> None:
        """Take the agent's endpoint into the table."""
        held = self._links.get(stream.peer_id)
        self._links[stream.peer_id] = _AgentLink(stream)
        assert stream.peer is not None
        self.endpoints.add(stream.peer_id, stream.peer.service)
        if self._mesh.membership.is_leaving(stream.peer_id):
            self._mark_leaving(stream.peer_id)
        if held is not None:
            held.stream.abort("replaced by a newer stream")
            self._drop(held)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Hand a message of an agent to what waits for it."""
        link = self._links.get(stream.peer_id)
        if link is None or link.stream is not stream:
            return
        if isinstance(message, LoadReport):
            self.endpoints.record_report(stream.peer_id, message, self.reactor.seconds())
            self._tell_room(stream.peer_id)
        elif isinstance(message, AnswerFrame):
            self._take_frame(link, message)
        elif isinstance(message, AnswerEnd):
            self._take_end(link, message)
        elif isinstance(message, (TicketIssued, TicketSettled)):
            self._take_reply(link, message)
        elif isinstance(message, Leaving):
            self._mark_leaving(stream.peer_id)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Report everything in progress on the stream as lost."""
        link = self._links.get(stream.peer_id)
        if link is None or link.stream is not stream:
            return
        del self._links[stream.peer_id]
        self.endpoints.remove(stream.peer_id)
        self._drop(link)

    def _drop(self, link: _AgentLink) -> None:
        peer = link.stream.peer_id
        attempts = list(link.attempts.values())
        questions = list(link.questions.values())
        link.attempts.clear()
        link.questions.clear()
        for attempt in attempts:
            attempt.observer.lost(f"stream to {peer} is gone")
        for deferred in questions:
            deferred.errback(EndpointGoneError(f"stream to {peer} is gone"))

    def _update_need(self, link: _AgentLink) -> None:
        """Keep quick heartbeats on the stream while something is awaited from the agent."""
        link.stream.set_needed(bool(link.attempts or link.questions))

    def _find_link(self, instance: InstanceId) -> _AgentLink:
        link = self._links.get(instance)
        if link is None:
            raise EndpointGoneError(f"no stream to {instance}")
        return link

    def _ask(self, instance: InstanceId, request: str, message: Message) -> Deferred[Any]:
        deferred: Deferred[Any] = Deferred()
        try:
            link = self._find_link(instance)
        except EndpointGoneError as error:
            deferred.errback(error)
            return deferred
        link.questions[request] = deferred
        self._update_need(link)
        link.stream.send(message)
        return deferred

    def _take_reply(self, link: _AgentLink, message: TicketIssued | TicketSettled) -> None:
        deferred = link.questions.pop(message.request, None)
        self._update_need(link)
        if deferred is not None:
            deferred.callback(message)

    def _take_frame(self, link: _AgentLink, frame: AnswerFrame) -> None:
        attempt = link.attempts.get((frame.request, frame.attempt))
        if attempt is None:
            self._context.metrics.count("frames_of_old_attempts")
            return
        if frame.sequence != attempt.frames:
            self._fail_attempt(link, attempt, f"frame {frame.sequence} came out of order")
            return
        attempt.frames += 1
        attempt.observer.framed(frame.payload, frame.digest)

    def _take_end(self, link: _AgentLink, end: AnswerEnd) -> None:
        attempt = link.attempts.get((end.request, end.attempt))
        if attempt is None:
            return
        if end.count != attempt.frames:
            self._fail_attempt(link, attempt, f"{attempt.frames} of {end.count} frames came")
            return
        del link.attempts[end.request, end.attempt]
        self._update_need(link)
        self._note_ended(attempt.instance)
        attempt.observer.ended(end)

    def _fail_attempt(self, link: _AgentLink, attempt: _Attempt, reason: str) -> None:
        del link.attempts[attempt.request, attempt.number]
        self._update_need(link)
        self._note_ended(attempt.instance)
        link.stream.send(Cancel(attempt.request, attempt.number))
        attempt.observer.lost(reason)

    def _note_ended(self, instance: InstanceId) -> None:
        self.endpoints.record_ended(instance, self.reactor.seconds())
        self._tell_room(instance)

    def _tell_room(self, instance: InstanceId) -> None:
        endpoint = self.endpoints.endpoints.get(instance)
        if endpoint is not None:
            self.on_room(endpoint.service)

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
            sharing = len(entries) * len(chosen) / max(1, len(records))
            self.endpoints.entries[service] = max(1, round(sharing))
            for name in chosen:
                targets[InstanceId(name)] = records[name].peers
                if records[name].state == "leaving":
                    self._mark_leaving(InstanceId(name))
        targets.update(self._list_reached())
        self._dialer.set_targets(targets)

    def _list_reached(self) -> dict[InstanceId, Address]:
        now = self.reactor.seconds()
        rows = {}
        for instance, until in list(self._reached.items()):
            record = self._mesh.membership.find(instance)
            if now > until:
                del self._reached[instance]
                continue
            if record is not None:
                rows[instance] = record.peers
        return rows

    def _list_other_weights(self, digest: str) -> list[InstanceId]:
        rows = []
        for instance, endpoint in self.endpoints.endpoints.items():
            if endpoint.report is None or endpoint.report.digest != digest:
                rows.append(instance)
        return rows
