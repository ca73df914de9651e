"""Bytes without end from the store, an engine, the origin or the platform, over real sockets.

A client must close the connection within a limit of bytes, and within its time limit for bytes that
come slowly, and must report a failure.
"""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from coltsfootshift_platform.store import MAX_ANSWER_BYTES
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from coltsfootshift.answers import MAX_HEAD_BYTES, AnswerTooLongError, read_body

HERE = Path(__file__).parent
FAST_BYTES = 64 * 1024
# The server stops here, so that a client without a limit fails the test and not the machine.
SERVER_MOST_BYTES = 64 * 1024 * 1024
# What the kernel may hold of a connection's bytes: its buffer grows while the client reads.
NEW_BUFFER_BYTES = 1024 * 1024
GROWN_BUFFER_BYTES = 8 * 1024 * 1024
SEND_BUFFER_BYTES = 64 * 1024
MOST_SECONDS = 15.0  # above the time limits of all clients
PROCESS_MOST_SECONDS = 60.0
SEEN_SECONDS = 5.0  # within which a closed connection is noticed by this process, if it is run
CLIENT_COUNT = 9

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def repeat(text: bytes) -> bytes:
    return text * (FAST_BYTES // len(text))


HEADS = {
    "header": (b"HTTP/1.1 200 OK\r\nA: ", repeat(b"a")),
    "headers": (b"HTTP/1.1 200 OK\r\n", repeat(b"A: a\r\n")),
    "folded header": (b"HTTP/1.1 200 OK\r\nA: a\r\n", repeat(b" a\r\n")),
    "informational": (b"", repeat(b"HTTP/1.1 100 X\r\n\r\n")),
    "no answer": (b"", repeat(b"a")),
}
BODIES = {
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (FAST_BYTES, repeat(b"a"))),
    "until closed": (b"HTTP/1.1 200 OK\r\n\r\n", repeat(b"a")),
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", repeat(b"a")),
    "failure": (CHUNKED.replace(b"200", b"500"), b"%x\r\n%s\r\n" % (FAST_BYTES, repeat(b"a"))),
    "chunk size": (CHUNKED, repeat(b"0")),
    "trailers": (CHUNKED + b"0\r\n", repeat(b"A: a\r\n")),
    "after an answer": (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", repeat(b"a")),
}


class EndlessServer:
    """Sends `start`, then `piece` every `pause` seconds, to each connection until it is closed.

    `taken` tells how many bytes each connection took, and `closed_at` when it was closed, or None.
    """

    def __init__(self, start: bytes, piece: bytes, pause: float) -> None:
        self._start, self._piece, self._pause = start, piece, pause
        self.taken: list[int] = []
        self.closed_at: list[float | None] = []

    async def serve(self, reader, writer) -> None:
        number = len(self.taken)
        self.taken.append(0)
        self.closed_at.append(None)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while self.taken[number] < SERVER_MOST_BYTES:
                writer.write(self._piece)
                await writer.drain()
                self.taken[number] += len(self._piece)
                await asyncio.sleep(self._pause)
        except OSError:
            self.closed_at[number] = time.monotonic()
        finally:
            writer.close()


async def play(start: bytes, piece: bytes, pause: float):
    """Let each client make one call; return the server, the outcomes and when the clients ended.

    The outcome `open` is how many connections the clients had half a second after their own.
    """
    server = EndlessServer(start, piece, pause)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0, limit=FAST_BYTES)
    listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    port = listener.sockets[0].getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, str(HERE / "endless_clients.py"), str(port), str(MOST_SECONDS)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(str(HERE.parent / name) for name in ("platform", "src")),
        },
    )
    try:
        outcomes = await asyncio.wait_for(read_outcomes(process), PROCESS_MOST_SECONDS)
        most = time.monotonic() + SEEN_SECONDS
        while None in server.closed_at and time.monotonic() < most:
            await asyncio.sleep(0.05)
        ended_at = time.monotonic()
        await asyncio.wait_for(process.communicate(b""), PROCESS_MOST_SECONDS)
    except TimeoutError:
        process.kill()
        raise
    listener.close()
    return server, outcomes, ended_at


