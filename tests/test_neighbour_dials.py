"""An agent that knows nobody is dialled by a neighbour, whichever of its pairs is to dial.

Of two agents that choose each other only the first by name dialled. One that had restarted with
stale seeds knew neither an entry nor its neighbours, and if it was the first by name in all of its
pairs, all of them waited for it.
"""

from __future__ import annotations

import pytest

from coltsfootshift.controllers.chunk_ranks import split_neighbours
from coltsfootshift.controllers.chunks import Location
from coltsfootshift.controllers.neighbour_dials import DIAL_WITHIN_SECONDS, NeighbourDials
from coltsfootshift.ids import FailureDomain, InstanceId

NORTH = Location("north", FailureDomain("n"))
WEST = Location("west", FailureDomain("w"))
LATE = DIAL_WITHIN_SECONDS


@pytest.mark.parametrize(
    ("states", "dialled"),
    [
        ([(0.0, "")], "b"),
        ([(0.0, ""), (LATE - 0.1, "")], "b"),
        ([(0.0, ""), (LATE, "")], "ba"),
        ([(0.0, "a"), (LATE, "a"), (2 * LATE, "a")], "b"),
        ([(0.0, "a"), (LATE, ""), (2 * LATE - 0.1, "")], "b"),
        ([(0.0, "a"), (LATE, ""), (2 * LATE, "")], "ba"),
        ([(0.0, ""), (LATE, ""), (LATE + 0.1, "A"), (3 * LATE, "A")], "ba"),
        ([(0.0, ""), (LATE, ""), (LATE + 0.1, "A"), (LATE + 0.2, "a")], "b"),
        ([(0.0, ""), (LATE, ""), (LATE + 0.1, "a"), (LATE + 0.2, "")], "b"),
        ([(0.0, ""), (LATE, ""), (LATE + 0.1, "A"), (LATE + 0.2, "")], "ba"),
    ],
)
def test_neighbour_that_does_not_dial_in_time_is_dialled(states, dialled):
    """`b` is always dialled by this agent, and `a` is to dial it.

    A state is the time and who has dialled the open stream: `a`, this agent (`A`), or none.
    """
    dials = NeighbourDials()
    dials.update(["b"], ["a"])
    for now, dialler in states:
        chosen = dials.choose({"a": dialler == "A"} if dialler else {}, now)
    assert chosen == list(dialled)


@pytest.mark.parametrize(
    ("dialled", "awaited", "chosen"),
    [("b", "a", "ba"), ("b", "", "b"), ("a", "b", "a"), ("", "ac", "a")],
)
def test_new_neighbours_keep_the_time_of_those_before(dialled, awaited, chosen):
    dials = NeighbourDials()
    dials.update(["b"], ["a"])
    dials.choose({}, 0.0)
    dials.choose({}, LATE)
    dials.update(dialled, awaited)
    assert dials.choose({}, LATE + 0.1) == list(chosen)


@pytest.mark.parametrize("count", [2, 3, 5, 12, 24])
def test_every_agent_that_knows_nobody_is_dialled(count):
    locations = {InstanceId(f"i-{n:02}"): (NORTH if n % 3 else WEST) for n in range(count)}
    for lost in locations:
        chosen: set[str] = set()
        for own in locations:
            dials = NeighbourDials()
            dials.update(*split_neighbours(own, locations, "kit"))
            streams = dict.fromkeys(locations.keys() - {lost}, False)
            dials.choose(streams, 0.0)
            if own != lost:
                chosen.update(dials.choose(streams, LATE))
        assert lost in chosen
