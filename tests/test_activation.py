"""Tests of the activation controller: load orders, fencing numbers, pauses and load waves."""

from __future__ import annotations

import json
import os

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from coltsfootshift.agent.lock import PortLock
from coltsfootshift.controllers.activation import (
    ActivationController,
    ActivationPhase,
    EngineReported,
    LoadRefused,
    OrderLoad,
    ProcessPaused,
    ReplicasChanged,
    StagingLost,
    VersionStaged,
    VersionWanted,
    VersionWithdrawn,
)
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.waves import LoadWaves, ServingState
from coltsfootshift.engines.base import EndpointStatus
from coltsfootshift.engines.http import HttpEndpoint
from coltsfootshift.ids import Digest, InstanceId

ONE, TWO, THREE = Digest("1" * 64), Digest("2" * 64), Digest("3" * 64)
OWN = InstanceId("a")


def make_report(
    digest: str, serving: bool = True, age: float = 0.0, waited: float = 0.0
) -> EngineReported:
    return EngineReported(EndpointStatus(0, 0, 8, Digest(digest), serving, 0, age, waited))


@pytest.mark.parametrize(
    ("events", "loads", "phase"),
    [
        ([VersionStaged(TWO, 4)], [], ActivationPhase.IDLE),
        ([VersionWanted(TWO, 2)], [], ActivationPhase.FETCHING),
        ([VersionWanted(TWO, 2), VersionStaged(TWO, 4)], [TWO], ActivationPhase.LOADING),
        ([VersionWanted(TWO, 2), VersionStaged(ONE, 4)], [], ActivationPhase.FETCHING),
        (
            [VersionWanted(TWO, 2), VersionWanted(THREE, 3), VersionStaged(TWO, 4)],
            [],
            ActivationPhase.FETCHING,
        ),
        (
            [VersionWanted(THREE, 3), VersionWanted(TWO, 2), VersionStaged(TWO, 4)],
            [],
            ActivationPhase.FETCHING,
        ),
        (
            [VersionWanted(TWO, 2), VersionWithdrawn(3), VersionStaged(TWO, 4)],
            [],
            ActivationPhase.IDLE,
        ),
        (
            [VersionWanted(TWO, 2), VersionStaged(TWO, 4), make_report(TWO)],
            [TWO],
            ActivationPhase.SERVING,
        ),
        (
            [VersionWanted(TWO, 2), VersionStaged(TWO, 4), StagingLost(TWO)],
            [TWO],
            ActivationPhase.FETCHING,
        ),
        (
            [VersionWanted(TWO, 2), ProcessPaused(), VersionStaged(TWO, 4)],
            [],
            ActivationPhase.WAITING,
        ),
        (
            [VersionWanted(TWO, 2), VersionStaged(TWO, 4), LoadRefused()],
            [TWO],
            ActivationPhase.WAITING,
        ),
    ],
)
def test_orders(events: list[Event], loads: list[Digest], phase: ActivationPhase) -> None:
    controller = ActivationController(OWN, started_at=100.0)
    ordered = []
    for event in events:
        for action in controller.handle(event, 10.0):
            if isinstance(action, OrderLoad):
                ordered.append(action.order.digest)
    assert ordered == loads
    assert controller.phase is phase


def test_engine_that_went_back_is_ordered_again() -> None:
    controller = ActivationController(OWN, started_at=100.0)
    controller.handle(VersionWanted(TWO, 2), 0.0)
    controller.handle(VersionStaged(TWO, 4), 0.0)
    controller.handle(make_report(TWO), 1.0)
    again = controller.handle(make_report(ONE), 2.0)
    assert [action.order.digest for action in again if isinstance(action, OrderLoad)] == [TWO]


@pytest.mark.parametrize(
    ("events", "orders"),
    [
        ([(3.1, ReplicasChanged((), 0))], 1),
        ([(3.2, make_report(ONE, waited=2.3))], 1),
        ([(3.2, make_report(ONE, waited=2.0))], 1),
        ([(3.1, make_report(ONE, age=0.5))], 1),
        ([(1.7, make_report(TWO, waited=0.1)), (1.8, make_report(ONE, waited=0.7))], 1),
        ([(1.7, make_report(TWO, waited=0.1)), (1.8, make_report(ONE, waited=0.05))], 2),
        ([(3.1, make_report(ONE))], 2),
        ([(3.4, make_report(ONE, age=0.2, waited=0.1))], 2),
        ([(1.5, make_report(TWO, serving=False)), (15.9, ReplicasChanged((), 0))], 1),
        ([(1.5, make_report(TWO, serving=False)), (16.1, ReplicasChanged((), 0))], 2),
    ],
)
def test_order_is_not_repeated_for_what_the_engine_said_before_it(
    events: list[tuple[float, Event]], orders: int
) -> None:
    """An agent on a busy machine loaded a version twice: a late report showed the one before."""
    controller = ActivationController(OWN, started_at=100.0)
    controller.handle(make_report(ONE), 0.0)
    controller.handle(VersionWanted(TWO, 2), 1.0)
    actions = controller.handle(VersionStaged(TWO, 4), 1.0)
    for now, event in events:
        actions += controller.handle(event, now)
    assert sum(isinstance(action, OrderLoad) for action in actions) == orders