async def read_outcomes(process) -> dict[str, str]:
    """Return the outcomes of the clients up to the last; fewer if their process ends before."""
    outcomes = {}
    while "open" not in outcomes and (line := await process.stdout.readline()):
        name, outcome = line.decode().split()
        outcomes[name] = outcome
    return outcomes


def check_closed(server, ended_at):
    """Check that the clients closed all connections themselves, not the end of their process."""
    assert len(server.closed_at) == CLIENT_COUNT
    for closed_at in server.closed_at:
        assert closed_at is not None and closed_at < ended_at


DRIBBLES = {
    "head": (b"HTTP/1.1 200 OK\r\nA: ", b"a"),
    "body": (CHUNKED, b"1\r\na\r\n"),
}


@pytest.fixture(scope="module", autouse=True)
def dribbles():
    """Play the slow answers beside the other tests, as they last as long as the time limits."""
    with ThreadPoolExecutor() as pool:
        yield {
            kind: pool.submit(lambda row: asyncio.run(play(*row, 0.1)), row)
            for kind, row in DRIBBLES.items()
        }


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
def test_control_answer_without_end(kind):
    start, piece = {**HEADS, **BODIES}[kind]
    server, outcomes, ended_at = asyncio.run(play(start, piece, 0.0))
    assert outcomes.pop("open") == "0"
    assert len(outcomes) == CLIENT_COUNT
    limit = MAX_ANSWER_BYTES + GROWN_BUFFER_BYTES  # that of the store is the largest of all
    if kind in HEADS:
        limit = MAX_HEAD_BYTES + NEW_BUFFER_BYTES
    assert max(server.taken) <= limit
    check_closed(server, ended_at)
    if kind != "after an answer":
        assert set(outcomes.values()) == {"failed"}


@pytest.mark.parametrize("kind", DRIBBLES)
def test_control_answer_that_dribbles(kind, dribbles):
    server, outcomes, ended_at = dribbles[kind].result()
    assert outcomes.pop("open") == "0"
    assert len(outcomes) == CLIENT_COUNT
    assert set(outcomes.values()) == {"failed"}
    check_closed(server, ended_at)


class _Response:
    """A response whose body is delivered by the test."""

    def deliverBody(self, body):
        self.body = body
        body.makeConnection(StringTransport())


@pytest.mark.parametrize("surplus", [0, 1])
def test_body_of_the_largest_size_is_read(surplus):
    response = _Response()
    results = []
    read_body(response, FAST_BYTES, 1.0, Clock()).addBoth(results.append)
    response.body.dataReceived(b"a" * (FAST_BYTES + surplus))
    assert response.body.transport.disconnecting is bool(surplus)
    response.body.connectionLost(Failure(ResponseDone()))
    if surplus:
        assert results[0].check(AnswerTooLongError)
    else:
        assert results == [b"a" * FAST_BYTES]


@pytest.mark.parametrize(
    ("pauses", "is_read"),
    [([0.9] * 8, True), ([0.9] * 12, False)],
    ids=["slow", "without end"],
)
def test_body_that_arrives_slowly_is_read_within_its_time(pauses, is_read):
    """A body without end in small pieces; its reader is told of each piece."""
    clock, response, results, pieces = Clock(), _Response(), [], []
    body = read_body(response, FAST_BYTES, 8.0, clock, lambda: pieces.append(clock.seconds()))
    body.addBoth(results.append)
    for pause in pauses:
        clock.advance(pause)
        if not results:
            response.body.dataReceived(b"a")
    response.body.connectionLost(Failure(ResponseDone()))
    assert len(pieces) == 8
    if is_read:
        assert results == [b"a" * len(pauses)]
    else:
        assert results[0].check(DeferredTimeoutError)
        assert response.body.transport.disconnecting
    assert not clock.getDelayedCalls()
