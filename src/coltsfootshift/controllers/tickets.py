"""The tickets issued by one incarnation of an agent, each of which runs at most once."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from coltsfootshift.ids import Digest, Incarnation, InstanceId, TicketId
from coltsfootshift.tickets import ParsedTicket

__all__ = ["RecordedAnswer", "Ticket", "TicketLedger", "TicketState", "TicketUse"]

TICKET_LIFETIME_SECONDS = 120.0
RECORD_LIFETIME_SECONDS = 600.0
MAX_TICKETS = 20_000
MAX_ANSWER_BYTES = 65_536
MAX_RECORDED_BYTES = 16 * 1024 * 1024
BODY_DIGEST_BYTES = 16


class TicketState(Enum):
    """The state of a ticket."""

    ISSUED = "issued"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"
    VOID = "not_run"


@dataclass(frozen=True, slots=True)
class TicketUse:
    """The request that a ticket is used for.

    A ticket is bound to its first use; other uses are refused.
    """

    service: str
    team: str
    operation: str
    body_digest: bytes

    @classmethod
    def of(cls, service: str, team: str, operation: str, body: bytes) -> TicketUse:
        """Return the use for a request with this body."""
        digest = hashlib.blake2b(body, digest_size=BODY_DIGEST_BYTES).digest()
        return cls(service, team, operation, digest)


@dataclass(slots=True)
class RecordedAnswer:
    """The answer recorded for a ticket.

    `size` is in bytes; `dropped` is set when the frames were discarded to save memory.
    """

    frames: list[bytes] = field(default_factory=list)
    size: int = 0
    dropped: bool = False
    status: int = 200
    digest: Digest = Digest("")

    def drop(self) -> int:
        """Discard the frames; return the number of bytes freed."""
        freed = self.size
        self.frames.clear()
        self.size = 0
        self.dropped = True
        return freed


@dataclass(slots=True)
class Ticket:
    """A ticket, its state and its answer; times are in monotonic seconds."""

    ticket: TicketId
    service: str
    team: str
    issued_at: float
    state: TicketState = TicketState.ISSUED
    ended_at: float | None = None
    use: TicketUse | None = None
    answer: RecordedAnswer = field(default_factory=RecordedAnswer)
    reason: str = ""


class TicketMachine(Protocol):
    """Inputs of the state machine of a ticket."""

    def start(self) -> bool:
        """Start the run; return True the first time and False after that."""

    def complete(self) -> None:
        """Record that the run has ended with a complete answer."""

    def lose(self) -> None:
        """Record that the run has ended without a complete answer and may have had effects."""

    def revoke(self) -> None:
        """Record that the endpoint has never started the run."""

    def void(self) -> None:
        """Prevent a ticket that has not run from ever running."""


def _build_machine() -> Callable[[Ticket], TicketMachine]:
    builder = TypeMachineBuilder(TicketMachine, Ticket)
    issued = builder.state("issued")
    running = builder.state("running")
    complete = builder.state("complete")
    unknown = builder.state("unknown")
    void = builder.state("void")

    @issued.upon(TicketMachine.start).to(running)
    def _start(machine: TicketMachine, ticket: Ticket) -> bool:
        ticket.state = TicketState.RUNNING
        return True

    @issued.upon(TicketMachine.void).to(void)
    def _void(machine: TicketMachine, ticket: Ticket) -> None:
        ticket.state = TicketState.VOID

    @running.upon(TicketMachine.complete).to(complete)
    def _complete(machine: TicketMachine, ticket: Ticket) -> None:
        ticket.state = TicketState.COMPLETE

    @running.upon(TicketMachine.lose).to(unknown)
    def _lose(machine: TicketMachine, ticket: Ticket) -> None:
        ticket.state = TicketState.UNKNOWN

    @running.upon(TicketMachine.revoke).to(void)
    def _revoke(machine: TicketMachine, ticket: Ticket) -> None:
        ticket.state = TicketState.VOID

    for state in (running, complete, unknown, void):
        state.upon(TicketMachine.start).loop().returns(False)
        state.upon(TicketMachine.void).loop().returns(None)
    for state in (issued, complete, unknown, void):
        state.upon(TicketMachine.complete).loop().returns(None)
        state.upon(TicketMachine.lose).loop().returns(None)
        state.upon(TicketMachine.revoke).loop().returns(None)
    return builder.build()


_make_ticket_machine = _build_machine()


class TicketLedger:
    """Issues the tickets of one incarnation and records their outcomes in bounded memory.

    An unused ticket becomes void after `TICKET_LIFETIME_SECONDS`. The outcome of a ticket is kept
    for `RECORD_LIFETIME_SECONDS` after its end. A ticket that is no longer kept never runs, and
    whether it has run is unknown. All recorded answers together take at most `MAX_RECORDED_BYTES`;
    beyond that the oldest answers are discarded, but their outcomes are kept.

    >>> ledger = TicketLedger(InstanceId("ledger-1"), Incarnation("ab"))
    >>> issued = ledger.issue("booking-ledger", "staff", now=0.0)
    >>> ledger.start(issued.ticket, now=1.0), ledger.start(issued.ticket, now=1.0)
    (True, False)
    """

    def __init__(self, instance: InstanceId, incarnation: Incarnation) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._issued = 0
        self._tickets: dict[TicketId, Ticket] = {}
        self._machines: dict[TicketId, TicketMachine] = {}
        self._unused: OrderedDict[TicketId, None] = OrderedDict()
        self._ended: OrderedDict[TicketId, None] = OrderedDict()
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def unused(self) -> int:
        """The number of tickets that may still run."""
        return len(self._unused)

    @property
    def recorded_bytes(self) -> int:
        """The total size of all recorded answers in bytes."""
        return self._recorded_bytes

    def issue(self, service: str, team: str, now: float) -> Ticket | None:
        """Return a new ticket, or None if the ledger is full."""
        self.expire(now)
        if len(self._tickets) >= MAX_TICKETS:
            return None
        self._issued += 1
        name = ParsedTicket(self._instance, self._incarnation, str(self._issued))
        ticket = Ticket(name.format(), service, team, now)
        self._tickets[ticket.ticket] = ticket
        self._machines[ticket.ticket] = _make_ticket_machine(ticket)
        self._unused[ticket.ticket] = None
        return ticket

    def find(self, ticket: TicketId, now: float) -> Ticket | None:
        """Return a ticket, or None if it is not kept."""
        self.expire(now)
        return self._tickets.get(ticket)

    def bind(self, ticket: Ticket, use: TicketUse) -> bool:
        """Bind a ticket to its first use; return False if it was issued or bound for another."""
        if ticket.service != use.service or ticket.team not in ("", use.team):
            return False
        if ticket.use is None:
            ticket.use = use
        return ticket.use == use

    def start(self, ticket: TicketId, now: float) -> bool:
        """Start the only run of a ticket; return False if it must not run."""
        self.expire(now)
        held = self._tickets.get(ticket)
        if held is None or not self._machines[ticket].start():
            return False
        del self._unused[ticket]
        return True

    def record(self, ticket: Ticket, payload: bytes) -> None:
        """Record the next bytes of an answer, unless it is too large to be kept."""
        answer = ticket.answer
        if answer.dropped:
            return
        answer.frames.append(payload)
        answer.size += len(payload)
        self._recorded_bytes += len(payload)
        if answer.size > MAX_ANSWER_BYTES:
            self._recorded_bytes -= answer.drop()
        self._evict_answers()

    def complete(self, ticket: TicketId, status: int, digest: Digest, now: float) -> None:
        """Record that a run has ended with a complete answer."""
        held = self._tickets[ticket]
        held.answer.status = status
        held.answer.digest = digest
        self._machines[ticket].complete()
        self._end(held, now)

    def lose(self, ticket: TicketId, reason: str, now: float) -> None:
        """Record that a run has ended without a complete answer."""
        self._machines[ticket].lose()
        self._end_without_answer(ticket, reason, now)

    def revoke(self, ticket: TicketId, reason: str, now: float) -> None:
        """Void a ticket whose run has provably never been started by the endpoint."""
        self._machines[ticket].revoke()
        self._end_without_answer(ticket, reason, now)

    def void(self, ticket: TicketId, now: float, reason: str = "") -> TicketState:
        """Void a ticket unless it has been started; return its state."""
        self.expire(now)
        held = self._tickets.get(ticket)
        if held is None:
            return TicketState.UNKNOWN
        if held.state is TicketState.ISSUED:
            self._machines[ticket].void()
            del self._unused[ticket]
            self._end_without_answer(ticket, reason, now)
        return held.state

    def void_unused(self, reason: str, now: float) -> None:
        """Void every ticket that has not been used."""
        for ticket in list(self._unused):
            self.void(ticket, now, reason)

    def expire(self, now: float) -> None:
        """Void unused tickets and remove ended ones whose lifetime is over."""
        while self._unused:
            oldest = next(iter(self._unused))
            if now - self._tickets[oldest].issued_at <= TICKET_LIFETIME_SECONDS:
                break
            del self._unused[oldest]
            self._machines[oldest].void()
            self._end_without_answer(oldest, "the ticket has expired", now)
        while self._ended:
            oldest = next(iter(self._ended))
            ended_at = self._tickets[oldest].ended_at
            if ended_at is not None and now - ended_at <= RECORD_LIFETIME_SECONDS:
                break
            self._forget(oldest)

    def _end_without_answer(self, ticket: TicketId, reason: str, now: float) -> None:
        held = self._tickets[ticket]
        held.reason = reason
        self._recorded_bytes -= held.answer.drop()
        self._end(held, now)

    def _end(self, ticket: Ticket, now: float) -> None:
        ticket.ended_at = now
        self._ended[ticket.ticket] = None

    def _forget(self, ticket: TicketId) -> None:
        del self._ended[ticket]
        del self._machines[ticket]
        self._recorded_bytes -= self._tickets.pop(ticket).answer.size

    def _evict_answers(self) -> None:
        for ticket in self._ended:
            if self._recorded_bytes <= MAX_RECORDED_BYTES:
                return
            answer = self._tickets[ticket].answer
            if answer.size:
                self._recorded_bytes -= answer.drop()
