"""The gateway's view of the operator's catalogue and of the endpoint records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from coltsfootshift.ids import FailureDomain, InstanceId, ServiceName, TeamName
from coltsfootshift.settings import Address

__all__ = [
    "CallerLimits",
    "EndpointRecord",
    "EngineSpec",
    "GatewayCatalogue",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "Team",
    "UnreadParts",
    "WeightedTarget",
]


class RouteKind(Enum):
    """The kind of a route's requests, which determines whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedTarget:
    """A service of a route and its share of the route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, the services that serve it and the limits of its requests.

    Times are in seconds: `timeout` bounds the whole request, `latency_objective` is the latency
    target and `gap_objective` the target for the longest gap between the events of a stream.
    `attempts` is the most times that a request may run. `priority` 0 is the most urgent. `homes`
    are the regions in which its requests may be served, all of them if it is empty.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedTarget, ...]
    timeout: float
    latency_objective: float
    priority: int = 0
    attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap_objective: float = 0.0
    homes: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Whether a request of this route may be retried after it may have run."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published performance figures of a model engine; times in seconds, sizes in tokens.

    A decoding step takes `step` + `step_per_request` x running requests, and a scheduler pass with
    decoding requests executes `stride` steps. Prompts are processed at `prefill_rate` tokens per
    second. The weights of a model have `chunks` chunks of `chunk_bytes` bytes.
    """

    slots: int
    step: float
    step_per_request: float
    prefill_rate: float
    stride: int
    chunks: int
    chunk_bytes: int
    typical_prompt: float
    typical_answer: float
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A plain service, a service of model engines (`engine` set) or the origin of weights.

    `origin_mbps` is the bandwidth of the origin in Mbit/s, zero if it is not known. An endpoint is
    cold for `cold_seconds` after its start, and takes `cold_rate` requests a second from all
    entries together while it is cold; a rate of zero stands for no such limit.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    origin: Address | None = None
    origin_mbps: float = 0.0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team and its priority; None if the priority of the route applies.

    `homes` are the regions in which its requests may be served, all of them if it is empty.
    """

    name: TeamName
    priority: int | None = None
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a caller's connection: sizes in bytes, timeouts in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class UnreadParts:
    """Which parts of a catalogue could not be read, so that what they allow is not known.

    `prefixes` maps a host to the path prefixes of its unreadable routes. `routes` is set if there
    is a route whose host or prefix is not known either, and `teams` if a team could not be read;
    `homes` if any of these may have homes.
    """

    prefixes: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    routes: bool = False
    teams: bool = False
    homes: bool = False

    def may_hide_route(self, host: str, path: str, route: Route | None) -> bool:
        """Return whether an unreadable route may apply to a request instead of `route`.

        >>> UnreadParts({"h": ("/x/y/",)}).may_hide_route("h", "/x/y/z", None)
        True
        """
        found = len(route.prefix) if route is not None else 0
        for prefix in self.prefixes.get(host, ()):
            if path.startswith(prefix) and len(prefix) >= found:
                return True
        return self.routes and route is None


@dataclass(frozen=True, slots=True)
class GatewayCatalogue:
    """One version of the operator's catalogue.

    `routes` is keyed by host and `teams` by the callers' keys. `teams` is None if the operator has
    no teams, and empty if all keys of the teams have been taken away. `unread` tells which parts
    could not be read.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ServiceName, ServiceSpec]
    teams: Mapping[str, Team] | None
    limits: CallerLimits = field(default_factory=CallerLimits)
    unread: UnreadParts = field(default_factory=UnreadParts)

    @property
    def requires_keys(self) -> bool:
        """Whether callers have to present a key.

        >>> GatewayCatalogue(1, {}, {}, {}).requires_keys
        True
        >>> GatewayCatalogue(1, {}, {}, None).requires_keys
        False
        """
        return self.teams is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix, or None.

        >>> short = Route("a", "h", "/x/", RouteKind.IDEMPOTENT, (), 1.0, 1.0)
        >>> long = Route("b", "h", "/x/y/", RouteKind.IDEMPOTENT, (), 1.0, 1.0)
        >>> GatewayCatalogue(1, {"h": (short, long)}, {}, {}).find_route("h", "/x/y/z").name
        'b'
        """
        best = None
        for route in self.routes.get(host, ()):
            if not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """The platform's record of one incarnation of an endpoint.

    `versions` maps each completely loaded model to its version; it is empty for a plain service.
    `born` is the start time in Unix milliseconds, 0 if unknown. `loading` is set while an engine
    loads weights, which means that it will serve again within moments. `cold_for` is for how many
    seconds the endpoint was still cold when it wrote the record.
    """

    endpoint: InstanceId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    leaving: bool = False
    born: int = 0
    versions: Mapping[str, int] = field(default_factory=dict)
    loading: bool = False
    cold_for: float = 0.0

    @property
    def incarnation(self) -> str:
        """The name of this start of the endpoint."""
        return f"{self.endpoint}/{self.born}"
