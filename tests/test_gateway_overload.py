"""Overload of several gateways, simulated with batching engines."""

from __future__ import annotations

import pytest
from engine_model import LoadReplay
from gateway_harness import ENGINE_SPEC

from coltsfootshift.gateway.placement import compute_departure_interval

ENGINES = 6
SECONDS = 6.0
LOSSES = (2.0, 3.5, 5.0)  # seconds


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


@pytest.mark.parametrize(("load", "least_new"), [(1.0, 0.85), (1.2, 0.7)])
@pytest.mark.parametrize("seed", [1, 2])
def test_answers_of_engines_that_go_under_full_load_are_finished(load, least_new, seed):
    """Most were broken off, since no place was free in the moment in which their engine went.

    Those whose second engine goes as well are. New requests must not be refused in their place.
    """
    rate = load * ENGINES / compute_departure_interval(ENGINE_SPEC)
    replay = LoadReplay(engines=ENGINES, seed=seed, losses=LOSSES)
    replay.run(LOSSES[-1] + 2.0, rate)
    begun = [row for row in replay.requests if row.begun]
    waiting = [row for row in replay.requests if row.interrupted and not row.begun]
    new = [row for row in replay.requests if not row.interrupted and _follows_loss(row)]
    assert len(begun) >= 30 and len(waiting) >= 10 and len(new) >= 100
    assert _share_complete(begun) >= 0.85
    assert _share_complete(waiting) >= 0.75
    assert _share_complete(new) >= least_new


def _follows_loss(request):
    return any(at <= request.sent_at < at + 1.0 for at in LOSSES)


def _share_complete(requests):
    return sum(request.complete for request in requests) / len(requests)
