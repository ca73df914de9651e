"""One run of the soak test: faults under load, then checks of the recovery without faults."""

from __future__ import annotations

import heapq
import http.client
import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from platform_standins import make_chunk, send_request

from soak.callers import Caller
from soak.faults import (
    STOP_WINDOW_SECONDS,
    Fault,
    PlannedFault,
    draw_plan,
    draw_planned_work,
    draw_publication,
    draw_restore,
    draw_silences,
    draw_silences_at_limit,
)
from soak.ledger import SETTLE_SECONDS, Call, Kind
from soak.members import Member, SoakFleet
from soak.outages import StoreOutage
from soak.spoilt import draw_late_order, draw_spoilt_knowledge

FAULT_PERIOD_SECONDS = 10.0
FAULT_COUNT = 14
CALLER_COUNT = 6
OUTAGE_COUNT = 2
RECOVERY_SECONDS = 12.0  # `recover_s` of the deployments
CONFIG_SECONDS = 2.0  # `config_ms`
VERSION_SECONDS = 10.0  # `version_ms`, and 2 s for engines to finish loading
DRAIN_SECONDS = 8.0  # `grace_s`
CONSECUTIVE_PROBES = 4


@dataclass
class Result:
    """The result of one seed."""

    seed: int
    plans: list[list[PlannedFault]]
    violations: list[str] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    def render(self) -> str:
        """Return a summary line, followed by the faults and violations if there are any."""
        total = sum(self.outcomes.values())
        rows = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        lines = [f"seed {self.seed}: {len(self.violations)} broken, {total} requests: {rows}"]
        if self.violations:
            for plan in self.plans:
                rows = sorted(plan, key=lambda planned: planned.starts_at)
                lines += [f"  {planned.starts_at:5.2f} s {planned.fault!r}" for planned in rows]
            lines += [f"  BROKEN {text}" for text in self.violations[:20]]
        return "\n".join(lines)


def run_seed(seed: int, folder: Path, *, entries: int = 3, engines: int = 3) -> Result:
    """Run the soak test with the faults of a seed; the result lists the violated guarantees."""
    rng = Random(seed)
    fleet = SoakFleet(folder, rng, entries, engines)
    callers = [
        Caller(fleet, f"c{seed}-{n}", seed * 100 + n, n % 2 == 0) for n in range(CALLER_COUNT)
    ]
    result = Result(seed, [])
    try:
        fleet.start()
        # From their own random numbers, so that the faults of a seed stay the same.
        publication = draw_publication(fleet, Random(f"publication {seed}"))
        restore = draw_restore(fleet, Random(f"restore {seed}"))
        silence_rng = Random(f"silence {seed}")
        plan = draw_plan(fleet, rng, FAULT_PERIOD_SECONDS, FAULT_COUNT)
        plan += draw_silences(fleet, silence_rng, 0.0, FAULT_PERIOD_SECONDS)
        publication += draw_silences_at_limit(fleet, silence_rng, publication)
        planned_work = draw_planned_work(fleet, silence_rng)
        spoilt_knowledge = draw_spoilt_knowledge(fleet, Random(f"spoilt {seed}"))
        late_order = draw_late_order(fleet, Random(f"order {seed}"), spoilt_knowledge)
        spoilt_knowledge.append(late_order)
        result.plans = [plan, publication, restore, planned_work, spoilt_knowledge]
        for caller in callers:
            caller.start()
        probing = Caller(fleet, f"p{seed}", seed, False)
        for plan in result.plans:
            _run_plan(fleet, plan)
            _check_recovery(fleet, result, probing)
        _check_outages(fleet, result, probing, Random(f"outage {seed}"))
        _check_changes(fleet, result, probing)
        _check_drain(fleet, result)
        for member in fleet.members:
            result.violations += member.list_errors()
    finally:
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            if caller.is_alive():
                caller.join(10)
        fleet.close()
    result.violations += fleet.ledger.list_violations()
    for call in fleet.ledger.calls.values():
        broken_off = call.status is not None and not call.complete
        result.outcomes[f"{call.kind.value} {'broken off' if broken_off else call.status}"] += 1
    return result


def _run_plan(fleet: SoakFleet, plan: list[PlannedFault]) -> None:
    """Inject and revert each fault at its time, then resume or restart all processes."""
    sequence = itertools.count()
    events: list[tuple[float, int, Fault, bool]] = []
    started = time.monotonic()
    for planned in plan:
        heapq.heappush(events, (planned.starts_at, next(sequence), planned.fault, True))
    while events:
        at, _, fault, begins = heapq.heappop(events)
        time.sleep(max(0.0, started + at - time.monotonic()))
        if begins:
            fault.begin(fleet)
            heapq.heappush(events, (at + fault.seconds, next(sequence), fault, False))
            continue
        fault.end(fleet)
    for member in fleet.members:
        member.send(signal.SIGCONT)
        member.start()


