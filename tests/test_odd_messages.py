"""Messages of peers with fields that are not what they have to be cost themselves only."""

from __future__ import annotations

from random import Random

import msgpack
import pytest
from coltsfootshift_platform.items import StoreItemDecoder
from fleet_harness import Context, Observer, Stream
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_values import MESSAGES
from twisted.internet.task import Clock

from coltsfootshift.codec import decode_message
from coltsfootshift.errors import CodecError, InvalidMessageError
from coltsfootshift.gateway.fleet import FleetTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import TableCache
from coltsfootshift.messages import EntryRow
from coltsfootshift.settings import Address


def make_fleet():
    roster = Roster(EntryRow("entry-1", 1, "10.0.0.1", 1, 2, "north", "a", True, False))
    tables = TableCache(StoreItemDecoder())
    address = Address("10.0.0.1", 1)
    return FleetTask(Context(Clock()), tables, roster, [], address, Observer(), Random(1))


@pytest.mark.parametrize("content", MESSAGES.values(), ids=MESSAGES)
def test_odd_message_is_refused_or_loses_its_odd_rows(lines, content):
    """An unknown table or a negative age in a message raised an error, or was believed."""
    frame = msgpack.packb(content)
    try:
        message = decode_message(frame)
    except InvalidMessageError:
        return
    assert message.rows == []
    assert lines() == ["invalid rows of a message left out"]


def test_odd_row_costs_that_row_only():
    good = ["x", 1, "10.0.0.9", 80, 81, "north", "a", True, False]
    odd = [*good[:3], 99999, *good[4:]]
    message = decode_message(msgpack.packb(["g-roster", [odd, good, 5]]))
    assert [row.instance for row in message.rows] == ["x"]


kinds = st.sampled_from(
    ["g-state", "g-ask", "g-told", "g-roster", "g-engine", "g-limits", "g-suspect", "g-digests"]
)
names = st.sampled_from(["operator", "endpoints", "op/config", "servers/x", "x"])
small = names | st.integers(-1, 2**64 - 1) | st.floats() | st.booleans() | st.binary(max_size=9)
fields = small | st.lists(st.lists(small | st.lists(small, max_size=3), max_size=9), max_size=3)


@settings(max_examples=300)
@given(kinds, st.lists(fields, max_size=8))
def test_any_message_of_a_peer_is_handled_or_refused(kind, content):
    fleet = make_fleet()
    stream = Stream()
    fleet.stream_opened(stream)
    try:
        message = decode_message(msgpack.packb([kind, *content]))
    except CodecError:
        return
    fleet.stream_received(stream, message)
    fleet.announce()
