"""Tests of the heartbeat timer: frequent while needed, rare while idle, silence detected."""

from __future__ import annotations

import pytest

from coltsfootshift.heartbeats import HeartbeatTimer
from coltsfootshift.messages import Heartbeat
from coltsfootshift.settings import StreamTiming

TIMING = StreamTiming()
STEP_SECONDS = 0.1
DAY_SECONDS = 86_400.0


def run_pair(slows: bool, seconds: float, traffic_every: float = 0.0) -> int:
    """Run both ends of a stream and return how many heartbeats the first one sends."""
    timers = [HeartbeatTimer(TIMING, slows, 0.0), HeartbeatTimer(TIMING, slows, 0.0)]
    sent = 0
    for step in range(1, round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if traffic_every and step % round(traffic_every / STEP_SECONDS) == 0:
            timers[0].record_sent(now, is_traffic=True)
            timers[1].record_received(now, is_traffic=True)
        for number in (0, 1):
            assert not timers[number].is_overdue(now)
            if timers[number].is_heartbeat_due(now):
                sent += number == 0
                heartbeat = timers[number].make_heartbeat(now)
                timers[number].record_sent(now, is_traffic=False)
                timers[1 - number].record_heartbeat(heartbeat, now)
    return sent


@pytest.mark.parametrize(
    ("slows", "seconds", "traffic_every", "min_sent", "max_sent"),
    [(False, 60, 0, 55, 60), (True, 60, 0, 6, 10), (True, 60, 0.5, 0, 0), (True, 60, 5, 30, 60)],
)
def test_heartbeats_are_as_few_as_the_use_allows(
    slows: bool, seconds: float, traffic_every: float, min_sent: int, max_sent: int
) -> None:
    assert min_sent <= run_pair(slows, seconds, traffic_every) <= max_sent


def make_quiet() -> HeartbeatTimer:
    """Return a timer of a stream that is idle in both directions and got a heartbeat at 20 s."""
    timer = HeartbeatTimer(TIMING, True, 0.0)
    timer.record_heartbeat(Heartbeat(20.0, next_in=10_000), 20.0)
    return timer


@pytest.mark.parametrize(
    ("event", "overdue_at"),
    [("nothing", 32.0), ("sent", 25.0), ("needed", 25.0), ("answered", 28.0)],
)
def test_silence_is_noticed_sooner_once_something_is_awaited(event: str, overdue_at: float) -> None:
    timer = make_quiet()
    if event in ("sent", "answered"):
        timer.record_sent(22.0, is_traffic=True)
    if event == "needed":
        timer.set_needed(True, 22.0)
    if event == "answered":
        timer.record_received(25.0, is_traffic=True)
    assert not timer.is_overdue(overdue_at - 0.01)
    assert timer.is_overdue(overdue_at)


@pytest.mark.parametrize("promised", [500, 10**18, -1000])
def test_a_peer_cannot_put_off_its_silence_for_good(promised: int) -> None:
    timer = HeartbeatTimer(TIMING, True, 0.0)
    timer.record_heartbeat(Heartbeat(1.0, next_in=promised), 1.0)
    assert timer.is_overdue(1.0 + 60.0 + TIMING.silence)


@pytest.mark.parametrize("drift", [50e-6, -50e-6, 150e-6])
def test_drifting_clocks_are_no_delay(drift: float) -> None:
    timer = HeartbeatTimer(TIMING, True, 0.0)
    now = 0.0
    while now < DAY_SECONDS:
        now += 10.0
        timer.update_transit_delay(now * (1 - drift), now)
        assert timer.transit_delay < 0.01


def test_a_held_message_shows_its_delay() -> None:
    timer = HeartbeatTimer(TIMING, True, 0.0)
    timer.update_transit_delay(10.0, 10.0)
    timer.update_transit_delay(20.0, 25.0)
    assert 4.9 < timer.transit_delay <= 5.0