@pytest.mark.parametrize(
    ("age", "idle"), [(0.0, True), (0.2, False)], ids=["made after the order was ignored", "before"]
)
def test_engine_is_not_taken_for_idle_by_an_old_report(age: float, idle: bool) -> None:
    """Staged chunks were dropped while the engine might be loading them."""
    controller = ActivationController(OWN, started_at=100.0)
    controller.handle(make_report(ONE), 0.0)
    controller.handle(VersionWanted(TWO, 2), 1.0)
    controller.handle(VersionStaged(TWO, 4), 1.0)
    controller.handle(VersionWanted(THREE, 3), 1.1)
    controller.handle(make_report(ONE, age=age), 3.1)
    assert controller.engine_idle is idle


def test_status_knows_how_long_its_answer_took(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, answer = Clock(), Deferred[bytes]()
    endpoint = HttpEndpoint(clock, "http://127.0.0.1:1")
    # The answer is given below, in place of one that comes over a connection.
    monkeypatch.setattr(endpoint, "_call", lambda *_: answer)
    statuses: list[EndpointStatus] = []
    endpoint.read_status().addCallback(statuses.append)
    clock.advance(1.5)
    row = {"running": 0, "queued": 0, "capacity": 8, "digest": ONE, "serving": True, "fencing": 0}
    answer.callback(json.dumps({**row, "age": 0.2}).encode())
    assert (statuses[0].age, statuses[0].waited) == (0.2, 1.5)


def test_restarted_engine_is_ordered_again() -> None:
    """A lower fencing number in a report means that the engine restarted without the order."""
    controller = ActivationController(OWN, started_at=100.0)
    controller.handle(EngineReported(EndpointStatus(0, 0, 8, ONE, True, 77, 0.0)), 0.0)
    controller.handle(VersionWanted(TWO, 2), 0.0)
    controller.handle(VersionStaged(TWO, 4), 0.0)
    empty = EngineReported(EndpointStatus(0, 0, 8, Digest(""), False, 0, 0.0))
    again = controller.handle(empty, 1.0)
    assert [action.order.digest for action in again if isinstance(action, OrderLoad)] == [TWO]


def test_fencing_rises_with_revision_and_start() -> None:
    orders = []
    for started_at, revision in ((100.0, 2), (200.0, 2), (100.0, 3)):
        controller = ActivationController(OWN, started_at)
        controller.handle(VersionWanted(TWO, revision), 0.0)
        for action in controller.handle(VersionStaged(TWO, 4), 0.0):
            if isinstance(action, OrderLoad):
                orders.append(action.order.fencing)
    assert orders == sorted(set(orders))
    assert len(orders) == 3


def test_port_lock_has_one_holder() -> None:
    """Only one process of an instance may order loads, since an engine may ignore fencing."""
    host = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.9"
    first = PortLock(reactor, host, 27871)
    second = PortLock(reactor, host, 27871)
    assert first.acquire()
    assert first.acquire()
    assert not second.acquire()


@pytest.mark.parametrize("replicas", [1, 2, 6, 24])
@pytest.mark.parametrize("min_serving", [0, 1, 3, 12, 24])
def test_waves_keep_the_minimum(replicas: int, min_serving: int) -> None:
    """Every replica loads the version while at least the minimum keeps serving."""
    names = tuple(InstanceId(f"engine-{number}") for number in range(replicas))
    waves = {name: _start_waves(name, names, min_serving) for name in names}
    loading: set[InstanceId] = set()
    done: set[InstanceId] = set()
    rounds = 0
    while len(done) < replicas:
        rounds += 1
        loading = {name for name in names if name not in done and waves[name].may_load(1.0)}
        assert loading
        assert replicas - len(loading) >= min(min_serving, replicas - 1)
        for name in sorted(loading):
            done.add(name)
            _record_state(waves, ServingState(name, 2, TWO[:12]))
    assert rounds <= replicas


def test_waves_pass_over_the_dead() -> None:
    names = tuple(InstanceId(f"engine-{number}") for number in range(6))
    waves = {name: _start_waves(name, names, 4) for name in names}
    dead = {name for name in names if waves[name].may_load(0.0)}
    assert len(dead) == 2
    assert not any(waves[name].may_load(3.0) for name in names if name not in dead)
    later = [name for name in names if name not in dead and waves[name].may_load(5.0)]
    assert len(later) == 1


def _start_waves(own: InstanceId, names: tuple[InstanceId, ...], min_serving: int) -> LoadWaves:
    waves = LoadWaves(own)
    waves.set_instances(names, min_serving, 0.0)
    waves.set_wanted(TWO, 0.0)
    for name in names:
        waves.record(ServingState(name, 1, ONE[:12]), 0.0)
    return waves


def _record_state(waves: dict[InstanceId, LoadWaves], state: ServingState) -> None:
    for instance_waves in waves.values():
        instance_waves.record(state, 1.0)
