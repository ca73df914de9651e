"""Homes: the regions in which the requests of a route or a team may be served."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coltsfootshift.gateway.checks import KEY_AGE_MARGIN_SECONDS, Admission
from coltsfootshift.gateway.model import GatewayCatalogue
from coltsfootshift.gateway.placement import EndpointState
from coltsfootshift.gateway.table_cache import Table, TableCache
from coltsfootshift.gateway.waiting import QueuedRequest, RequestsAhead, Turn
from coltsfootshift.ids import FailureDomain, ServiceName
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics

if TYPE_CHECKING:
    from coltsfootshift.gateway.exchange import Exchange

__all__ = [
    "ANYWHERE",
    "HOMELESS_REASON",
    "NOWHERE",
    "FullHomes",
    "RequestsAheadByHome",
    "HomeRules",
    "HomeUsage",
    "Homes",
    "RequestHomes",
    "find_homes",
    "make_homes",
    "measure_usage",
]

HOMELESS_REASON = "no endpoint in its homes serves the request"

logger = get_logger("gateway.homes")


@dataclass(frozen=True, slots=True)
class Homes:
    """The regions in which a request may be served.

    `regions` is None if it may be served anywhere, and empty if no region may serve it. A region
    that is not known is None; it may serve only what may be served anywhere.

    >>> Homes(frozenset({"north"})).allow("north"), Homes(frozenset({"north"})).allow(None)
    (True, False)
    >>> ANYWHERE.allow(None), NOWHERE.allow("north")
    (True, False)
    """

    regions: frozenset[str] | None = None

    @property
    def anywhere(self) -> bool:
        """Whether every region may serve the request."""
        return self.regions is None

    def allow(self, region: str | None) -> bool:
        """Return whether a region may serve the request."""
        return self.regions is None or region in self.regions

    def include(self, other: Homes) -> bool:
        """Return whether these homes are at least the `other` ones.

        >>> ANYWHERE.include(NOWHERE), NOWHERE.include(ANYWHERE)
        (True, False)
        """
        if self.regions is None or other.regions is None:
            return self.regions is None
        return other.regions <= self.regions

    def intersect(self, other: Homes) -> Homes:
        """Return the homes that both allow.

        >>> Homes(frozenset({"north"})).intersect(Homes(frozenset({"south"}))) == NOWHERE
        True
        """
        if self.regions is None or other.regions is None:
            return other if self.regions is None else self
        return Homes(self.regions & other.regions)

    def narrow(self, region: str | None) -> Homes:
        """Return the homes of a request while it is not sure that they still hold.

        It stays in the `region` of the entry that its caller chose, if that is a home. What is
        known to be allowed nowhere but elsewhere is sent there.

        >>> ANYWHERE.narrow("north").list_regions()
        ['north']
        >>> Homes(frozenset({"south"})).narrow("north").list_regions()
        ['south']
        """
        if not self.allow(region):
            return self
        return NOWHERE if region is None else Homes(frozenset({region}))

    def list_regions(self) -> list[str] | None:
        """Return the names of the regions in order, None for anywhere."""
        return None if self.regions is None else sorted(self.regions)


ANYWHERE = Homes()
NOWHERE = Homes(frozenset())


def make_homes(named: frozenset[str]) -> Homes:
    """Return the homes that a route or team names; none named stands for anywhere."""
    return Homes(named) if named else ANYWHERE


def find_homes(catalogue: GatewayCatalogue, admission: Admission) -> Homes:
    """Return where a request may be served by a catalogue, which may be newer than its admission.

    A route and a team that both name homes both bind. What the catalogue has no more binds as it
    did on admission; of what it has but cannot be read, nothing is known to be allowed.
    """
    head = admission.head
    route = catalogue.find_route(head.host, head.path)
    if catalogue.unread.may_hide_route(head.host, head.path, route):
        return NOWHERE
    team = catalogue.teams.get(head.key) if catalogue.teams and head.key else None
    if team is None and head.key and catalogue.unread.teams:
        return NOWHERE
    route, team = route or admission.route, team or admission.team
    return make_homes(route.homes if route else frozenset()).intersect(make_homes(team.homes))


class RequestHomes:
    """The homes of one request, found once for each catalogue."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self._found: tuple[GatewayCatalogue, Homes] | None = None

    def __repr__(self) -> str:
        return f"RequestHomes({self._found[1] if self._found else None!r})"

    @property
    def named_on_admission(self) -> bool:
        """Whether the request was admitted with homes."""
        admission = self.admission
        return bool(admission.team.homes or (admission.route and admission.route.homes))

    def find(self, catalogue: GatewayCatalogue) -> Homes:
        """Return the homes by a catalogue."""
        if self._found is None or self._found[0] is not catalogue:
            self._found = (catalogue, find_homes(catalogue, self.admission))
        return self._found[1]


