"""Tests of in-memory streams: handshake, refusals, limits, heartbeats and duplicates."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.frames import FrameReader, FrameTooLargeError
from coltsfootshift.ids import InstanceId, Purpose
from coltsfootshift.keys import NONCE_BYTES, KeyRing
from coltsfootshift.messages import (
    AnswerFrame,
    ChunkData,
    Heartbeat,
    Hello,
    Message,
    Proof,
    RevisionNotice,
)
from coltsfootshift.metrics import Metrics
from coltsfootshift.peer import MAX_BACKLOG_BYTES, MAX_HELLO_BYTES
from coltsfootshift.settings import Address, StreamTiming
from coltsfootshift.streams import (
    MAX_UNAUTHENTICATED_STREAMS,
    Dialer,
    PeerStream,
    StreamContext,
    StreamListener,
    StreamOwner,
)

OLD, NEW, OTHER = "o" * 32, "n" * 32, "x" * 32
NOTICE = RevisionNotice("catalogue", 7)


class Transport(StringTransport):
    """An in-memory transport that accepts TCP options."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        self.no_delay = enabled


class Owner(StreamOwner):
    """A stream owner that records its callbacks."""

    def __init__(self) -> None:
        self.opened: list[PeerStream] = []
        self.received: list[Message] = []
        self.closed: list[str] = []

    def stream_opened(self, stream: PeerStream) -> None:
        self.opened.append(stream)

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        self.received.append(message)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        self.closed.append(reason)


@dataclass
class Process:
    """A process with a stream context, a listener and an owner."""

    name: str
    clock: Clock
    ring: KeyRing
    owner: Owner = field(default_factory=Owner)

    def __post_init__(self) -> None:
        self.metrics = Metrics()
        self.context = StreamContext(
            self.clock, StreamTiming(), self.metrics, self.make_hello, self.ring
        )
        self.listener = StreamListener(self.context)
        self.listener.register(Purpose.CONTROL, self.owner)

    def make_hello(self, purpose: Purpose) -> Hello:
        now = self.clock.seconds()
        return Hello(self.name, f"{self.name}-1", "entry", purpose.value, "", "r", "d", now)

    def accept(self) -> PeerStream:
        stream = self.listener.buildProtocol(None)
        assert stream is not None
        stream.makeConnection(Transport())
        return stream

    def dial(self, expected: str = "") -> PeerStream:
        stream = PeerStream(self.context, lambda hello: self.owner, Purpose.CONTROL, expected)
        stream.makeConnection(Transport())
        return stream

    def count(self, reason: str) -> int:
        return self.metrics.get_count(f"streams_refused_{reason}")


def make_process(name: str, prove: str = OLD, accept: tuple[str, ...] = ()) -> Process:
    return Process(name, Clock(), KeyRing.make(prove, accept))


def make_pair(*rings: KeyRing) -> tuple[Process, Process]:
    clock = Clock()
    first, second = rings or (KeyRing.make(OLD), KeyRing.make(OLD))
    return Process("a", clock, first), Process("b", clock, second)


def exchange_bytes(one: PeerStream, two: PeerStream, piece: int = 1 << 20) -> None:
    """Deliver bytes between two streams until none are left; close both if one was aborted."""
    while True:
        moved = False
        for source, target in ((one, two), (two, one)):
            data = source.transport.value()
            source.transport.clear()
            for start in range(0, len(data), piece):
                moved = True
                if not is_aborted(target):
                    target.dataReceived(data[start : start + piece])
        if not moved:
            break
    if is_aborted(one) or is_aborted(two):
        one.connectionLost()
        two.connectionLost()


def is_aborted(stream: PeerStream) -> bool:
    return bool(stream.transport.disconnecting)


def connect(first: Process, second: Process) -> tuple[PeerStream, PeerStream]:
    dialled, accepted = first.dial(second.name), second.accept()
    exchange_bytes(dialled, accepted)
    return dialled, accepted


def frame(message: Message) -> bytes:
    data = encode_message(message)
    return len(data).to_bytes(4, "big") + data


def make_peer_hello(**changes: Any) -> Hello:
    values = {"instance": "z", "incarnation": "z-1", "role": "entry", "purpose": "control"}
    values |= {"service": "", "region": "r", "failure_domain": "d", "sent_at": 0.0}
    return Hello(**(values | {"nonce": bytes(NONCE_BYTES)} | changes))


HELLO = frame(make_peer_hello())


@pytest.mark.parametrize("piece", [1, 3, 7, 64, 1 << 20])
def test_opens_in_pieces(piece: int) -> None:
    first, second = make_pair()
    dialled, accepted = first.dial("b"), second.accept()
    exchange_bytes(dialled, accepted, piece)
    dialled.send(NOTICE)
    accepted.send(NOTICE)
    exchange_bytes(dialled, accepted, piece)
    assert (first.owner.received, second.owner.received) == ([NOTICE], [NOTICE])
    assert (dialled.peer_id, accepted.peer_id) == ("b", "a")


