"""Limits of teams at one entry: a fixed share of each, and loans between entries.

A loan moves a part of a share for a bounded time. The borrower counts the time from its question,
the lender from its answer and a little longer, so that a part is never used at both. Places in
flight come back when the borrower says so, or once every request admitted on them is past its
deadline.
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
from coltsfootshift.messages import ShareAsked, ShareHeld, ShareLent, ShareReturned

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
CLOCK_MARGIN = 1.05
LENDER_RETRY_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 0.5
DEMAND_WEIGHT = 0.3
WANTED_SHARE = 0.8
SPARE_FACTOR = 1.1
LENDER_SPARE_FACTOR = 1.05
RESERVE_SHARE = 0.03
LEAST_LOAN_SHARE = 0.001
FIRST_LOAN_SHARE = 0.01
MOST_PEERS_ASKED = 4
KEPT_BURST = 3


@dataclass(frozen=True, slots=True)
class DivisionChanged(Event):
    """This entry's division of all limits from now on."""

    division: Division


@dataclass(frozen=True, slots=True)
class LimitsTick(Event):
    """Time passes; `peers` can be asked, `longest_deadline` of all services is in seconds."""

    peers: tuple[InstanceId, ...]
    longest_deadline: float


@dataclass(frozen=True, slots=True)
class EntryMessageReceived(Event):
    """Another entry sent a message about loans of a team with these limits, None if unknown."""

    peer: InstanceId
    message: ShareAsked | ShareHeld | ShareLent | ShareReturned
    limits: TeamLimits | None


@dataclass(frozen=True, slots=True)
class EntryConnected(Event):
    """A stream to another entry has opened."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class SendToEntry(Action):
    """Send a message to another entry."""

    peer: InstanceId
    message: ShareAsked | ShareHeld | ShareLent | ShareReturned


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is over its team's limits; `retry_after` is in seconds."""

    reason: str
    retry_after: float


