"""Bytes of callers without end: behind a request in progress, and in a body of tiny chunks."""

from __future__ import annotations

import tracemalloc

import pytest
from gateway_harness import KEY, GatewayHarness
from test_endless_answers import CHUNKED, OK, PIECE_BYTES, make_chunk, repeat
from test_gateway_answers import read_body
from twisted.internet.error import ConnectionDone

from coltsfootshift.gateway.callers import MAX_READ_AHEAD_BYTES

MOST_BYTES = 4 * MAX_READ_AHEAD_BYTES
BODY_BYTES = 1024 * 1024
NEXT_REQUEST = (
    b"POST /read/x HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: r-1\r\nX-Api-Key: %s\r\n"
    b"Content-Length: 0\r\n\r\n" % KEY.encode()
)


def feed_until_paused(caller, piece):
    """Send a piece again and again until the caller is read no more; return the bytes taken."""
    taken = 0
    while caller.producerState == "producing" and taken < MOST_BYTES:
        caller.protocol.dataReceived(piece)
        taken += len(piece)
    return taken


@pytest.mark.parametrize("answer", ["none", "begun"])
@pytest.mark.parametrize(
    "piece",
    [repeat(b"a"), repeat(b"\r\n"), repeat(NEXT_REQUEST)],
    ids=["no request", "blank lines", "requests"],
)
def test_caller_is_not_read_ahead_without_end(piece, answer):
    """All that a caller sent during its request in progress was kept."""
    harness = GatewayHarness()
    caller = harness.send_request("once")
    endpoint = harness.accept()
    if answer == "begun":
        endpoint.protocol.dataReceived(CHUNKED)
    assert feed_until_paused(caller, piece) <= MAX_READ_AHEAD_BYTES + PIECE_BYTES


def test_caller_that_was_read_ahead_is_read_on_after_its_answer():
    """The rest of a request that was sent behind another one must still be read."""
    harness = GatewayHarness()
    caller = harness.send_request("book", request="r-0")
    endpoint = harness.accept()
    body = b"b" * (2 * MAX_READ_AHEAD_BYTES)
    request = NEXT_REQUEST.replace(b"Length: 0", b"Length: %d" % len(body)) + body
    position = 0
    while caller.producerState == "producing" and position < len(request):
        caller.protocol.dataReceived(request[position : position + PIECE_BYTES])
        position += PIECE_BYTES
    assert position < len(request)
    endpoint.protocol.dataReceived(OK.replace(b"r-1", b"r-0"))
    assert read_body(caller) == b"ok" and caller.producerState == "producing"
    caller.clear()
    caller.protocol.dataReceived(request[position:])
    endpoint.protocol.dataReceived(OK)
    assert endpoint.value().endswith(body) and read_body(caller) == b"ok"


def test_caller_that_sends_the_next_request_ahead_and_leaves_is_noticed():
    """A caller that is not read any more could not be seen to leave."""
    harness = GatewayHarness()
    caller = harness.send_request("once")
    endpoint = harness.accept()
    caller.protocol.dataReceived(NEXT_REQUEST + repeat(b"a"))
    assert caller.producerState == "producing"
    caller.disconnect(ConnectionDone())
    assert endpoint.aborted


def test_callers_body_of_tiny_chunks_is_held_in_little_memory():
    """Each chunk was held as an object of its own, at twenty times its size."""
    harness = GatewayHarness()
    caller = harness.connect()
    head = NEXT_REQUEST.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    caller.protocol.dataReceived(head)
    tracemalloc.start()
    try:
        for _ in range(BODY_BYTES // PIECE_BYTES):
            caller.protocol.dataReceived(make_chunk(b"ab") * (PIECE_BYTES // 2))
        assert caller.value() == b""
        assert tracemalloc.get_traced_memory()[0] < 2 * BODY_BYTES
    finally:
        tracemalloc.stop()
