"""Faults that are injected from outside the processes, chosen at random; they may overlap."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random

from platform_standins import HOST

from soak.backends import Mode, SoakBackend
from soak.ledger import ORIGIN, STORE, VERSION_BOUND_SECONDS
from soak.members import Member, SoakFleet

# Around the time limits of the processes, which are 2 to 8 s.
DURATION_RANGE_SECONDS = (0.3, 4.0)
PUBLICATION_RANGE_SECONDS = (0.5, 1.5)  # after the origin has become unavailable
# Entries do not run from just before the publication until up to some seconds after it.
PAUSE_LEAD_RANGE_SECONDS = (0.1, 0.4)
PAUSE_RANGE_SECONDS = (1.0, 7.0)
RESTORE_RANGE_SECONDS = (0.2, 2.0)  # how long the store is away before it comes back
REWRITE_RANGE_SECONDS = (0.0, 1.0)  # until the operator and the endpoints write again
CHANGES_BEFORE_RESTORE_SECONDS = 1.5  # in which keys, routes and endpoints change after the copy
WRITES_BEFORE_RESTORE = 6
ORIGIN_OUTAGE_RANGE_SECONDS = (8.0, 14.0)  # around the time limit of the version
GRACE_SECONDS = 8.0  # `grace_s` of the stand-ins' settings
STOP_WINDOW_SECONDS = GRACE_SECONDS + 1.0  # in which a process that stops must lose nothing
STALE_SEED = f"{HOST}:1"  # nothing listens there
RELOAD_WINDOW_SECONDS = 2.0  # `config_ms`; the same for a process that reloads its settings
SILENCE_RANGE_SECONDS = (0.5, 1.5)
MAX_SOON_SECONDS = 0.3  # after the limit of a version
SILENCE_GAP_RANGE_SECONDS = (0.3, 2.0)  # between the silences of a series
PLANNED_WORK_SECONDS = 7.5  # in which entries are told to stop or reload after a publication


class Fault(ABC):
    """A fault that lasts for `seconds`; `end` reverts it."""

    seconds: float = 0.0

    def draw(self, fleet: SoakFleet, rng: Random) -> None:
        """Choose the target and the duration of the fault at random."""
        self.seconds = rng.uniform(*DURATION_RANGE_SECONDS)
        self.choose(fleet, rng)

    @abstractmethod
    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        """Choose the target of the fault at random."""

    @abstractmethod
    def begin(self, fleet: SoakFleet) -> None:
        """Inject the fault."""

    def end(self, fleet: SoakFleet) -> None:
        """Revert the fault; does nothing for faults that need no reverting."""
        return

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.seconds:.1f} s)"


class _MemberFault(Fault):
    """A fault of one process."""

    member: Member

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.member = rng.choice(fleet.members)

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.member.name}, {self.seconds:.1f} s)"


class Kill(_MemberFault):
    """Kills a process and starts it again."""

    def begin(self, fleet: SoakFleet) -> None:
        fleet.record_disruption(self.member.name, self.seconds)
        self.member.send(signal.SIGKILL)

    def end(self, fleet: SoakFleet) -> None:
        self.member.start()


class Stop(_MemberFault):
    """Asks a process to stop, kills it after its drain time, and starts it again."""

    def begin(self, fleet: SoakFleet) -> None:
        self.seconds = GRACE_SECONDS
        self.start_count = len(self.member.logs)
        fleet.record_disruption(self.member.name, self.seconds, planned=True)
        fleet.record_planned_work(self.member.name, STOP_WINDOW_SECONDS)
        self.member.send(signal.SIGTERM)

    def end(self, fleet: SoakFleet) -> None:
        if len(self.member.logs) != self.start_count:
            # Another fault has started the process again, which was not asked to stop.
            fleet.record_disruption(self.member.name, 0.0)
        self.member.send(signal.SIGKILL)
        self.member.end()
        self.member.start()


class Pause(_MemberFault):
    """Suspends a process."""

    def begin(self, fleet: SoakFleet) -> None:
        fleet.record_disruption(self.member.name, self.seconds)
        self.member.send(signal.SIGSTOP)

    def end(self, fleet: SoakFleet) -> None:
        self.member.send(signal.SIGCONT)


class HangUp(_MemberFault):
    """Names an address without an entry as the only seed, and then others than before.

    The process is told of each change by SIGHUP, or not at all. If it restarts in between it knows
    the stale seed only.
    """

    signalled = True

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        super().choose(fleet, rng)
        self.signalled = int(self.seconds * 1000) % 2 == 0

    def begin(self, fleet: SoakFleet) -> None:
        self._name(fleet, [STALE_SEED])

    def end(self, fleet: SoakFleet) -> None:
        self._name(fleet, list(reversed(fleet.seeds)))

    def _name(self, fleet: SoakFleet, seeds: list[str]) -> None:
        fleet.record_planned_work(self.member.name, RELOAD_WINDOW_SECONDS)
        self.member.change_settings(seeds=seeds)
        if self.signalled:
            self.member.send(signal.SIGHUP)

    def __repr__(self) -> str:
        return f"HangUp({self.member.name}, signalled={self.signalled}, {self.seconds:.1f} s)"


class KillMany(Fault):
    """Kills two thirds of the processes, but at least two, at once."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.members = rng.sample(fleet.members, k=max(2, len(fleet.members) * 2 // 3))

    def begin(self, fleet: SoakFleet) -> None:
        for member in self.members:
            fleet.record_disruption(member.name, self.seconds)
            member.send(signal.SIGKILL)

    def end(self, fleet: SoakFleet) -> None:
        for member in self.members:
            member.start()

    def __repr__(self) -> str:
        return f"KillMany({[member.name for member in self.members]}, {self.seconds:.1f} s)"


