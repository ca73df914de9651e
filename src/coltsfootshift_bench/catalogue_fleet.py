"""Runs a fleet of entries under a stream of catalogue changes and samples its resource use."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random

import psutil

from coltsfootshift_bench import targets
from coltsfootshift_bench.fault_proxy import route_through_proxy
from coltsfootshift_bench.fleet import PLATFORM_PORT, Fleet, call_json

__all__ = ["CatalogueFleet", "Change", "Sample"]

REGIONS = ("north", "west", "south")
DOMAINS_PER_REGION = 2
READY_TIMEOUT_SECONDS = 45.0
SPEEDUP = 100
SECONDS_PER_DAY = 86_400
PROXIED_PLATFORM_PORT = 7050
MAX_PARALLEL_READS = 16


@dataclass(frozen=True, slots=True)
class Sample:
    """Resource use of all nodes since they started, and the reads counted by the platform.

    `at` is a monotonic time; `resident_bytes` has one value for each node.
    """

    at: float
    processor_seconds: float
    resident_bytes: list[int]
    counters: dict[str, int]
    reads: int


@dataclass(frozen=True, slots=True)
class Change:
    """A published change; `accepted_at` is the platform's wall-clock time."""

    revision: int
    accepted_at: float


class CatalogueFleet:
    """A fleet of entries that receives catalogue changes.

    The entries are spread over three regions. With `uses_proxy`, a fault proxy carries all streams
    between entries, and the platform reads of the last ("far") region, so that a partition can be
    simulated. `reverts` counts how often a node went back to an older revision.
    """

    def __init__(self, fleet: Fleet, nodes: int, rng: Random, uses_proxy: bool) -> None:
        self.fleet = fleet
        self.rng = rng
        self.uses_proxy = uses_proxy
        self.names = [f"node-{number + 1}" for number in range(nodes)]
        self.changes: list[Change] = []
        self.reverts = 0

    def start(self) -> None:
        """Start all nodes and wait until each applies the first catalogue."""
        self.fleet.start_platform()
        if self.uses_proxy:
            self.fleet.start_faults()
            platform = self.fleet.members["platform"].host
            self.set_rule("platform", PROXIED_PLATFORM_PORT, (platform, PLATFORM_PORT))
        self.publish("team/first")
        for name in self.names:
            self.start_node(name)
        if self.uses_proxy:
            route_through_proxy(self.fleet, self.names)
        self.fleet.publish_instances()
        self.wait_in_force(self.names, self.changes[-1].revision, READY_TIMEOUT_SECONDS)

    def start_node(self, name: str) -> None:
        """Start one entry; a restarted entry keeps its region and failure domain."""
        number = self.names.index(name)
        region = REGIONS[number % len(REGIONS)]
        domain = f"{region}-{number // len(REGIONS) % DOMAINS_PER_REGION + 1}"
        if self.uses_proxy and region == REGIONS[-1]:
            proxy = self.fleet.members["faults"].host
            self.fleet.platform_url_override = f"http://{proxy}:{PROXIED_PLATFORM_PORT}"
        self.fleet.start_entry(name, region, domain)
        self.fleet.platform_url_override = ""

    def set_rule(self, name: str, port: int, target: tuple[str, int]) -> None:
        """Forward a port of the fault proxy to a target address."""
        host = self.fleet.members["faults"].host
        self.fleet.set_rule({"name": name, "listen": [host, port], "target": list(target)})

    def list_far_nodes(self) -> list[str]:
        """Return the nodes in the last region, which a partition cuts off."""
        return [name for n, name in enumerate(self.names) if n % len(REGIONS) == len(REGIONS) - 1]

    def set_partition(self, cut: bool) -> None:
        """Start or end a partition of the far region from the other regions and the platform."""
        far_nodes = self.list_far_nodes()
        hosts = {name: self.fleet.members[name].host for name in self.names}
        for name in self.names:
            others = [
                hosts[peer] for peer in self.names if (peer in far_nodes) != (name in far_nodes)
            ]
            self.fleet.set_rule({"name": name, "denied": others if cut else []})
        self.fleet.set_rule({"name": "platform", "mode": "refuse" if cut else "pass"})

    def publish(self, key: str) -> Change:
        """Publish a change to the catalogue entry of a team."""
        limits = {"requests_per_second": 100.0, "burst": 1 + len(self.changes)}
        entry = {"owner": "bench", "class": "batch", "limits": limits}
        url = f"{self.fleet.platform_url}/admin/publish/catalogue"
        reply = call_json(url, {key: entry})
        change = Change(int(reply["revision"]), float(reply["accepted_at"]))
        self.changes.append(change)
        return change

    def publish_many(self, count: int) -> None:
        """Publish `count` changes, each of another team, at `SPEEDUP` times the target's rate."""
        interval = SECONDS_PER_DAY / targets.TARGET_CHANGES_PER_DAY / SPEEDUP
        next_at = time.monotonic()
        for _ in range(count):
            self.publish(f"team/bench-{len(self.changes)}")
            next_at += interval
            time.sleep(max(0.0, next_at - time.monotonic()))

    def read_revisions(self, names: list[str]) -> dict[str, int]:
        """Return the catalogue revision in force on each node; -1 if the node does not respond."""
        with ThreadPoolExecutor(MAX_PARALLEL_READS) as pool:
            return dict(zip(names, pool.map(self._read_revision, names), strict=True))

    def wait_in_force(self, names: list[str], revision: int, seconds: float) -> None:
        """Wait until all nodes apply a revision or a later one.

        Raises `TimeoutError` after `seconds`.
        """
        deadline = time.monotonic() + seconds
        behind = names
        while behind:
            revisions = self.read_revisions(behind)
            behind = [name for name in behind if revisions[name] < revision]
            if behind and time.monotonic() > deadline:
                raise TimeoutError(
                    f"{len(behind)} nodes have not reached revision {revision}: {behind[:5]}"
                )
            time.sleep(0.2)

    def list_watchers(self) -> list[str]:
        """Return the nodes that watch the platform for changes."""
        with ThreadPoolExecutor(MAX_PARALLEL_READS) as pool:
            pages = list(pool.map(self.fleet.read_status, self.names))
        return [page["instance"] for page in pages if page["mesh"]["watching"]]

    def sample(self) -> Sample:
        """Return the resource use of all nodes since they started."""
        with ThreadPoolExecutor(MAX_PARALLEL_READS) as pool:
            pages = list(pool.map(self.fleet.read_metrics, self.names))
        counters: dict[str, int] = {}
        for page in pages:
            for name, value in page["counters"].items():
                counters[name] = counters.get(name, 0) + value
        seconds = 0.0
        resident = []
        for name in self.names:
            process = psutil.Process(self.fleet.members[name].process.pid)
            times = process.cpu_times()
            seconds += times.user + times.system
            resident.append(process.memory_info().rss)
        return Sample(time.monotonic(), seconds, resident, counters, self.count_reads())

    def count_reads(self) -> int:
        """Return the number of reads that the platform has served."""
        return int(call_json(f"{self.fleet.platform_url}/admin/counts")["reads"])

    def measure_spread(self, names: list[str], changes: list[Change]) -> list[float]:
        """Return, for each change, the seconds until the last node applied it.

        Also counts a revert for each node whose revisions were not applied in order.
        """
        slowest = [0.0] * len(changes)
        with ThreadPoolExecutor(MAX_PARALLEL_READS) as pool:
            for times in pool.map(self._read_in_force, names):
                if times != sorted(times):
                    self.reverts += 1
                for position, change in enumerate(changes):
                    at = _find_time_in_force(times, change.revision)
                    slowest[position] = max(slowest[position], at - change.accepted_at)
        return slowest

    def record_first_reverts(self, names: list[str], min_revision: int) -> None:
        """Count a revert for each restarted node whose first revision is below `min_revision`."""
        for name in names:
            self.reverts += self._read_in_force(name)[0][0] < min_revision

    def _read_revision(self, name: str) -> int:
        try:
            return int(self.fleet.read_status(name)["mesh"]["catalogue_revision"])
        except OSError:
            return -1

    def _read_in_force(self, name: str) -> list[tuple[int, float]]:
        rows = self.fleet.read_status(name)["mesh"]["in_force_at"]
        return [(int(revision), float(at)) for revision, at in rows]


def _find_time_in_force(times: list[tuple[int, float]], revision: int) -> float:
    for applied, at in times:
        if applied >= revision:
            return at
    return float("inf")
