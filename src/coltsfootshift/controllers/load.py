"""Chooses an endpoint by power of two choices.

The load of an endpoint is estimated from its last report, which is delayed, and from the requests
that this entry has in flight there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from coltsfootshift.controllers.subsets import count_entries_for
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import LoadReport

__all__ = ["EndpointLoad", "EndpointTable"]

REPORT_FADE_SECONDS = 0.5
MAX_REPORTS_PER_SECOND = 23.0
MIN_REPORT_INTERVAL_SECONDS = 0.25
MAX_REPORT_INTERVAL_SECONDS = 3.0
CHANGE_RETENTION_SECONDS = 10.0
EJECTION_FIRST_SECONDS = 0.25
EJECTION_MAX_SECONDS = 8.0
OVERCOMMIT_FACTOR = 1.25
UNREPORTED_CAPACITY = 32  # requests; assumed if an endpoint does not report its load


@dataclass(slots=True)
class EndpointLoad:
    """What an entry knows about one endpoint.

    `own_in_flight` counts this entry's requests in flight there. A capacity of zero in the report
    means that the endpoint does not report its load.
    """

    instance: InstanceId
    service: str
    report: LoadReport | None = None
    reported_at: float = 0.0
    own_in_flight: int = 0
    usable: bool = True
    failures: int = 0
    ejected_until: float = 0.0
    changes: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def capacity(self) -> int:
        """The number of requests that the endpoint runs concurrently."""
        if self.report is None or self.report.capacity <= 0:
            return UNREPORTED_CAPACITY
        return self.report.capacity

    def count_other_requests(self) -> float:
        """Return the number of requests from other entries according to the last report.

        Only requests that this entry had in flight when the report was made are subtracted, as
        given by the age in the report, because later ones are not in it.
        """
        if self.report is None or self.report.capacity <= 0:
            return 0.0
        own_in_report = self.own_in_flight - sum(
            change for at, change in self.changes if at > self.reported_at
        )
        return max(0.0, self.report.running + self.report.queued - own_in_report)

    def find_report_weight(self, now: float) -> float:
        """Return the weight of the last report, falling from one to zero as it ages."""
        if self.report is None:
            return 0.0
        return max(0.0, 1.0 - (now - self.reported_at) / REPORT_FADE_SECONDS)

    def estimate(self, now: float, typical_other_load: float = 0.0) -> float:
        """Return the expected load of the endpoint as a share of its capacity.

        As the last report ages, the load from other entries moves from the reported value to
        `typical_other_load`, which is also a share of capacity.
        """
        weight = self.find_report_weight(now)
        others = (
            weight * self.count_other_requests() + (1 - weight) * typical_other_load * self.capacity
        )
        return (self.own_in_flight + others) / self.capacity

    def record_change(self, change: int, now: float) -> None:
        """Record a request sent (`change` is 1) or ended (-1)."""
        self.own_in_flight = max(0, self.own_in_flight + change)
        self.changes.append((now, change))
        while self.changes and self.changes[0][0] < now - CHANGE_RETENTION_SECONDS:
            self.changes.popleft()

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected after failures.

        When the ejection time is over, it gets one request at a time until one succeeds.
        """
        if not self.failures:
            return False
        return now < self.ejected_until or self.own_in_flight > 0


def find_report_interval(agents: int, entries: int) -> float:
    """Return the minimum time between two load reports of an agent, in seconds.

    It limits the reports that one entry gets from all its agents to `MAX_REPORTS_PER_SECOND`, as
    far as `MAX_REPORT_INTERVAL_SECONDS` allows.

    >>> find_report_interval(agents=9, entries=4), find_report_interval(agents=4700, entries=430)
    (0.39, 2.85)
    """
    reached = agents * count_entries_for(agents, entries) / max(1, entries)
    interval = max(MIN_REPORT_INTERVAL_SECONDS, reached / MAX_REPORTS_PER_SECOND)
    return round(min(interval, MAX_REPORT_INTERVAL_SECONDS), 2)