@pytest.mark.parametrize(
    ("first", "second", "opens"),
    [
        ((OLD, ()), (OLD, ()), True),
        ((OLD, (NEW,)), (NEW, (OLD,)), True),
        ((OLD, ()), (NEW, ()), False),
        ((OLD, (NEW,)), (NEW, ()), False),
        ((OLD, ()), (NEW, (OLD,)), False),
    ],
)
def test_keys(first: Any, second: Any, opens: bool) -> None:
    one, two = make_pair(KeyRing.make(*first), KeyRing.make(*second))
    connect(one, two)
    assert bool(one.owner.opened) is opens or bool(two.owner.opened) is opens
    assert one.count("wrong_key") + two.count("wrong_key") == (0 if opens else 1)
    assert len(two.context.registry) == int(opens)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (frame(NOTICE), "garbage"),
        (b"\x00\x00\x00\x04abcd", "garbage"),
        (b"GET / HTTP/1.1\r\n\r\n", "oversized"),
        ((MAX_HELLO_BYTES + 1).to_bytes(4, "big"), "oversized"),
        (frame(Proof(bytes(32))), "no_hello"),
        (HELLO + HELLO, "second_hello"),
        (HELLO + frame(Proof(bytes(32))), "wrong_key"),
        (HELLO + frame(Proof(b"")), "wrong_key"),
        (HELLO + frame(NOTICE), "garbage"),
        (frame(make_peer_hello(nonce=b"")), "no_hello"),
        (frame(make_peer_hello(purpose="unheard")), "unknown_purpose"),
        (frame(make_peer_hello(incarnation="b-1")), "wrong_peer"),
    ],
    ids=range(12),
)
def test_stranger_is_refused(data: bytes, reason: str) -> None:
    process = make_process("b")
    stream = process.accept()
    stream.dataReceived(data + frame(NOTICE))
    assert is_aborted(stream)
    assert process.count(reason) == process.metrics.get_count("streams_refused") == 1
    stream.connectionLost()
    assert (process.owner.opened, process.owner.received) == ([], [])
    assert len(process.context.registry) == 0
    assert not process.clock.getDelayedCalls()


def test_proof_is_bound_to_its_stream() -> None:
    """A proof replayed on another stream, or reflected to its sender, is refused."""
    first, second = make_pair()
    dialled, accepted = first.dial("b"), second.accept()
    hello = dialled.transport.value()
    dialled.transport.clear()
    accepted.dataReceived(hello)
    answer = accepted.transport.value()
    accepted.transport.clear()
    dialled.dataReceived(answer)
    proof = dialled.transport.value()
    replayed = second.accept()
    replayed.dataReceived(hello + proof)
    assert is_aborted(replayed)
    reflected = second.accept()
    reflected.dataReceived(hello)
    reflected.dataReceived(frame(Proof(reflected.transport.value()[-32:])))
    assert is_aborted(reflected)
    assert second.count("wrong_key") == 2


def test_another_instance_is_refused() -> None:
    first, second = make_pair()
    dialled, accepted = first.dial("c"), second.accept()
    exchange_bytes(dialled, accepted)
    assert first.count("wrong_peer") == 1
    assert not second.owner.opened


@pytest.mark.parametrize("data", [b"", HELLO[:20], HELLO], ids=["mute", "trickle", "no proof"])
def test_slow_handshake_ends(data: bytes) -> None:
    process = make_process("b")
    stream = process.accept()
    for number in range(40):
        stream.dataReceived(data[number : number + 1] if len(data) < 21 else data * (number == 0))
        process.clock.advance(0.1)
        if is_aborted(stream):
            break
    assert process.count("slow_handshake") == 1
    assert process.clock.seconds() <= StreamTiming().handshake + 0.1


def test_strangers_are_bounded_and_peers_still_get_in() -> None:
    first, second = make_pair()
    strangers = [second.accept() for _ in range(MAX_UNAUTHENTICATED_STREAMS + 50)]
    assert sum(not is_aborted(stream) for stream in strangers) == MAX_UNAUTHENTICATED_STREAMS
    connect(first, second)
    assert second.owner.opened
    assert second.count("crowded") == 51


