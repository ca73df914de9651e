"""The handshake of a stream as a decision object: two introductions, two proofs, then it is open.

    dialler  ->  Hello(nonce)
    listener ->  Hello(nonce), Proof over "listener" and both introductions
    dialler  ->  Proof over "dialler" and both introductions

A proof covers the whole frames of both introductions, so that it is bound to both nonces, both
instances and incarnations, and to the purpose; the role keeps a proof from being sent back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from coltsfootshift.codec import encode_message
from coltsfootshift.controllers.base import Action
from coltsfootshift.keys import NONCE_BYTES, KeyRing
from coltsfootshift.messages import Hello, Message, Proof

__all__ = ["Handshake", "OpenStream", "Refusal", "RefusePeer", "Role", "SendFrame"]


class Role(Enum):
    """Which end of a connection this process is."""

    DIALLER = b"dialler"
    LISTENER = b"listener"


class Refusal(Enum):
    """Why a peer or a stream was refused; each has a counter `streams_refused_REASON`."""

    GARBAGE = "garbage"
    OVERSIZED = "oversized"
    NO_HELLO = "no_hello"
    SECOND_HELLO = "second_hello"
    WRONG_KEY = "wrong_key"
    WRONG_PEER = "wrong_peer"
    UNKNOWN_PURPOSE = "unknown_purpose"
    SLOW_HANDSHAKE = "slow_handshake"
    CROWDED = "crowded"
    DUPLICATE = "duplicate"
    KEY_DROPPED = "key_dropped"
    BACKLOG = "backlog"


@dataclass(frozen=True, slots=True)
class SendFrame(Action):
    """Send this frame to the peer."""

    frame: bytes


@dataclass(frozen=True, slots=True)
class OpenStream(Action):
    """The peer has proved a key; `key` is the one."""

    peer: Hello
    key: bytes


@dataclass(frozen=True, slots=True)
class RefusePeer(Action):
    """Drop the connection."""

    refusal: Refusal
    text: str


HandshakeAction = SendFrame | OpenStream | RefusePeer


@dataclass(slots=True)
class _Exchange:
    """What one handshake knows: both introductions as they crossed the wire."""

    role: Role
    own: Hello
    keys: KeyRing
    expected: str
    own_frame: bytes = b""
    peer_frame: bytes = b""
    peer: Hello | None = None

    def order_frames(self) -> tuple[bytes, bytes]:
        """Return both introductions, the dialler's first."""
        if self.role is Role.DIALLER:
            return self.own_frame, self.peer_frame
        return self.peer_frame, self.own_frame

    def make_proof(self) -> SendFrame:
        """Return the proof of this end."""
        proof = self.keys.make_proof(self.role.value, *self.order_frames())
        return SendFrame(encode_message(Proof(proof)))

    def find_key(self, proof: bytes) -> bytes | None:
        """Return the key that the peer has proved."""
        other = Role.LISTENER if self.role is Role.DIALLER else Role.DIALLER
        return self.keys.find_key(proof, other.value, *self.order_frames())

    def check_peer(self, hello: Hello) -> RefusePeer | None:
        """Return why an introduction is refused, None where it is not."""
        if len(hello.nonce) != NONCE_BYTES:
            return RefusePeer(Refusal.NO_HELLO, f"sent a nonce of {len(hello.nonce)} bytes")
        if hello.purpose != self.own.purpose:
            return RefusePeer(Refusal.UNKNOWN_PURPOSE, f"answered for {hello.purpose!r}")
        if hello.incarnation == self.own.incarnation:
            return RefusePeer(Refusal.WRONG_PEER, "is this process itself")
        if self.expected and hello.instance != self.expected:
            text = f"is {hello.instance!r} and not {self.expected!r}"
            return RefusePeer(Refusal.WRONG_PEER, text)
        return None


class _Steps(Protocol):
    """Inputs of the handshake."""

    def take_hello(self, hello: Hello, frame: bytes) -> list[HandshakeAction]:
        """The peer has introduced itself."""

    def take_proof(self, proof: bytes) -> list[HandshakeAction]:
        """The peer has sent a proof."""


def _build_machine() -> Callable[[_Exchange], _Steps]:
    builder = TypeMachineBuilder(_Steps, _Exchange)
    awaiting_hello = builder.state("awaiting hello")
    awaiting_proof = builder.state("awaiting proof")

    @awaiting_hello.upon(_Steps.take_hello).to(awaiting_proof)
    def _hello(
        steps: _Steps, exchange: _Exchange, hello: Hello, frame: bytes
    ) -> list[HandshakeAction]:
        exchange.peer = hello
        exchange.peer_frame = frame
        refused = exchange.check_peer(hello)
        if refused is not None:
            return [refused]
        if exchange.role is Role.DIALLER:
            return []
        return [SendFrame(exchange.own_frame), exchange.make_proof()]

    @awaiting_hello.upon(_Steps.take_proof).loop()
    def _early(steps: _Steps, exchange: _Exchange, proof: bytes) -> list[HandshakeAction]:
        return [RefusePeer(Refusal.NO_HELLO, "sent a proof before Hello")]

    @awaiting_proof.upon(_Steps.take_hello).loop()
    def _again(
        steps: _Steps, exchange: _Exchange, hello: Hello, frame: bytes
    ) -> list[HandshakeAction]:
        return [RefusePeer(Refusal.SECOND_HELLO, "sent Hello twice")]

    @awaiting_proof.upon(_Steps.take_proof).loop()
    def _proof(steps: _Steps, exchange: _Exchange, proof: bytes) -> list[HandshakeAction]:
        key = exchange.find_key(proof)
        if key is None or exchange.peer is None:
            return [RefusePeer(Refusal.WRONG_KEY, "proved no accepted key")]
        opened = OpenStream(exchange.peer, key)
        if exchange.role is Role.DIALLER:
            return [exchange.make_proof(), opened]
        return [opened]

    return builder.build()


_make_steps = _build_machine()


class Handshake:
    """One handshake; `own` carries a fresh nonce, `expected` the wanted peer, empty for any.

    On an open stream a further proof shows that the peer has changed its key.
    """

    def __init__(self, role: Role, own: Hello, keys: KeyRing, expected: str = "") -> None:
        self._exchange = _Exchange(role, own, keys, expected, encode_message(own))
        self._steps = _make_steps(self._exchange)

    def start(self) -> list[HandshakeAction]:
        """Return the first actions of this end."""
        if self._exchange.role is Role.DIALLER:
            return [SendFrame(self._exchange.own_frame)]
        return []

    def receive(self, message: Message, frame: bytes) -> list[HandshakeAction]:
        """Take a message that came before the stream was open, and its frame."""
        if isinstance(message, Hello):
            return self._steps.take_hello(message, frame)
        if isinstance(message, Proof):
            return self._steps.take_proof(message.proof)
        text = f"sent {type(message).__name__} before it was let in"
        return [RefusePeer(Refusal.NO_HELLO, text)]

    def change_keys(self, keys: KeyRing) -> SendFrame:
        """Take new keys and return the proof that tells the peer."""
        self._exchange.keys = keys
        return self._exchange.make_proof()

    def check_proof(self, proof: bytes) -> bytes | None:
        """Return the key that an open stream's peer proves anew, None where none is accepted."""
        return self._exchange.find_key(proof)
