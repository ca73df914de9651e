"""Fixtures: small fleets of real processes, each on its own loopback address."""

from __future__ import annotations

import logging
from collections.abc import Callable, Generator, Iterator

import pytest
from process_logs import describe_processes
from processor_waits import ProcessorWatch

from coltsfootshift_bench.deployments import TENTLINE, make_catalogue
from coltsfootshift_bench.fleet import Fleet

SEED = 7
MODEL_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
QUICK_STREAMS = {"heartbeat": 0.2, "silence": 0.8, "retry_most": 0.5}

watch = ProcessorWatch()


def pytest_runtestloop() -> None:
    """Watch from before the first test which threads wait for a processor."""
    watch.start()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add to the report of a failed test what its processes did, and what was not run meanwhile."""
    report = yield
    if report.failed:
        for name, text in describe_processes(getattr(item, "funcargs", {}).values()):
            report.sections.append((f"Process {name}", text))
        waits = "\n".join(watch.describe(since=report.start)) or "none"
        report.sections.append(("Threads of the test that waited for a processor", waits))
    return report


@pytest.fixture
def lines(caplog: pytest.LogCaptureFixture) -> Iterator[Callable[[], list[str]]]:
    """Return a function that gives the messages logged so far."""
    root = logging.getLogger("coltsfootshift")
    propagates = root.propagate
    root.propagate = True
    caplog.set_level(logging.INFO, "coltsfootshift")
    yield lambda: [record.getMessage() for record in caplog.records]
    root.propagate = propagates


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Return a fleet with a platform and an origin, shared by the tests of a module.

    Its streams detect silent peers quickly.
    """
    with Fleet(seed=SEED, streams=QUICK_STREAMS) as started:
        started.start_platform()
        started.start_origin()
        yield started


@pytest.fixture(scope="module")
def small_fleet(fleet: Fleet) -> Fleet:
    """Return a fleet of two entries, two engines and two ledgers, shared by the tests of a module.

    The engines serve a first version.
    """
    digest = fleet.add_version(SEED, MODEL_BYTES, CHUNK_BYTES)
    for number in (1, 2):
        fleet.start_entry(f"entry-{number}")
        fleet.start_engine(f"engine-{number}", "kit-assistant", "--token-seconds", "0.02")
        fleet.start_service(f"ledger-{number}", "booking-ledger", "--work-seconds", "0.4")
    fleet.publish_instances()
    fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", digest))
    fleet.wait_until_listening()
    fleet.wait_until(lambda: is_ready(fleet, digest), 15, "the fleet serves")
    return fleet


def is_ready(fleet: Fleet, digest: str) -> bool:
    """Return whether both entries report all endpoints as serving, the engines with `digest`."""
    for number in (1, 2):
        endpoints = fleet.read_status(f"entry-{number}")["endpoints"]
        if len(endpoints) < 4 or not all(row["serving"] for row in endpoints.values()):
            return False
        if not all(endpoints[f"engine-{n}"]["digest"] == digest for n in (1, 2)):
            return False
    return True
