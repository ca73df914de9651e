"""How many bytes a change of a large catalogue takes between processes."""

from __future__ import annotations

import json
from random import Random

import pytest
from coltsfootshift_platform.items import StoreItemDecoder
from fleet_harness import Context, Observer, Stream
from platform_standins import make_config
from twisted.internet.task import Clock

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.gateway.fleet import FleetTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.table_cache import Item, Table, TableAnswer, TableCache
from coltsfootshift.messages import (
    EntryRow,
    TableChanges,
    TableChangesRequest,
    TableItem,
    TableRevision,
    TableRevisions,
)
from coltsfootshift.settings import Address

ROUTES = 1400
# A link between regions carries 14 Mbit/s, of which changes of the catalogue may take a hundredth
# at three changes a second.
MAX_CHANGE_BYTES = 14_000_000 // 8 // 100 // 3
# One copy for a process that starts may delay a request by a tenth of a second at 1.5 Mbit/s.
MAX_COPY_BYTES = 1_500_000 // 8 // 10


def make_catalogue_value(version, changed=None):
    names = [f"route-{number}" for number in range(ROUTES)]
    config = make_config(version, "10.0.0.2:90", names)
    if changed is not None:
        config["routes"][changed]["service"] = f"service-{version}"
    return json.dumps(config).encode()


class Process:
    """A fleet task with the catalogue of a revision, and a stream that holds what it sends."""

    def __init__(self, name, value=None, revision=1):
        self.clock = Clock()
        self.tables = TableCache(StoreItemDecoder())
        row = EntryRow(name, 1, "10.0.0.1", 1, 2, "north", "a", True, False)
        roster, address = Roster(row), Address("10.0.0.1", 1)
        context = Context(self.clock)
        self.fleet = FleetTask(context, self.tables, roster, [], address, Observer(), Random(1))
        self.stream = Stream(peer_id="other")
        self.fleet.stream_opened(self.stream)
        if value is not None:
            self.publish(value, revision)

    def publish(self, value, revision):
        items = (Item("op/config", revision, value),)
        self.tables.apply(TableAnswer(Table.OPERATOR, items, revision, False, 0.0), 0.0)

    def receive(self, message):
        """Receive a message as it comes off the wire; return its size in bytes."""
        frame = encode_message(message)
        self.fleet.stream_received(self.stream, decode_message(frame))
        return len(frame)

    def take(self, kind):
        """Return the last message of a kind that was sent, and forget all messages."""
        messages = [message for message in self.stream.sent if isinstance(message, kind)]
        self.stream.sent.clear()
        return messages[-1] if messages else None


def announce(revision):
    return TableRevisions([TableRevision("operator", revision, 0.1)], 0.0)


def transfer(sender, receiver, revision):
    """Let the receiver request what the sender announces; return the bytes that it is sent."""
    receiver.receive(announce(revision))
    sender.receive(receiver.take(TableChangesRequest))
    return receiver.receive(sender.take(TableChanges))


@pytest.mark.parametrize("behind", [1, 3], ids=["one change behind", "three changes behind"])
def test_change_of_a_large_catalogue_does_not_send_all_of_it(behind):
    """Copies of a large catalogue filled the links between regions, and requests came late."""
    value = make_catalogue_value(1)
    sender, receiver = Process("entry-1", value), Process("entry-2", value)
    for number in range(behind):
        value = make_catalogue_value(2 + number, changed=number)
        sender.publish(value, 2 + number)
    assert transfer(sender, receiver, 1 + behind) <= MAX_CHANGE_BYTES
    assert receiver.tables.catalogue == sender.tables.catalogue


def test_process_that_starts_gets_the_catalogue_compressed():
    value = make_catalogue_value(1)
    sender, receiver = Process("entry-1", value), Process("entry-2")
    assert transfer(sender, receiver, 1) <= MAX_COPY_BYTES
    assert receiver.tables.catalogue.version == 1


def test_process_of_an_earlier_build_gets_plain_values():
    value = make_catalogue_value(1)
    sender = Process("entry-1", value)
    sender.receive(TableChangesRequest("operator", 0))
    assert [item.value for item in sender.take(TableChanges).items] == [value]


def test_difference_to_a_value_that_is_not_held_is_sent_as_a_whole():
    """The sender has dropped the value that the receiver has, or never had it."""
    sender = Process("entry-1", make_catalogue_value(5), 5)
    receiver = Process("entry-2", make_catalogue_value(1, changed=3))
    transfer(sender, receiver, 5)
    assert receiver.tables.catalogue.version == 5


@pytest.mark.parametrize(
    "item",
    [
        TableItem("op/config", 5, b"x", 0, "zlib", b"d"),
        TableItem("op/config", 5, b"x", 0, "difference", b"d", b"b"),
        TableItem("op/config", 5, b"", 0, "zlib", b"d"),
        None,
    ],
    ids=["no compressed data", "no base", "empty", "missing"],
)
def test_incomplete_changes_do_not_raise_the_position(item):
    """A process whose position went past a change that it lacked held the older catalogue."""
    receiver = Process("entry-2", make_catalogue_value(1))
    receiver.receive(announce(5))
    first = receiver.take(TableChangesRequest)
    items, keys = ([item] if item else []), ["op/config", "op/version/m"]
    receiver.receive(TableChanges("operator", 5, 0.0, items, keys, 0.0))
    assert receiver.tables.get_position(Table.OPERATOR).revision == 1
    again = receiver.take(TableChangesRequest)
    assert (first.after, again.after, again.held) == (1, 0, [])
    receiver.receive(TableChanges("operator", 5, 0.0, items, keys, 0.0))
    assert receiver.take(TableChangesRequest) is None
    receiver.receive(announce(5))
    assert receiver.take(TableChangesRequest) is not None
