"""Tests of peer selection, hash rings, notices and the indexed instance list."""

from __future__ import annotations

import json
from random import Random

import pytest

from coltsfootshift.controllers.membership import InstanceRecord, Membership
from coltsfootshift.controllers.notices import NoticeStore
from coltsfootshift.controllers.peers import PeerSelector
from coltsfootshift.controllers.rings import HashRing, choose_ring_peers
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import InstanceNotice, NoticedState, VersionedRecord
from coltsfootshift.settings import Address

ADDRESS = Address("127.0.0.1", 7000)
LIVE, UNREACHABLE, LEAVING = NoticedState.LIVE, NoticedState.UNREACHABLE, NoticedState.LEAVING


def make_record(number: int, region: str = "north", role: str = "entry") -> InstanceRecord:
    return InstanceRecord(
        instance=f"i{number}",
        role=role,
        region=region,
        failure_domain=f"{region}-{number % 3}",
        peers=ADDRESS,
        operators=ADDRESS,
        state="live",
        service="" if role == "entry" else "svc",
    )


def make_selectors(count: int, regions: int) -> dict[str, PeerSelector]:
    records = [make_record(n, f"r{n % regions}") for n in range(count)]
    selectors = {}
    for own in records:
        selector = PeerSelector(InstanceId(own.instance), own.region)
        for record in records:
            selector.put(record)
        selectors[own.instance] = selector
    return selectors


@pytest.mark.parametrize(("count", "regions"), [(2, 1), (12, 3), (90, 7)])
def test_mesh_is_connected_and_bounded(count: int, regions: int) -> None:
    selectors = make_selectors(count, regions)
    links: dict[str, set[str]] = {name: set() for name in selectors}
    for name, selector in selectors.items():
        chosen = selector.choose(0.0)
        assert len(chosen) <= 4
        for peer in chosen:
            links[name].add(peer)
            links[peer].add(name)
    reached, waiting = {"i0"}, ["i0"]
    while waiting:
        for peer in links[waiting.pop()] - reached:
            reached.add(peer)
            waiting.append(peer)
    assert len(reached) == count


def test_killed_third_leaves_no_process_alone() -> None:
    """Survivors replace unreachable peers until each of them has at least two reachable ones."""
    selectors = make_selectors(60, 3)
    dead = set(Random(5).sample(sorted(selectors), 20))
    for name in sorted(set(selectors) - dead):
        for _ in range(20):
            missing = [peer for peer in selectors[name].choose(1.0) if peer in dead]
            missing = [peer for peer in missing if not selectors[name].is_unreachable(peer)]
            for peer in missing:
                selectors[name].mark_unreachable(peer, 1.0)
        chosen = selectors[name].choose(1.0)
        assert selectors[name].count_reachable(chosen) >= 2
        assert len(chosen) <= 8


def test_one_change_keeps_the_order_of_a_fresh_ring() -> None:
    rng = Random(2)
    ring = HashRing("mesh/0")
    held: set[str] = set()
    for _ in range(500):
        name = f"i{rng.randrange(60)}"
        if name in held:
            held.discard(name)
            ring.remove(name)
        else:
            held.add(name)
            ring.add(name)
    fresh = HashRing("mesh/0")
    for name in held:
        fresh.add(name)
    assert ring.list_first(60) == fresh.list_first(60)
    assert [ring.find_rank(name) for name in ring.list_first(60)] == list(range(len(held)))
    own = ring.list_first(1)[0]
    assert choose_ring_peers(own, sorted(held), 1, "mesh") == [
        ring.find_successor(own, frozenset())
    ]


def test_membership_indexes_follow_changes() -> None:
    membership = Membership(InstanceId("i0"))
    rows = [make_record(1), make_record(2, role="agent"), make_record(3, role="agent")]
    for revision, row in enumerate(rows, start=1):
        assert not membership.apply([encode(row, revision)])
    assert [row.instance for row in membership.list_agents("svc")] == ["i2", "i3"]
    assert membership.count_entries() == 1
    membership.apply([VersionedRecord("i2", 4, b""), VersionedRecord("i1", 5, b"")])
    assert [row.instance for row in membership.list_agents("svc")] == ["i3"]
    assert membership.count_entries() == 0
    assert membership.apply([VersionedRecord("i9", 6, b"nonsense")])


def encode(row: InstanceRecord, revision: int) -> VersionedRecord:
    address = {"host": row.peers.host, "port": row.peers.port}
    content = {
        "instance": row.instance,
        "role": row.role,
        "region": row.region,
        "failure_domain": row.failure_domain,
        "peers": address,
        "operators": address,
        "state": row.state,
        "service": row.service,
    }
    return VersionedRecord(row.instance, revision, json.dumps(content).encode())


@pytest.mark.parametrize(
    ("notices", "state"),
    [
        ([(0, UNREACHABLE)], UNREACHABLE),
        ([(0, UNREACHABLE), (1, LIVE)], LIVE),
        ([(1, LIVE), (0, UNREACHABLE)], LIVE),
        ([(1, LEAVING), (1, UNREACHABLE)], LEAVING),
        ([(1, UNREACHABLE), (1, LEAVING)], LEAVING),
        ([(1, LEAVING), (2, LIVE)], LIVE),
    ],
)
def test_newer_and_more_severe_notices_stand(
    notices: list[tuple[int, NoticedState]], state: NoticedState
) -> None:
    store = NoticeStore(InstanceId("own"))
    for number, noticed in notices:
        store.merge(InstanceNotice("x", number, noticed))
    assert store.find_state(InstanceId("x")) is state


def test_new_incarnation_refutes_that_it_is_leaving() -> None:
    store = NoticeStore(InstanceId("peer"))
    for notice in NoticeStore(InstanceId("x")).announce_leaving():
        store.merge(notice)
    restarted = NoticeStore(InstanceId("x"))
    for notice in store.list_not_live():
        for answer in restarted.merge(notice):
            store.merge(answer)
    assert store.find_state(InstanceId("x")) is LIVE
    assert not store.list_not_live()
