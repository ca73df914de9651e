"""Limits that endpoints name in their answers, for the requests of all entries together."""

from __future__ import annotations

import pytest
from simulated_engines import COMMON_PART, ENGINE_PORT, SimulatedEngines, make_sender

from coltsfootshift.gateway.endpoint_limits import (
    EXPIRY_SECONDS,
    MAX_LIMITS,
    MIN_RATE,
    EndpointLimits,
    NamedLimit,
    compute_share,
)
from coltsfootshift.ids import InstanceId

CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
MAX_LIMIT_RATIO = 1.5
MAX_LIMIT_EXCESS = 5
LIMITED_PORTS = [ENGINE_PORT, ENGINE_PORT + 1, ENGINE_PORT + 2, ENGINE_PORT + 3]


def draw_parts(rng):
    return (COMMON_PART, f"{rng.randrange(40):08x}")


@pytest.mark.parametrize("entries", [1, 4, 16])
@pytest.mark.parametrize("limit", [0.0, 0.4, 2.5, 4.0])
def test_endpoint_gets_no_more_requests_than_the_limit_that_it_names(entries, limit):
    group = SimulatedEngines(entries)
    sent = []
    sender = make_sender(45, draw_parts, sent)
    group.run(2.0, [sender])
    group.limits = dict.fromkeys(LIMITED_PORTS, limit)
    limited_at = group.now
    group.run(14.0, [sender])
    allowed = MAX_LIMIT_RATIO * limit * WINDOW_SECONDS + MAX_LIMIT_EXCESS
    for port in LIMITED_PORTS:
        span = (limited_at + CONTACT_SECONDS, group.now)
        assert group.find_most_arrivals(port, *span, WINDOW_SECONDS) <= allowed


@pytest.mark.parametrize("restarted", [[0], [0, 1, 2, 3]], ids=["one", "all"])
def test_restarted_entry_keeps_to_the_limit_of_an_endpoint(restarted):
    """It learns the limit from another entry or an agent, not from its own first requests."""
    group = SimulatedEngines(4)
    sent = []
    sender = make_sender(45, draw_parts, sent)
    group.limits = dict.fromkeys(LIMITED_PORTS, 2.5)
    group.run(6.0, [sender])
    for number in restarted:
        group.restart_entry(number)
    restarted_at = group.now
    group.run(5.0, [sender])
    allowed = MAX_LIMIT_RATIO * 2.5 * WINDOW_SECONDS + MAX_LIMIT_EXCESS
    for port in LIMITED_PORTS:
        most = group.find_most_arrivals(port, restarted_at, group.now, WINDOW_SECONDS)
        assert most <= allowed


def test_endpoint_that_names_no_limit_any_more_is_used_as_before():
    group = SimulatedEngines(4)
    sent, late = [], []
    group.limits = dict.fromkeys(LIMITED_PORTS, 1.0)
    group.run(8.0, [make_sender(45, draw_parts, sent)])
    group.limits = {}
    group.run(4.0, [make_sender(45, draw_parts, sent)])
    group.run(4.0, [make_sender(45, draw_parts, late)])
    group.run(2.0)
    assert group.answered(late) >= 0.95 * len(late)


def test_limited_endpoints_refuse_nobody_while_others_have_room():
    group = SimulatedEngines(4)
    sent = []
    group.limits = {ENGINE_PORT: 1.0}
    group.run(8.0, [make_sender(30, draw_parts, sent)])
    group.run(2.0)
    assert group.answered(sent) >= 0.95 * len(sent)


@pytest.mark.parametrize("count", [1, 4, 16, 430])
@pytest.mark.parametrize("rate", [0.0, 0.4, 2.5, 40.0, 900.0])
def test_shares_of_all_entries_add_up_to_the_limit(count, rate):
    entries = [f"entry-{number}" for number in range(count)]
    shares = [compute_share(rate, "e-1", InstanceId(name), entries) for name in entries]
    assert sum(shares) == pytest.approx(max(rate, MIN_RATE))
    assert sum(share > 0 for share in shares) <= max(1.0, rate + 1.0)


def test_limits_expire_and_are_bounded():
    limits = EndpointLimits()
    for number in range(MAX_LIMITS + 5):
        limits.record(NamedLimit(f"e-{number}", 1.0, 10.0))
    assert len(limits) == MAX_LIMITS and limits.get_rate("e-0") is None
    assert not limits.remove_expired(10.0 + EXPIRY_SECONDS)
    assert len(limits.remove_expired(10.1 + EXPIRY_SECONDS)) == MAX_LIMITS and not len(limits)
