"""One stream to a peer: handshake, frames, heartbeats, bounds."""

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
from coltsfootshift.errors import CodecError
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

__all__ = ["PeerStream", "StreamContext", "StreamOwner"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_HELLO_BYTES = 4 * 1024
MAX_BACKLOG_BYTES = 8 * 1024 * 1024
SLOWING = frozenset({Purpose.ENTRIES, Purpose.WORK, Purpose.WEIGHTS})

_CLOSED = Failure(ConnectionDone())


class StreamOwner(ABC):
    """The task that a stream belongs to; called in the reactor's thread."""

    @abstractmethod
    def stream_opened(self, stream: PeerStream) -> None:
        """The peer has introduced itself and proved a key."""

    @abstractmethod
    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """A message other than those that keep the stream has arrived."""

    @abstractmethod
    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """The stream is gone; called once for each stream that was opened."""


class StreamContext:
    """What all streams of one process share: identity, clock, timing, counters and keys.

    `source` is the IP number that this process dials from, empty where the system chooses it.
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

    def change_keys(self, keys: KeyRing) -> None:
        """Take new keys; open streams prove the new one, or close where theirs is dropped."""
        self.keys = keys
        for stream in self.registry.list_open():
            stream.change_keys(keys)


class PeerStream(Protocol):
    """One connection to a peer.

    Both sides introduce themselves and prove a key before anything else is taken, within the
    handshake time and with small frames. An open stream has a heartbeat in every quiet interval.
    One on which nothing arrives for the silence time is aborted, since something between the two
    ends may have lost track of it; so is one whose peer does not read what is sent.
    `transit_delay` tells how much later than the quickest message of this stream the latest one
    arrived, in seconds.
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
        self._expected = expected
        self._find_owner = find_owner
        self._owner: StreamOwner | None = None
        self._handshake: Handshake | None = None
        self._timer: Any = None
        self._heartbeat_timer = HeartbeatTimer(context.timing, False, 0.0)
        self._ended = False
        self._reason = ""
        self._backlog = Backlog()
        self._frames = FrameReader(MAX_HELLO_BYTES)

    def __repr__(self) -> str:
        return f"PeerStream(peer={self.peer_id!r}, purpose={self.purpose})"

    @property
    def peer_id(self) -> InstanceId:
        """The instance at the other end, empty before it has introduced itself."""
        return InstanceId(self.peer.instance if self.peer else "")

    @property
    def peer_incarnation(self) -> Incarnation:
        """The incarnation of the process at the other end."""
        return Incarnation(self.peer.incarnation if self.peer else "")

    @property
    def peer_role(self) -> str:
        """The role of the process at the other end."""
        return self.peer.role if self.peer else ""

    @property
    def quiet_seconds(self) -> float:
        """For how long nothing has arrived that was to be expected, in seconds."""
        return self._heartbeat_timer.compute_lateness(self.context.reactor.seconds())

    @property
    def transit_delay(self) -> float:
        """How much later than the quickest message the latest one arrived, in seconds."""
        return self._heartbeat_timer.transit_delay

    def set_needed(self, needed: bool) -> None:
        """Keep quick heartbeats in both directions while something is awaited on this stream."""
        self._heartbeat_timer.set_needed(needed, self.context.reactor.seconds())
        if needed:
            self._beat_soon()

    def is_waiting(self) -> bool:
        """Return whether the peer has yet to prove a key."""
        return self._owner is None and not self._ended

    def connectionMade(self) -> None:
        """Introduce this process where it dialled; bound the time of the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self._backlog, True)
        self._wake_after(self.context.timing.handshake, self._end_slow)
        if self.purpose is not None:
            self._handshake = self._start_handshake(self.purpose)

    def send(self, message: Message) -> None:
        """Send a message; one sent to a closed stream is dropped."""
        if self._ended or not self.connected:
            return
        is_traffic = not isinstance(message, Heartbeat)
        self._heartbeat_timer.record_sent(self.context.reactor.seconds(), is_traffic)
        self._send_frame(encode_message(message))
        if is_traffic:
            self._beat_soon()

    def dataReceived(self, data: bytes) -> None:
        """Cut what arrived into frames; bytes of an unfinished one show too that the peer is up."""
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
        """Decode a frame and hand it on."""
        now = self.context.reactor.seconds()
        self.context.metrics.count("stream_bytes_received", len(frame) + PREFIX_BYTES)
        decode = decode_handshake if self._owner is None else decode_message
        try:
            message = decode(frame)
        except CodecError as error:
            self.refuse(Refusal.GARBAGE, str(error))
            return
        sent_at = getattr(message, "sent_at", None)
        if sent_at is not None:
            self._heartbeat_timer.update_transit_delay(sent_at, now)
        if self._owner is None:
            self._shake(message, frame)
            return
        if isinstance(message, Heartbeat):
            self._heartbeat_timer.record_heartbeat(message, now)
            self._beat_soon()
            return
        self._heartbeat_timer.record_received(now, is_traffic=True)
        self._beat_soon()
        self._take(self._owner, message)

    def connectionLost(self, reason: Failure = _CLOSED) -> None:
        """Tell the owner once."""
        self.connected = 0
        self._end()
        self.context.registry.remove(self)
        if self._owner is None:
            return
        owner, self._owner = self._owner, None
        owner.stream_closed(self, self._reason or reason.getErrorMessage())

    def refuse(self, refusal: Refusal, text: str) -> None:
        """Count why the peer is not served, then drop the connection."""
        if self._ended:
            return
        self.context.metrics.count("streams_refused")
        self.context.metrics.count(f"streams_refused_{refusal.value}")
        self.abort(text)

    def abort(self, reason: str) -> None:
        """Drop the connection without flushing."""
        self._reason = self._reason or reason
        self._end()
        self.transport.abortConnection()

    def close(self) -> None:
        """Flush what was sent, then close."""
        self._ended = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def change_keys(self, keys: KeyRing) -> None:
        """Prove the new key to the peer; close where the peer's key is dropped.

        A peer has the time of a handshake to prove another, since its proof may be on its way.
        """
        if self._handshake is not None:
            self._send_frame(self._handshake.change_keys(keys).frame)
        if self.peer_key not in keys.accepted:
            self.context.reactor.callLater(self.context.timing.handshake, self._check_key)

    def _start_handshake(self, purpose: Purpose) -> Handshake:
        nonce = secrets.token_bytes(NONCE_BYTES)
        own = msgspec.structs.replace(self.context.make_hello(purpose), nonce=nonce)
        role = Role.DIALLER if self.dialled else Role.LISTENER
        handshake = Handshake(role, own, self.context.keys, self._expected)
        self._perform(handshake.start())
        return handshake

    def _shake(self, message: Message, frame: bytes) -> None:
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
        own = self.context.make_hello(self.purpose)
        if self.context.registry.is_spare(self, own, self.context.timing.heartbeat):
            self.refuse(Refusal.DUPLICATE, "another stream to the same process is open")
            return
        self._frames.max_frame_bytes = MAX_FRAME_BYTES
        self._owner = self._find_owner(action.peer)
        assert self._owner is not None
        self.context.registry.add(self)
        self.context.metrics.count("streams_opened")
        now = self.context.reactor.seconds()
        self._heartbeat_timer = self._make_heartbeat_timer(now)
        self._cancel_timer()
        self._beat_soon()
        self._owner.stream_opened(self)
        for spare in self.context.registry.list_spares(self, own):
            spare.refuse(Refusal.DUPLICATE, "another stream to the same process has opened")

    def _take(self, owner: StreamOwner, message: Message) -> None:
        if isinstance(message, Hello):
            self.refuse(Refusal.SECOND_HELLO, "sent Hello on an open stream")
            return
        if isinstance(message, Proof):
            self._take_proof(message)
            return
        if isinstance(message, Leaving):
            self.peer_leaving = True
        owner.stream_received(self, message)

    def _check_key(self) -> None:
        if self.peer_key not in self.context.keys.accepted:
            self.refuse(Refusal.KEY_DROPPED, "proved a key that is no longer accepted")

    def _take_proof(self, message: Proof) -> None:
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
        """Return the timer of the open stream, with the transit delay of the handshake."""
        timer = HeartbeatTimer(self.context.timing, self.purpose in SLOWING, now)
        assert self.peer is not None
        timer.update_transit_delay(self.peer.sent_at, now)
        return timer

    def _beat_soon(self) -> None:
        """Wake when the next heartbeat is due, or when the peer is overdue."""
        if self._ended or self._owner is None:
            return
        wait = self._heartbeat_timer.compute_wait(self.context.reactor.seconds())
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self.context.reactor.seconds() + wait:
                return
            self._timer.cancel()
        self._wake_after(wait, self._beat)

    def _beat(self) -> None:
        """Send a heartbeat where nothing else was sent; come back when the next may be due."""
        now = self.context.reactor.seconds()
        if self._heartbeat_timer.is_overdue(now):
            self.context.metrics.count("streams_silent")
            self.abort(f"was silent for {now - self._heartbeat_timer.received_at:.1f} s")
            return
        if self._heartbeat_timer.is_heartbeat_due(now):
            self.send(self._heartbeat_timer.make_heartbeat(now))
        self._beat_soon()

    def _end_slow(self) -> None:
        self.refuse(Refusal.SLOW_HANDSHAKE, "did not finish the handshake in time")

    def _wake_after(self, seconds: float, call: Callable[[], None]) -> None:
        if not self._ended:
            self._timer = self.context.reactor.callLater(seconds, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _end(self) -> None:
        self._ended = True
        self._cancel_timer()
