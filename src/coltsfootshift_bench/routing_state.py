"""Measures the memory used by routing state and the traffic of loans between entries."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from coltsfootshift.catalogue.model import TeamLimits
from coltsfootshift.codec import encode_message
from coltsfootshift.controllers.limits import (
    ANSWER_TIMEOUT_SECONDS,
    LENDER_RETRY_SECONDS,
    DivisionChanged,
    LimitsController,
    LimitsTick,
)
from coltsfootshift.controllers.load import EndpointTable
from coltsfootshift.controllers.quarantine import MAX_SUSPECTS, Quarantine
from coltsfootshift.controllers.shares import Division
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import LoadReport
from coltsfootshift_bench import targets
from coltsfootshift_bench.targets import Report, Target

__all__ = ["run_state"]

TEAMS = 1_000
ENDPOINTS = 1_000
CHANGES_PER_ENDPOINT = 20
DIVISION = Division(count=4, rank=0, active=True, settled=True)
PEERS = tuple(InstanceId(f"entry-{number}") for number in (2, 3, 4))
LIMITS = TeamLimits(requests_per_second=100.0, burst=40, in_flight=200)


def run_state(seed: int, quick: bool) -> Report:
    """Measure bytes per team, endpoint and suspect, and the loan traffic of an overloaded team."""
    rng = Random(seed)
    figures: dict[str, Any] = {
        "bytes_per_team": _measure_bytes_each(_fill_teams, TEAMS),
        "bytes_per_endpoint": _measure_bytes_each(_fill_endpoints, ENDPOINTS),
        "bytes_per_suspect": _measure_bytes_each(lambda: _fill_suspects(rng), MAX_SUSPECTS),
        **_measure_messages(),
        "choices_per_second": _time_choices(rng),
    }
    for name, value in figures.items():
        print(f"  {name}: {value:g}")
    megabytes = figures["bytes_per_suspect"] * MAX_SUSPECTS / 1_000_000
    bound = targets.MAX_SUSPECTS_MEGABYTES
    return Report(seed, figures, [Target.at_most("megabytes of all suspects", megabytes, bound)])


def _measure_bytes_each(fill: Callable[[], Any], count: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = fill()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert state is not None
    return used / count


def _fill_teams() -> LimitsController:
    limits = LimitsController(0.0)
    limits.handle(DivisionChanged(DIVISION), 0.0)
    for number in range(TEAMS):
        limits.admit(f"team-{number}", LIMITS, 1.0)
    return limits


def _fill_endpoints() -> EndpointTable:
    table = EndpointTable()
    for number in range(ENDPOINTS):
        instance = InstanceId(f"engine-{number}")
        table.add(instance, "kit-assistant")
        report = LoadReport(1, 0.0, 4, 0, 8, "d" * 64, True)
        table.record_report(instance, report, 0.0)
        for change in range(CHANGES_PER_ENDPOINT):
            table.record_sent(instance, change * 0.1)
    return table


def _fill_suspects(rng: Random) -> Quarantine:
    quarantine = Quarantine()
    for number in range(MAX_SUSPECTS):
        crashes = [f"engine-{number}/0123456789abcdef/1", f"engine-{number}/0123456789abcdef/2"]
        quarantine.record_crashes(rng.randbytes(16), "kit-assistant", crashes, 0.0)
    return quarantine


def _measure_messages() -> dict[str, float]:
    """Return the size and rate of loan messages of a team that exceeds its limit at all entries."""
    limits = LimitsController(0.0)
    limits.handle(DivisionChanged(DIVISION), 0.0)
    for _ in range(500):
        limits.admit("team-1", LIMITS, 1.0)
    actions = limits.handle(LimitsTick(PEERS, 30.0), 1.0)
    size = len(encode_message(actions[0].message)) + 4
    rounds = 1 / max(ANSWER_TIMEOUT_SECONDS, LENDER_RETRY_SECONDS)
    messages = 2 * len(actions) * rounds
    return {
        "loan_message_bytes": size,
        "loan_messages_per_second_each_short_team": messages,
        "loan_bytes_per_second_each_short_team": messages * size,
    }


def _time_choices(rng: Random) -> float:
    table = EndpointTable()
    for number in range(16):
        instance = InstanceId(f"engine-{number}")
        table.add(instance, "kit-assistant")
        table.record_report(instance, LoadReport(1, 0.0, 4, 0, 8, "", True), 0.0)
    started_at = time.perf_counter()
    count = 2_000
    for _ in range(count):
        table.choose("kit-assistant", (), rng, 0.1)
    return count / (time.perf_counter() - started_at)
