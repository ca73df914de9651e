"""Endpoint selection, request queue and retry budget, tested without a network."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from coltsfootshift.controllers.load import EndpointTable
from coltsfootshift.controllers.queue import QueuedRequest, RequestQueue
from coltsfootshift.controllers.retries import RetryBudget
from coltsfootshift.entry.dispatch import Dispatcher
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import LoadReport
from coltsfootshift.metrics import Metrics
from coltsfootshift_bench.choice_simulation import ChoiceRun, run_choice
from coltsfootshift_bench.targets import MAX_LAG_LATENCY_RATIO

SERVICE = "kit-assistant"
FIRST = InstanceId("engine-1")
SECOND = InstanceId("engine-2")


def make_report(sequence: int, age: float, running: int, capacity: int = 8) -> LoadReport:
    return LoadReport(sequence, age, running, 0, capacity, "", True)


def make_table(*reports: LoadReport) -> EndpointTable:
    table = EndpointTable()
    for name, report in zip((FIRST, SECOND), reports, strict=False):
        table.add(name, SERVICE)
        table.record_report(name, report, now=10.0)
    return table


def compute_p99(policy: str, age: float, load: float, seed: int) -> float:
    seconds = run_choice(ChoiceRun(policy, age, Random(seed), load=load), length=25.0)
    return seconds[int(len(seconds) * 0.99)]


@pytest.mark.parametrize("load", [0.8, 0.9])
@pytest.mark.parametrize("age", [0.0, 1.0, 5.0])
def test_lagged_reports_stay_near_the_ideal(age: float, load: float) -> None:
    ideal = compute_p99("ideal", 0.0, load, seed=3)
    own_count = compute_p99("own", age, load, seed=3)
    random_choice = compute_p99("random", age, load, seed=3)
    assert own_count <= MAX_LAG_LATENCY_RATIO * ideal
    assert own_count < random_choice


@pytest.mark.parametrize(
    ("sent_at", "reported_age", "estimate"),
    [(9.9, 0.2, 5 / 8), (9.7, 0.2, 4 / 8)],
    ids=["sent after the state that the report shows", "sent before it"],
)
def test_a_report_keeps_sends_that_it_cannot_show(
    sent_at: float, reported_age: float, estimate: float
) -> None:
    table = make_table(make_report(1, 0.0, 0))
    table.record_sent(FIRST, now=sent_at)
    table.record_report(FIRST, make_report(2, reported_age, 4), now=10.0)
    endpoint = table.endpoints[FIRST]
    assert endpoint.own_in_flight + endpoint.count_other_requests() == pytest.approx(estimate * 8)


def test_an_endpoint_that_fails_fast_is_ejected_for_longer_each_time() -> None:
    table = make_table(make_report(1, 0.0, 0), make_report(1, 0.0, 7))
    rng = Random(1)
    ejection_seconds = []
    now = 10.0
    for _ in range(4):
        table.record_failure(FIRST, now)
        started = now
        while table.choose(SERVICE, (), rng, now) != FIRST:
            now += 0.01
        ejection_seconds.append(now - started)
    assert ejection_seconds[0] >= 0.2
    assert ejection_seconds == sorted(ejection_seconds)
    assert ejection_seconds[-1] >= 4 * ejection_seconds[0]
    table.record_success(FIRST)
    assert not table.endpoints[FIRST].is_ejected(now)


@pytest.mark.parametrize(("entries", "sent"), [(1, 10), (4, 2)])
def test_full_endpoints_get_no_more(entries: int, sent: int) -> None:
    table = make_table(make_report(1, 0.0, 0 if entries == 1 else 20))
    table.entries[SERVICE] = entries
    count = 0
    while count < 50 and table.choose(SERVICE, (), Random(1), 10.0) is not None:
        table.record_sent(FIRST, 10.0)
        count += 1
    assert count == sent


def test_an_endpoint_without_load_reports_is_used_by_own_count() -> None:
    table = make_table(make_report(1, 0.0, 0, capacity=0), make_report(1, 0.0, 0, capacity=0))
    rng = Random(1)
    for _ in range(20):
        chosen = table.choose(SERVICE, (), rng, 10.0)
        assert chosen is not None
        table.record_sent(chosen, 10.0)
    assert {table.endpoints[name].own_in_flight for name in (FIRST, SECOND)} == {10}


def test_the_queue_goes_by_class_and_sheds_the_lowest() -> None:
    queue = RequestQueue(max_length=2)
    for number, priority in enumerate((2, 1)):
        assert not queue.offer(QueuedRequest(priority, 0.0, number, 100.0), now=0.0)
    drops = queue.offer(QueuedRequest(0, 1.0, 2, 100.0), now=1.0)
    assert [drop.number for drop in drops] == [0]
    assert [item.number for item in queue.list_first(3)] == [2, 1]


def test_the_queue_drops_what_cannot_meet_its_deadline() -> None:
    queue = RequestQueue(max_length=100, service_seconds=1.0, departure_interval=0.5)
    for number in range(4):
        assert not queue.offer(QueuedRequest(1, 0.0, number, 10.0), now=0.0)
    drops = queue.offer(QueuedRequest(1, 0.0, 4, 2.9), now=0.0)
    assert [drop.number for drop in drops] == [4]
    assert drops[0].retry_after == pytest.approx(2.0)
    assert not queue.offer(QueuedRequest(0, 0.0, 5, 2.9), now=0.0)
    assert [drop.number for drop in queue.expire(2.0)] == [5]


@pytest.mark.parametrize("digest", ["", "weights"], ids=["not begun", "begun"])
@pytest.mark.parametrize(("left", "others"), [(0.9, 0), (60.0, 1)], ids=["little time", "overflow"])
def test_begun_answer_is_not_shed_for_the_limits_of_new_requests(left, others, digest) -> None:
    """It was cut for want of the time that a whole answer takes, or as the last of a full queue."""
    clock, work = Clock(), Mock()
    work.choose.return_value = None
    dispatcher = Dispatcher(clock, work, Metrics())
    dispatcher.record_served(SERVICE, 1.0)
    limits = SimpleNamespace(queue=1)

    def acquire(priority: int, seconds: float, digest: str = "") -> list:
        exchange = SimpleNamespace(
            service=SERVICE,
            service_entry=SimpleNamespace(limits=limits),
            priority=priority,
            arrived_at=clock.seconds(),
            deadline=clock.seconds() + seconds,
            tried=[],
            requested_class="standard",
        )
        results: list = []
        dispatcher.acquire(exchange, digest).addCallback(results.append)
        return results

    results = acquire(1, left, digest)
    for _ in range(others):
        acquire(0, 60.0)
    clock.advance(0.5)
    assert bool(results) is not bool(digest)
    work.choose.return_value = FIRST
    dispatcher.dispatch(SERVICE)
    assert (results == [FIRST]) is bool(digest)


@pytest.mark.parametrize(("share", "most"), [(0.0, 10), (0.1, 110), (0.5, 510)])
def test_retries_stay_a_fraction_of_first_tries(share: float, most: int) -> None:
    budget = RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.record_first_try(share)
        while budget.try_spend():
            taken += 1
    assert taken == most
