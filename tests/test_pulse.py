"""Heartbeats of one stream: quick while needed, slow while quiet, silence noticed in time."""

from __future__ import annotations

import pytest

from coltsfootshift.heartbeats import HeartbeatTimer
from coltsfootshift.messages import Heartbeat
from coltsfootshift.settings import StreamTiming

TIMING = StreamTiming()
STEP = 0.1
DAY = 86_400.0


def run_pair(slows: bool, seconds: float, traffic_every: float = 0.0) -> int:
    """Return how many heartbeats one end of two sends."""
    pulses = [HeartbeatTimer(TIMING, slows, 0.0), HeartbeatTimer(TIMING, slows, 0.0)]
    sent = 0
    for step in range(1, round(seconds / STEP)):
        now = step * STEP
        if traffic_every and step % round(traffic_every / STEP) == 0:
            pulses[0].record_sent(now, is_traffic=True)
            pulses[1].record_received(now, is_traffic=True)
        for number in (0, 1):
            assert not pulses[number].is_overdue(now)
            if pulses[number].is_heartbeat_due(now):
                sent += number == 0
                heartbeat = pulses[number].make_heartbeat(now)
                pulses[number].record_sent(now, is_traffic=False)
                pulses[1 - number].record_heartbeat(heartbeat, now)
    return sent


@pytest.mark.parametrize(
    ("slows", "seconds", "traffic_every", "least", "most"),
    [(False, 60, 0, 55, 60), (True, 60, 0, 6, 10), (True, 60, 0.5, 0, 0), (True, 60, 5, 30, 60)],
)
def test_heartbeats_are_as_few_as_the_use_allows(
    slows: bool, seconds: float, traffic_every: float, least: int, most: int
) -> None:
    assert least <= run_pair(slows, seconds, traffic_every) <= most


def make_quiet() -> HeartbeatTimer:
    """Return a pulse whose stream has been quiet on both sides, last heard at 20 s."""
    pulse = HeartbeatTimer(TIMING, True, 0.0)
    pulse.record_heartbeat(Heartbeat(20.0, next_in=10_000), 20.0)
    return pulse


@pytest.mark.parametrize(
    ("event", "overdue_at"),
    [("nothing", 32.0), ("sent", 25.0), ("needed", 25.0), ("answered", 28.0)],
)
def test_silence_is_noticed_sooner_once_something_is_awaited(event: str, overdue_at: float) -> None:
    pulse = make_quiet()
    if event in ("sent", "answered"):
        pulse.record_sent(22.0, is_traffic=True)
    if event == "needed":
        pulse.set_needed(True, 22.0)
    if event == "answered":
        pulse.record_received(25.0, is_traffic=True)
    assert not pulse.is_overdue(overdue_at - 0.01)
    assert pulse.is_overdue(overdue_at)


@pytest.mark.parametrize("promised", [500, 10**18, -1000])
def test_a_peer_cannot_put_off_its_silence_for_good(promised: int) -> None:
    pulse = HeartbeatTimer(TIMING, True, 0.0)
    pulse.record_heartbeat(Heartbeat(1.0, next_in=promised), 1.0)
    assert pulse.is_overdue(1.0 + 60.0 + TIMING.silence)


@pytest.mark.parametrize("drift", [50e-6, -50e-6, 150e-6])
def test_drifting_clocks_are_no_delay(drift: float) -> None:
    pulse = HeartbeatTimer(TIMING, True, 0.0)
    now = 0.0
    while now < DAY:
        now += 10.0
        pulse.update_transit_delay(now * (1 - drift), now)
        assert pulse.transit_delay < 0.01


def test_a_held_message_shows_its_delay() -> None:
    pulse = HeartbeatTimer(TIMING, True, 0.0)
    pulse.update_transit_delay(10.0, 10.0)
    pulse.update_transit_delay(20.0, 25.0)
    assert 4.9 < pulse.transit_delay <= 5.0
