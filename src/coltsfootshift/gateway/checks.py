"""Admission checks that a request passes before it is sent to an endpoint or queued."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from random import Random

from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.gateway.calls import RequestHead
from coltsfootshift.gateway.crashes import CrashEvidence, Suspect, list_suspects
from coltsfootshift.gateway.model import Route, ServiceSpec, Team
from coltsfootshift.gateway.table_cache import Table, TableCache
from coltsfootshift.ids import ServiceName, TeamName
from coltsfootshift.outcomes import NotRun

__all__ = [
    "Admission",
    "Check",
    "CrashCheck",
    "Denied",
    "KeyCheck",
    "LimitCheck",
    "Rejection",
    "RouteCheck",
]

# By then a read of the store may have updated this entry; another entry may be up to date already.
CATALOGUE_RETRY_SECONDS = 0.5
# Covers the time in which a request is sent, read and forwarded.
KEY_AGE_MARGIN_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Denied:
    """The catalogue does not allow the request; `status` is the HTTP status to respond with."""

    reason: str
    status: int


@dataclass(slots=True)
class Admission:
    """A request and what the admission checks have found out about it.

    `arrived_at` and `expires_at` are in seconds of the same monotonic clock. `suspects` is what
    could crash an endpoint that runs the request.
    """

    head: RequestHead
    arrived_at: float
    body: bytes = b""
    route: Route | None = None
    service: ServiceSpec | None = None
    team: Team = field(default_factory=lambda: Team(TeamName("")))
    expires_at: float = 0.0
    suspects: tuple[Suspect, ...] = ()

    @property
    def priority(self) -> int:
        """The priority, 0 being the most urgent; the team's overrides the route's."""
        if self.team.priority is not None:
            return self.team.priority
        return self.route.priority if self.route else 0


Rejection = NotRun | Denied


class Check(ABC):
    """An admission check: decides without I/O and records what it finds in the admission."""

    @abstractmethod
    def find_refusal(
        self, admission: Admission, tables: TableCache, now: float
    ) -> Rejection | None:
        """Return why the request is refused, or None to continue with the next check."""


class RouteCheck(Check):
    """Finds the route and chooses one of its services at random by weight.

    `config_within` is the time in seconds within which a change of the catalogue must be in force.
    """

    def __init__(self, rng: Random, config_within: float) -> None:
        self._rng = rng
        self._config_within = config_within

    def find_refusal(
        self, admission: Admission, tables: TableCache, now: float
    ) -> Rejection | None:
        """Deny requests without a route.

        While no catalogue is known, or the route may be one that cannot be read or that has been
        added since the catalogue was confirmed, the request is refused as not run instead.
        """
        if tables.catalogue is None or not tables.complete:
            return NotRun("no catalogue is known yet", retry_after=CATALOGUE_RETRY_SECONDS)
        head = admission.head
        route = tables.catalogue.find_route(head.host, head.path)
        if tables.catalogue.unread.may_hide_route(head.host, head.path, route):
            return NotRun("the route cannot be read", retry_after=CATALOGUE_RETRY_SECONDS)
        if route is None:
            return _deny(tables, now, self._config_within, Denied("no route", 404))
        admission.route = route
        admission.service = tables.catalogue.services.get(self._draw_service(route))
        if admission.service is None:
            return NotRun("the route's service is not in the catalogue")
        return None

    def _draw_service(self, route: Route) -> ServiceName:
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return ServiceName("")
        return self._rng.choices(route.targets, weights)[0].service


class KeyCheck(Check):
    """Finds the team of a key while the catalogue is recent enough to show a revocation.

    `revoke_within` is the time in seconds within which a revoked key must be refused, and
    `config_within` that within which an added key must be accepted.
    """

    def __init__(self, revoke_within: float, config_within: float) -> None:
        self._max_age = revoke_within - KEY_AGE_MARGIN_SECONDS
        self._config_within = config_within

    def find_refusal(
        self, admission: Admission, tables: TableCache, now: float
    ) -> Rejection | None:
        """Deny unknown keys; refuse all keys while the catalogue is too old.

        That the route needs no key is outdated then, too: callers present none where none is
        needed. A key that may be one of a team that cannot be read, or that has been added since
        the catalogue was confirmed, is refused as not run.
        """
        assert tables.catalogue is not None and admission.route is not None
        teams = tables.catalogue.teams
        needs_key = teams is not None and not admission.route.anonymous
        if not needs_key and not admission.head.key:
            return None
        age = tables.measure_age(Table.OPERATOR, now)
        if age > self._max_age:
            return _refuse_outdated(age)
        if teams is None or not needs_key:
            return None
        team = teams.get(admission.head.key)
        if team is None and tables.catalogue.unread.teams:
            return NotRun("the key's team cannot be read", retry_after=CATALOGUE_RETRY_SECONDS)
        if team is None:
            return _deny(tables, now, self._config_within, Denied("unknown key", 401))
        admission.team = team
        return None


def _deny(tables: TableCache, now: float, config_within: float, denied: Denied) -> Rejection:
    """Return a denial, or a refusal as not run if a newer catalogue may be in force elsewhere.

    Callers give up when they are denied, and come back when they are refused.
    """
    age = tables.measure_age(Table.OPERATOR, now)
    return denied if age <= config_within else _refuse_outdated(age)


def _refuse_outdated(age: float) -> NotRun:
    text = f"the catalogue was last confirmed {age:.1f} s ago"
    return NotRun(text, retry_after=CATALOGUE_RETRY_SECONDS)


class LimitCheck(Check):
    """Sets when the request expires: at the caller's deadline or the route's timeout."""

    def find_refusal(
        self, admission: Admission, tables: TableCache, now: float
    ) -> Rejection | None:
        """Refuse requests that have expired."""
        assert admission.route is not None
        deadline = admission.head.deadline
        seconds = admission.route.timeout
        if deadline is not None:
            seconds = min(seconds, deadline)
        admission.expires_at = admission.arrived_at + seconds
        if admission.expires_at <= now:
            return NotRun("the deadline has passed", retry_after=0.0)
        return None


class CrashCheck(Check):
    """Refuses requests with something in common under which endpoints have ended."""

    def __init__(self, evidence: CrashEvidence) -> None:
        self._evidence = evidence

    def find_refusal(
        self, admission: Admission, tables: TableCache, now: float
    ) -> Rejection | None:
        """Refuse quarantined requests until the quarantine ends."""
        assert admission.service is not None
        service = admission.service.name
        admission.suspects = list_suspects(service, admission.head, admission.body)
        admission.body = b""  # the incoming request holds it until its memory is released
        self._evidence.record_request(service, admission.suspects)
        if self._evidence.find_standing(admission.suspects, now) is not Standing.QUARANTINED:
            return None
        return self.make_refusal(admission, now)

    def make_refusal(self, admission: Admission, now: float) -> NotRun:
        """Return the refusal of a request that is quarantined now."""
        left = self._evidence.get_seconds_left(admission.suspects, now)
        return NotRun("endpoints end under requests like this one", retry_after=left)
