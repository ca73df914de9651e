"""Enforces the limits of teams at one entry.

Each entry has a fixed share of every limit, and entries lend parts of their shares to each other
for a bounded time. The borrower counts this time from sending its request and the lender, with a
margin, from sending its answer, so that a part is never used by both. Concurrent requests
(`places`) are returned when the borrower says so, or once the deadlines of all requests admitted
under the loan have passed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from coltsfootshift.catalogue.model import TeamLimits
from coltsfootshift.controllers.base import Action, Controller, Event
from coltsfootshift.controllers.loans import (
    Loan,
    LoanRequest,
    Shortage,
    TeamShare,
    reduce_replaced_loans,
)
from coltsfootshift.controllers.shares import Division
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import ShareHeld, ShareLent, ShareRequested, ShareReturned

__all__ = [
    "DivisionChanged",
    "EntryConnected",
    "EntryMessageReceived",
    "LimitsController",
    "LimitsTick",
    "Refusal",
    "SendToEntry",
]

LOAN_SECONDS = 2.0
RENEW_SECONDS = 0.75
CLOCK_MARGIN_FACTOR = 1.05
LENDER_RETRY_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 0.5
DEMAND_WEIGHT = 0.3  # weight of the latest measurement in the moving average
BORROW_THRESHOLD_RATIO = 0.8
BORROWER_HEADROOM_FACTOR = 1.1
LENDER_HEADROOM_FACTOR = 1.05
RESERVE_SHARE = 0.03
MIN_LOAN_SHARE = 0.001
FIRST_LOAN_SHARE = 0.01
MAX_LENDERS_PER_REQUEST = 4
RESERVED_BURST = 3


@dataclass(frozen=True, slots=True)
class DivisionChanged(Event):
    """This entry's share of all limits has changed."""

    division: Division


@dataclass(frozen=True, slots=True)
class LimitsTick(Event):
    """Periodic tick.

    `peers` are the entries from which loans can be requested; `longest_deadline` is the longest
    request deadline of all services, in seconds.
    """

    peers: tuple[InstanceId, ...]
    longest_deadline: float


@dataclass(frozen=True, slots=True)
class EntryMessageReceived(Event):
    """Another entry sent a message about loans.

    `limits` are those of the team in the message, or None if the team is unknown here.
    """

    peer: InstanceId
    message: ShareRequested | ShareHeld | ShareLent | ShareReturned
    limits: TeamLimits | None


@dataclass(frozen=True, slots=True)
class EntryConnected(Event):
    """A stream to another entry has opened."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class SendToEntry(Action):
    """Send a message to another entry."""

    peer: InstanceId
    message: ShareRequested | ShareHeld | ShareLent | ShareReturned


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request exceeds its team's limits; `retry_after` is in seconds."""

    reason: str
    retry_after: float


