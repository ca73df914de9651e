"""One soak: faults and callers together, then calm, then what must hold again."""

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
from soak.faults import Fault, Planned, draw_plan
from soak.ledger import CALM_FROM_SECONDS, Call, Kind
from soak.members import Member, SoakFleet

FAULT_SECONDS = 10.0
FAULTS = 14
CALLERS = 6
RECOVER_SECONDS = 12.0  # `recover_s` of the deployments
CONFIG_SECONDS = 2.0  # `config_ms`
VERSION_SECONDS = 10.0  # `version_ms`, and 2 s in which loading engines end
LEAVE_SECONDS = 8.0  # `grace_s`
PROBES_IN_A_ROW = 4


@dataclass
class Result:
    """What a seed has shown."""

    seed: int
    plan: list[Planned]
    broken: list[str] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    def render(self) -> str:
        """Return a report: one line where all held, the faults too where not."""
        total = sum(self.outcomes.values())
        rows = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        lines = [f"seed {self.seed}: {len(self.broken)} broken, {total} requests: {rows}"]
        if self.broken:
            lines += [f"  {planned.at:5.2f} s {planned.fault!r}" for planned in self.plan]
            lines += [f"  BROKEN {text}" for text in self.broken[:20]]
        return "\n".join(lines)


def run_seed(seed: int, folder: Path, *, entries: int = 3, engines: int = 3) -> Result:
    """Run the faults that a seed draws; return the promises that were broken."""
    rng = Random(seed)
    fleet = SoakFleet(folder, rng, entries, engines)
    callers = [Caller(fleet, f"c{seed}-{n}", seed * 100 + n, n % 2 == 0) for n in range(CALLERS)]
    result = Result(seed, [])
    try:
        fleet.start()
        result.plan = draw_plan(fleet, rng, FAULT_SECONDS, FAULTS)
        for caller in callers:
            caller.start()
        _play(fleet, result.plan)
        _check_recovery(fleet, result, Caller(fleet, f"p{seed}", seed, False))
        for member in fleet.members:
            result.broken += member.list_errors()
    finally:
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            if caller.is_alive():
                caller.join(10)
        fleet.close()
    result.broken += fleet.ledger.list_broken()
    for call in fleet.ledger.calls.values():
        result.outcomes[f"{call.kind.value} {call.status}"] += 1
    return result


def _play(fleet: SoakFleet, plan: list[Planned]) -> None:
    """Begin and end each fault at its time."""
    order = itertools.count()
    due: list[tuple[float, int, Fault, bool]] = []
    started = time.monotonic()
    for planned in plan:
        heapq.heappush(due, (planned.at, next(order), planned.fault, True))
    while due:
        at, _, fault, begins = heapq.heappop(due)
        time.sleep(max(0.0, started + at - time.monotonic()))
        if begins:
            fault.begin(fleet)
            heapq.heappush(due, (at + fault.seconds, next(order), fault, False))
            continue
        fault.end(fleet)
    for member in fleet.members:
        member.send(signal.SIGCONT)
        member.start()


def _check_recovery(fleet: SoakFleet, result: Result, caller: Caller) -> None:
    """With all faults over, everything works again, changes come in time, leaving loses nothing."""
    calm_at = time.monotonic()
    _expect(result, "all entries are ready and listed", RECOVER_SECONDS, lambda: _is_listed(fleet))
    for member in fleet.entries:
        for kind in Kind:
            _expect_served(fleet, result, caller, member, kind)
    time.sleep(max(0.0, calm_at + CALM_FROM_SECONDS - time.monotonic()))
    fleet.routes.append("after")
    fleet.put_config()
    sent = time.monotonic()
    for member in fleet.entries:
        left = CONFIG_SECONDS - (time.monotonic() - sent)
        text = f"{member.name} serves a new route"
        _expect(result, text, left, lambda m=member: _serves(fleet, caller, m, Kind.LOOK, "after"))
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
                result.broken.append(f"{engine.name} has loaded a wrong chunk {index}")
    _check_leaving(fleet, result)


def _check_leaving(fleet: SoakFleet, result: Result) -> None:
    """An entry that is told to stop answers all that it has read."""
    member = fleet.entries[0]
    told_at = time.monotonic()
    member.send(signal.SIGTERM)
    _expect(result, f"{member.name} ends in time", LEAVE_SECONDS, lambda: not member.alive)
    calls: list[Call] = list(fleet.ledger.calls.values())
    for call in calls:
        ran = call.request in fleet.ledger.runs
        late = call.sent_at >= told_at - CALM_FROM_SECONDS and call.ended_at > told_at
        if call.entry == member.name and late and ran and call.status is None:
            result.broken.append(f"{call.request} was lost when {member.name} left")


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
    """Several probes in a row succeed."""
    row = 0

    def probe() -> bool:
        nonlocal row
        row = row + 1 if _serves(fleet, caller, member, kind) else 0
        return row >= PROBES_IN_A_ROW

    _expect(result, f"{member.name} serves {kind.value}", RECOVER_SECONDS, probe)


def _serves(fleet: SoakFleet, caller: Caller, member: Member, kind: Kind, route: str = "") -> bool:
    call = caller.send(member, kind, route)
    return (call.status == 200 and call.whole) or call.key not in fleet.keys


def _expect(result: Result, text: str, seconds: float, check: Callable[[], bool]) -> None:
    until = time.monotonic() + seconds
    while True:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass  # an entry that is still starting
        if time.monotonic() > until:
            result.broken.append(f"not within {seconds:.1f} s: {text}")
            return
        time.sleep(0.05)