class LinkFault(Fault):
    """Refuses, stalls, holds (in one or both directions) or delays connections to a back end.

    Connections to the origin may corrupt data instead.
    """

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
        fleet.record_disruption(self.rule.partition("/")[0], self.seconds)
        fleet.proxy.set(self.rule, **self.fields)

    def end(self, fleet: SoakFleet) -> None:
        fleet.proxy.set(self.rule, mode="pass", delay=0.0, corrupt_share=0.0)

    def __repr__(self) -> str:
        return f"LinkFault({self.rule}, {self.fields}, {self.seconds:.1f} s)"


class StoreFault(Fault):
    """Makes the store refuse all requests; some endpoints' items expire and return later."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.status = rng.choice([503, 429])
        names = [backend.name for backend in (*fleet.endpoints, *fleet.engines)]
        self.removed = rng.sample(names, k=rng.randint(0, len(names)))
        self.compacts = rng.random() < 0.5

    def begin(self, fleet: SoakFleet) -> None:
        fleet.record_disruption(STORE, self.seconds)
        fleet.store.down = self.status

    def end(self, fleet: SoakFleet) -> None:
        for name in self.removed:
            fleet.drop_endpoint(name)
        if self.compacts:
            fleet.store.compact_history()
        fleet.store.down = 0
        for name in self.removed:
            fleet.list_endpoint(name)

    def __repr__(self) -> str:
        return f"StoreFault({self.status}, removed={self.removed}, {self.seconds:.1f} s)"


class RestoredStore(Fault):
    """Takes the store away and brings it back from the copy that `KeepCopy` has kept."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = rng.uniform(*RESTORE_RANGE_SECONDS)
        self.rewrite_delay = rng.uniform(*REWRITE_RANGE_SECONDS)

    def begin(self, fleet: SoakFleet) -> None:
        fleet.record_disruption(STORE, self.seconds + self.rewrite_delay)
        fleet.store.down = 503

    def end(self, fleet: SoakFleet) -> None:
        fleet.restore_store()
        fleet.store.down = 0

    def __repr__(self) -> str:
        return (
            f"RestoredStore({self.seconds:.1f} s, written again {self.rewrite_delay:.1f} s later)"
        )


class KeepCopy(Fault):
    """Keeps the copy of the store from which it comes back later."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = 0.0

    def begin(self, fleet: SoakFleet) -> None:
        fleet.keep_copy()


class WriteAgain(Fault):
    """Writes what a restored store lacks."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = 0.0

    def begin(self, fleet: SoakFleet) -> None:
        fleet.write_again()


