"""Loans between entries: what each side records of them, and how much is to be borrowed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from coltsfootshift.catalogue.model import TeamLimits
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import ShareAsked

__all__ = ["LoanRequest", "Loan", "Part", "Shortage", "TeamShare", "reduce_replaced_loans"]


@dataclass(slots=True)
class Loan:
    """A loan as one side holds it; `until` bounds its rate and burst, `held_until` its places."""

    peer: InstanceId
    number: int
    rate: float
    burst: int
    places: int
    until: float
    held_until: float


@dataclass(slots=True)
class LoanRequest:
    """A question to several entries: what was asked of those that have not answered it."""

    at: float
    waiting: dict[InstanceId, ShareAsked]


@dataclass(frozen=True, slots=True)
class Part:
    """What one entry is asked to lend in all, in place of what it has lent."""

    rate: float
    burst: int
    places: int


@dataclass(frozen=True, slots=True)
class Shortage:
    """What must be borrowed, what is borrowed, and whether some of that ends soon."""

    wanted_rate: float
    wanted_places: int
    held_rate: float
    held_places: int
    ending: bool

    def is_empty(self) -> bool:
        """Return whether nobody needs to be asked."""
        if self.wanted_rate > self.held_rate or self.wanted_places > self.held_places:
            return False
        return not (self.ending and (self.wanted_rate or self.wanted_places))

    def make_part(self, held: Loan | None, peers: int, limits: TeamLimits) -> Part:
        """Return what to ask of an entry: what it has lent and its part of what is missing.

        `peers` divides what is missing; zero only renews.
        """
        rate = held.rate if held else 0.0
        places = held.places if held else 0
        if peers:
            rate += max(0.0, self.wanted_rate - self.held_rate) / peers
            places += math.ceil(max(0, self.wanted_places - self.held_places) / peers)
        if self.held_rate > self.wanted_rate:
            rate *= self.wanted_rate / self.held_rate
        if self.held_places > self.wanted_places:
            places = math.ceil(places * self.wanted_places / self.held_places)
        burst = math.ceil(limits.burst * rate / limits.requests_per_second)
        return Part(rate, burst, places)


@dataclass(slots=True)
class TeamShare:
    """A team's bucket, its requests in flight and its loans."""

    limits: TeamLimits
    filled_at: float
    tokens: float = 0.0
    in_flight: int = 0
    arrivals: int = 0
    demand: float = 0.0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    asked: dict[int, LoanRequest] = field(default_factory=dict)
    exhausted_until: dict[InstanceId, float] = field(default_factory=dict)

    def is_exhausted(self, peer: InstanceId, now: float) -> bool:
        """Return whether an entry said a moment ago that it can lend no more."""
        return self.exhausted_until.get(peer, 0.0) > now


def reduce_replaced_loans(held: list[Loan], new: Loan) -> None:
    """Reduce earlier loans by what a new one covers, since the borrower uses one at a time."""
    rate, burst, places = new.rate, new.burst, new.places
    for loan in held:
        covered = min(rate, loan.rate)
        rate -= covered
        loan.rate -= covered
        covered_burst = min(burst, loan.burst)
        burst -= covered_burst
        loan.burst -= covered_burst
        covered_places = min(places, loan.places)
        places -= covered_places
        loan.places -= covered_places
