"""The fleet of a rollout: groups of engines, agents with rate-limited links, and an origin."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from coltsfootshift_bench.deployments import CORDAS, TENTLINE, Deployment
from coltsfootshift_bench.fleet import ENDPOINT_PORT, PEERS_PORT, Fleet, call_json

__all__ = ["Rollout", "RolloutPlan"]

ENGINES_PER_PROCESS = 12
CHUNK_COUNT = 128
CHUNK_BYTES = 64 * 1024
FIRST_VERSION_BYTES = 64 * 1024
ORIGIN_COPIES_PER_LINK_TIME = 4
LINK_COPIES_PER_LINK_TIME = 2
LINK_SHARE = 0.95
READY_TIMEOUT_SECONDS = 40.0
START_BYTES_PER_SECOND = 100e6
PROFILES = {"tentline": TENTLINE, "cordas": CORDAS}


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """The parameters of a rollout.

    `link_seconds` is the link time: the time in which the link of an instance carries two copies of
    the version and the origin sends four. With `baseline`, each engine has a service and a model of
    its own, so that every agent reads from the origin. With `proxies`, a fault proxy is before each
    agent.
    """

    replicas: int
    profile: str
    seed: int
    link_seconds: float
    regions: int = 1
    baseline: bool = False
    proxies: bool = False

    @property
    def deployment(self) -> Deployment:
        """The deployment that `profile` names."""
        return PROFILES[self.profile]

    @property
    def model_bytes(self) -> int:
        """The size of the version to roll out, in bytes."""
        return CHUNK_COUNT * CHUNK_BYTES

    @property
    def floor_seconds(self) -> float:
        """The time to send one copy over the link of an instance, in seconds.

        No rollout can be faster.
        """
        return self.link_seconds / LINK_COPIES_PER_LINK_TIME


@dataclass(slots=True)
class Rollout:
    """A fleet that serves a first version and then rolls out a second one.

    `published_at` is the monotonic time when the second version was published.
    """

    fleet: Fleet
    plan: RolloutPlan
    engines: list[str] = field(default_factory=list)
    first_digest: str = ""
    second_digest: str = ""
    published_at: float = 0.0

    def start(self) -> None:
        """Start all processes and wait until all engines serve the first version."""
        plan, fleet = self.plan, self.fleet
        fleet.start_platform()
        fleet.start_origin("--bytes-per-second", str(START_BYTES_PER_SECOND))
        self.first_digest = fleet.add_version(
            plan.seed, FIRST_VERSION_BYTES, FIRST_VERSION_BYTES // 4
        )
        self.second_digest = fleet.add_version(plan.seed + 1, plan.model_bytes, CHUNK_BYTES)
        location = plan.deployment.locations[0]
        if plan.regions > 1:
            fleet.store_region = location.region
        if plan.proxies:
            fleet.start_faults()
        fleet.start_entry("entry-1", location.region, location.domain)
        self._start_engines()
        fleet.publish_instances()
        fleet.publish("catalogue", self._make_catalogue("v1", self.first_digest, None))
        fleet.wait_until_listening()
        fleet.wait_until(
            lambda: self.count_live(self.first_digest) == plan.replicas,
            READY_TIMEOUT_SECONDS,
            "first version",
        )
        print(f"{len(fleet.members)} members are up, first version serves")

    def publish(self) -> None:
        """Limit the rates of the origin and the links, and publish the second version."""
        plan = self.plan
        self.set_origin_mode({"bytes_per_second": self.origin_rate})
        rate = int(plan.model_bytes * LINK_COPIES_PER_LINK_TIME / plan.link_seconds)
        self.published_at = time.monotonic()
        self.fleet.publish("catalogue", self._make_catalogue("v2", self.second_digest, rate))

    @property
    def origin_rate(self) -> float:
        """The rate limit of the origin during the rollout, in bytes per second."""
        return self.plan.model_bytes * ORIGIN_COPIES_PER_LINK_TIME / self.plan.link_seconds

    def set_origin_mode(self, mode: dict[str, Any]) -> None:
        """Update the mode of the origin stand-in."""
        call_json(f"{self.fleet.origin_url}/admin/mode", mode)

    def read_origin_copies(self) -> float:
        """Return how many copies of the second version the origin has sent; may be fractional."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return float(versions[self.second_digest]["copies"])

    def is_copy_sent(self) -> bool:
        """Return whether the origin has sent every chunk of the second version."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return bool(versions[self.second_digest]["whole_copy"])

    def list_live(self, digest: str) -> set[str]:
        """Return the instances whose engine reports that it serves the version with a digest."""
        live = set()
        for name in self.engines:
            host = self.fleet.members[f"{name}.endpoint"].host
            status = call_json(f"http://{host}:{ENDPOINT_PORT}/status")
            if status["serving"] and status["digest"] == digest:
                live.add(name)
        return live

    def count_live(self, digest: str) -> int:
        """Return how many engines report that they serve the version with a digest."""
        return len(self.list_live(digest))

    def get_service_name(self, number: int = 0) -> str:
        """Return the service of an engine; in the baseline, each engine has its own service."""
        service = self.plan.deployment.groups[0].service
        return f"{service}-{number}" if self.plan.baseline else service

    def _start_engines(self) -> None:
        plan, fleet = self.plan, self.fleet
        self.engines = [f"engine-{number}" for number in range(plan.replicas)]
        for start in range(0, plan.replicas, ENGINES_PER_PROCESS):
            fleet.start_engine_group(self.engines[start : start + ENGINES_PER_PROCESS])
        for number, name in enumerate(self.engines):
            location = plan.deployment.locations[number % plan.regions]
            service = self.get_service_name(number)
            fleet.start_agent(
                name, service, "engine", region=location.region, domain=location.domain
            )
            if plan.proxies:
                self._route_through_proxy(name)

    def _route_through_proxy(self, name: str) -> None:
        host = self.fleet.next_host()
        target = [self.fleet.members[name].host, PEERS_PORT]
        self.fleet.set_rule({"name": name, "listen": [host, PEERS_PORT], "target": target})
        self.fleet.records[name]["peers"] = {"host": host, "port": PEERS_PORT}

    def _make_catalogue(self, version: str, digest: str, rate: int | None) -> dict[str, Any]:
        plan = self.plan
        entries: dict[str, Any] = {}
        numbers = range(plan.replicas) if plan.baseline else range(1)
        for number in numbers:
            service = self.get_service_name(number)
            min_live = 0 if plan.baseline else plan.replicas // 2
            entries[f"service/{service}"] = {
                "owner": plan.deployment.name,
                "class": "engine",
                "limits": {"deadline_seconds": 30.0},
                "model": f"{service}-model",
                "min_live": min_live,
            }
            limits: dict[str, Any] = {"origin_copies": plan.deployment.origin_copies}
            if rate is not None:
                limits |= {"link_bytes_per_second": rate, "link_share": LINK_SHARE}
            entries[f"model/{service}-model"] = {
                "owner": plan.deployment.name,
                "class": plan.deployment.model_class,
                "limits": limits,
                "version": version,
                "digest": digest,
            }
        entries["team/bench"] = {
            "owner": plan.deployment.name,
            "class": "urgent",
            "limits": {"requests_per_second": 2000.0, "burst": 400, "in_flight": 1000},
        }
        return entries
