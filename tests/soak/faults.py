"""Faults from outside the programs: drawn by a seed, in series that overlap."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random

from soak.backends import Mode
from soak.members import Member, SoakFleet

SPAN_SECONDS = (0.3, 4.0)  # of one fault; bounds of the programs are two to eight seconds


class Fault(ABC):
    """Something that goes wrong for `seconds`; `end` undoes it."""

    seconds: float = 0.0

    def draw(self, fleet: SoakFleet, rng: Random) -> None:
        """Choose what the fault meets, and for how long."""
        self.seconds = rng.uniform(*SPAN_SECONDS)
        self.choose(fleet, rng)

    @abstractmethod
    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        """Choose what the fault meets."""

    @abstractmethod
    def begin(self, fleet: SoakFleet) -> None:
        """Do the harm."""

    def end(self, fleet: SoakFleet) -> None:
        """Undo it; many faults end by themselves."""
        return


class _ProgramFault(Fault):
    """Something that meets one program."""

    member: Member

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.member = rng.choice(fleet.members)

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.member.name}, {self.seconds:.1f} s)"


class Kill(_ProgramFault):
    """A program is killed and started again."""

    def begin(self, fleet: SoakFleet) -> None:
        fleet.note_disturbed(self.member, self.seconds)
        self.member.send(signal.SIGKILL)

    def end(self, fleet: SoakFleet) -> None:
        self.member.start()


class Stop(_ProgramFault):
    """A program is told to stop, killed if it has not within its time, and started again."""

    def begin(self, fleet: SoakFleet) -> None:
        self.seconds = 8.0  # `grace_s` of the stand-ins' settings
        fleet.note_disturbed(self.member, self.seconds)
        self.member.send(signal.SIGTERM)

    def end(self, fleet: SoakFleet) -> None:
        self.member.send(signal.SIGKILL)
        self.member.end()
        self.member.start()


class Pause(_ProgramFault):
    """A program is suspended."""

    def begin(self, fleet: SoakFleet) -> None:
        fleet.note_disturbed(self.member, self.seconds)
        self.member.send(signal.SIGSTOP)

    def end(self, fleet: SoakFleet) -> None:
        self.member.send(signal.SIGCONT)


class HangUp(_ProgramFault):
    """The settings of a program change, and it is told so."""

    def begin(self, fleet: SoakFleet) -> None:
        self.member.fields["seeds"] = list(reversed(self.member.fields["seeds"]))
        self.member.send(signal.SIGHUP)


class HerdKill(Fault):
    """Most programs are killed at once."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.members = rng.sample(fleet.members, k=max(2, len(fleet.members) * 2 // 3))

    def begin(self, fleet: SoakFleet) -> None:
        for member in self.members:
            fleet.note_disturbed(member, self.seconds)
            member.send(signal.SIGKILL)

    def end(self, fleet: SoakFleet) -> None:
        for member in self.members:
            member.start()

    def __repr__(self) -> str:
        return f"HerdKill({[member.name for member in self.members]}, {self.seconds:.1f} s)"


class LinkFault(Fault):
    """Connections to a back end are cut, silenced, held one way or both, or delayed."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        stores = [f"store/{member.name}" for member in fleet.entries]
        backends = [backend.name for backend in (*fleet.endpoints, *fleet.engines)]
        self.rule = rng.choice([*stores, *backends, "origin"])
        modes = ["refuse", "stall", "hold", "hold_out", "hold_back"]
        self.fields = {"mode": rng.choice(modes)}
        if rng.random() < 0.3:
            self.fields = {"delay": round(rng.uniform(0.05, 0.8), 2)}
        if self.rule == "origin" and rng.random() < 0.5:
            self.fields = {"corrupt_share": 0.3}

    def begin(self, fleet: SoakFleet) -> None:
        fleet.proxy.set(self.rule, **self.fields)

    def end(self, fleet: SoakFleet) -> None:
        fleet.proxy.set(self.rule, mode="pass", delay=0.0, corrupt_share=0.0)

    def __repr__(self) -> str:
        return f"LinkFault({self.rule}, {self.fields}, {self.seconds:.1f} s)"


class StoreFault(Fault):
    """The store refuses everyone; endpoints' items may lapse meanwhile and come back after."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.status = rng.choice([503, 429])
        names = [backend.name for backend in (*fleet.endpoints, *fleet.engines)]
        self.lapsed = rng.sample(names, k=rng.randint(0, len(names)))
        self.forgets = rng.random() < 0.5

    def begin(self, fleet: SoakFleet) -> None:
        fleet.store.down = self.status

    def end(self, fleet: SoakFleet) -> None:
        for name in self.lapsed:
            fleet.drop_endpoint(name)
        if self.forgets:
            fleet.store.compact_history()
        fleet.store.down = 0
        for name in self.lapsed:
            fleet.list_endpoint(name)

    def __repr__(self) -> str:
        return f"StoreFault({self.status}, lapsed={self.lapsed}, {self.seconds:.1f} s)"


