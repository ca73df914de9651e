"""Loans of rate limit shares between entries, and how much an entry needs to borrow."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from coltsfootshift.catalogue.model import TeamLimits
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import ShareRequested

__all__ = ["Loan", "LoanAmount", "LoanRequest", "Shortage", "TeamShare", "reduce_replaced_loans"]


@dataclass(slots=True)
class Loan:
    """A loan as recorded by the lender or the borrower.

    `places` is the number of concurrent requests lent. Rate and burst are lent until `until` and
    places until `places_until`, both in monotonic seconds.
    """

    peer: InstanceId
    number: int
    rate: float
    burst: int
    places: int
    until: float
    places_until: float


@dataclass(slots=True)
class LoanRequest:
    """A loan request sent to several entries; `unanswered` holds those yet to answer."""

    sent_at: float
    unanswered: dict[InstanceId, ShareRequested]


@dataclass(frozen=True, slots=True)
class LoanAmount:
    """The total loan requested from one entry; it replaces the loan in force."""

    rate: float
    burst: int
    places: int


@dataclass(frozen=True, slots=True)
class Shortage:
    """What must be borrowed in total, what is borrowed, and whether a loan ends soon."""

    wanted_rate: float
    wanted_places: int
    held_rate: float
    held_places: int
    ending: bool

    def is_empty(self) -> bool:
        """Return whether no loan needs to be requested or renewed."""
        if self.wanted_rate > self.held_rate or self.wanted_places > self.held_places:
            return False
        return not (self.ending and (self.wanted_rate or self.wanted_places))

    def find_amount(self, held: Loan | None, peers: int, limits: TeamLimits) -> LoanAmount:
        """Return the total to request from one entry.

        It is the loan in force plus an equal part of the missing amount, which is divided among
        `peers` entries. If `peers` is zero, the loan is only renewed.
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
        return LoanAmount(rate, burst, places)


@dataclass(slots=True)
class TeamShare:
    """A team's token bucket, requests in flight and loans.

    `exhausted_until` maps entries that could not lend all that was requested to the time after
    which loans may be requested from them again.
    """

    limits: TeamLimits
    filled_at: float
    tokens: float = 0.0
    in_flight: int = 0
    arrivals: int = 0
    demand: float = 0.0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    pending: dict[int, LoanRequest] = field(default_factory=dict)
    exhausted_until: dict[InstanceId, float] = field(default_factory=dict)

    def is_exhausted(self, peer: InstanceId, now: float) -> bool:
        """Return whether an entry has recently answered that it cannot lend more."""
        return self.exhausted_until.get(peer, 0.0) > now


def reduce_replaced_loans(held: list[Loan], new: Loan) -> None:
    """Reduce earlier loans to a borrower by a new one, since it uses only the newest."""
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
