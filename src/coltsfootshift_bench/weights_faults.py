"""Faults that a rollout meets: each begins and ends at a share of the floor time."""

from __future__ import annotations

import signal
import time
from abc import ABC, abstractmethod
from random import Random

from coltsfootshift_bench.weights_fleet import Rollout

__all__ = ["FAULTS", "Fault"]

CORRUPT_SHARE = 0.05


class Fault(ABC):
    """One fault; `check` is called again and again during the rollout.

    `ended_at` is the monotonic time at which it had ended or, where it lasts for good, begun.
    """

    needs_proxies = False
    begin_share = 0.3
    end_share: float | None = None

    def __init__(self, rollout: Rollout, rng: Random) -> None:
        self.rollout = rollout
        self.rng = rng
        self.begun = False
        self.ended_at: float | None = None
        self.dead: set[str] = set()

    def check(self) -> None:
        """Begin or end the fault where its time has come."""
        floor = self.rollout.plan.floor_seconds
        share = (time.monotonic() - self.rollout.published_at) / floor
        if not self.begun and self.is_due(share):
            self.begun = True
            print(f"  fault begins at {share:.2f} of the floor")
            self.begin()
            if self.end_share is None:
                self.ended_at = time.monotonic()
        if self.begun and self.ended_at is None and self.end_share is not None:
            if share < self.end_share:
                return
            print(f"  fault ends at {share:.2f} of the floor")
            self.end()
            self.ended_at = time.monotonic()

    def is_due(self, share: float) -> bool:
        """Return whether the fault begins now; `share` is the time passed over the floor."""
        return share >= self.begin_share

    @abstractmethod
    def begin(self) -> None:
        """Begin the fault."""

    def end(self) -> None:
        """End the fault; one that lasts for good has nothing to do here."""
        return


class Corrupt(Fault):
    """Some chunks come corrupted from the origin, from the start and for good."""

    begin_share = 0.0

    def begin(self) -> None:
        """Corrupt a share of the origin's chunks."""
        self.rollout.set_origin({"corrupt_share": CORRUPT_SHARE})


class CorruptLinks(Fault):
    """Some of what agents send each other is changed on the way, from the start and for good."""

    needs_proxies = True
    begin_share = 0.0

    def begin(self) -> None:
        """Change a share of the pieces on every link."""
        for name in self.rollout.engines:
            self.rollout.fleet.set_rule({"name": name, "corrupt_share": CORRUPT_SHARE})


class Killed(Fault):
    """Two agents are killed and do not come back."""

    def begin(self) -> None:
        """Kill them."""
        for name in self.rng.sample(self.rollout.engines, 2):
            self.rollout.fleet.kill(name)
            self.dead.add(name)


class Stalled(Fault):
    """All open streams to one agent go silent for good while new ones work."""

    needs_proxies = True

    def begin(self) -> None:
        """Silence them."""
        name = self.rng.choice(self.rollout.engines)
        self.rollout.fleet.set_rule({"name": name, "mode": "stall"})


class OriginDown(Fault):
    """The origin goes down once one copy is out."""

    def is_due(self, share: float) -> bool:
        """Return whether one whole copy is out."""
        return self.rollout.is_copy_sent()

    def begin(self) -> None:
        """Stop the origin's answers."""
        self.rollout.set_origin({"down": True})


class Frozen(Fault):
    """One agent is stopped by a signal and woken later."""

    end_share = 1.0

    def begin(self) -> None:
        """Stop it."""
        self.name = self.rng.choice(self.rollout.engines)
        self.rollout.fleet.members[self.name].send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Wake it."""
        self.rollout.fleet.members[self.name].send_signal(signal.SIGCONT)


class Partition(Fault):
    """No stream between agents carries anything for a third of the time T."""

    needs_proxies = True
    end_share = 0.3 + 2 / 3

    def begin(self) -> None:
        """Hold every stream."""
        self._set_all("hold")

    def end(self) -> None:
        """Let them pass."""
        self._set_all("pass")

    def _set_all(self, mode: str) -> None:
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
