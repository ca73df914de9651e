"""Chooses an endpoint: power of two choices on lagged reports, corrected by own sends."""

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
REPORTS_PER_SECOND = 23.0
MIN_REPORT_INTERVAL_SECONDS = 0.25
MOST_REPORT_SECONDS = 3.0
CHANGES_KEPT_SECONDS = 10.0
EJECTION_FIRST_SECONDS = 0.25
EJECTION_MOST_SECONDS = 8.0
OVERCOMMIT = 1.25
UNREPORTED_CAPACITY = 32


@dataclass(slots=True)
class EndpointLoad:
    """What an entry knows of one endpoint; `own` counts its requests in progress there.

    A capacity of zero in the report means that the endpoint reports no load.
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
        """How many requests the endpoint runs at once."""
        if self.report is None or self.report.capacity <= 0:
            return UNREPORTED_CAPACITY
        return self.report.capacity

    def count_other_requests(self) -> float:
        """Return the work of other entries that the last report showed.

        The report is as old as it says, so that requests sent after that time are not in it,
        however late it came.
        """
        if self.report is None or self.report.capacity <= 0:
            return 0.0
        own_then = self.own_in_flight - sum(
            change for at, change in self.changes if at > self.reported_at
        )
        return max(0.0, self.report.running + self.report.queued - own_then)

    def weigh_report(self, now: float) -> float:
        """Return how much the last report counts: one when new, zero when it has faded."""
        if self.report is None:
            return 0.0
        return max(0.0, 1.0 - (now - self.reported_at) / REPORT_FADE_SECONDS)

    def estimate(self, now: float, usual_others: float = 0.0) -> float:
        """Return the expected work at the endpoint as a share of its capacity.

        Other entries' work fades from what was reported to `usual_others`, a share of capacity.
        """
        weight = self.weigh_report(now)
        others = weight * self.count_other_requests() + (1 - weight) * usual_others * self.capacity
        return (self.own_in_flight + others) / self.capacity

    def note_change(self, change: int, now: float) -> None:
        """Count a request sent or ended."""
        self.own_in_flight = max(0, self.own_in_flight + change)
        self.changes.append((now, change))
        while self.changes and self.changes[0][0] < now - CHANGES_KEPT_SECONDS:
            self.changes.popleft()

    def is_ejected(self, now: float) -> bool:
        """Return whether failures keep it from new work; after the time one request tries it."""
        if not self.failures:
            return False
        return now < self.ejected_until or self.own_in_flight > 0


def find_report_interval(agents: int, entries: int) -> float:
    """Return the least time between two reports of a changing load, in seconds.

    All agents that an entry reaches send it at most `REPORTS_PER_SECOND` together.

    >>> find_report_interval(agents=9, entries=4), find_report_interval(agents=4700, entries=430)
    (0.39, 2.85)
    """
    reached = agents * count_entries_for(agents, entries) / max(1, entries)
    interval = max(MIN_REPORT_INTERVAL_SECONDS, reached / REPORTS_PER_SECOND)
    return round(min(interval, MOST_REPORT_SECONDS), 2)


@dataclass(slots=True)
class EndpointTable:
    """The endpoints that an entry reaches; `entries` tells how many share one, by service."""

    endpoints: dict[InstanceId, EndpointLoad] = field(default_factory=dict)
    entries: dict[str, int] = field(default_factory=dict)

    def add(self, instance: InstanceId, service: str) -> None:
        """Take an endpoint whose stream has opened."""
        self.endpoints[instance] = EndpointLoad(instance, service)

    def remove(self, instance: InstanceId) -> None:
        """Drop an endpoint whose stream is gone."""
        self.endpoints.pop(instance, None)

    def note_report(self, instance: InstanceId, report: LoadReport, now: float) -> None:
        """Take a load report unless a newer one is held."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None:
            return
        if endpoint.report is not None and endpoint.report.sequence >= report.sequence:
            return
        endpoint.report = report
        endpoint.reported_at = now - report.age

    def note_sent(self, instance: InstanceId, now: float) -> None:
        """Count a request sent to an endpoint."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.note_change(1, now)

    def note_ended(self, instance: InstanceId, now: float) -> None:
        """Count the end of a request at an endpoint."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.note_change(-1, now)

    def note_success(self, instance: InstanceId) -> None:
        """An endpoint has given a whole answer."""
        endpoint = self.endpoints.get(instance)
        if endpoint is not None:
            endpoint.failures = 0

    def note_failure(self, instance: InstanceId, now: float) -> None:
        """An endpoint has failed a request; eject it for longer with each failure in a row."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None:
            return
        endpoint.failures += 1
        seconds = EJECTION_FIRST_SECONDS * 2 ** min(endpoint.failures - 1, 16)
        endpoint.ejected_until = now + min(seconds, EJECTION_MOST_SECONDS)

    def choose(
        self, service: str, avoid: Iterable[InstanceId], rng: Random, now: float
    ) -> InstanceId | None:
        """Return the better of two random endpoints, one not in `avoid` where there is one.

        Full and ejected endpoints are left out.
        """
        candidates = self._list_candidates(service, avoid, now)
        usual = self._find_usual_others(service)
        open_ones = [item for item in candidates if self._has_room(item, usual, now)]
        if not open_ones:
            return None
        return self._pick(open_ones, usual, rng, now)

    def choose_for_ticket(
        self, service: str, avoid: Iterable[InstanceId], rng: Random, now: float
    ) -> InstanceId | None:
        """Return an endpoint that is to issue a ticket, a full one as well."""
        candidates = self._list_candidates(service, avoid, now)
        if not candidates:
            return None
        return self._pick(candidates, self._find_usual_others(service), rng, now)

    def describe_choice(self, instance: InstanceId, now: float) -> str:
        """Return in a few words what was known of an endpoint when it was chosen."""
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
        """Return how many requests of a service its endpoints run at once."""
        served = (item for item in self.endpoints.values() if self._serves(item, service))
        return sum(endpoint.capacity for endpoint in served)

    def _pick(
        self, candidates: list[EndpointLoad], usual: float, rng: Random, now: float
    ) -> InstanceId:
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda endpoint: endpoint.estimate(now, usual)).instance

    def _list_candidates(
        self, service: str, avoid: Iterable[InstanceId], now: float
    ) -> list[EndpointLoad]:
        usable = []
        for endpoint in self.endpoints.values():
            if self._serves(endpoint, service) and not endpoint.is_ejected(now):
                usable.append(endpoint)
        fresh = [endpoint for endpoint in usable if endpoint.instance not in avoid]
        return fresh or usable

    def _has_room(self, endpoint: EndpointLoad, usual: float, now: float) -> bool:
        """Return whether an endpoint can take one more of this entry's requests.

        Each entry may always fill its equal part; beyond that only what others seem to leave.
        """
        part = max(1, endpoint.capacity // self.entries.get(endpoint.service, 1))
        if endpoint.own_in_flight < part:
            return True
        if endpoint.own_in_flight >= endpoint.capacity * OVERCOMMIT:
            return False
        return endpoint.estimate(now, usual) < OVERCOMMIT

    def _find_usual_others(self, service: str) -> float:
        """Return the work of other entries as a share of capacity, over all endpoints."""
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
