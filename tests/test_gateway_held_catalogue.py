"""Each way in which an entry may hold an older catalogue than the one that has been confirmed."""

from __future__ import annotations

from random import Random

import pytest
from catalogue_simulation import Simulation

from coltsfootshift.gateway.table_cache import Table

CONFIG_SECONDS = 2.0
SMALL, LARGE = 5, 1400
SITES = {
    "small": {"north": 2, "west": 1, "south": 1},
    "grown": {"north": 5, "west": 4, "south": 4},
    "one far": {"north": 1, "west": 3},
}


def start(site, routes=SMALL, **kwargs):
    simulation = Simulation(SITES[site], **kwargs)
    simulation.store.put(1, routes)
    simulation.advance(6.0)
    assert {node.version for node in simulation.nodes} == {1}
    return simulation


def find_readers(simulation):
    return [node for node in simulation.nodes if node.entry.roster.is_catalogue_reader()]


def check_changes(simulation, gaps, routes=SMALL, first=2):
    """Publish a change after each of the gaps, and see that it is in force in time.

    An entry that was disturbed less than 3 s before is not held to it.
    """
    published = []
    events = list(gaps)
    until = simulation.clock.seconds() + sum(gaps) + CONFIG_SECONDS + 0.1
    next_at, version = simulation.clock.seconds() + events[0], first
    while simulation.clock.seconds() < until:
        now = simulation.clock.seconds()
        if events and now >= next_at:
            simulation.store.put(version, routes)
            published.append((now, version))
            version += 1
            events.pop(0)
            next_at += events[0] if events else 0.0
        simulation.advance(0.05)
        due = [number for at, number in published if now + 0.05 - at > CONFIG_SECONDS]
        for node in simulation.list_in_touch() if due else ():
            assert node.version >= max(due), (node.name, now, published)


@pytest.mark.parametrize(
    ("site", "mbps"),
    [("small", 12.5), ("small", 1.5), ("one far", 12.5), ("one far", 1.5), ("grown", 1.5)],
)
def test_changes_of_a_large_catalogue_are_in_force_in_time(site, mbps):
    """Late: copies of each change filled the links between regions."""
    simulation = start(site, mbps=12.5)
    simulation.store.put(2, LARGE)
    simulation.advance(2.0)
    simulation.mbps = mbps
    check_changes(simulation, [0.1] + [0.3] * 7, LARGE, first=3)


@pytest.mark.parametrize("site", ["small", "one far"])
@pytest.mark.parametrize("which", ["first reader", "readers", "followers", "all but one", "all"])
@pytest.mark.parametrize("kind", ["frozen", "cut", "restarted"])
@pytest.mark.parametrize("after", [0.05, 1.2])
def test_change_is_in_force_in_time_where_others_are_disturbed(site, which, kind, after):
    """Frozen, cut from the store, restarted: those that are not learn of a change in time.

    After a disturbance an entry is held to what is published from 3 s on, and to all before.
    """
    simulation = start(site)
    readers = find_readers(simulation)
    chosen = {
        "first reader": readers[:1],
        "readers": readers,
        "followers": [node for node in simulation.nodes if node not in readers],
        "all but one": simulation.nodes[:-1],
        "all": simulation.nodes,
    }[which]
    disturb = {
        "frozen": simulation.freeze,
        "cut": simulation.cut_from_store,
        "restarted": simulation.restart,
    }[kind]
    for node in chosen:
        disturb(node, 4.0)
    check_changes(simulation, [after, 0.5, 2.0, 3.0, 2.0])
    simulation.advance(3.0)
    assert {node.version for node in simulation.nodes} == {6}


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("share", [0.5, 0.7, 1.0])
@pytest.mark.parametrize("seed", range(4))
def test_change_is_in_force_in_time_after_the_store_was_silent(site, share, seed):
    """Silent store: reads that it never answers, for some entries or all, beside changes."""
    simulation = start(site, seed=seed)
    rng = Random(seed)
    seconds = rng.uniform(1.0, 13.0)
    for node in rng.sample(simulation.nodes, max(1, round(share * len(simulation.nodes)))):
        simulation.cut_from_store(node, seconds)
        node.disturbed_until = 0.0
    down = simulation.clock.seconds() + seconds
    while simulation.clock.seconds() < down:
        simulation.advance(0.5)
        simulation.store.put(simulation.store.revision + 1, SMALL)
    published = simulation.store.revision
    simulation.advance(CONFIG_SECONDS)
    assert all(node.version >= published for node in simulation.nodes)
    check_changes(simulation, [0.1, 0.4, 1.0, 2.0], first=published + 1)


@pytest.mark.parametrize("site", ["small", "one far"])
@pytest.mark.parametrize("down", [0.5, 6.0])
@pytest.mark.parametrize("restarted", [0, 1, 9])
def test_restored_store_does_not_bring_an_older_catalogue_back(site, down, restarted):
    """Restored store: the copy lacks two changes, one of which is written again at once."""
    simulation = start(site)
    for version in (2, 3):
        simulation.store.put(version, SMALL)
        simulation.advance(0.5)
    simulation.store.down_until = simulation.clock.seconds() + down
    simulation.store.restore(2)
    simulation.advance(down)
    for node in simulation.nodes[:restarted]:
        simulation.restart(node, 0.3)
    simulation.advance(0.5)
    kept = [node for node in simulation.nodes[restarted:]]
    assert all(node.version == 3 for node in kept)
    simulation.store.put(3, SMALL)
    simulation.advance(3.0)
    assert {node.version for node in simulation.nodes} == {3}
    check_changes(simulation, [0.5, 0.5], first=4)


@pytest.mark.parametrize("site", SITES)
def test_entry_that_only_peers_feed_follows_all_changes(site):
    """Fed by a peer: the store does not serve one entry for long."""
    simulation = start(site)
    node = simulation.nodes[-1]
    simulation.cut_from_store(node, 60.0)
    node.disturbed_until = 0.0
    check_changes(simulation, [0.1, 0.3, 0.7, 1.3, 2.1])
    assert node.version == 6
    age = node.entry.tables.measure_age(Table.OPERATOR, simulation.clock.seconds())
    assert age < CONFIG_SECONDS


def test_entry_that_starts_during_changes_has_the_newest():
    """Restarted: among changes of a large catalogue on a narrow link."""
    simulation = start("grown", mbps=12.5)
    simulation.store.put(2, LARGE)
    simulation.advance(2.0)
    simulation.mbps = 3.0
    for node in simulation.nodes[5:]:
        simulation.restart(node, 1.0)
    check_changes(simulation, [0.1] + [0.3] * 8, LARGE, first=3)
    assert {node.version for node in simulation.nodes} == {11}
