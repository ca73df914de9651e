"""Injects random faults: kills, refused, stalled or held connections, and frozen processes."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from coltsfootshift_bench.fault_proxy import set_proxy_mode
from coltsfootshift_bench.fleet import Fleet

__all__ = ["Fault", "FaultInjector"]

INTERVAL_SECONDS = (0.2, 1.2)
FREEZE_SECONDS = (0.3, 2.5)
HOLD_SECONDS = (0.3, 2.0)
CUT_SECONDS = (0.0, 0.5)
RESTART_SECONDS = (0.0, 0.5)
PAIR_PROBABILITY = 0.4


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, the instance it affects, its start and duration in seconds.

    `at` counts from the creation of the injector.
    """

    kind: str
    name: str
    at: float
    seconds: float


class FaultInjector(threading.Thread):
    """Injects faults into random entries, agents and endpoints of a fleet, one or two at a time.

    Every fault is undone after its duration: a killed process is restarted, a frozen one resumed.
    The sequence of kinds, names and durations depends only on the random generator.
    `list_options` returns the command-line options with which an endpoint is restarted.
    """

    def __init__(
        self,
        fleet: Fleet,
        entries: list[str],
        agents: list[str],
        rng: Random,
        list_options: Callable[[Fleet, str], Sequence[str]],
    ) -> None:
        super().__init__()
        self.injected: list[Fault] = []
        self._fleet = fleet
        self._entries = entries
        self._agents = agents
        self._rng = rng
        self._list_endpoint_options = list_options
        self._stopped = threading.Event()
        self._started_at = time.monotonic()
        self._methods: dict[str, Callable[[str, float], None]] = {
            "kill agent": self._kill_agent,
            "kill endpoint": self._kill_endpoint,
            "kill entry": self._kill_entry,
            "cut": self._cut,
            "stall": self._stall,
            "hold": self._hold,
            "freeze agent": self._freeze,
            "freeze entry": self._freeze,
        }

    def run(self) -> None:
        """Inject faults until `stop` is called."""
        while not self._stopped.wait(self._rng.uniform(*INTERVAL_SECONDS)):
            count = 2 if self._rng.random() < PAIR_PROBABILITY else 1
            threads = []
            for name in self._rng.sample([*self._entries, *self._agents], count):
                fault = self._draw_fault(name)
                self.injected.append(fault)
                threads.append(threading.Thread(target=self._inject, args=(fault,)))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def stop(self) -> None:
        """Inject no more faults, and wait until the last one is undone."""
        self._stopped.set()
        self.join()

    def _draw_fault(self, name: str) -> Fault:
        kinds = ["kill agent", "kill endpoint", "cut", "stall", "hold", "freeze agent"]
        if name in self._entries:
            kinds = ["kill entry", "freeze entry"]
        kind = self._rng.choice(kinds)
        bounds = {"hold": HOLD_SECONDS, "cut": CUT_SECONDS}.get(kind, RESTART_SECONDS)
        if kind.startswith("freeze"):
            bounds = FREEZE_SECONDS
        at = round(time.monotonic() - self._started_at, 3)
        return Fault(kind, name, at, round(self._rng.uniform(*bounds), 3))

    def _inject(self, fault: Fault) -> None:
        self._methods[fault.kind](fault.name, fault.seconds)

    def _kill_agent(self, name: str, seconds: float) -> None:
        self._fleet.kill(name)
        time.sleep(seconds)
        record = self._fleet.records[name]
        self._fleet.start_agent(name, str(record["service"]), "plain")
        self._fleet.records[name] = record

    def _kill_endpoint(self, name: str, seconds: float) -> None:
        self._fleet.kill(f"{name}.endpoint")
        time.sleep(seconds)
        self._fleet.start_endpoint(name, "plain", *self._list_endpoint_options(self._fleet, name))

    def _kill_entry(self, name: str, seconds: float) -> None:
        self._fleet.kill(name)
        time.sleep(seconds)
        self._fleet.start_entry(name)

    def _cut(self, name: str, seconds: float) -> None:
        set_proxy_mode(self._fleet, name, "refuse")
        time.sleep(seconds)
        set_proxy_mode(self._fleet, name, "pass")

    def _stall(self, name: str, seconds: float) -> None:
        set_proxy_mode(self._fleet, name, "stall")
        time.sleep(seconds)
        set_proxy_mode(self._fleet, name, "pass")

    def _hold(self, name: str, seconds: float) -> None:
        set_proxy_mode(self._fleet, name, "hold")
        time.sleep(seconds)
        set_proxy_mode(self._fleet, name, "pass")

    def _freeze(self, name: str, seconds: float) -> None:
        self._fleet.members[name].send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self._fleet.members[name].send_signal(signal.SIGCONT)