class BackendFault(Fault):
    """Makes an endpoint or engine refuse requests, fail them or cut their connections."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.backend = rng.choice([*fleet.endpoints, *fleet.engines])
        self.mode = rng.choice([Mode.FULL, Mode.FAILING, Mode.CUTTING])

    def begin(self, fleet: SoakFleet) -> None:
        self.backend.mode = self.mode

    def end(self, fleet: SoakFleet) -> None:
        self.backend.mode = Mode.HEALTHY

    def __repr__(self) -> str:
        return f"BackendFault({self.backend.name}, {self.mode.value}, {self.seconds:.1f} s)"


class Silence(Fault):
    """Makes a sound endpoint or engine handle and write nothing for a while.

    It excuses nothing, so it is not recorded as a disruption.
    """

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.backend = rng.choice([*fleet.endpoints, *fleet.engines])
        # The longest one is as long as the time limits of entries.
        self.seconds = rng.choice((SILENCE_RANGE_SECONDS[1], rng.uniform(*SILENCE_RANGE_SECONDS)))

    def begin(self, fleet: SoakFleet) -> None:
        self.backend.gate.close()

    def end(self, fleet: SoakFleet) -> None:
        self.backend.gate.open()

    def __repr__(self) -> str:
        return f"Silence({self.backend.name}, {self.seconds:.2f} s)"


class Drain(Fault):
    """Makes an endpoint state in its answers that it leaves, then starts it again.

    The store lists it as draining at once, or not at all.
    """

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.endpoint = rng.choice(fleet.endpoints)
        self.listed = int(self.seconds * 1000) % 2 == 0

    def begin(self, fleet: SoakFleet) -> None:
        self.endpoint.leaving = True
        if self.listed:
            fleet.list_endpoint(self.endpoint.name, state="draining")

    def end(self, fleet: SoakFleet) -> None:
        self.endpoint.restart()
        fleet.list_endpoint(self.endpoint.name)

    def __repr__(self) -> str:
        return f"Drain({self.endpoint.name}, listed={self.listed}, {self.seconds:.1f} s)"


class EngineRestart(Fault):
    """Restarts an engine, which loses its weights; or corrupts one of its staged chunks."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.engine = rng.choice(fleet.engines)
        self.corrupts = rng.random() < 0.4

    def begin(self, fleet: SoakFleet) -> None:
        if self.corrupts:
            self.engine.corrupt_next_version = True
            return
        self.engine.restart()

    def __repr__(self) -> str:
        return f"EngineRestart({self.engine.name}, corrupts={self.corrupts})"


class ConfigChange(Fault):
    """Adds a route, revokes an API key or publishes a new version of the weights."""

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
            fleet.ledger.record_revocation(key)

    def __repr__(self) -> str:
        return f"ConfigChange({self.kind}, {self.key})"


FAULT_KINDS: tuple[type[Fault], ...] = (
    Kill,
    Stop,
    Pause,
    HangUp,
    KillMany,
    LinkFault,
    LinkFault,
    LinkFault,
    StoreFault,
    BackendFault,
    Drain,
    EngineRestart,
    ConfigChange,
    ConfigChange,
)


@dataclass(frozen=True)
class PlannedFault:
    """A fault and its start in seconds after the start of the soak test."""

    starts_at: float
    fault: Fault


def draw_plan(fleet: SoakFleet, rng: Random, length: float, count: int) -> list[PlannedFault]:
    """Return `count` random faults that start within `length` seconds, ordered by start."""
    plan = []
    for _ in range(count):
        fault = rng.choice(FAULT_KINDS)()
        fault.draw(fleet, rng)
        plan.append(PlannedFault(rng.uniform(0.0, length), fault))
    return sorted(plan, key=lambda planned: planned.starts_at)


def draw_publication(fleet: SoakFleet, rng: Random) -> list[PlannedFault]:
    """Return the faults of a version that is published while some or all entries do not run.

    The origin is unavailable, so that the engines keep the older version until about its limit.
    """
    outage = rng.uniform(*ORIGIN_OUTAGE_RANGE_SECONDS)
    published_at = rng.uniform(*PUBLICATION_RANGE_SECONDS)
    plan = _make_publication(published_at, outage)
    for member in rng.sample(fleet.entries, k=rng.randint(1, len(fleet.entries))):
        fault = rng.choice((Pause, Pause, Kill))()
        fault.member = member
        fault.seconds = rng.uniform(*PAUSE_RANGE_SECONDS)
        starts_at = published_at - rng.uniform(*PAUSE_LEAD_RANGE_SECONDS)
        plan.append(PlannedFault(starts_at, fault))
    return sorted(plan, key=lambda planned: planned.starts_at)


def draw_silences(fleet: SoakFleet, rng: Random, first: float, last: float) -> list[PlannedFault]:
    """Return a series of silences, of one or several back ends at a time, that start in a period.

    The silences of one back end neither overlap nor meet.
    """
    plan = []
    backends = [*fleet.endpoints, *fleet.engines]
    starts_at = first + rng.uniform(*SILENCE_GAP_RANGE_SECONDS)
    while starts_at < last:
        longest = 0.0
        for backend in rng.sample(backends, k=rng.choice((1, rng.randint(1, len(backends))))):
            silence = _draw_silence(fleet, rng, backend)
            longest = max(longest, silence.seconds)
            plan.append(PlannedFault(starts_at, silence))
        starts_at += longest + rng.uniform(*SILENCE_GAP_RANGE_SECONDS)
    return plan