def _check_recovery(fleet: SoakFleet, result: Result, caller: Caller) -> None:
    """Check that all entries recover, then wait until all processes are held to their limits."""
    faults_ended_at = time.monotonic()
    _expect(result, "all entries are ready and listed", RECOVERY_SECONDS, lambda: _is_listed(fleet))
    for member in fleet.entries:
        for kind in Kind:
            _expect_served(fleet, result, caller, member, kind)
    time.sleep(max(0.0, faults_ended_at + SETTLE_SECONDS - time.monotonic()))


def _check_outages(fleet: SoakFleet, result: Result, caller: Caller, rng: Random) -> None:
    """Check that changes are in force in time after the store was away, more than once."""
    for _ in range(OUTAGE_COUNT):
        outage = StoreOutage(fleet, rng)

        def await_route(
            member: Member, route: str, since: float, outage: StoreOutage = outage
        ) -> None:
            remaining = CONFIG_SECONDS - (time.monotonic() - since)
            text = f"{member.name} serves {route} after {outage!r}"
            _expect(
                result, text, remaining, lambda: _serves(fleet, caller, member, Kind.LOOK, route)
            )

        outage.play(fleet, await_route)


def _check_changes(fleet: SoakFleet, result: Result, caller: Caller) -> None:
    """Check that a changed route and a new version of the weights are applied in time."""
    fleet.routes.append("after")
    fleet.put_config()
    published_at = time.monotonic()
    for member in fleet.entries:
        remaining = CONFIG_SECONDS - (time.monotonic() - published_at)
        text = f"{member.name} serves a new route"
        _expect(
            result, text, remaining, lambda m=member: _serves(fleet, caller, m, Kind.LOOK, "after")
        )
    fleet.put_version()
    version = fleet.weights_version
    _expect(
        result,
        f"version {version} is on all engines",
        VERSION_SECONDS,
        lambda: all(engine.version == version for engine in fleet.engines),
    )
    for engine in fleet.engines:
        for index, data in engine.loaded.items():
            if engine.version == version and data != make_chunk(version, index):
                result.violations.append(f"{engine.name} has loaded a wrong chunk {index}")


def _check_drain(fleet: SoakFleet, result: Result) -> None:
    """Check that a stopping entry answers all requests that it has received."""
    member = fleet.entries[0]
    stopped_at = time.monotonic()
    fleet.record_planned_work(member.name, STOP_WINDOW_SECONDS)
    member.send(signal.SIGTERM)
    text = f"{member.name} ends in time"
    if not _expect(result, text, DRAIN_SECONDS, lambda: not member.alive):
        result.violations.append(
            f"{member.name} after {DRAIN_SECONDS} s: {member.describe_state()}"
        )
    calls: list[Call] = list(fleet.ledger.calls.values())
    for call in calls:
        ran = call.request in fleet.ledger.runs
        during_drain = call.sent_at >= stopped_at - SETTLE_SECONDS and call.ended_at > stopped_at
        if call.entry == member.name and during_drain and ran and call.status is None:
            result.violations.append(f"{call.request} was lost when {member.name} left")


def _is_listed(fleet: SoakFleet) -> bool:
    for member in fleet.entries:
        if not member.alive or send_request(member.ports[1], "GET", "/api/ready")[0] != 200:
            return False
        path = "/api/resolve?name=desk.example&region=north&zone=a"
        body = send_request(member.ports[3], "GET", path)[1]
        if len(json.loads(body)["addresses"]) != len(fleet.entries):
            return False
    return True


def _expect_served(
    fleet: SoakFleet, result: Result, caller: Caller, member: Member, kind: Kind
) -> None:
    """Expect several consecutive probes to succeed."""
    successes = 0

    def probe() -> bool:
        nonlocal successes
        successes = successes + 1 if _serves(fleet, caller, member, kind) else 0
        return successes >= CONSECUTIVE_PROBES

    _expect(result, f"{member.name} serves {kind.value}", RECOVERY_SECONDS, probe)


def _serves(fleet: SoakFleet, caller: Caller, member: Member, kind: Kind, route: str = "") -> bool:
    call = caller.send(member, kind, route)
    return (call.status == 200 and call.complete) or call.key not in fleet.keys


def _expect(result: Result, text: str, seconds: float, check: Callable[[], bool]) -> bool:
    """Return whether a check succeeds in time, and record it as violated if not."""
    until = time.monotonic() + seconds
    while True:
        try:
            if check():
                return True
        except (OSError, http.client.HTTPException, ValueError):
            pass  # the entry may still be starting
        if time.monotonic() > until:
            result.violations.append(f"not within {seconds:.1f} s: {text}")
            return False
        time.sleep(0.05)
