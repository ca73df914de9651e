"""The two example deployments at their current sizes, and their catalogues."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["CORDAS", "TENTLINE", "Deployment", "EndpointGroup", "Location", "make_catalogue"]


@dataclass(frozen=True, slots=True)
class Location:
    """A region and a failure domain within it."""

    region: str
    domain: str


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """A service and its number of endpoints.

    `operations` maps each operation of a plain service to whether it is idempotent.
    """

    service: str
    kind: str
    endpoints: int
    operations: dict[str, bool]


@dataclass(frozen=True, slots=True)
class Deployment:
    """The locations, services and teams of one association.

    `model_class` is the class of its model entries; `origin_copies` is the limit of copies of a
    version that are read from the origin.
    """

    name: str
    locations: tuple[Location, ...]
    groups: tuple[EndpointGroup, ...]
    teams: tuple[str, ...]
    model_class: str
    origin_copies: float


TENTLINE = Deployment(
    name="tentline",
    locations=(
        Location("north", "grand-baie"),
        Location("west", "flic-en-flac"),
        Location("south", "souillac"),
    ),
    groups=(
        EndpointGroup("kit-assistant", "engine", 5, {}),
        EndpointGroup("booking-ledger", "plain", 3, {"book": False, "stock": True}),
        EndpointGroup("member-portal", "plain", 1, {"read": True}),
    ),
    teams=("organisers", "campers", "staff"),
    model_class="time",
    origin_copies=4.0,
)

CORDAS = Deployment(
    name="cordas",
    locations=(
        Location("recife", "recife-a"),
        Location("fortaleza", "fortaleza-a"),
        Location("salvador", "salvador-a"),
    ),
    groups=(
        EndpointGroup("luthier-ai", "engine", 6, {}),
        EndpointGroup("agenda", "plain", 3, {"book": False, "slots": True}),
        EndpointGroup("balcao", "plain", 1, {"read": True}),
    ),
    teams=("musicians", "schools", "bands"),
    model_class="origin",
    origin_copies=1.0,
)


def make_catalogue(deployment: Deployment, version: str, digest: str) -> dict[str, Any]:
    """Return the catalogue entries, by key, of a deployment whose engines serve one version."""
    entries: dict[str, Any] = {}
    for group in deployment.groups:
        service: dict[str, Any] = {
            "owner": deployment.name,
            "class": group.kind,
            "limits": {"deadline_seconds": 30.0},
            "operations": {
                name: {"idempotent": flag} for name, flag in sorted(group.operations.items())
            },
        }
        if group.kind == "engine":
            service["model"] = f"{group.service}-model"
            entries[f"model/{group.service}-model"] = make_model(deployment, version, digest)
        entries[f"service/{group.service}"] = service
    for team in deployment.teams:
        entries[f"team/{team}"] = {
            "owner": deployment.name,
            "class": "urgent",
            "limits": {"requests_per_second": 2000.0, "burst": 400, "in_flight": 1000},
        }
    return entries


def make_model(deployment: Deployment, version: str, digest: str) -> dict[str, Any]:
    """Return the catalogue entry of a model of the deployment."""
    return {
        "owner": deployment.name,
        "class": deployment.model_class,
        "limits": {"origin_copies": deployment.origin_copies},
        "version": version,
        "digest": digest,
    }
