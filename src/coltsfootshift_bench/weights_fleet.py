"""The fleet of a rollout: engines in groups, agents on paced links, a rate-limited origin."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from coltsfootshift_bench.deployments import CORDAS, TENTLINE, Deployment
from coltsfootshift_bench.fleet import ENDPOINT_PORT, PEERS_PORT, Fleet, call_json

__all__ = ["Rollout", "RolloutPlan"]

ENGINES_PER_PROCESS = 12
CHUNKS = 128
CHUNK_BYTES = 64 * 1024
FIRST_BYTES = 64 * 1024
ORIGIN_COPIES_PER_TIME = 4
LINK_COPIES_PER_TIME = 2
LINK_SHARE = 0.95
READY_SECONDS = 40.0
FAST_BYTES_PER_SECOND = 100e6
PROFILES = {"tentline": TENTLINE, "cordas": CORDAS}


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """What a run is to do; `link_seconds` is the time T in which a link carries two copies."""

    replicas: int
    profile: str
    seed: int
    link_seconds: float
    regions: int = 1
    baseline: bool = False
    proxies: bool = False

    @property
    def deployment(self) -> Deployment:
        """The deployment whose catalogue is used."""
        return PROFILES[self.profile]

    @property
    def model_bytes(self) -> int:
        """The size of the version that is rolled out."""
        return CHUNKS * CHUNK_BYTES

    @property
    def floor_seconds(self) -> float:
        """One copy over an instance's own link."""
        return self.link_seconds / LINK_COPIES_PER_TIME


@dataclass(slots=True)
class Rollout:
    """A started fleet that serves a first version, ready for the second."""

    fleet: Fleet
    plan: RolloutPlan
    engines: list[str] = field(default_factory=list)
    first: str = ""
    second: str = ""
    published_at: float = 0.0

    def start(self) -> None:
        """Start all processes and wait until the first version serves everywhere."""
        plan, fleet = self.plan, self.fleet
        fleet.start_platform()
        fleet.start_origin("--bytes-per-second", str(FAST_BYTES_PER_SECOND))
        self.first = fleet.add_version(plan.seed, FIRST_BYTES, FIRST_BYTES // 4)
        self.second = fleet.add_version(plan.seed + 1, plan.model_bytes, CHUNK_BYTES)
        place = plan.deployment.locations[0]
        if plan.regions > 1:
            fleet.store_region = place.region
        if plan.proxies:
            fleet.start_faults()
        fleet.start_entry("entry-1", place.region, place.domain)
        self._start_engines()
        fleet.publish_instances()
        fleet.publish("catalogue", self._make_catalogue("v1", self.first, None))
        fleet.wait_until_listening()
        fleet.wait_until(
            lambda: self.count_live(self.first) == plan.replicas, READY_SECONDS, "first version"
        )
        print(f"{len(fleet.members)} members are up, first version serves")

    def publish(self) -> None:
        """Bound the origin's rate and publish the second version with paced links."""
        plan = self.plan
        self.set_origin({"bytes_per_second": self.origin_rate})
        rate = int(plan.model_bytes * LINK_COPIES_PER_TIME / plan.link_seconds)
        self.published_at = time.monotonic()
        self.fleet.publish("catalogue", self._make_catalogue("v2", self.second, rate))

    @property
    def origin_rate(self) -> float:
        """Bytes a second at the origin."""
        return self.plan.model_bytes * ORIGIN_COPIES_PER_TIME / self.plan.link_seconds

    def set_origin(self, mode: dict[str, Any]) -> None:
        """Change the mode of the origin stand-in."""
        call_json(f"{self.fleet.origin_url}/admin/mode", mode)

    def read_origin_copies(self) -> float:
        """Return how many copies of the second version left the origin."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return float(versions[self.second]["copies"])

    def is_copy_sent(self) -> bool:
        """Return whether every chunk of the second version has left the origin."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return bool(versions[self.second]["whole_copy"])

    def list_live(self, digest: str) -> set[str]:
        """Return the instances whose engine reports that it serves a digest."""
        live = set()
        for name in self.engines:
            host = self.fleet.members[f"{name}.endpoint"].host
            row = call_json(f"http://{host}:{ENDPOINT_PORT}/status")
            if row["serving"] and row["digest"] == digest:
                live.add(name)
        return live

    def count_live(self, digest: str) -> int:
        """Return how many engines report that they serve a digest."""
        return len(self.list_live(digest))

    def get_service_name(self, number: int = 0) -> str:
        """Return the service of an engine; each has its own in the baseline."""
        service = self.plan.deployment.groups[0].service
        return f"{service}-{number}" if self.plan.baseline else service

    def _start_engines(self) -> None:
        plan, fleet = self.plan, self.fleet
        self.engines = [f"engine-{number}" for number in range(plan.replicas)]
        for start in range(0, plan.replicas, ENGINES_PER_PROCESS):
            fleet.start_engine_group(self.engines[start : start + ENGINES_PER_PROCESS])
        for number, name in enumerate(self.engines):
            place = plan.deployment.locations[number % plan.regions]
            service = self.get_service_name(number)
            fleet.start_agent(name, service, "engine", region=place.region, domain=place.domain)
            if plan.proxies:
                self._put_proxy_before(name)

    def _put_proxy_before(self, name: str) -> None:
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
            least = 0 if plan.baseline else plan.replicas // 2
            entries[f"service/{service}"] = {
                "owner": plan.deployment.name,
                "class": "engine",
                "limits": {"deadline_seconds": 30.0},
                "model": f"{service}-model",
                "min_live": least,
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
