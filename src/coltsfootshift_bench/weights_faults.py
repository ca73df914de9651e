"""Faults that are injected into a rollout at given fractions of its floor time."""

from __future__ import annotations

import signal
import time
from abc import ABC, abstractmethod
from random import Random

from coltsfootshift_bench.weights_fleet import Rollout

__all__ = ["FAULTS", "Fault"]

CORRUPT_SHARE = 0.05


class Fault(ABC):
    """Base class of faults; the rollout calls `update` periodically.

    `start_share` and `end_share` are fractions of the floor time after publication; a fault without
    `end_share` is permanent. `ended_at` is the monotonic time when the fault ended or, if it is
    permanent, started. `killed` has the instances that are not restarted. `needs_proxies` says
    whether the fault needs a fault proxy before each agent.
    """

    needs_proxies = False
    start_share = 0.3
    end_share: float | None = None

    def __init__(self, rollout: Rollout, rng: Random) -> None:
        self.rollout = rollout
        self.rng = rng
        self.started = False
        self.ended_at: float | None = None
        self.killed: set[str] = set()

    def update(self) -> None:
        """Start or end the fault if it is time to."""
        floor = self.rollout.plan.floor_seconds
        share = (time.monotonic() - self.rollout.published_at) / floor
        if not self.started and self.should_start(share):
            self.started = True
            print(f"  fault begins at {share:.2f} of the floor")
            self.start()
            if self.end_share is None:
                self.ended_at = time.monotonic()
        if self.started and self.ended_at is None and self.end_share is not None:
            if share < self.end_share:
                return
            print(f"  fault ends at {share:.2f} of the floor")
            self.end()
            self.ended_at = time.monotonic()

    def should_start(self, share: float) -> bool:
        """Return whether to start the fault; `share` is the elapsed time divided by the floor."""
        return share >= self.start_share

    @abstractmethod
    def start(self) -> None:
        """Start the fault."""

    def end(self) -> None:
        """End the fault; does nothing for permanent faults."""
        return


class Corrupt(Fault):
    """The origin sends some chunks corrupted, from the start and permanently."""

    start_share = 0.0

    def start(self) -> None:
        """Make the origin corrupt a share of its chunks."""
        self.rollout.set_origin_mode({"corrupt_share": CORRUPT_SHARE})


class CorruptLinks(Fault):
    """Some data between agents is corrupted in transit, from the start and permanently."""

    needs_proxies = True
    start_share = 0.0

    def start(self) -> None:
        """Make the proxies corrupt a share of the data on every link."""
        for name in self.rollout.engines:
            self.rollout.fleet.set_rule({"name": name, "corrupt_share": CORRUPT_SHARE})


class Killed(Fault):
    """Two agents are killed and not restarted."""

    def start(self) -> None:
        """Kill two random agents."""
        for name in self.rng.sample(self.rollout.engines, 2):
            self.rollout.fleet.kill(name)
            self.killed.add(name)


class Stalled(Fault):
    """All open streams to one agent stall permanently; new streams work."""

    needs_proxies = True

    def start(self) -> None:
        """Stall the open streams to a random agent."""
        name = self.rng.choice(self.rollout.engines)
        self.rollout.fleet.set_rule({"name": name, "mode": "stall"})


class OriginDown(Fault):
    """The origin goes down permanently after it has sent one complete copy."""

    def should_start(self, share: float) -> bool:
        """Return whether the origin has sent every chunk at least once."""
        return self.rollout.is_copy_sent()

    def start(self) -> None:
        """Make the origin unavailable."""
        self.rollout.set_origin_mode({"down": True})


class Frozen(Fault):
    """One agent is suspended with SIGSTOP and resumed later."""

    end_share = 1.0

    def start(self) -> None:
        """Suspend a random agent."""
        self.name = self.rng.choice(self.rollout.engines)
        self.rollout.fleet.members[self.name].send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Resume the agent."""
        self.rollout.fleet.members[self.name].send_signal(signal.SIGCONT)


class Partition(Fault):
    """No stream between agents carries data for a third of the link time (`link_seconds`).

    The floor is half of the link time, hence the 2 / 3.
    """

    needs_proxies = True
    end_share = 0.3 + 2 / 3

    def start(self) -> None:
        """Hold the data of all streams."""
        self._set_proxy_modes("hold")

    def end(self) -> None:
        """Let the data of all streams pass."""
        self._set_proxy_modes("pass")

    def _set_proxy_modes(self, mode: str) -> None:
        for name in self.rollout.engines:
            self.rollout.fleet.set_rule({"name": name, "mode": mode})


FAULTS: dict[str, type[Fault]] = {
    "corrupt": Corrupt,
    "corrupt-links": CorruptLinks,
    "killed": Killed,
    "stalled": Stalled,
    "origin-down": OriginDown,
    "frozen": Frozen,
    "partition": Partition,
}
