"""What the answers of many connections hold together while none of them ends."""

from __future__ import annotations

import tracemalloc

import pytest
from gateway_harness import GatewayHarness, make_chunk, make_response
from test_endless_answers import CHUNKED, repeat
from test_gateway_answers import read_body, read_status
from twisted.internet.error import ConnectionDone

from coltsfootshift.gateway.exchange import MAX_BUFFERED_BYTES
from coltsfootshift.gateway.holding import MAX_HELD_BYTES, MIN_BODY_BYTES

ANSWERS = 160
ENDPOINTS = 40
# An entry may use 400 MB, of which it needs 50 MB; more than a half is left for all else.
MOST_BYTES = 96 * 1024 * 1024
READ_BYTES = 64 * 1024  # the most that is read from a connection at once
PIECE = make_chunk(repeat(b"a") * (READ_BYTES // len(repeat(b"a"))))
FAILURE = make_response(status=500, sealed=False, chunked=True)


def block_when_full(caller):
    """Let a caller read nothing: its transport pauses the answer as a socket's does."""
    write = caller.write

    def write_and_pause(data):
        write(data)
        if caller.producer is not None and len(caller.value()) > READ_BYTES:
            caller.producer.pauseProducing()

    caller.write = write_and_pause


def begin_answers(harness, head, count=ANSWERS):
    """Return callers that read nothing, and the endpoints that have begun to answer them."""
    pairs = []
    for number in range(count):
        caller = harness.send_request("book", request=f"r-{number}")
        block_when_full(caller)
        endpoint = harness.accept()
        endpoint.protocol.dataReceived(head.replace(b"r-1", b"r-%d" % number))
        pairs.append((caller, endpoint))
    return pairs


def send_without_end(pairs):
    """Send on all connections at once, more than may be held of each."""
    for _ in range(MAX_BUFFERED_BYTES // READ_BYTES):
        for _, endpoint in pairs:
            if endpoint.producerState == "producing" and not endpoint.aborted:
                endpoint.protocol.dataReceived(PIECE)


@pytest.mark.parametrize("head", [CHUNKED, FAILURE], ids=["answer", "failure"])
def test_answers_without_end_hold_little_together(head):
    """One limit for each answer let the answers of some hundred connections fill the memory."""
    harness = GatewayHarness(endpoints=ENDPOINTS)
    pairs = begin_answers(harness, head)
    tracemalloc.start()
    try:
        send_without_end(pairs)
        assert tracemalloc.get_traced_memory()[0] < MOST_BYTES
    finally:
        tracemalloc.stop()
    bound = MAX_HELD_BYTES + ANSWERS * (MIN_BODY_BYTES + READ_BYTES)
    assert 0 < harness.gateway.held_bytes.size <= bound


@pytest.mark.parametrize("end", ["deadline", "callers leave", "endpoints leave"])
def test_what_was_held_of_answers_is_released(end):
    """What is counted for an answer must not outlive it, or all later ones are held to less."""
    harness = GatewayHarness(endpoints=ENDPOINTS)
    pairs = begin_answers(harness, CHUNKED)
    send_without_end(pairs)
    for caller, endpoint in pairs:
        if end == "callers leave":
            caller.disconnect(ConnectionDone())
        elif end == "endpoints leave":
            endpoint.disconnect(ConnectionDone())
    harness.clock.advance(1.0 if end == "deadline" else 0.0)
    assert harness.gateway.held_bytes.size == 0


def test_slow_callers_that_read_on_release_what_was_held():
    harness = GatewayHarness(endpoints=ENDPOINTS)
    pairs = begin_answers(harness, CHUNKED, ANSWERS // 2)
    send_without_end(pairs)
    send_without_end(pairs)
    blocked = harness.gateway.held_bytes.size
    for caller, _ in pairs:
        caller.clear()
        caller.producer.resumeProducing()
    assert blocked > MAX_HELD_BYTES / 2 and harness.gateway.held_bytes.size == 0


@pytest.mark.parametrize("status", [200, 500])
def test_short_answers_are_held_whole_beside_answers_without_end(status):
    """An answer of another endpoint must not be cut because much is held of others."""
    harness = GatewayHarness(endpoints=ENDPOINTS)
    send_without_end(begin_answers(harness, CHUNKED))
    caller = harness.send_request("book", request="r-1000")
    body = b"b" * MIN_BODY_BYTES
    endpoint = harness.accept()
    head = make_response(
        body, request="r-1000", status=status, sealed=status == 200, length=len(body)
    )
    endpoint.protocol.dataReceived(head[:-100])
    assert caller.value() == b""
    endpoint.protocol.dataReceived(head[-100:])
    assert read_status(caller) == status and read_body(caller) == body