@dataclass(slots=True)
class EndpointTable:
    """The endpoints that an entry reaches.

    `entries` maps each service to the number of entries that share one of its endpoints.
    """

    endpoints: dict[InstanceId, EndpointLoad] = field(default_factory=dict)
    entries: dict[str, int] = field(default_factory=dict)

    def add(self, instance: InstanceId, service: str) -> None:
        """Add an endpoint whose stream has opened."""
        self.endpoints[instance] = EndpointLoad(instance, service)

    def remove(self, instance: InstanceId) -> None:
        """Remove an endpoint whose stream has closed."""
        self.endpoints.pop(instance, None)

    def record_report(self, instance: InstanceId, report: LoadReport, now: float) -> None:
        """Store a load report unless a newer one has arrived before."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None:
            return
        if endpoint.report is not None and endpoint.report.sequence >= report.sequence:
            return
        endpoint.report = report
        endpoint.reported_at = now - report.age

    def record_sent(self, instance: InstanceId, now: float) -> None:
        """Record that a request was sent to an endpoint."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.record_change(1, now)

    def record_ended(self, instance: InstanceId, now: float) -> None:
        """Record that a request at an endpoint has ended."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.record_change(-1, now)

    def record_success(self, instance: InstanceId) -> None:
        """Record that an endpoint has completed an answer."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.failures = 0

    def record_failure(self, instance: InstanceId, now: float) -> None:
        """Record a failed request; each consecutive failure doubles the ejection time."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None:
            return
        endpoint.failures += 1
        seconds = EJECTION_FIRST_SECONDS * 2 ** min(endpoint.failures - 1, 16)
        endpoint.ejected_until = now + min(seconds, EJECTION_MAX_SECONDS)

    def choose(
        self, service: str, avoid: Iterable[InstanceId], rng: Random, now: float
    ) -> InstanceId | None:
        """Return the less loaded of two random endpoints, or None if all are full or ejected.

        Endpoints in `avoid` are considered only if there are no others.
        """
        candidates = self._list_candidates(service, avoid, now)
        typical_other_load = self._find_typical_other_load(service)
        available = [item for item in candidates if self._has_room(item, typical_other_load, now)]
        if not available:
            return None
        return self._pick(available, typical_other_load, rng, now)

    def choose_for_ticket(
        self, service: str, avoid: Iterable[InstanceId], rng: Random, now: float
    ) -> InstanceId | None:
        """Return an endpoint to request a ticket from; it may be full."""
        candidates = self._list_candidates(service, avoid, now)
        if not candidates:
            return None
        return self._pick(candidates, self._find_typical_other_load(service), rng, now)

    def describe_choice(self, instance: InstanceId, now: float) -> str:
        """Return a short text on the state of an endpoint, for the decision trace."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None:
            return "out of reach"
        served = sum(self._serves(item, endpoint.service) for item in self.endpoints.values())
        load = endpoint.estimate(now)
        return (
            f"load {load:.2f}, {endpoint.own_in_flight} own of {endpoint.capacity}, "
            f"{served} endpoints"
        )

    def count_capacity(self, service: str) -> int:
        """Return the number of requests that the endpoints of a service run concurrently."""
        served = (item for item in self.endpoints.values() if self._serves(item, service))
        return sum(endpoint.capacity for endpoint in served)

    def _pick(
        self, candidates: list[EndpointLoad], typical_other_load: float, rng: Random, now: float
    ) -> InstanceId:
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda endpoint: endpoint.estimate(now, typical_other_load)).instance

    def _list_candidates(
        self, service: str, avoid: Iterable[InstanceId], now: float
    ) -> list[EndpointLoad]:
        usable = []
        for endpoint in self.endpoints.values():
            if self._serves(endpoint, service) and not endpoint.is_ejected(now):
                usable.append(endpoint)
        fresh = [endpoint for endpoint in usable if endpoint.instance not in avoid]
        return fresh or usable

    def _has_room(self, endpoint: EndpointLoad, typical_other_load: float, now: float) -> bool:
        """Return whether this entry may send one more request to an endpoint.

        Each entry may always use an equal part of the capacity. Beyond that it may use capacity
        that the other entries are estimated to leave free.
        """
        part = max(1, endpoint.capacity // self.entries.get(endpoint.service, 1))
        if endpoint.own_in_flight < part:
            return True
        if endpoint.own_in_flight >= endpoint.capacity * OVERCOMMIT_FACTOR:
            return False
        return endpoint.estimate(now, typical_other_load) < OVERCOMMIT_FACTOR

    def _find_typical_other_load(self, service: str) -> float:
        """Return the load from other entries as a share of the capacity of all endpoints."""
        work = 0.0
        capacity = 0
        for endpoint in self.endpoints.values():
            if not self._serves(endpoint, service):
                continue
            work += endpoint.count_other_requests()
            capacity += endpoint.capacity
        return work / capacity if capacity else 0.0

    def _serves(self, endpoint: EndpointLoad, service: str) -> bool:
        if endpoint.service != service or not endpoint.usable:
            return False
        return endpoint.report is not None and endpoint.report.serving
