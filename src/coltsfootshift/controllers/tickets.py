"""The tickets that one agent incarnation has issued: each runs at most once."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from coltsfootshift.ids import Digest, Incarnation, InstanceId, TicketId
from coltsfootshift.tickets import TicketName

__all__ = ["RecordedAnswer", "Ticket", "TicketLedger", "TicketState", "TicketUse"]

TICKET_LIFETIME_SECONDS = 120.0
RECORD_LIFETIME_SECONDS = 600.0
MAX_TICKETS = 20_000
MAX_ANSWER_BYTES = 65_536
MAX_RECORDED_BYTES = 16 * 1024 * 1024
BODY_DIGEST_BYTES = 16


class TicketState(Enum):
    """Where a ticket stands."""

    ISSUED = "issued"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"
    VOID = "not_run"


@dataclass(frozen=True, slots=True)
class TicketUse:
    """What a ticket is used for; the first use binds it, and any other is refused."""

    service: str
    team: str
    operation: str
    body_digest: bytes

    @classmethod
    def of(cls, service: str, team: str, operation: str, body: bytes) -> TicketUse:
        """Return the use that a request makes of its ticket."""
        digest = hashlib.blake2b(body, digest_size=BODY_DIGEST_BYTES).digest()
        return cls(service, team, operation, digest)


@dataclass(slots=True)
class RecordedAnswer:
    """The answer kept under a ticket; `dropped` once it has outgrown its bound, in bytes."""

    frames: list[bytes] = field(default_factory=list)
    size: int = 0
    dropped: bool = False
    status: int = 200
    digest: Digest = Digest("")

    def drop(self) -> int:
        """Forget the frames; return how many bytes they held."""
        freed = self.size
        self.frames.clear()
        self.size = 0
        self.dropped = True
        return freed


@dataclass(slots=True)
class Ticket:
    """One ticket and what became of it; times are monotonic seconds."""

    ticket: TicketId
    service: str
    team: str
    issued_at: float
    state: TicketState = TicketState.ISSUED
    ended_at: float | None = None
    use: TicketUse | None = None
    answer: RecordedAnswer = field(default_factory=RecordedAnswer)
    reason: str = ""


class TicketLife(Protocol):
    """Inputs that move a ticket from state to state."""

    def start(self) -> bool:
        """Take the ticket for a run; True only the one time when it may run."""

    def complete(self) -> None:
        """The run has ended with a whole answer."""

    def lose(self) -> None:
        """The run has ended without a whole answer, and may have had its effect."""

    def revoke(self) -> None:
        """The endpoint has never started the run."""

    def void(self) -> None:
        """Make sure that the ticket never runs, where it has not."""


def _build_machine() -> Callable[[Ticket], TicketLife]:
    builder = TypeMachineBuilder(TicketLife, Ticket)
    issued = builder.state("issued")
    running = builder.state("running")
    complete = builder.state("complete")
    unknown = builder.state("unknown")
    void = builder.state("void")

    @issued.upon(TicketLife.start).to(running)
    def _start(life: TicketLife, ticket: Ticket) -> bool:
        ticket.state = TicketState.RUNNING
        return True

    @issued.upon(TicketLife.void).to(void)
    def _void(life: TicketLife, ticket: Ticket) -> None:
        ticket.state = TicketState.VOID

    @running.upon(TicketLife.complete).to(complete)
    def _complete(life: TicketLife, ticket: Ticket) -> None:
        ticket.state = TicketState.COMPLETE

    @running.upon(TicketLife.lose).to(unknown)
    def _lose(life: TicketLife, ticket: Ticket) -> None:
        ticket.state = TicketState.UNKNOWN

    @running.upon(TicketLife.revoke).to(void)
    def _revoke(life: TicketLife, ticket: Ticket) -> None:
        ticket.state = TicketState.VOID

    for state in (running, complete, unknown, void):
        state.upon(TicketLife.start).loop().returns(False)
        state.upon(TicketLife.void).loop().returns(None)
    for state in (issued, complete, unknown, void):
        state.upon(TicketLife.complete).loop().returns(None)
        state.upon(TicketLife.lose).loop().returns(None)
        state.upon(TicketLife.revoke).loop().returns(None)
    return builder.build()


_make_life = _build_machine()


class TicketLedger:
    """Issues tickets of one incarnation and keeps what became of them, bounded.

    An unused ticket is void after `TICKET_LIFETIME_SECONDS`. What became of an ended one is kept
    for `RECORD_LIFETIME_SECONDS` from its end. A ticket that is no longer kept never runs, and
    whether it ran is then unknown. All recorded answers together hold at most
    `MAX_RECORDED_BYTES`; beyond it the oldest answers are dropped, not the outcomes.

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
        self._lives: dict[TicketId, TicketLife] = {}
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
        """The bytes of all recorded answers."""
        return self._recorded_bytes

    def issue(self, service: str, team: str, now: float) -> Ticket | None:
        """Return a new ticket, None where the ledger is full."""
        self.expire(now)
        if len(self._tickets) >= MAX_TICKETS:
            return None
        self._issued += 1
        name = TicketName(self._instance, self._incarnation, str(self._issued))
        ticket = Ticket(name.format(), service, team, now)
        self._tickets[ticket.ticket] = ticket
        self._lives[ticket.ticket] = _make_life(ticket)
        self._unused[ticket.ticket] = None
        return ticket

    def find(self, ticket: TicketId, now: float) -> Ticket | None:
        """Return a ticket that is kept."""
        self.expire(now)
        return self._tickets.get(ticket)

    def bind(self, ticket: Ticket, use: TicketUse) -> bool:
        """Bind a ticket to its first use; False where it is bound to another."""
        if ticket.service != use.service or ticket.team not in ("", use.team):
            return False
        if ticket.use is None:
            ticket.use = use
        return ticket.use == use

    def start(self, ticket: TicketId, now: float) -> bool:
        """Take a ticket for its one run; False where it must not run."""
        self.expire(now)
        held = self._tickets.get(ticket)
        if held is None or not self._lives[ticket].start():
            return False
        del self._unused[ticket]
        return True

    def record(self, ticket: Ticket, payload: bytes) -> None:
        """Keep the next bytes of the answer to a running ticket, within the bounds."""
        answer = ticket.answer
        if answer.dropped:
            return
        answer.frames.append(payload)
        answer.size += len(payload)
        self._recorded_bytes += len(payload)
        if answer.size > MAX_ANSWER_BYTES:
            self._recorded_bytes -= answer.drop()
        self._shed_answers()

    def complete(self, ticket: TicketId, status: int, digest: Digest, now: float) -> None:
        """Record the end of a run with a whole answer."""
        held = self._tickets[ticket]
        held.answer.status = status
        held.answer.digest = digest
        self._lives[ticket].complete()
        self._end(held, now)

    def lose(self, ticket: TicketId, reason: str, now: float) -> None:
        """Record the end of a run without a whole answer."""
        self._lives[ticket].lose()
        self._end_without_answer(ticket, reason, now)

    def revoke(self, ticket: TicketId, reason: str, now: float) -> None:
        """Record that the endpoint has provably never started the run; the ticket is void."""
        self._lives[ticket].revoke()
        self._end_without_answer(ticket, reason, now)

    def void(self, ticket: TicketId, now: float, reason: str = "") -> TicketState:
        """Void a ticket unless it has run; return where it stands then."""
        self.expire(now)
        held = self._tickets.get(ticket)
        if held is None:
            return TicketState.UNKNOWN
        if held.state is TicketState.ISSUED:
            self._lives[ticket].void()
            del self._unused[ticket]
            self._end_without_answer(ticket, reason, now)
        return held.state

    def void_unused(self, reason: str, now: float) -> None:
        """Void every ticket that has not been used."""
        for ticket in list(self._unused):
            self.void(ticket, now, reason)

    def expire(self, now: float) -> None:
        """Void unused tickets and forget ended ones whose time is over."""
        while self._unused:
            oldest = next(iter(self._unused))
            if now - self._tickets[oldest].issued_at <= TICKET_LIFETIME_SECONDS:
                break
            del self._unused[oldest]
            self._lives[oldest].void()
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
        del self._lives[ticket]
        self._recorded_bytes -= self._tickets.pop(ticket).answer.size

    def _shed_answers(self) -> None:
        for ticket in self._ended:
            if self._recorded_bytes <= MAX_RECORDED_BYTES:
                return
            answer = self._tickets[ticket].answer
            if answer.size:
                self._recorded_bytes -= answer.drop()