@dataclass(frozen=True, slots=True)
class HomeUsage:
    """How many routes and keys of a catalogue have homes; `unread` if unreadable ones may."""

    routes: int = 0
    keys: int = 0
    unread: bool = False

    @property
    def any(self) -> bool:
        """Whether a request may have homes."""
        return bool(self.routes or self.keys or self.unread)


class FullHomes:
    """Which homes had no place for a request, in one run through the queue of a service.

    This answers a load that fills some regions: without it, the first request whose homes are full
    would hold up all requests behind it, while endpoints in other regions are idle. A request holds
    up those only that may go to no other regions, and none if it has tried an endpoint; one that
    may go anywhere holds up all.
    """

    def __init__(self, rules: HomeRules, now: float) -> None:
        self._rules = rules
        self._now = now
        self._full: list[Homes] = []

    def accept(self, queued: QueuedRequest) -> bool:
        """Return whether a request may have a place."""
        if not self._full:
            return True
        homes = self._rules.find(queued.item.homes, self._now)
        return not any(full.include(homes) for full in self._full)

    def pass_over(self, queued: QueuedRequest) -> bool:
        """Return whether requests behind one without a place may have one."""
        if queued.turn is Turn.INTERRUPTED:
            return True  # it may have none as it avoids endpoints, or needs a version
        homes = self._rules.find(queued.item.homes, self._now)
        if not homes.anywhere and queued.item.tried:
            return True  # it may avoid the only endpoints there that have a place
        self._full.append(homes)
        return not homes.anywhere


class RequestsAheadByHome(RequestsAhead):
    """The requests ahead in a queue, each counted by the share of the slots that it takes.

    This answers an evacuation while many requests wait for different homes: counted as one, they
    would be refused though each has a place. It counts by homes, of which there are few.
    """

    def __init__(
        self,
        rules: HomeRules,
        endpoints: Mapping[ServiceName, list[EndpointState]],
        now: float,
        service: ServiceName,
    ) -> None:
        self._rules = rules
        self._states = endpoints.get(service, [])
        self._now = now
        self._counts: dict[Homes, int] = {}
        self._shares: dict[tuple[Homes, Homes], float] = {}

    def add(self, request: QueuedRequest) -> None:
        """Add a request that is ahead of all that come after it."""
        homes = self._rules.find(request.item.homes, self._now)
        self._counts[homes] = self._counts.get(homes, 0) + 1

    def count_ahead(self, request: QueuedRequest) -> float:
        """Return by how many requests those ahead delay one; all by one if it may go anywhere."""
        own = self._rules.find(request.item.homes, self._now)
        if own.anywhere:
            return sum(self._counts.values())
        return sum(count * self._get_share(own, homes) for homes, count in self._counts.items())

    def _get_share(self, own: Homes, homes: Homes) -> float:
        pair = (own, homes)
        if pair not in self._shares:
            self._shares[pair] = self._rules.compute_share(self._states, own, homes)
        return self._shares[pair]


