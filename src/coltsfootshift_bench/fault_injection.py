"""Random faults, drawn from a seed: kills, cuts, silent connections, holds and freezes."""

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

GAP_SECONDS = (0.2, 1.2)
FREEZE_SECONDS = (0.3, 2.5)
HOLD_SECONDS = (0.3, 2.0)
CUT_SECONDS = (0.0, 0.5)
RESTART_SECONDS = (0.0, 0.5)
SHARE_IN_PAIRS = 0.4


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, whom it strikes, when it began and how long, in seconds."""

    kind: str
    name: str
    at: float
    seconds: float


class FaultInjector(threading.Thread):
    """Strikes entries, agents and endpoints of a fleet at random, alone and in pairs.

    What a fault takes away comes back: a killed process is started anew, a frozen one goes on.
    The plan of kinds, names and times depends on the random generator only.
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
        self.done: list[Fault] = []
        self._fleet = fleet
        self._entries = entries
        self._agents = agents
        self._rng = rng
        self._list_options = list_options
        self._stopped = threading.Event()
        self._began = time.monotonic()
        self._kinds: dict[str, Callable[[str, float], None]] = {
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
        """Strike until stopped."""
        while not self._stopped.wait(self._rng.uniform(*GAP_SECONDS)):
            count = 2 if self._rng.random() < SHARE_IN_PAIRS else 1
            threads = []
            for name in self._rng.sample([*self._entries, *self._agents], count):
                fault = self._draw(name)
                self.done.append(fault)
                threads.append(threading.Thread(target=self._strike, args=(fault,)))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def stop(self) -> None:
        """Strike no more, and wait until the last fault is undone."""
        self._stopped.set()
        self.join()

    def _draw(self, name: str) -> Fault:
        kinds = ["kill agent", "kill endpoint", "cut", "stall", "hold", "freeze agent"]
        if name in self._entries:
            kinds = ["kill entry", "freeze entry"]
        kind = self._rng.choice(kinds)
        bounds = {"hold": HOLD_SECONDS, "cut": CUT_SECONDS}.get(kind, RESTART_SECONDS)
        if kind.startswith("freeze"):
            bounds = FREEZE_SECONDS
        at = round(time.monotonic() - self._began, 3)
        return Fault(kind, name, at, round(self._rng.uniform(*bounds), 3))

    def _strike(self, fault: Fault) -> None:
        self._kinds[fault.kind](fault.name, fault.seconds)

    def _kill_agent(self, name: str, seconds: float) -> None:
        self._fleet.kill(name)
        time.sleep(seconds)
        record = self._fleet.records[name]
        self._fleet.start_agent(name, str(record["service"]), "plain")
        self._fleet.records[name] = record

    def _kill_endpoint(self, name: str, seconds: float) -> None:
        self._fleet.kill(f"{name}.endpoint")
        time.sleep(seconds)
        self._fleet.start_endpoint(name, "plain", *self._list_options(self._fleet, name))

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
