"""What an operator's catalogue and the endpoints' records say, as the gateway uses them."""

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
    "WeightedTarget",
]


class RouteKind(Enum):
    """What a request of a route allows."""

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
    """A host and path prefix, where its requests go and what they may cost.

    Times are seconds: `timeout` bounds the whole request, `aim` is the latency objective and
    `pause_aim` the longest pause between the events of a stream. `priority` 0 is the most urgent.
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

    @property
    def retryable(self) -> bool:
        """Whether a request of this route may run again at another endpoint."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published figures of a model engine; times in seconds, sizes in tokens.

    A pass takes `step` + `step_per_request` x running requests for each token step and executes
    `stride` steps where requests write; a prompt is read at `read_rate` tokens a second.
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
    """A service: a plain one, one of model engines, or the origin of weights."""

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    origin: Address | None = None


@dataclass(frozen=True, slots=True)
class Team:
    """A team and its rank; None where the rank of the route counts."""

    name: TeamName
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayCatalogue:
    """One version of the operator's catalogue; `teams` is keyed by the callers' keys."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ServiceName, ServiceSpec]
    teams: Mapping[str, Team]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def requires_keys(self) -> bool:
        """Whether callers prove a key."""
        return bool(self.teams)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins the path.

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
    """What the platform lists of one start of an endpoint.

    `versions` holds the version of each model whose layers are all loaded; a plain service has
    none. `born` is the Unix millisecond of its start, 0 where it is not told. `loading` is set
    while an engine loads, so that it will serve in a moment.
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