class HomeRules:
    """Selects the endpoints that are homes of a request at this moment.

    It answers requests that are placed, wait, run again or are resumed while the operator changes
    homes, and entries that have not heard of the operator for a while. The current catalogue binds;
    if the store has not confirmed it for `config_within` seconds, in which a change must be in
    force, less `KEY_AGE_MARGIN_SECONDS` for what is sent last to arrive, requests stay in this
    entry's region as far as they may (`Homes.narrow`). Where a
    catalogue has no homes, everything is served anywhere at any age.
    """

    def __init__(
        self,
        tables: TableCache,
        metrics: Metrics,
        regions: Mapping[str, str],
        domain: FailureDomain,
        config_within: float,
    ) -> None:
        self._tables = tables
        self._metrics = metrics
        self._regions = regions
        self._region = regions.get(domain)
        self._max_age = config_within - KEY_AGE_MARGIN_SECONDS
        self._usage = HomeUsage()
        self._catalogue: GatewayCatalogue | None = None

    def are_used(self) -> bool:
        """Return whether the current catalogue has homes; a change is logged."""
        catalogue = self._tables.catalogue
        if catalogue is self._catalogue or catalogue is None:
            return self._usage.any
        usage = measure_usage(catalogue)
        if usage != self._usage:
            row = {"routes": usage.routes, "keys": usage.keys, "unread": usage.unread}
            logger.info("use of homes changed", extra={"catalogue": catalogue.version, **row})
        self._catalogue, self._usage = catalogue, usage
        return usage.any

    def find_known(self, request: RequestHomes) -> Homes:
        """Return the homes of a request by the current catalogue, however old it is."""
        if not self.are_used() and not request.named_on_admission:
            return ANYWHERE
        catalogue = self._tables.catalogue
        return ANYWHERE if catalogue is None else request.find(catalogue)

    def find(self, request: RequestHomes, now: float) -> Homes:
        """Return where a request may be sent now."""
        homes = self.find_known(request)
        if self.are_used() and self._is_unsure(now):
            return homes.narrow(self._region)
        return homes

    def select(
        self, states: list[EndpointState], request: RequestHomes, now: float
    ) -> list[EndpointState]:
        """Return the endpoints of a service that a request may be sent to now."""
        return self._select(states, self.find(request, now))

    def list_awaited(
        self, states: list[EndpointState], request: RequestHomes, now: float
    ) -> list[EndpointState]:
        """Return where a request may be sent once the catalogue is confirmed, none if it is."""
        known = self.find_known(request)
        return [] if self.find(request, now) == known else self._select(states, known)

    def list_homeless(
        self,
        exchanges: Iterable[Exchange],
        endpoints: Mapping[ServiceName, list[EndpointState]],
    ) -> list[Exchange]:
        """Return what waits although none of the `endpoints` of its service is in its homes.

        What is kept in this region since the catalogue is outdated may wait while one is in its
        homes elsewhere: the catalogue may be confirmed in moments.
        """
        if not self.are_used():
            return []
        homeless = []
        for exchange in exchanges:
            if exchange.queue_entry is None:
                continue
            homes = self.find_known(exchange.homes)
            if homes.anywhere:
                continue
            if not self._select(endpoints.get(exchange.service.name, []), homes):
                homeless.append(exchange)
        return homeless

    def list_unsent_abroad(self, exchanges: Iterable[Exchange], now: float) -> list[Exchange]:
        """Return what is to be sent, once connected, to an endpoint that is no home any more."""
        if not self.are_used():
            return []
        abroad = []
        for exchange in exchanges:
            if exchange.attempted is None or exchange.sent:
                continue
            if not self._select([exchange.attempted], self.find(exchange.homes, now)):
                abroad.append(exchange)
        return abroad

    def weigh_others(
        self,
        endpoints: Mapping[ServiceName, list[EndpointState]],
        queued: QueuedRequest,
        now: float,
    ) -> Callable[[QueuedRequest], float] | None:
        """Return by how much each request ahead delays one with homes; None for all by one.

        One that has more homes takes that share of the slots that come free at the common ones.
        A request that may go anywhere counts all others: those that wait for homes are no more
        than these serve within their objectives.
        """
        own = self.find(queued.item.homes, now)
        if own.anywhere:
            return None
        states = endpoints.get(queued.item.service.name, [])
        shares: dict[Homes, float] = {}

        def weigh(other: QueuedRequest) -> float:
            homes = self.find(other.item.homes, now)
            if homes not in shares:
                shares[homes] = self.compute_share(states, own, homes)
            return shares[homes]

        return weigh

    def compute_share(self, states: list[EndpointState], own: Homes, other: Homes) -> float:
        """Return which share of the slots at the `other` homes lies in the `own` ones."""
        total = _sum_rates(self._select(states, other))
        common = _sum_rates(self._select(states, own.intersect(other)))
        return common / total if total > 0.0 else 0.0

    def explain(self, request: RequestHomes, otherwise: str, now: float) -> str:
        """Count and log that a request has no endpoint; return why, `otherwise` without homes."""
        homes = self.find(request, now)
        if homes.anywhere:
            return otherwise
        unsure = homes != self.find_known(request)
        self._metrics.count("refused_without_home")
        row = {"request": request.admission.head.request, "homes": homes.list_regions()}
        logger.info("no endpoint in the homes of a request", extra={**row, "unsure": unsure})
        return HOMELESS_REASON

    def _is_unsure(self, now: float) -> bool:
        return self._tables.measure_age(Table.OPERATOR, now) > self._max_age

    def _find_region(self, state: EndpointState) -> str | None:
        return self._regions.get(state.record.failure_domain)

    def _select(self, states: list[EndpointState], homes: Homes) -> list[EndpointState]:
        if homes.anywhere:
            return states
        return [state for state in states if homes.allow(self._find_region(state))]


def measure_usage(catalogue: GatewayCatalogue) -> HomeUsage:
    """Return how far a catalogue uses homes."""
    routes = keys = 0
    for listed in catalogue.routes.values():
        routes += sum(bool(route.homes) for route in listed)
    for team in (catalogue.teams or {}).values():
        keys += bool(team.homes)
    return HomeUsage(routes, keys, catalogue.unread.homes)


def _sum_rates(states: Iterable[EndpointState]) -> float:
    return float(sum(state.compute_departure_rate() for state in states))
