"""A second copy of an answer of the store, late, on a connection that is in use again."""

from __future__ import annotations

from random import Random

import pytest
from coltsfootshift_platform import names, schema
from coltsfootshift_platform.store import StoreWatcher
from msgspec import Raw
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from coltsfootshift.gateway.table_cache import Table, TableConsumer, TablePosition
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

REVISION = 5
ROW = Raw(b'{"key": "op/config", "value": "e30=", "rev": 5}')
EMPTY = schema.StoreAnswer(at=REVISION, events=[])


class _Consumer(TableConsumer):
    """Reads the operator's table on from a revision, or all of it if the revision is zero."""

    def __init__(self, revision):
        self.revision = revision
        self.answers = []

    def choose_start(self, table):
        return TablePosition(1, self.revision) if table is Table.OPERATOR else None

    def handle_answer(self, answer):
        self.answers.append(answer)

    def record_contact(self, reached, seconds=0.0):
        pass


@pytest.mark.parametrize(
    ("copy", "delay", "revision", "applied"),
    [
        (EMPTY, None, REVISION, True),
        (EMPTY, 0.1, REVISION, False),
        (schema.StoreAnswer(at=REVISION, events=[ROW]), 0.1, REVISION, False),
        (schema.StoreAnswer(at=REVISION + 1, events=[ROW]), 0.1, REVISION, True),
        (schema.StoreAnswer(at=REVISION - 1, events=[]), None, REVISION, False),
        (schema.StoreAnswer(at=REVISION, items=[ROW]), 0.1, REVISION, False),
        (schema.StoreAnswer(at=REVISION, items=[ROW]), 0.1, 0, True),
        (EMPTY, 0.1, 0, False),
    ],
    ids=[
        "nothing changed",
        "copy: nothing changed",
        "copy: a change",
        "a change",
        "copy: before a change",
        "copy: whole table",
        "whole table",
        "copy: changes where the table was asked for",
    ],
)
def test_answer_that_is_not_of_the_request_is_not_applied(copy, delay, revision, applied):
    """It would confirm the table at a moment at which the store held another one."""
    clock, consumer = Clock(), _Consumer(revision)
    watcher = StoreWatcher(clock, Address("10.0.0.1", 80), consumer, Metrics(), Random(1))
    pools = []

    async def answer(path, query, wait, pool, failures):
        if "prefix" not in query or query["prefix"] == names.VERSION_PREFIX:
            await Deferred()
        pools.append(pool)
        if len(pools) > 1:
            await Deferred()
        answered: Deferred = Deferred()
        clock.callLater(wait if delay is None else delay, answered.callback, None)
        await answered
        return copy, 1

    watcher._get_json = answer
    watcher.start()
    clock.pump([0.02] * 80)
    assert bool(consumer.answers) is applied
    assert len(pools) == 2 and (pools[0] is pools[1]) is applied
    watcher.stop()
