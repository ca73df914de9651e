"""Tests of when an agent reports its endpoint's load to entries."""

from __future__ import annotations

from typing import Any

import pytest
from test_outcomes_agent import AgentTestBed

from coltsfootshift.engines.base import EndpointStatus
from coltsfootshift.ids import Digest
from coltsfootshift.messages import LoadReport

STEP_SECONDS = 0.25
SECONDS = 20.0


def make_status(running: int, digest: str = "a", serving: bool = True) -> EndpointStatus:
    return EndpointStatus(running, 0, 8, Digest(digest), serving, 1, 0.0)


def count_reports(stream: Any) -> int:
    return sum(isinstance(message, LoadReport) for message in stream.sent)


@pytest.mark.parametrize(
    ("runs", "interval", "min_reports", "max_reports"),
    [([0], 1.0, 1, 1), ([3], 1.0, 8, 12), ([1, 2, 3, 4, 5], 1.0, 17, 22), ([1, 2], 2.85, 6, 8)],
    ids=["idle", "steady", "changing", "many"],
)
def test_reports_are_as_few_as_the_load_allows(
    runs: list[int], interval: float, min_reports: int, max_reports: int
) -> None:
    bed = AgentTestBed()
    bed.task.find_report_interval = lambda: interval
    stream = bed.open()
    for step in range(round(SECONDS / STEP_SECONDS)):
        bed.task._handle_status(make_status(runs[step % len(runs)]))
        bed.clock.advance(STEP_SECONDS)
    assert min_reports <= count_reports(stream) <= max_reports


@pytest.mark.parametrize("after", [make_status(1, "b"), make_status(1, serving=False)])
def test_what_serves_is_told_at_once(after: EndpointStatus) -> None:
    bed = AgentTestBed()
    stream = bed.open()
    bed.task._handle_status(make_status(1))
    bed.task._handle_status(after)
    assert count_reports(stream) == 2