def draw_silences_at_limit(
    fleet: SoakFleet, rng: Random, publication: list[PlannedFault]
) -> list[PlannedFault]:
    """Return silences after a publication, the last of them around the limit of the version."""
    changes = [row.starts_at for row in publication if isinstance(row.fault, ConfigChange)]
    limit = changes[0] + VERSION_BOUND_SECONDS
    last = limit - 2 * SILENCE_RANGE_SECONDS[1] - SILENCE_GAP_RANGE_SECONDS[0]
    plan = draw_silences(fleet, rng, changes[0], last)
    for engine in rng.sample(fleet.engines, k=rng.randint(1, len(fleet.engines))):
        silence = _draw_silence(fleet, rng, engine)
        # One that ends soon after the limit holds back the most that was sent before it.
        longest = rng.choice((MAX_SOON_SECONDS, silence.seconds))
        ends_at = limit + rng.uniform(0.0, longest)
        plan.append(PlannedFault(ends_at - silence.seconds, silence))
    return plan


def draw_planned_work(fleet: SoakFleet, rng: Random) -> list[PlannedFault]:
    """Return a publication, stops and reloads of entries, and silences up to the version's limit.

    Nothing else is disrupted but the origin, which is unavailable until about the limit.
    """
    published_at = rng.uniform(*PUBLICATION_RANGE_SECONDS)
    limit = published_at + VERSION_BOUND_SECONDS
    plan = _make_publication(published_at, limit + rng.uniform(*SILENCE_RANGE_SECONDS))
    plan += draw_silences_at_limit(fleet, rng, plan)
    stopped = rng.sample(fleet.entries, k=rng.randint(1, max(1, len(fleet.entries) - 1)))
    for member in fleet.entries:
        fault = Stop() if member in stopped else HangUp()
        fault.member = member
        starts_at = published_at + rng.uniform(0.0, PLANNED_WORK_SECONDS)
        plan.append(PlannedFault(starts_at, fault))
    return plan


def _make_publication(published_at: float, outage: float) -> list[PlannedFault]:
    """Return the publication of a version and the outage of the origin, from the start on."""
    origin = LinkFault()
    origin.rule, origin.fields, origin.seconds = ORIGIN, {"mode": "refuse"}, outage
    publication = ConfigChange()
    publication.kind, publication.key = "version", ""
    return [PlannedFault(0.0, origin), PlannedFault(published_at, publication)]


def _draw_silence(fleet: SoakFleet, rng: Random, backend: SoakBackend) -> Silence:
    silence = Silence()
    silence.choose(fleet, rng)
    silence.backend = backend
    return silence


def draw_restore(fleet: SoakFleet, rng: Random) -> list[PlannedFault]:
    """Return the faults of a store that comes back from a copy of before some changes, up to twice.

    All items are written several times after the copy, so that revisions go back by more than is
    written again. An entry may be killed, so that it reads the copy as it starts.
    """
    plan = [PlannedFault(0.0, KeepCopy())]
    for _ in range(WRITES_BEFORE_RESTORE):
        plan.append(PlannedFault(rng.uniform(0.1, CHANGES_BEFORE_RESTORE_SECONDS), WriteAgain()))
    for kind in ("key", "route"):
        change = ConfigChange()
        change.kind, change.key = kind, rng.choice(fleet.keys)
        plan.append(PlannedFault(rng.uniform(0.1, CHANGES_BEFORE_RESTORE_SECONDS), change))
    starts_at = CHANGES_BEFORE_RESTORE_SECONDS
    for _ in range(rng.randint(1, 2)):
        restore = RestoredStore()
        restore.choose(fleet, rng)
        back_at = starts_at + restore.seconds
        plan.append(PlannedFault(starts_at, restore))
        plan.append(PlannedFault(back_at + restore.rewrite_delay, WriteAgain()))
        if rng.random() < 0.5:
            kill = Kill()
            kill.member = rng.choice(fleet.entries)
            kill.seconds = rng.uniform(*PUBLICATION_RANGE_SECONDS)
            plan.append(PlannedFault(max(0.0, back_at - kill.seconds), kill))
        starts_at = back_at + restore.rewrite_delay + rng.uniform(0.1, 1.0)
    return sorted(plan, key=lambda planned: planned.starts_at)