class LimitsController(Controller[SendToEntry]):
    """Admits requests of teams within this entry's shares and loans."""

    def __init__(self, now: float) -> None:
        self._division = Division(1, 0, active=False, settled=False)
        self._active_since = now
        self._teams: dict[str, TeamShare] = {}
        self._asks = 0
        self._ticked_at = now
        self._longest_deadline = 0.0

    def handle(self, event: Event, now: float) -> list[SendToEntry]:
        """Take an event and return messages to other entries."""
        if isinstance(event, DivisionChanged):
            self._change_division(event.division, now)
            return []
        if isinstance(event, LimitsTick):
            return self._tick(event, now)
        if isinstance(event, EntryMessageReceived):
            return self._take(event, now)
        if isinstance(event, EntryConnected):
            return self._remind(event.peer, now)
        raise TypeError(f"unexpected event {event!r}")

    def admit(self, name: str, limits: TeamLimits, now: float) -> Refusal | None:
        """Take a place and a token for one request, or return why there is none."""
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
        """Give back the place of one request that was admitted."""
        self._teams[name].in_flight -= 1

    def fits_division(self, now: float) -> bool:
        """Return whether loans and requests in flight fit the present division.

        The list of entries is told to others only then, since they take their parts on it.
        """
        for team in self._teams.values():
            if team.in_flight > self._count_places(team, now):
                return False
            lent = sum(loan.rate for loan in team.lent if loan.until > now)
            if lent > self._find_share(team) + 1e-9:
                return False
            places = sum(loan.places for loan in team.lent if loan.held_until > now)
            if places > self._division.split(team.limits.in_flight):
                return False
            burst = sum(loan.burst for loan in team.lent if loan.until > now)
            if burst > self._division.split(team.limits.burst):
                return False
        return True

    def forget(self, names: set[str]) -> None:
        """Forget teams that have no requests in flight and are not in `names`."""
        for name in list(self._teams):
            if name not in names and not self._teams[name].in_flight:
                del self._teams[name]

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return the shares and loans that the status page shows, by team."""
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
        self._fill(team, now)
        return team

    def _change_limits(self, team: TeamShare, limits: TeamLimits, now: float) -> None:
        """Bring another limit into force; what was borrowed under the old one ends."""
        self._fill(team, now)
        for loan in team.borrowed:
            loan.until = min(loan.until, now)
        team.limits = limits

    def _change_division(self, division: Division, now: float) -> None:
        for team in self._teams.values():
            self._fill(team, now)
        if division.active and not self._division.active:
            self._active_since = now
        self._division = division

    def _fill(self, team: TeamShare, now: float) -> None:
        """Add the tokens since the last fill; a loan counts for the part of it that it covers."""
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
        places -= sum(loan.places for loan in team.lent if loan.held_until > now)
        return max(0, places) + sum(loan.places for loan in team.borrowed if loan.until > now)

    def _tick(self, event: LimitsTick, now: float) -> list[SendToEntry]:
        actions: list[SendToEntry] = []
        self._longest_deadline = event.longest_deadline
        seconds = max(now - self._ticked_at, 1e-6)
        self._ticked_at = now
        for name, team in self._teams.items():
            self._fill(team, now)
            measured = team.arrivals / seconds
            team.arrivals = 0
            team.demand += DEMAND_WEIGHT * (measured - team.demand)
            actions += self._end_loans(name, team, now)
            actions += self._ask(name, team, event.peers, now)
        return actions

    def _end_loans(self, name: str, team: TeamShare, now: float) -> list[SendToEntry]:
        actions = []
        team.lent = [loan for loan in team.lent if max(loan.until, loan.held_until) > now]
        for number, ask in list(team.asked.items()):
            if now - ask.at > ANSWER_TIMEOUT_SECONDS:
                del team.asked[number]
        room = self._count_places(team, now) - team.in_flight
        for loan in list(team.borrowed):
            if loan.until > now or (loan.places and room < 0):
                continue
            team.borrowed.remove(loan)
            if loan.places:
                message = ShareReturned(name, loan.number)
                actions.append(SendToEntry(loan.peer, message))
        return actions

    def _ask(
        self, name: str, team: TeamShare, peers: tuple[InstanceId, ...], now: float
    ) -> list[SendToEntry]:
        """Ask other entries for what this one's demand is short of, and renew what ends soon."""
        if team.asked:
            return []
        loans = {loan.peer: loan for loan in team.borrowed if loan.until > now}
        short = self._find_shortage(team, loans, now)
        if short.is_empty():
            return []
        peers = tuple(peer for peer in peers if peer in loans or not team.is_exhausted(peer, now))
        willing = [peer for peer in peers if not team.is_exhausted(peer, now)][:MOST_PEERS_ASKED]
        actions = []
        self._asks += 1
        ask = LoanRequest(now, {})
        for peer in peers:
            held = loans.get(peer)
            if peer in willing:
                part = short.make_part(held, len(willing), team.limits)
            elif held is not None and held.until <= now + RENEW_SECONDS:
                part = short.make_part(held, 0, team.limits)
            else:
                continue
            if not part.rate and not part.places:
                continue
            message = ShareAsked(name, self._asks, part.rate, part.burst, part.places)
            ask.waiting[peer] = message
            actions.append(SendToEntry(peer, message))
        if actions:
            team.asked[self._asks] = ask
        return actions

    def _find_shortage(
        self, team: TeamShare, loans: dict[InstanceId, Loan], now: float
    ) -> Shortage:
        """Return what must be borrowed in all, and how much of that is not."""
        rate = self._find_rate(team, now) - sum(loan.rate for loan in loans.values())
        places = self._count_places(team, now) - sum(loan.places for loan in loans.values())
        wanted_rate = 0.0
        if team.demand > WANTED_SHARE * rate:
            most = team.limits.requests_per_second
            wanted_rate = max(0.0, min(team.demand * SPARE_FACTOR, most) - rate)
        if not self._find_burst(team, now):
            wanted_rate = min(wanted_rate, FIRST_LOAN_SHARE * team.limits.requests_per_second)
        wanted_places = 0
        if team.demand and team.in_flight >= WANTED_SHARE * places:
            most_places = math.ceil(team.in_flight * SPARE_FACTOR) + 1
            wanted_places = max(0, min(most_places, team.limits.in_flight) - places)
        held_rate = sum(loan.rate for loan in loans.values())
        held_places = sum(loan.places for loan in loans.values())
        ending = any(loan.until <= now + RENEW_SECONDS for loan in loans.values())
        return Shortage(wanted_rate, wanted_places, held_rate, held_places, ending)

    def _take(self, event: EntryMessageReceived, now: float) -> list[SendToEntry]:
        team = None
        if event.limits is not None:
            team = self._find_team(event.message.team, event.limits, now)
        if isinstance(event.message, ShareAsked):
            return [SendToEntry(event.peer, self._lend(team, event.peer, event.message, now))]
        if team is None:
            return []
        if isinstance(event.message, ShareLent):
            return self._borrow(team, event.peer, event.message, now)
        if isinstance(event.message, ShareHeld):
            self._take_reminder(team, event.peer, event.message, now)
            return []
        for loan in team.lent:
            if loan.peer == event.peer and loan.number == event.message.loan:
                loan.held_until = min(loan.held_until, now)
        return []

    def _remind(self, peer: InstanceId, now: float) -> list[SendToEntry]:
        """Name all loans of a lender, which may have forgotten them in a restart."""
        actions = []
        for name, team in self._teams.items():
            for loan in team.borrowed:
                if loan.peer != peer:
                    continue
                seconds = max(0.0, loan.until - now)
                message = ShareHeld(name, loan.number, loan.rate, loan.burst, loan.places, seconds)
                actions.append(SendToEntry(peer, message))
        return actions

    def _take_reminder(
        self, team: TeamShare, peer: InstanceId, held: ShareHeld, now: float
    ) -> None:
        for loan in team.lent:
            if (loan.peer, loan.number) == (peer, held.loan):
                return
        self._fill(team, now)
        until = now + held.seconds * CLOCK_MARGIN
        held_until = until + self._longest_deadline * CLOCK_MARGIN if held.places else now
        loan = Loan(peer, held.loan, held.rate, held.burst, held.places, until, held_until)
        team.lent.append(loan)

    def _lend(
        self, team: TeamShare | None, peer: InstanceId, asked: ShareAsked, now: float
    ) -> ShareLent:
        if team is None or not self._division.active:
            return ShareLent(asked.team, asked.loan, 0.0, 0, 0, 0.0)
        self._fill(team, now)
        held = [loan for loan in team.lent if loan.peer == peer]
        others = [loan for loan in team.lent if loan.peer != peer]
        rate = min(asked.rate, self._find_free_rate(team, others, now))
        if rate < LEAST_LOAN_SHARE * team.limits.requests_per_second:
            rate = 0.0
        burst = min(asked.burst, self._find_free_burst(team, others, now)) if rate else 0
        places = min(asked.places, self._find_free_places(team, others, now))
        if not rate and not places:
            return ShareLent(asked.team, asked.loan, 0.0, 0, 0, 0.0)
        until = now + LOAN_SECONDS * CLOCK_MARGIN
        held_until = until + self._longest_deadline * CLOCK_MARGIN if places else now
        new = Loan(peer, asked.loan, rate, burst, places, until, held_until)
        reduce_replaced_loans(held, new)
        team.lent.append(new)
        team.tokens = min(team.tokens, float(self._find_burst(team, now)))
        return ShareLent(asked.team, asked.loan, rate, burst, places, LOAN_SECONDS)

    def _find_free_rate(self, team: TeamShare, others: list[Loan], now: float) -> float:
        """Return the rate that can be lent to one entry beside the loans to the others.

        An entry that has no part of the burst cannot use its rate, so it can lend all of it.
        """
        share = self._find_share(team)
        lent = sum(loan.rate for loan in others if loan.until > now)
        kept = max(team.demand * LENDER_SPARE_FACTOR, RESERVE_SHARE * share)
        if not self._division.split(team.limits.burst):
            kept = 0.0
        return max(0.0, share - lent - kept)

    def _find_free_burst(self, team: TeamShare, others: list[Loan], now: float) -> int:
        share = self._division.split(team.limits.burst)
        lent = sum(loan.burst for loan in others if loan.until > now)
        kept = 1 if share > 1 or team.demand else 0
        if team.demand > RESERVE_SHARE * self._find_share(team):
            kept = KEPT_BURST
        return max(0, share - lent - kept)

    def _find_free_places(self, team: TeamShare, others: list[Loan], now: float) -> int:
        share = self._division.split(team.limits.in_flight)
        lent = sum(loan.places for loan in others if loan.held_until > now)
        kept = 1 if share > 1 or team.demand else 0
        return max(0, share - lent - team.in_flight - kept)

    def _borrow(
        self, team: TeamShare, peer: InstanceId, lent: ShareLent, now: float
    ) -> list[SendToEntry]:
        ask = team.asked.get(lent.loan)
        asked = ask.waiting.pop(peer, None) if ask is not None else None
        if ask is None or asked is None:
            return [SendToEntry(peer, ShareReturned(lent.team, lent.loan))] if lent.places else []
        if not ask.waiting:
            del team.asked[lent.loan]
        if lent.rate < asked.rate or lent.places < asked.places:
            team.exhausted_until[peer] = now + LENDER_RETRY_SECONDS
        if not lent.rate and not lent.places:
            return []
        self._fill(team, now)
        for loan in team.borrowed:
            if loan.peer == peer:
                loan.until = min(loan.until, now)
        until = ask.at + lent.seconds
        loan = Loan(peer, lent.loan, lent.rate, lent.burst, lent.places, until, until)
        team.borrowed.append(loan)
        return []
