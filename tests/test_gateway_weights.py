"""Weights of the gateway: which version is brought, and who pulls which chunk."""

from __future__ import annotations

import pytest

from coltsfootshift.controllers.chunk_ranks import ChunkRanks
from coltsfootshift.controllers.chunks import Location
from coltsfootshift.gateway.digests import DigestCache
from coltsfootshift.gateway.table_cache import WantedVersion
from coltsfootshift.gateway.versions import STUCK_TRANSFER_SECONDS, VersionSelector
from coltsfootshift.ids import Digest, InstanceId

TWO = WantedVersion("m", 2, 18.0)


@pytest.mark.parametrize(
    ("named_at", "asked_at", "ordered", "expected"),
    [
        (21.0, 21.0, 0, 2),
        (18.5, 18.5, 0, 3),
        (21.0, 23.0, 2, 3),
        (21.0, 18.0 + STUCK_TRANSFER_SECONDS + 0.1, 0, 3),
    ],
    ids=["half way", "hardly begun", "ordered", "stuck"],
)
def test_version_named_while_one_is_on_its_way(named_at, asked_at, ordered, expected):
    plan = VersionSelector()
    plan.choose([TWO], 18.0)
    if ordered:
        plan.record_order(ordered)
    three = WantedVersion("m", 3, named_at)
    assert plan.choose([TWO, three], asked_at).version == expected


@pytest.mark.parametrize("sizes", [(4, 4, 1), (3, 3, 3), (1, 1, 8)])
def test_pulls_from_the_origin_are_shared_by_instances_not_regions(sizes):
    chunks = 480
    places = {}
    for region, size in enumerate(sizes):
        for number in range(size):
            places[InstanceId(f"{region}-{number}")] = Location(f"r{region}", f"d{region}")
    most = 0
    for own in places:
        duties = ChunkRanks(own, places, Digest("m@2"), chunks)
        pulls = sum(
            1
            for at, rank in zip(duties.region_positions, duties.ranks, strict=True)
            if at == rank == 0
        )
        most = max(most, pulls)
    assert most <= 1.5 * chunks / len(places)


LABEL = Digest("m@2")
AGENTS = [f"agent-{number}" for number in range(40)]


def make_caches():
    caches = [DigestCache(InstanceId(name)) for name in AGENTS]
    for cache in caches:
        cache.set_instances(AGENTS)
    return caches


@pytest.mark.parametrize(("waited", "asking"), [(0.0, 4), (0.5, 8), (5.0, 40)])
def test_few_agents_ask_the_origin_for_digests_at_once(waited, asking):
    assert sum(cache.may_ask_origin(LABEL, waited) for cache in make_caches()) == asking


def test_digests_in_doubt_are_read_from_the_origin_again():
    cache = make_caches()[0]
    assert cache.add(LABEL, [b"spoilt"], from_origin=False)
    assert not cache.add(LABEL, [b"other"], from_origin=False)
    assert not cache.record_mismatch(LABEL, 3)
    assert cache.record_mismatch(LABEL, 3)
    assert cache.find(LABEL) is None and cache.may_ask_origin(LABEL, 0.0)
    assert not cache.add(LABEL, [b"spoilt"], from_origin=False)
    assert cache.add(LABEL, [b"sound"], from_origin=True)
    assert cache.find(LABEL) == [b"sound"]
