"""Limits that endpoints name in their answers, for the requests of all entries together."""

from __future__ import annotations

import pytest
from simulated_engines import COMMON_PART, ENGINE_PORT, SimulatedEngines, make_sender

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
