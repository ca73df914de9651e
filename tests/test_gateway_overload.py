"""Load at its worst, replayed against a model of batching engines."""

from __future__ import annotations

import pytest
from engine_model import LoadReplay
from gateway_harness import ENGINE

from coltsfootshift.gateway.placement import compute_departure_interval

ENGINES = 6
SECONDS = 6.0


@pytest.mark.parametrize(
    ("share", "least"),
    [(0.7, 0.95), (1.35, 0.6)],
    ids=["below capacity", "sustained overload"],
)
def test_benefit_under_load(share, least):
    """`share` is of what the engines can do; an oracle earns 1.0 and about 0.8."""
    rate = share * ENGINES / compute_departure_interval(ENGINE)
    replay = LoadReplay(engines=ENGINES, seed=2)
    assert replay.run(SECONDS, rate) >= least


def test_refused_callers_are_refused_at_once():
    replay = LoadReplay(engines=2, seed=3)
    replay.run(SECONDS, 4 * 2 / compute_departure_interval(ENGINE))
    refused = [asked for asked in replay.asked if not asked.complete]
    assert refused
    for asked in refused:
        assert asked.first_at is None