class BackendFault(Fault):
    """An endpoint or engine refuses, fails or loses requests."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.backend = rng.choice([*fleet.endpoints, *fleet.engines])
        self.mode = rng.choice([Mode.FULL, Mode.FAILING, Mode.LOSING])

    def begin(self, fleet: SoakFleet) -> None:
        self.backend.mode = self.mode

    def end(self, fleet: SoakFleet) -> None:
        self.backend.mode = Mode.SOUND

    def __repr__(self) -> str:
        return f"BackendFault({self.backend.name}, {self.mode.value}, {self.seconds:.1f} s)"


class Drain(Fault):
    """An endpoint says that it leaves, goes, and comes back."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.name = rng.choice(fleet.endpoints).name

    def begin(self, fleet: SoakFleet) -> None:
        fleet.list_endpoint(self.name, state="draining")

    def end(self, fleet: SoakFleet) -> None:
        fleet.list_endpoint(self.name)

    def __repr__(self) -> str:
        return f"Drain({self.name}, {self.seconds:.1f} s)"


class EngineRestart(Fault):
    """An engine starts anew with nothing loaded; or one staged chunk of it turns bad."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.engine = rng.choice(fleet.engines)
        self.rots = rng.random() < 0.4

    def begin(self, fleet: SoakFleet) -> None:
        if self.rots:
            self.engine.corrupt_next_version = True
            return
        self.engine.restart()

    def __repr__(self) -> str:
        return f"EngineRestart({self.engine.name}, rots={self.rots})"


class Change(Fault):
    """The operator adds a route, takes keys away, or names new weights."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.kind = rng.choice(["route", "key", "version"])
        self.key = rng.choice(sorted(fleet.ledger.teams))

    def begin(self, fleet: SoakFleet) -> None:
        if self.kind == "version":
            fleet.put_version()
            return
        if self.kind == "route":
            fleet.routes.append(f"new-{len(fleet.routes)}")
        elif self.key in fleet.keys and len(fleet.keys) > 3:
            fleet.keys = [key for key in fleet.keys if key != self.key]
        fleet.put_config()
        for key in set(fleet.ledger.teams) - set(fleet.keys):
            fleet.ledger.note_revoked(key)

    def __repr__(self) -> str:
        return f"Change({self.kind}, {self.key})"


KINDS: tuple[type[Fault], ...] = (
    Kill,
    Stop,
    Pause,
    HangUp,
    HerdKill,
    LinkFault,
    LinkFault,
    LinkFault,
    StoreFault,
    BackendFault,
    Drain,
    EngineRestart,
    Change,
    Change,
)


@dataclass(frozen=True)
class Planned:
    """A fault and when it begins, in seconds from the start of the soak."""

    at: float
    fault: Fault


def draw_plan(fleet: SoakFleet, rng: Random, length: float, count: int) -> list[Planned]:
    """Return `count` faults within `length` seconds, in order of their begin."""
    plan = []
    for _ in range(count):
        fault = rng.choice(KINDS)()
        fault.draw(fleet, rng)
        plan.append(Planned(rng.uniform(0.0, length), fault))
    return sorted(plan, key=lambda planned: planned.at)
