"""Processes that started with stale seeds find an entry that their settings file names later.

Processes read their seeds at the start and on SIGHUP only. If all entries that the seeds named had
left and all processes started anew, no agent found the entry that the file named soon after, and
no engine got its layers (RECOVER).
"""

from __future__ import annotations

import signal

import pytest
from platform_fleet import Fleet, is_ready
from platform_standins import (
    CHUNKS,
    HOST,
    EngineStandIn,
    StoreStandIn,
    find_ports,
    make_chunk,
    make_settings,
    wait_for,
    write_settings,
)

RECOVER_SECONDS = 12.0  # from the return of the instances until requests are served
CONFIG_SECONDS = 2.0  # until a change is in force


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path)
    yield started
    started.close()


def has_started(program):
    return any(row["message"] == "started" for row in program.read_lines())


def name_seeds(program, fields, seeds):
    """Replace the settings file in place, as a platform may do."""
    write_settings(program.settings, {**fields, "seeds": seeds})


def find_gone_entry():
    """Return an address at which no entry listens any more."""
    return f"{HOST}:{find_ports(1)[0]}"


@pytest.mark.parametrize("number_sent", [None, signal.SIGHUP], ids=["no signal", "SIGHUP"])
def test_agent_that_started_with_stale_seeds_finds_the_entry_named_later(fleet, number_sent):
    """The file is first seen half written, and then names an entry that lives."""
    entry, engine, port = fleet.start_entry(), EngineStandIn(), find_ports(1)[0]
    gone = find_gone_entry()
    agent = fleet.start_agent(0, engine, [0, 0, int(gone.rpartition(":")[2])], port)
    wait_for(lambda: is_ready(entry))
    wait_for(lambda: has_started(agent))
    fields = fleet.agent_fields[0]
    assert fields["seeds"] == [gone]
    agent.settings.write_text("seeds = [", "utf-8")
    name_seeds(agent, fields, [f"{HOST}:{entry[2]}"])
    if number_sent is not None:
        agent.process.send_signal(number_sent)
    wait_for(lambda: engine.version == 1, RECOVER_SECONDS)
    assert engine.loaded == {index: make_chunk(1, index) for index in range(CHUNKS)}


def test_entry_that_started_with_stale_seeds_finds_the_entry_named_later(fleet):
    """The store refuses the entry, so that it is ready only once it knows another one."""
    first = fleet.start_entry("entry-1")
    refusing = StoreStandIn()
    refusing.down = 429
    second = find_ports(6)
    fields = make_settings("entry-2", refusing.address, second, [find_gone_entry()])
    program = fleet.start("entry-2", "entry", fields)
    wait_for(lambda: is_ready(first))
    wait_for(lambda: has_started(program))
    assert not is_ready(second)
    name_seeds(program, fields, [f"{HOST}:{first[2]}"])
    wait_for(lambda: is_ready(second), CONFIG_SECONDS)
    refusing.close()


AGENTS = 4  # the names of agents follow from their addresses, so that agent 0 is the first by name


@pytest.mark.parametrize(
    "stale",
    [range(1), range(3), range(AGENTS)],
    ids=["first by name", "all but one", "all"],
)
def test_agents_whose_seeds_stay_stale_are_told_of_an_entry(fleet, stale):
    """No settings file ever names an entry that lives, and no agent has ever known one.

    Agents hear of entries from their neighbours, of which each pair waited for the first by name
    to dial; and if all agents had restarted, none of them knew an entry.
    """
    port, gone = find_ports(1)[0], find_gone_entry()
    entry = fleet.start_entry(agent_port=port)
    wait_for(lambda: is_ready(entry))
    engines = [EngineStandIn() for _ in range(AGENTS)]
    for number, engine in enumerate(engines):
        seed = int(gone.rpartition(":")[2]) if number in stale else entry[2]
        fleet.start_agent(number, engine, [0, 0, seed], port)
    wait_for(lambda: [engine.version for engine in engines] == [1] * AGENTS, RECOVER_SECONDS)
