"""What an entry knows of how soon the store answers it."""

from __future__ import annotations

from random import Random

import pytest
from coltsfootshift_platform import schema
from coltsfootshift_platform.store import StoreError, StoreWatcher
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from coltsfootshift.controllers.storereads import MEASURING_SECONDS
from coltsfootshift.gateway.table_cache import Table, TableConsumer, TablePosition
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

STEP_SECONDS = 0.05


class _Consumer(TableConsumer):
    """Reads a table until `reads` is cleared, as an entry does while nobody confirms it."""

    def __init__(self):
        self.reads = True
        self.contacts = []

    def choose_start(self, table):
        return TablePosition(1, 5) if self.reads and table is Table.OPERATOR else None

    def handle_answer(self, answer):
        pass

    def record_contact(self, reached, seconds=0.0):
        self.contacts.append(reached)


@pytest.mark.parametrize("reads", [True, False], ids=["reads on", "others read"])
def test_entry_notices_that_the_store_answers_again(reads):
    """After an outage an entry for which others read counted as one that the store fails."""
    clock, consumer = Clock(), _Consumer()
    watcher = StoreWatcher(clock, Address("10.0.0.1", 80), consumer, Metrics(), Random(1))
    down = False

    async def answer(path, query, wait, pool, failures):
        delay: Deferred = Deferred()
        clock.callLater(wait + 0.004, delay.callback, None)
        await delay
        if down:
            raise StoreError("status 503", 503)
        return schema.StoreAnswer(at=5), 1

    watcher._get_json = answer
    watcher.start()
    clock.pump([STEP_SECONDS] * 200)
    assert set(consumer.contacts) == {True}
    down = True
    clock.pump([STEP_SECONDS] * 60)
    assert consumer.contacts[-1] is False
    consumer.reads = reads
    down = False
    clock.pump([STEP_SECONDS] * int((MEASURING_SECONDS + 0.1) / STEP_SECONDS))
    assert consumer.contacts[-1] is True
    contacts = len(consumer.contacts)
    clock.pump([STEP_SECONDS] * 200)
    assert len(consumer.contacts) == contacts
    watcher.stop()
