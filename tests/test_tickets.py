"""Tests of the ticket ledger: one run and one use per ticket, bounded records, expiry."""

from __future__ import annotations

import pytest

from coltsfootshift.controllers.tickets import (
    MAX_ANSWER_BYTES,
    MAX_RECORDED_BYTES,
    MAX_TICKETS,
    RECORD_LIFETIME_SECONDS,
    TICKET_LIFETIME_SECONDS,
    Ticket,
    TicketLedger,
    TicketState,
    TicketUse,
)
from coltsfootshift.ids import Digest, Incarnation, InstanceId, TicketId

USE = TicketUse.of("booking-ledger", "staff", "book", b"tent-1")


def make_ledger() -> TicketLedger:
    return TicketLedger(InstanceId("ledger-1"), Incarnation("ab"))


def issue(ledger: TicketLedger, now: float = 0.0) -> Ticket:
    ticket = ledger.issue("booking-ledger", "staff", now)
    assert ticket is not None
    return ticket


def apply_step(ledger: TicketLedger, ticket: TicketId, step: str, now: float) -> None:
    if step == "start":
        ledger.start(ticket, now)
    elif step == "complete":
        ledger.complete(ticket, 200, Digest(""), now)
    elif step == "lose":
        ledger.lose(ticket, "lost", now)
    elif step == "revoke":
        ledger.revoke(ticket, "refused", now)
    elif step == "void":
        ledger.void(ticket, now)


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        ([], TicketState.ISSUED),
        (["start"], TicketState.RUNNING),
        (["start", "void"], TicketState.RUNNING),
        (["void"], TicketState.VOID),
        (["start", "complete"], TicketState.COMPLETE),
        (["start", "complete", "void"], TicketState.COMPLETE),
        (["start", "lose"], TicketState.UNKNOWN),
        (["start", "lose", "void"], TicketState.UNKNOWN),
        (["start", "revoke"], TicketState.VOID),
    ],
)
def test_states(steps: list[str], state: TicketState) -> None:
    ledger = make_ledger()
    ticket = issue(ledger)
    for step in steps:
        apply_step(ledger, ticket.ticket, step, 1.0)
    assert ticket.state is state
    assert ledger.start(ticket.ticket, 1.0) is (state is TicketState.ISSUED)


@pytest.mark.parametrize(
    ("use", "allowed"),
    [
        (USE, True),
        (TicketUse.of("booking-ledger", "staff", "book", b"tent-2"), False),
        (TicketUse.of("booking-ledger", "staff", "refund", b"tent-1"), False),
        (TicketUse.of("booking-ledger", "campers", "book", b"tent-1"), False),
        (TicketUse.of("agenda", "staff", "book", b"tent-1"), False),
    ],
)
def test_first_use_binds(use: TicketUse, allowed: bool) -> None:
    ledger = make_ledger()
    ticket = issue(ledger)
    assert ledger.bind(ticket, USE)
    assert ledger.bind(ticket, use) is allowed


def test_other_team_cannot_use_a_ticket() -> None:
    ledger = make_ledger()
    assert not ledger.bind(
        issue(ledger), TicketUse.of("booking-ledger", "campers", "book", b"tent-1")
    )


def test_unused_ticket_expires_on_the_agents_clock() -> None:
    ledger = make_ledger()
    ticket = issue(ledger)
    assert not ledger.start(ticket.ticket, TICKET_LIFETIME_SECONDS + 1)
    assert ticket.state is TicketState.VOID


def test_record_is_kept_from_the_end_of_the_run_on() -> None:
    ledger = make_ledger()
    ticket = issue(ledger)
    ledger.start(ticket.ticket, 1.0)
    ended_at = RECORD_LIFETIME_SECONDS - 1
    ledger.complete(ticket.ticket, 200, Digest(""), ended_at)
    assert ledger.find(ticket.ticket, ended_at + RECORD_LIFETIME_SECONDS - 1) is ticket
    assert ledger.find(ticket.ticket, ended_at + RECORD_LIFETIME_SECONDS + 1) is None
    assert ledger.void(ticket.ticket, ended_at + 2 * RECORD_LIFETIME_SECONDS) is TicketState.UNKNOWN
    assert not ledger.start(ticket.ticket, ended_at + 2 * RECORD_LIFETIME_SECONDS)


def test_a_running_ticket_does_not_keep_others_from_expiring() -> None:
    ledger = make_ledger()
    running = issue(ledger)
    ledger.start(running.ticket, 1.0)
    others = [issue(ledger, now=2.0) for _ in range(5)]
    ledger.complete(others[3].ticket, 200, Digest(""), 3.0)
    late = 3 * RECORD_LIFETIME_SECONDS
    ledger.expire(late)
    ledger.expire(late + RECORD_LIFETIME_SECONDS + 1)
    assert len(ledger) == 1
    assert ledger.find(running.ticket, late) is running


def test_full_ledger_refuses_and_recovers() -> None:
    ledger = make_ledger()
    for _ in range(MAX_TICKETS):
        assert ledger.issue("booking-ledger", "", 0.0) is not None
    assert ledger.issue("booking-ledger", "", 1.0) is None
    ledger.expire(TICKET_LIFETIME_SECONDS + 1)
    assert ledger.issue("booking-ledger", "", RECORD_LIFETIME_SECONDS * 2) is not None


def test_answer_above_its_bound_is_dropped_while_it_runs() -> None:
    ledger = make_ledger()
    ticket = issue(ledger)
    ledger.start(ticket.ticket, 1.0)
    ledger.record(ticket, bytes(MAX_ANSWER_BYTES))
    assert not ticket.answer.dropped
    for _ in range(3):
        ledger.record(ticket, b"x")
    assert ticket.answer.dropped
    assert (ticket.answer.frames, ledger.recorded_bytes) == ([], 0)


def test_all_answers_together_are_bounded() -> None:
    ledger = make_ledger()
    tickets = []
    for number in range(2 * MAX_RECORDED_BYTES // MAX_ANSWER_BYTES):
        ticket = issue(ledger, now=float(number) / 100)
        ledger.start(ticket.ticket, 1.0)
        ledger.record(ticket, bytes(MAX_ANSWER_BYTES))
        ledger.complete(ticket.ticket, 200, Digest(""), 2.0)
        tickets.append(ticket)
        assert ledger.recorded_bytes <= MAX_RECORDED_BYTES
    assert tickets[0].answer.dropped
    assert not tickets[-1].answer.dropped
    assert all(ticket.state is TicketState.COMPLETE for ticket in tickets)
