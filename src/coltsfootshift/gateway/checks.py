"""The chain of checks that a call passes before it may wait for an endpoint."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from random import Random

from coltsfootshift.gateway.calls import RequestHead
from coltsfootshift.gateway.knowledge import Table, TableCache
from coltsfootshift.gateway.model import Route, ServiceSpec, Team
from coltsfootshift.ids import ServiceName, TeamName
from coltsfootshift.outcomes import NotRun

__all__ = ["Admission", "Check", "Rejection", "Denied", "KeyCheck", "LimitCheck", "RouteCheck"]

UNLIMITED_SECONDS = 3600.0  # stands for a deadline that the caller did not tell
CATALOGUE_RETRY_SECONDS = 0.5  # another entry may know more; this one within a read of the store
KEY_AGE_MARGIN_SECONDS = 0.4  # a request is sent, read and passed on within this time


@dataclass(frozen=True, slots=True)
class Denied:
    """The catalogue does not allow the request; `status` says why."""

    reason: str
    status: int


@dataclass(slots=True)
class Admission:
    """A call on its way through the checks, and what they have found; times of one clock."""

    head: RequestHead
    arrived_at: float
    route: Route | None = None
    service: ServiceSpec | None = None
    team: Team = field(default_factory=lambda: Team(TeamName("")))
    expires_at: float = 0.0

    @property
    def priority(self) -> int:
        """The rank of the request, 0 first; the team's goes before the route's."""
        if self.team.priority is not None:
            return self.team.priority
        return self.route.priority if self.route else 0


Rejection = NotRun | Denied


class Check(ABC):
    """One check of a call; a pure decision on the admission, what is known, and the time."""

    @abstractmethod
    def find_refusal(self, admission: Admission, known: TableCache, now: float) -> Rejection | None:
        """Return why the call is refused, or None to pass it on."""


class RouteCheck(Check):
    """Finds the route and draws one of its services by weight."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def find_refusal(self, admission: Admission, known: TableCache, now: float) -> Rejection | None:
        """Refuse what no route serves; without a catalogue nothing is denied."""
        if known.catalogue is None or not known.complete:
            return NotRun("no catalogue is known yet", retry_after=CATALOGUE_RETRY_SECONDS)
        head = admission.head
        route = known.catalogue.find_route(head.host, head.path)
        if route is None:
            return Denied("no route", 404)
        admission.route = route
        admission.service = known.catalogue.services.get(self._draw_service(route))
        if admission.service is None:
            return NotRun("the route's service is not in the catalogue")
        return None

    def _draw_service(self, route: Route) -> ServiceName:
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return ServiceName("")
        return self._rng.choices(route.targets, weights)[0].service


class KeyCheck(Check):
    """Finds the team of a key, as long as it cannot have been revoked unseen."""

    def __init__(self, revoke_within: float) -> None:
        self._max_age = revoke_within - KEY_AGE_MARGIN_SECONDS

    def find_refusal(self, admission: Admission, known: TableCache, now: float) -> Rejection | None:
        """Refuse unknown keys, and all keys while the catalogue is too old to tell."""
        assert known.catalogue is not None and admission.route is not None
        if not known.catalogue.requires_keys or admission.route.anonymous:
            return None
        age = known.measure_age(Table.OPERATOR, now)
        if age > self._max_age:
            return NotRun(
                f"the catalogue was last confirmed {age:.1f} s ago",
                retry_after=CATALOGUE_RETRY_SECONDS,
            )
        team = known.catalogue.teams.get(admission.head.key)
        if team is None:
            return Denied("unknown key", 401)
        admission.team = team
        return None


class LimitCheck(Check):
    """Sets until when the request may last: the caller's deadline or the route's timeout."""

    def find_refusal(self, admission: Admission, known: TableCache, now: float) -> Rejection | None:
        """Refuse what is over already."""
        assert admission.route is not None
        deadline = admission.head.deadline
        seconds = admission.route.timeout
        if deadline is not None:
            seconds = min(seconds, deadline)
        admission.expires_at = admission.arrived_at + seconds
        if admission.expires_at <= now:
            return NotRun("the deadline has passed", retry_after=0.0)
        return None