class LimitsController(Controller[SendToEntry]):
    """Admits the requests of teams within this entry's shares and loans."""

    def __init__(self, now: float) -> None:
        self._division = Division(1, 0, active=False, settled=False)
        self._active_since = now
        self._teams: dict[str, TeamShare] = {}
        self._request_number = 0
        self._ticked_at = now
        self._longest_deadline = 0.0

    def handle(self, event: Event, now: float) -> list[SendToEntry]:
        """Handle an event and return the messages to send to other entries."""
        if isinstance(event, DivisionChanged):
            self._change_division(event.division, now)
            return []
        if isinstance(event, LimitsTick):
            return self._tick(event, now)
        if isinstance(event, EntryMessageReceived):
            return self._handle_message(event, now)
        if isinstance(event, EntryConnected):
            return self._send_held_loans(event.peer, now)
        raise TypeError(f"unexpected event {event!r}")

    def admit(self, name: str, limits: TeamLimits, now: float) -> Refusal | None:
        """Admit one request and return None, or return the reason for refusing it."""
        team = self._find_team(name, limits, now)
        team.arrivals += 1
        if team.in_flight >= self._count_places(team, now):
            return Refusal("team has too many requests in flight", 1.0)
        if team.tokens < 1:
            rate = self._find_rate(team, now)
            wait = (1 - team.tokens) / rate if rate > 0 else 1.0
            return Refusal("team is over its rate", wait)
        team.tokens -= 1
        team.in_flight += 1
        return None

    def release(self, name: str, now: float) -> None:
        """Record the end of an admitted request."""
        self._teams[name].in_flight -= 1

    def fits_division(self, now: float) -> bool:
        """Return whether loans and requests in flight fit this entry's current share.

        This entry announces its list of entries only when they do, because the others then start
        to use their shares of that list.
        """
        for team in self._teams.values():
            if team.in_flight > self._count_places(team, now):
                return False
            lent = sum(loan.rate for loan in team.lent if loan.until > now)
            if lent > self._find_share(team) + 1e-9:
                return False
            places = sum(loan.places for loan in team.lent if loan.places_until > now)
            if places > self._division.split(team.limits.in_flight):
                return False
            burst = sum(loan.burst for loan in team.lent if loan.until > now)
            if burst > self._division.split(team.limits.burst):
                return False
        return True

    def forget(self, names: set[str]) -> None:
        """Remove teams that have no requests in flight and are not in `names`."""
        for name in list(self._teams):
            if name not in names and not self._teams[name].in_flight:
                del self._teams[name]

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return the shares and loans by team, for the status page."""
        rows = {}
        for name, team in sorted(self._teams.items()):
            rows[name] = {
                "share": round(self._find_share(team), 3),
                "rate": round(self._find_rate(team, now), 3),
                "demand": round(team.demand, 3),
                "in_flight": team.in_flight,
                "places": self._count_places(team, now),
                "lent": len(team.lent),
                "borrowed": len(team.borrowed),
            }
        return rows

    def _find_team(self, name: str, limits: TeamLimits, now: float) -> TeamShare:
        team = self._teams.get(name)
        if team is None:
            team = TeamShare(limits, self._active_since)
            self._teams[name] = team
        if team.limits != limits:
            self._change_limits(team, limits, now)
        self._refill(team, now)
        return team

    def _change_limits(self, team: TeamShare, limits: TeamLimits, now: float) -> None:
        """Apply changed limits and end the loans borrowed under the old ones."""
        self._refill(team, now)
        for loan in team.borrowed:
            loan.until = min(loan.until, now)
        team.limits = limits

    def _change_division(self, division: Division, now: float) -> None:
        for team in self._teams.values():
            self._refill(team, now)
        if division.active and not self._division.active:
            self._active_since = now
        self._division = division

    def _refill(self, team: TeamShare, now: float) -> None:
        """Add the tokens since the last refill.

        A loan counts only for the part of this time in which it was in force.
        """
        since = team.filled_at
        added = self._find_share(team) * max(0.0, now - since)
        for loan in team.lent:
            added -= loan.rate * max(0.0, min(now, loan.until) - since)
        added = max(0.0, added)
        for loan in team.borrowed:
            added += loan.rate * max(0.0, min(now, loan.until) - since)
        team.filled_at = max(now, since)
        team.tokens = min(team.tokens + added, float(self._find_burst(team, now)))

    def _find_share(self, team: TeamShare) -> float:
        return team.limits.requests_per_second * self._division.fraction()

    def _find_rate(self, team: TeamShare, now: float) -> float:
        rate = self._find_share(team)
        rate -= sum(loan.rate for loan in team.lent if loan.until > now)
        return max(0.0, rate) + sum(loan.rate for loan in team.borrowed if loan.until > now)

    def _find_burst(self, team: TeamShare, now: float) -> int:
        burst = self._division.split(team.limits.burst)
        burst -= sum(loan.burst for loan in team.lent if loan.until > now)
        return max(0, burst) + sum(loan.burst for loan in team.borrowed if loan.until > now)

    def _count_places(self, team: TeamShare, now: float) -> int:
        places = self._division.split(team.limits.in_flight)
        places -= sum(loan.places for loan in team.lent if loan.places_until > now)
        return max(0, places) + sum(loan.places for loan in team.borrowed if loan.until > now)

    def _tick(self, event: LimitsTick, now: float) -> list[SendToEntry]:
        actions: list[SendToEntry] = []
        self._longest_deadline = event.longest_deadline
        seconds = max(now - self._ticked_at, 1e-6)
        self._ticked_at = now
        for name, team in self._teams.items():
            self._refill(team, now)
            measured = team.arrivals / seconds
            team.arrivals = 0
            team.demand += DEMAND_WEIGHT * (measured - team.demand)
            actions += self._end_loans(name, team, now)
            actions += self._request_loans(name, team, event.peers, now)
        return actions

    def _end_loans(self, name: str, team: TeamShare, now: float) -> list[SendToEntry]:
        actions = []
        team.lent = [loan for loan in team.lent if max(loan.until, loan.places_until) > now]
        for number, request in list(team.pending.items()):
            if now - request.sent_at > ANSWER_TIMEOUT_SECONDS:
                del team.pending[number]
        room = self._count_places(team, now) - team.in_flight
        for loan in list(team.borrowed):
            if loan.until > now or (loan.places and room < 0):
                continue
            team.borrowed.remove(loan)
            if loan.places:
                message = ShareReturned(name, loan.number)
                actions.append(SendToEntry(loan.peer, message))
        return actions

    def _request_loans(
        self, name: str, team: TeamShare, peers: tuple[InstanceId, ...], now: float
    ) -> list[SendToEntry]:
        """Request loans for the demand that exceeds the share, and renew loans that end soon."""
        if team.pending:
            return []
        loans = {loan.peer: loan for loan in team.borrowed if loan.until > now}
        shortage = self._find_shortage(team, loans, now)
        if shortage.is_empty():
            return []
        peers = tuple(peer for peer in peers if peer in loans or not team.is_exhausted(peer, now))
        lenders = [peer for peer in peers if not team.is_exhausted(peer, now)][
            :MAX_LENDERS_PER_REQUEST
        ]
        actions = []
        self._request_number += 1
        request = LoanRequest(now, {})
        for peer in peers:
            held = loans.get(peer)
            if peer in lenders:
                amount = shortage.find_amount(held, len(lenders), team.limits)
            elif held is not None and held.until <= now + RENEW_SECONDS:
                amount = shortage.find_amount(held, 0, team.limits)
            else:
                continue
            if not amount.rate and not amount.places:
                continue
            message = ShareRequested(
                name, self._request_number, amount.rate, amount.burst, amount.places
            )
            request.unanswered[peer] = message
            actions.append(SendToEntry(peer, message))
        if actions:
            team.pending[self._request_number] = request
        return actions

    def _find_shortage(
        self, team: TeamShare, loans: dict[InstanceId, Loan], now: float
    ) -> Shortage:
        """Return how much must be borrowed in total, and how much is borrowed now."""
        rate = self._find_rate(team, now) - sum(loan.rate for loan in loans.values())
        places = self._count_places(team, now) - sum(loan.places for loan in loans.values())
        wanted_rate = 0.0
        if team.demand > BORROW_THRESHOLD_RATIO * rate:
            max_rate = team.limits.requests_per_second
            wanted_rate = max(0.0, min(team.demand * BORROWER_HEADROOM_FACTOR, max_rate) - rate)
        if not self._find_burst(team, now):
            wanted_rate = min(wanted_rate, FIRST_LOAN_SHARE * team.limits.requests_per_second)
        wanted_places = 0
        if team.demand and team.in_flight >= BORROW_THRESHOLD_RATIO * places:
            max_places = math.ceil(team.in_flight * BORROWER_HEADROOM_FACTOR) + 1
            wanted_places = max(0, min(max_places, team.limits.in_flight) - places)
        held_rate = sum(loan.rate for loan in loans.values())
        held_places = sum(loan.places for loan in loans.values())
        ending = any(loan.until <= now + RENEW_SECONDS for loan in loans.values())
        return Shortage(wanted_rate, wanted_places, held_rate, held_places, ending)

    def _handle_message(self, event: EntryMessageReceived, now: float) -> list[SendToEntry]:
        team = None
        if event.limits is not None:
            team = self._find_team(event.message.team, event.limits, now)
        if isinstance(event.message, ShareRequested):
            return [SendToEntry(event.peer, self._lend(team, event.peer, event.message, now))]
        if team is None:
            return []
        if isinstance(event.message, ShareLent):
            return self._borrow(team, event.peer, event.message, now)
        if isinstance(event.message, ShareHeld):
            self._restore_loan(team, event.peer, event.message, now)
            return []
        for loan in team.lent:
            if loan.peer == event.peer and loan.number == event.message.loan:
                loan.places_until = min(loan.places_until, now)
        return []

    def _send_held_loans(self, peer: InstanceId, now: float) -> list[SendToEntry]:
        """List all loans from a lender to it, since it may have lost them in a restart."""
        actions = []
        for name, team in self._teams.items():
            for loan in team.borrowed:
                if loan.peer != peer:
                    continue
                seconds = max(0.0, loan.until - now)
                message = ShareHeld(name, loan.number, loan.rate, loan.burst, loan.places, seconds)
                actions.append(SendToEntry(peer, message))
        return actions

    def _restore_loan(self, team: TeamShare, peer: InstanceId, held: ShareHeld, now: float) -> None:
        for loan in team.lent:
            if (loan.peer, loan.number) == (peer, held.loan):
                return
        self._refill(team, now)
        until = now + held.seconds * CLOCK_MARGIN_FACTOR
        places_until = until + self._longest_deadline * CLOCK_MARGIN_FACTOR if held.places else now
        loan = Loan(peer, held.loan, held.rate, held.burst, held.places, until, places_until)
        team.lent.append(loan)

    def _lend(
        self, team: TeamShare | None, peer: InstanceId, requested: ShareRequested, now: float
    ) -> ShareLent:
        if team is None or not self._division.active:
            return ShareLent(requested.team, requested.loan, 0.0, 0, 0, 0.0)
        self._refill(team, now)
        held = [loan for loan in team.lent if loan.peer == peer]
        others = [loan for loan in team.lent if loan.peer != peer]
        rate = min(requested.rate, self._find_free_rate(team, others, now))
        if rate < MIN_LOAN_SHARE * team.limits.requests_per_second:
            rate = 0.0
        burst = min(requested.burst, self._find_free_burst(team, others, now)) if rate else 0
        places = min(requested.places, self._find_free_places(team, others, now))
        if not rate and not places:
            return ShareLent(requested.team, requested.loan, 0.0, 0, 0, 0.0)
        until = now + LOAN_SECONDS * CLOCK_MARGIN_FACTOR
        places_until = until + self._longest_deadline * CLOCK_MARGIN_FACTOR if places else now
        new = Loan(peer, requested.loan, rate, burst, places, until, places_until)
        reduce_replaced_loans(held, new)
        team.lent.append(new)
        team.tokens = min(team.tokens, float(self._find_burst(team, now)))
        return ShareLent(requested.team, requested.loan, rate, burst, places, LOAN_SECONDS)

    def _find_free_rate(self, team: TeamShare, others: list[Loan], now: float) -> float:
        """Return the rate that can be lent to one entry in addition to the loans to others.

        An entry whose share of the burst is zero cannot use its rate, so it can lend all of it.
        """
        share = self._find_share(team)
        lent = sum(loan.rate for loan in others if loan.until > now)
        kept = max(team.demand * LENDER_HEADROOM_FACTOR, RESERVE_SHARE * share)
        if not self._division.split(team.limits.burst):
            kept = 0.0
        return max(0.0, share - lent - kept)

    def _find_free_burst(self, team: TeamShare, others: list[Loan], now: float) -> int:
        share = self._division.split(team.limits.burst)
        lent = sum(loan.burst for loan in others if loan.until > now)
        kept = 1 if share > 1 or team.demand else 0
        if team.demand > RESERVE_SHARE * self._find_share(team):
            kept = RESERVED_BURST
        return max(0, share - lent - kept)

    def _find_free_places(self, team: TeamShare, others: list[Loan], now: float) -> int:
        share = self._division.split(team.limits.in_flight)
        lent = sum(loan.places for loan in others if loan.places_until > now)
        kept = 1 if share > 1 or team.demand else 0
        return max(0, share - lent - team.in_flight - kept)

    def _borrow(
        self, team: TeamShare, peer: InstanceId, lent: ShareLent, now: float
    ) -> list[SendToEntry]:
        request = team.pending.get(lent.loan)
        requested = request.unanswered.pop(peer, None) if request is not None else None
        if request is None or requested is None:
            return [SendToEntry(peer, ShareReturned(lent.team, lent.loan))] if lent.places else []
        if not request.unanswered:
            del team.pending[lent.loan]
        if lent.rate < requested.rate or lent.places < requested.places:
            team.exhausted_until[peer] = now + LENDER_RETRY_SECONDS
        if not lent.rate and not lent.places:
            return []
        self._refill(team, now)
        for loan in team.borrowed:
            if loan.peer == peer:
                loan.until = min(loan.until, now)
        until = request.sent_at + lent.seconds
        loan = Loan(peer, lent.loan, lent.rate, lent.burst, lent.places, until, until)
        team.borrowed.append(loan)
        return []