@pytest.mark.parametrize("chunk", [1000, 100_000])
def test_unread_stream_is_closed(chunk: int) -> None:
    first, second = make_pair()
    dialled, accepted = connect(first, second)
    dialled.transport.producer.pauseProducing()
    message = AnswerFrame("r", 1, 0, bytes(chunk))
    for _ in range(3 * MAX_BACKLOG_BYTES // chunk):
        dialled.send(message)
    assert len(dialled.transport.value()) < MAX_BACKLOG_BYTES + 2 * chunk + 1000
    assert first.count("backlog") == 1


def test_slow_reader_that_catches_up_is_kept() -> None:
    first, second = make_pair()
    dialled, accepted = connect(first, second)
    message = AnswerFrame("r", 1, 0, bytes(100_000))
    for _ in range(5):
        dialled.transport.producer.pauseProducing()
        for _ in range(MAX_BACKLOG_BYTES // 100_000 - 1):
            dialled.send(message)
        dialled.transport.producer.resumeProducing()
        exchange_bytes(dialled, accepted)
    assert first.count("backlog") == 0


def run_clock(clock: Clock, pairs: list[tuple[PeerStream, PeerStream]], seconds: float) -> None:
    for _ in range(round(seconds * 20)):
        clock.advance(0.05)
        for one, two in pairs:
            exchange_bytes(one, two)


@pytest.mark.parametrize(("interval", "max_heartbeats"), [(0.9, 0), (0.3, 0), (0.0, 11)])
def test_heartbeats_only_where_quiet(interval: float, max_heartbeats: int) -> None:
    first, second = make_pair()
    dialled, accepted = connect(first, second)
    received: list[bytes] = []
    deliver = accepted.frame_received
    accepted.frame_received = lambda data: (received.append(data), deliver(data))
    for step in range(200):
        first.clock.advance(0.05)
        if interval and step % round(interval / 0.05) == 0:
            dialled.send(NOTICE)
        exchange_bytes(dialled, accepted)
    heartbeats = [data for data in received if isinstance(decode_message(data), Heartbeat)]
    assert len(heartbeats) <= max_heartbeats
    assert len(heartbeats) >= max_heartbeats - 2


def test_silence_ends_both_ends() -> None:
    first, second = make_pair()
    dialled, accepted = connect(first, second)
    run_clock(first.clock, [(dialled, accepted)], 10)
    assert not is_aborted(dialled)
    first.clock.pump([0.05] * round(StreamTiming().silence / 0.05 + 2))
    assert is_aborted(dialled) and is_aborted(accepted)
    assert first.metrics.get_count("streams_silent") == 1


def test_slow_frame_is_not_silence() -> None:
    """A stream stays open while a frame arrives, even for longer than the silence timeout."""
    first, second = make_pair()
    dialled, accepted = connect(first, second)
    data = frame(ChunkData("d" * 64, 0, bytes(100_000)))
    for start in range(0, len(data), 1_000):
        accepted.dataReceived(data[start : start + 1_000])
        accepted.transport.clear()
        first.clock.advance(0.1)
    assert not is_aborted(accepted)


@pytest.mark.parametrize("order", [("a", "b"), ("b", "a")])
def test_duplicates_settle_on_one(order: tuple[str, str]) -> None:
    """When both dial at once, both keep the stream that the lower instance id dialled."""
    one, two = make_pair()
    by_name = {"a": (one.dial("b"), two.accept()), "b": (two.dial("a"), one.accept())}
    for name in order:
        exchange_bytes(*by_name[name])
    kept, duplicate = by_name["a"], by_name["b"]
    one.clock.advance(0.01)
    assert is_aborted(duplicate[0]) or is_aborted(duplicate[1])
    assert one.count("duplicate") + two.count("duplicate") >= 1
    assert not any(is_aborted(stream) for stream in kept)
    registry = two.context.registry
    assert registry.has_accepted(Purpose.CONTROL, kept[1].peer_id, "b", 1.0)


def test_refused_dialler_does_not_dial_while_the_other_stream_is_open() -> None:
    """Load pattern: all entries know each other by address only, and dial each other.

    One of 39 entries began 2,534 streams in 27 s, for 38 peers.
    """
    clock = MemoryReactorClock()
    one = Process("a", clock, KeyRing.make(OLD))
    two = Process("b", clock, KeyRing.make(OLD))
    kept = (one.dial("b"), two.accept())
    exchange_bytes(*kept)
    dialer = Dialer(two.context, Purpose.CONTROL, two.owner, Random(1))
    dialer.set_targets({InstanceId("10.0.0.1:1"): Address("10.0.0.1", 1)})
    factory = clock.tcpClients[0][2]
    duplicate = (factory.buildProtocol(None), one.accept())
    duplicate[0].makeConnection(Transport())
    exchange_bytes(*duplicate)
    assert is_aborted(duplicate[0]) or is_aborted(duplicate[1])
    factory.clientConnectionLost(None, Failure(ConnectionDone()))
    run_clock(clock, [kept], 10.0)
    assert len(clock.tcpClients) == 1
    for stream in kept:
        stream.connectionLost()
    clock.pump([0.1] * 25)
    assert len(clock.tcpClients) == 2


def test_key_rotation_keeps_streams() -> None:
    """Accepting both keys, proving the new one and dropping the old one closes no stream."""
    one, two = make_pair()
    pair = connect(one, two)
    for ring in (KeyRing.make(OLD, [NEW]), KeyRing.make(NEW, [OLD]), KeyRing.make(NEW)):
        for process in (one, two):
            process.context.change_keys(ring)
            exchange_bytes(*pair)
    assert not one.owner.closed and not two.owner.closed
    pair[0].send(NOTICE)
    exchange_bytes(*pair)
    assert two.owner.received == [NOTICE]


def test_proof_on_its_way_saves_the_stream() -> None:
    """A proof of the new key that arrives just after the old key was dropped saves the stream."""
    one, two = make_pair(KeyRing.make(OLD, [NEW]), KeyRing.make(NEW, [OLD]))
    pair = connect(one, two)
    one.context.change_keys(KeyRing.make(NEW, [OLD]))
    two.context.change_keys(KeyRing.make(NEW))
    run_clock(two.clock, [pair], StreamTiming().handshake + 1)
    assert not one.owner.closed and not two.owner.closed


def test_dropped_key_closes_its_streams() -> None:
    one, two = make_pair(KeyRing.make(OLD, [NEW]), KeyRing.make(OLD, [NEW]))
    pair = connect(one, two)
    two.context.change_keys(KeyRing.make(NEW))
    run_clock(two.clock, [pair], StreamTiming().handshake - 0.1)
    assert two.count("key_dropped") == 0
    run_clock(two.clock, [pair], 0.2)
    assert two.count("key_dropped") == 1
    assert two.owner.closed == ["proved a key that is no longer accepted"]


@pytest.mark.parametrize("message", [make_peer_hello(), Proof(bytes(32))])
def test_open_stream_refuses_a_second_handshake(message: Message) -> None:
    one, two = make_pair()
    dialled, accepted = connect(one, two)
    accepted.dataReceived(frame(message) + frame(NOTICE))
    assert is_aborted(accepted)
    assert two.owner.received == []


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.booleans(), st.integers(1, 50), st.integers(0, 2**32))
def test_any_bytes_on_a_stream(data: bytes, after_open: bool, piece: int, seed: int) -> None:
    """Arbitrary bytes raise no exception and never open a stream."""
    one, two = make_pair()
    rng = Random(seed)
    target = connect(one, two)[1] if after_open else two.accept()
    if rng.random() < 0.5:
        data = len(data).to_bytes(4, "big") + data
    for start in range(0, len(data), piece):
        target.dataReceived(data[start : start + piece])
    assert len(two.owner.opened) == int(after_open)
    two.clock.advance(StreamTiming().handshake)
    assert after_open or is_aborted(target)


@given(
    st.lists(st.binary(max_size=40), max_size=8),
    st.lists(st.integers(1, 9), min_size=1, max_size=9),
)
def test_frames_from_pieces(frames: list[bytes], sizes: list[int]) -> None:
    data = b"".join(len(item).to_bytes(4, "big") + item for item in frames)
    reader = FrameReader(max_frame_bytes=40)
    found: list[bytes] = []
    step = 0
    while data:
        size = sizes[step % len(sizes)]
        found += reader.feed(data[:size])
        data = data[size:]
        step += 1
    assert found == frames


def test_large_frame_in_small_pieces_is_cheap() -> None:
    """Reading a frame takes time linear in its size, regardless of the number of pieces."""
    size, piece = 8 << 20, 4096
    reader = FrameReader(max_frame_bytes=size)
    started = time.process_time()
    list(reader.feed(size.to_bytes(4, "big")))
    found = [frame for _ in range(size // piece) for frame in reader.feed(bytes(piece))]
    assert [len(frame) for frame in found] == [size]
    assert time.process_time() - started < 0.5
    with pytest.raises(FrameTooLargeError):
        list(reader.feed((size + 1).to_bytes(4, "big")))


@pytest.mark.parametrize(("delay", "most"), [(0.0, 0.1), (1.0, 2.0)])
def test_transit_of_a_stream_opened_on_a_slow_link_is_not_underestimated(delay, most):
    """Table confirmations would look younger, so a revoked key would be accepted for longer."""
    first, second = make_pair()
    dialled, accepted = first.dial(second.name), second.accept()

    def deliver(source: PeerStream, target: PeerStream) -> None:
        data = source.transport.value()
        source.transport.clear()
        target.dataReceived(data)

    for _ in range(2):
        deliver(dialled, accepted)
        first.clock.advance(delay)
        deliver(accepted, dialled)
    sent_at = first.clock.seconds()
    accepted.send(Heartbeat(sent_at=sent_at))
    first.clock.advance(delay)
    deliver(accepted, dialled)
    assert first.owner.opened and not is_aborted(dialled)
    assert delay <= dialled.max_transit_seconds <= most
