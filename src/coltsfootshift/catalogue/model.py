"""Typed entries of the catalogue.

A key is `KIND/NAME`. Every entry names an owner, a class and its limits.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

__all__ = [
    "CatalogueEntry",
    "EndpointClass",
    "ModelEntry",
    "ModelLimits",
    "OperationRule",
    "RequestClass",
    "ServiceEntry",
    "ServiceLimits",
    "TeamEntry",
    "TeamLimits",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,63}$")]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
DigestText = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Rate = Annotated[float, Meta(gt=0, le=1_000_000)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
BytesPerSecond = Annotated[int, Meta(ge=1, le=1_000_000_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]

RequestClass = Literal["urgent", "standard", "batch"]
EndpointClass = Literal["engine", "plain"]


class CatalogueEntry(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"class_": "class"}
):
    """Fields common to all entries."""

    owner: Text


class OperationRule(Struct, frozen=True, forbid_unknown_fields=True):
    """Rule of one operation of a service; an idempotent one may be retried."""

    idempotent: bool


class ServiceLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a service.

    `queue` is in requests; `retry_share` is the allowed ratio of retries to first tries.
    """

    deadline_seconds: Seconds = 30.0
    queue: Count = 256
    retry_share: Annotated[float, Meta(ge=0, le=1)] = 0.1
    body_bytes: PositiveCount = 262_144


class ServiceEntry(CatalogueEntry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service provided by endpoints; `model` names the model entry of an engine service.

    A rollout keeps at least `min_live` replicas serving if there are enough.
    """

    class_: EndpointClass
    limits: ServiceLimits
    model: Name | None = None
    min_live: Count = 1
    operations: dict[str, OperationRule] = {}

    def is_idempotent(self, operation: str) -> bool:
        """Return whether an operation is idempotent.

        An operation without a rule is idempotent for an engine service, but not for a plain one.
        """
        rule = self.operations.get(operation)
        if rule is None:
            return self.class_ == "engine"
        return rule.idempotent


class ModelLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a rollout.

    `origin_copies` is how many copies of the weights are pulled from the origin, `link_share` the
    fraction of each link that transfers may use.
    """

    origin_copies: Annotated[float, Meta(ge=1, le=1000)] = 1.0
    link_share: Annotated[float, Meta(gt=0, le=1)] = 0.8
    link_bytes_per_second: BytesPerSecond | None = None


class ModelEntry(CatalogueEntry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model and the version of its weights that engines must serve.

    Class `origin` reads one copy of the weights from the origin; class `time` uses the budget of
    `limits.origin_copies` for a faster rollout.
    """

    class_: Literal["time", "origin"]
    limits: ModelLimits
    version: Text
    digest: DigestText


class TeamLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a team, over all entry processes together."""

    requests_per_second: Rate
    burst: PositiveCount = 20
    in_flight: PositiveCount = 1000


class TeamEntry(CatalogueEntry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A team of callers; its class is the highest priority that its requests may have."""

    class_: RequestClass
    limits: TeamLimits
