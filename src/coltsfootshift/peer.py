"""One stream to a peer, with its handshake, framing, heartbeats and size limits."""

from __future__ import annotations

import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from coltsfootshift.backlog import Backlog
from coltsfootshift.codec import decode_handshake, decode_message, encode_message
from coltsfootshift.errors import CodecError, InvalidMessageError
from coltsfootshift.frames import PREFIX_BYTES, FrameReader, FrameTooLargeError, make_prefix
from coltsfootshift.handshake import (
    Handshake,
    HandshakeAction,
    OpenStream,
    Refusal,
    RefusePeer,
    Role,
    SendFrame,
)
from coltsfootshift.heartbeats import HeartbeatTimer
from coltsfootshift.ids import Incarnation, InstanceId, Purpose
from coltsfootshift.keys import NONCE_BYTES, KeyRing
from coltsfootshift.messages import Heartbeat, Hello, Leaving, Message, Proof
from coltsfootshift.metrics import Metrics
from coltsfootshift.registry import StreamRegistry
from coltsfootshift.settings import StreamTiming
from coltsfootshift.traffic import TrafficMeter

__all__ = ["PeerStream", "StreamContext", "StreamOwner"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_HELLO_BYTES = 4 * 1024
MAX_BACKLOG_BYTES = 8 * 1024 * 1024
SLOW_HEARTBEAT_PURPOSES = frozenset({Purpose.ENTRIES, Purpose.WORK, Purpose.WEIGHTS})

_CLOSED = Failure(ConnectionDone())


class StreamOwner(ABC):
    """The task that owns a stream; its methods are called in the reactor thread."""

    @abstractmethod
    def stream_opened(self, stream: PeerStream) -> None:
        """Handle a stream whose handshake has completed."""

    @abstractmethod
    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Handle a message other than heartbeats, handshakes and key changes."""

    @abstractmethod
    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Handle the loss of a stream; called once for each opened stream."""

    def message_invalid(self, stream: PeerStream, text: str) -> None:
        """Handle a message of a known kind with an invalid field; closes the stream by default.

        A task whose messages are all repeated or requested again may go on without it.
        """
        stream.refuse(Refusal.GARBAGE, text)


class StreamContext:
    """The identity, clock, timing, metrics and keys that all streams of a process share.

    `source` is the IP address from which this process dials, or empty to let the system choose.
    """

    def __init__(
        self,
        reactor: Any,
        timing: StreamTiming,
        metrics: Metrics,
        make_hello: Callable[[Purpose], Hello],
        keys: KeyRing,
        source: str = "",
    ) -> None:
        self.reactor = reactor
        self.source = source
        self.timing = timing
        self.metrics = metrics
        self.make_hello = make_hello
        self.keys = keys
        self.registry: StreamRegistry[PeerStream] = StreamRegistry()
        self.traffic = TrafficMeter(metrics)

    def change_keys(self, keys: KeyRing) -> None:
        """Replace the keys.

        Open streams prove the new key. Those whose peer proved a dropped key are closed.
        """
        self.keys = keys
        for stream in self.registry.list_open():
            stream.change_keys(keys)


class PeerStream(Protocol):
    """One connection to a peer.

    Both ends must send `Hello` and prove a key, within the handshake timeout and in small frames,
    before other messages are accepted. An open stream sends a heartbeat in each interval without
    other messages. It is aborted if nothing arrives within the silence timeout, since a device on
    the path (such as a firewall or NAT) may have dropped its state of the connection, or if the
    peer does not read what is sent.
    """

    transport: Any

    def __init__(
        self,
        context: StreamContext,
        find_owner: Callable[[Hello], StreamOwner | None],
        purpose: Purpose | None = None,
        expected: str = "",
    ) -> None:
        self.context = context
        self.peer: Hello | None = None
        self.purpose = purpose
        self.dialled = purpose is not None
        self.peer_key = b""
        self.peer_leaving = False
        self.peer_is_near = False
        self._expected_instance = expected
        self._find_owner = find_owner
        self._owner: StreamOwner | None = None
        self._handshake: Handshake | None = None
        self._handshake_started_at = 0.0
        self._handshake_seconds = 0.0
        self._timer: Any = None
        self._heartbeat_timer = HeartbeatTimer(context.timing, False, 0.0)
        # Who the peer says it is, before it has proved anything.
        self.claimed_instance = InstanceId("")
        self._ended = False
        self._reason = ""
        self._backlog = Backlog()
        self._frames = FrameReader(MAX_HELLO_BYTES)

    def __repr__(self) -> str:
        return f"PeerStream(peer={self.peer_id!r}, purpose={self.purpose})"

    @property
    def peer_id(self) -> InstanceId:
        """The instance ID of the peer, or empty before the handshake has completed."""
        return InstanceId(self.peer.instance if self.peer else "")

    @property
    def peer_incarnation(self) -> Incarnation:
        """The incarnation of the peer process."""
        return Incarnation(self.peer.incarnation if self.peer else "")

    @property
    def peer_role(self) -> str:
        """The role of the peer process."""
        return self.peer.role if self.peer else ""

    @property
    def overdue_seconds(self) -> float:
        """The time for which an expected message or heartbeat has not arrived, in seconds."""
        return self._heartbeat_timer.compute_lateness(self.context.reactor.seconds())

    @property
    def transit_delay(self) -> float:
        """The transit time of the latest message above the minimum of this stream, in seconds."""
        return self._heartbeat_timer.transit_delay

    def measure_transit_delay(self, sent_at: float) -> float:
        """Return how much longer a message took than the fastest one, in seconds.

        `sent_at` is when it was sent, in seconds on the peer's clock.
        """
        self._heartbeat_timer.update_transit_delay(sent_at, self.context.reactor.seconds())
        return self._heartbeat_timer.transit_delay

    @property
    def max_transit_seconds(self) -> float:
        """An upper bound of the transit time of the latest message, in seconds.

        The smallest transit time is unknown, but was not longer than the handshake.
        """
        return self.transit_delay + self._handshake_seconds

    def set_needed(self, needed: bool) -> None:
        """Set whether something is awaited on this stream.

        While it is, both ends send heartbeats at the short interval.
        """
        self._heartbeat_timer.set_needed(needed, self.context.reactor.seconds())
        if needed:
            self._schedule_heartbeat()

    def is_handshaking(self) -> bool:
        """Return whether the handshake is still in progress."""
        return self._owner is None and not self._ended

    def connectionMade(self) -> None:
        """Start the handshake timer, and the handshake itself if this end has dialled."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self._backlog, True)
        self._start_timer(self.context.timing.handshake, self._refuse_slow_handshake)
        if self.purpose is not None:
            self._handshake = self._start_handshake(self.purpose)

    def send(self, message: Message) -> None:
        """Send a message; does nothing if the stream is closed."""
        if self._ended or not self.connected:
            return
        is_traffic = not isinstance(message, Heartbeat)
        self._heartbeat_timer.record_sent(self.context.reactor.seconds(), is_traffic)
        frame = encode_message(message)
        if self.peer is not None:
            kind = str(message.__struct_config__.tag)
            self.context.traffic.record_sent(
                self.peer.region, self.peer_is_near, kind, len(frame) + PREFIX_BYTES
            )
        self._send_frame(frame)
        if is_traffic:
            self._schedule_heartbeat()

    def dataReceived(self, data: bytes) -> None:
        """Split the data into frames; an incomplete frame also shows that the peer is alive."""
        if self._owner is not None:
            self._heartbeat_timer.record_received(self.context.reactor.seconds(), is_traffic=False)
        try:
            for frame in self._frames.feed(data):
                if self._ended:
                    return
                self.frame_received(frame)
        except FrameTooLargeError as error:
            self.refuse(Refusal.OVERSIZED, str(error))

    def frame_received(self, frame: bytes) -> None:
        """Decode a frame and handle its message."""
        now = self.context.reactor.seconds()
        self.context.metrics.count("stream_bytes_received", len(frame) + PREFIX_BYTES)
        decode = decode_handshake if self._owner is None else decode_message
        try:
            message = decode(frame)
        except InvalidMessageError as error:
            self.context.metrics.count("messages_invalid")
            if self._owner is None:
                self.refuse(Refusal.GARBAGE, str(error))
            else:
                self._owner.message_invalid(self, str(error))
            return
        except CodecError as error:
            self.refuse(Refusal.GARBAGE, str(error))
            return
        sent_at = getattr(message, "sent_at", None)
        if sent_at is not None:
            self._heartbeat_timer.update_transit_delay(sent_at, now)
        if self._owner is None:
            self._continue_handshake(message, frame)
            return
        if isinstance(message, Heartbeat):
            self._heartbeat_timer.record_heartbeat(message, now)
            self._schedule_heartbeat()
            return
        self._heartbeat_timer.record_received(now, is_traffic=True)
        self._schedule_heartbeat()
        self._handle_message(self._owner, message)

    def connectionLost(self, reason: Failure = _CLOSED) -> None:
        """Report the loss to the owner, once."""
        self.connected = 0
        self._mark_ended()
        self.context.registry.remove(self)
        if self._owner is None:
            return
        owner, self._owner = self._owner, None
        owner.stream_closed(self, self._reason or reason.getErrorMessage())

    def refuse(self, refusal: Refusal, text: str) -> None:
        """Count the refusal by its reason, then drop the connection."""
        if self._ended:
            return
        self.context.metrics.count("streams_refused")
        self.context.metrics.count(f"streams_refused_{refusal.value}")
        self.abort(text)

    def abort(self, reason: str) -> None:
        """Drop the connection without flushing the send buffer."""
        self._reason = self._reason or reason
        self._mark_ended()
        self.transport.abortConnection()

    def close(self) -> None:
        """Close the connection after flushing the send buffer."""
        self._ended = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def change_keys(self, keys: KeyRing) -> None:
        """Prove the new key to the peer, and close the stream if the peer's key is not accepted.

        The peer has the handshake timeout to prove another key, since its proof may be in flight.
        """
        if self._handshake is not None:
            self._send_frame(self._handshake.change_keys(keys).frame)
        if self.peer_key not in keys.accepted:
            self.context.reactor.callLater(self.context.timing.handshake, self._check_peer_key)

    def _start_handshake(self, purpose: Purpose) -> Handshake:
        self._handshake_started_at = self.context.reactor.seconds()
        nonce = secrets.token_bytes(NONCE_BYTES)
        own_hello = msgspec.structs.replace(self.context.make_hello(purpose), nonce=nonce)
        role = Role.DIALLER if self.dialled else Role.LISTENER
        handshake = Handshake(role, own_hello, self.context.keys, self._expected_instance)
        self._perform(handshake.start())
        return handshake

    def _continue_handshake(self, message: Message, frame: bytes) -> None:
        if isinstance(message, Hello):
            self.claimed_instance = InstanceId(message.instance)
        if self._handshake is None:
            if not isinstance(message, Hello):
                self.refuse(Refusal.NO_HELLO, f"sent {type(message).__name__} before Hello")
                return
            if self._find_owner(message) is None:
                text = f"asked for the unknown purpose {message.purpose!r}"
                self.refuse(Refusal.UNKNOWN_PURPOSE, text)
                return
            self.purpose = Purpose(message.purpose)
            self._handshake = self._start_handshake(self.purpose)
        self._perform(self._handshake.receive(message, frame))

    def _perform(self, actions: list[HandshakeAction]) -> None:
        for action in actions:
            if isinstance(action, SendFrame):
                self._send_frame(action.frame)
            elif isinstance(action, RefusePeer):
                self.refuse(action.refusal, action.text)
            elif isinstance(action, OpenStream):
                self._open(action)

    def _open(self, action: OpenStream) -> None:
        self.peer = action.peer
        self.peer_key = action.key
        assert self.purpose is not None
        own_hello = self.context.make_hello(self.purpose)
        self.peer_is_near = action.peer.region == own_hello.region
        if self.context.registry.is_redundant(self, own_hello, self.context.timing.heartbeat):
            self.refuse(Refusal.DUPLICATE, "another stream to the same process is open")
            return
        self._frames.max_frame_bytes = MAX_FRAME_BYTES
        self._owner = self._find_owner(action.peer)
        assert self._owner is not None
        self.context.registry.add(self)
        self.context.metrics.count("streams_opened")
        now = self.context.reactor.seconds()
        self._handshake_seconds = now - self._handshake_started_at
        self._heartbeat_timer = self._make_heartbeat_timer(now)
        self._cancel_timer()
        self._schedule_heartbeat()
        self._owner.stream_opened(self)
        for duplicate in self.context.registry.list_redundant(self, own_hello):
            duplicate.refuse(Refusal.DUPLICATE, "another stream to the same process has opened")

    def _handle_message(self, owner: StreamOwner, message: Message) -> None:
        if isinstance(message, Hello):
            self.refuse(Refusal.SECOND_HELLO, "sent Hello on an open stream")
            return
        if isinstance(message, Proof):
            self._handle_proof(message)
            return
        if isinstance(message, Leaving):
            self.peer_leaving = True
        owner.stream_received(self, message)

    def _check_peer_key(self) -> None:
        if self.peer_key not in self.context.keys.accepted:
            self.refuse(Refusal.KEY_DROPPED, "proved a key that is no longer accepted")

    def _handle_proof(self, message: Proof) -> None:
        assert self._handshake is not None
        key = self._handshake.check_proof(message.proof)
        if key is None:
            self.refuse(Refusal.WRONG_KEY, "changed to a key that is not accepted")
            return
        self.peer_key = key

    def _send_frame(self, frame: bytes) -> None:
        if self._backlog.size > MAX_BACKLOG_BYTES:
            self.refuse(Refusal.BACKLOG, f"left {self._backlog.size} bytes unread")
            return
        self.context.metrics.count("stream_messages_sent")
        self.context.metrics.count("stream_bytes_sent", len(frame) + PREFIX_BYTES)
        self.transport.writeSequence([make_prefix(frame), frame])
        self._backlog.record_sent(len(frame) + PREFIX_BYTES)

    def _make_heartbeat_timer(self, now: float) -> HeartbeatTimer:
        """Return the heartbeat state of the open stream, with the transit time of the handshake."""
        timer = HeartbeatTimer(self.context.timing, self.purpose in SLOW_HEARTBEAT_PURPOSES, now)
        assert self.peer is not None
        timer.update_transit_delay(self.peer.sent_at, now)
        return timer

    def _schedule_heartbeat(self) -> None:
        """Start the timer for the next due heartbeat or for the silence timeout of the peer."""
        if self._ended or self._owner is None:
            return
        wait = self._heartbeat_timer.compute_wait(self.context.reactor.seconds())
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self.context.reactor.seconds() + wait:
                return
            self._timer.cancel()
        self._start_timer(wait, self._check_heartbeat)

    def _check_heartbeat(self) -> None:
        """Abort the stream if the peer is silent; otherwise send a heartbeat if one is due."""
        now = self.context.reactor.seconds()
        if self._heartbeat_timer.is_overdue(now):
            self.context.metrics.count("streams_silent")
            self.abort(f"was silent for {now - self._heartbeat_timer.received_at:.1f} s")
            return
        if self._heartbeat_timer.is_heartbeat_due(now):
            self.send(self._heartbeat_timer.make_heartbeat(now))
        self._schedule_heartbeat()

    def _refuse_slow_handshake(self) -> None:
        self.refuse(Refusal.SLOW_HANDSHAKE, "did not finish the handshake in time")

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        if not self._ended:
            self._timer = self.context.reactor.callLater(seconds, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _mark_ended(self) -> None:
        self._ended = True
        self._cancel_timer()
