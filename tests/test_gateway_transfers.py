"""Chunks that move in parts: whole, in order, refused once the version has changed."""

from __future__ import annotations

import hashlib

import pytest
from twisted.internet.task import Clock

from coltsfootshift.controllers.chunks import SendChunk
from coltsfootshift.gateway.transfers import PART_BYTES, ChunkTransfers
from coltsfootshift.ids import Digest, InstanceId
from coltsfootshift.messages import ChunkPart, ChunkRefused

LABEL, A = Digest("m@2"), InstanceId("a")
DATA = bytes(range(256)) * 40  # two parts and a half
RATE = 10 * PART_BYTES


@pytest.fixture
def moved():
    """A side that sends, what it has sent, and whether each chunk was."""
    clock, messages, ends = Clock(), [], []
    transfers = ChunkTransfers(
        clock,
        RATE,
        lambda peer, message: messages.append(message),
        lambda peer, sent: ends.append(sent),
    )
    transfers.start_version(LABEL)
    transfers.store(0, DATA)
    return transfers, clock, messages, ends


def take_all(messages):
    other = ChunkTransfers(Clock(), RATE, lambda *_: None, lambda *_: None)
    return [other.receive_part(A, message) for message in messages]


def test_chunk_arrives_whole_at_the_rate_of_the_link(moved):
    transfers, clock, messages, ends = moved
    transfers.schedule_send(SendChunk(A, LABEL, 0, 1.0), len(DATA))
    clock.advance(1.0 - len(DATA) / RATE)
    assert len(messages) == 1 and ends == []
    clock.pump([0.1, 0.1])
    assert [type(message) for message in messages] == [ChunkPart] * 3 and ends == [True]
    assert take_all(messages) == [None, None, DATA]


@pytest.mark.parametrize("change", ["version", "between parts", "not held"])
def test_chunk_that_is_held_no_more_is_refused(moved, change):
    transfers, clock, messages, ends = moved
    index = 1 if change == "not held" else 0
    transfers.schedule_send(SendChunk(A, LABEL, index, 0.0), len(DATA))
    if change == "between parts":
        clock.advance(0.0)
    if change != "not held":
        transfers.start_version(Digest("m@3"))
    clock.pump([0.1, 0.1, 0.1])
    assert isinstance(messages[-1], ChunkRefused) and ends == [False]


def test_parts_of_a_lost_stream_are_not_joined_with_later_ones(moved):
    transfers, clock, messages, _ = moved
    transfers.schedule_send(SendChunk(A, LABEL, 0, 0.0), len(DATA))
    clock.pump([0.0, 0.1, 0.1])
    other = ChunkTransfers(Clock(), RATE, lambda *_: None, lambda *_: None)
    other.receive_part(A, messages[0])
    other.discard_partial(A)
    assert [other.receive_part(A, message) for message in messages] == [None, None, DATA]


def test_only_chunks_that_match_count(moved):
    transfers = moved[0]
    transfers.store(1, b"other")
    digests = [hashlib.sha256(DATA).digest(), hashlib.sha256(b"wanted").digest()]
    assert transfers.list_matching(digests) == {0}
