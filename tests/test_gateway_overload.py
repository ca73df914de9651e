"""Overload of several gateways, simulated with batching engines."""

from __future__ import annotations

import pytest
from engine_model import LoadReplay
from gateway_harness import ENGINE_SPEC

from coltsfootshift.gateway.placement import compute_departure_interval

ENGINES = 6
SECONDS = 6.0


@pytest.mark.parametrize(
    ("share", "least"),
    [(0.7, 0.95), (1.35, 0.6)],
    ids=["below capacity", "sustained overload"],
)
def test_benefit_under_load(share, least):
    """The mean benefit stays close to that of an optimal scheduler.

    `share` is the load as a share of the engines' capacity. An optimal scheduler earns 1.0 below
    capacity and about 0.8 under the sustained overload.
    """
    rate = share * ENGINES / compute_departure_interval(ENGINE_SPEC)
    replay = LoadReplay(engines=ENGINES, seed=2)
    assert replay.run(SECONDS, rate) >= least


def test_refused_callers_are_refused_at_once():
    replay = LoadReplay(engines=2, seed=3)
    replay.run(SECONDS, 4 * 2 / compute_departure_interval(ENGINE_SPEC))
    refused = [request for request in replay.requests if not request.complete]
    assert refused
    for request in refused:
        assert request.first_at is None
