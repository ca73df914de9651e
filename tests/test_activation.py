"""Tests of the activation controller: load orders, fencing numbers, pauses and load waves."""

from __future__ import annotations

import os

import pytest
from twisted.internet import reactor

from coltsfootshift.agent.lock import PortLock
from coltsfootshift.controllers.activation import (
    ActivationController,
    ActivationPhase,
    EngineReported,
    LoadRefused,
    OrderLoad,
    ProcessPaused,
    StagingLost,
    VersionStaged,
    VersionWanted,
    VersionWithdrawn,
)
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.waves import LoadWaves, ServingState
from coltsfootshift.engines.base import EndpointStatus
from coltsfootshift.ids import Digest, InstanceId

ONE, TWO, THREE = Digest("1" * 64), Digest("2" * 64), Digest("3" * 64)
OWN = InstanceId("a")


def make_report(digest: str, serving: bool = True) -> EngineReported:
    return EngineReported(EndpointStatus(0, 0, 8, Digest(digest), serving, 0, 0.0))


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
