"""The handshake of a stream, as a state machine that performs no I/O.

    dialler  ->  Hello(nonce)
    listener ->  Hello(nonce), Proof over "listener" and both Hello frames
    dialler  ->  Proof over "dialler" and both Hello frames

A proof covers both complete `Hello` frames, which binds it to both nonces, both instances and
incarnations, and the purpose. It also covers the sender's role, so that it cannot be reflected to
its sender.
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
    """The end of a connection."""

    DIALLER = b"dialler"
    LISTENER = b"listener"


class Refusal(Enum):
    """The reason for refusing a peer or stream, counted as `streams_refused_REASON`."""

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
    """Send `frame` to the peer."""

    frame: bytes


@dataclass(frozen=True, slots=True)
class OpenStream(Action):
    """Open the stream, since the peer has proved `key`."""

    peer: Hello
    key: bytes


@dataclass(frozen=True, slots=True)
class RefusePeer(Action):
    """Refuse the peer and drop the connection."""

    refusal: Refusal
    text: str


HandshakeAction = SendFrame | OpenStream | RefusePeer


@dataclass(slots=True)
class _HandshakeState:
    """The state of one handshake; the frames are both `Hello` messages as sent on the wire."""

    role: Role
    own_hello: Hello
    keys: KeyRing
    expected: str
    own_frame: bytes = b""
    peer_frame: bytes = b""
    peer: Hello | None = None

    def get_hello_frames(self) -> tuple[bytes, bytes]:
        """Return both `Hello` frames, the dialler's first."""
        if self.role is Role.DIALLER:
            return self.own_frame, self.peer_frame
        return self.peer_frame, self.own_frame

    def make_proof(self) -> SendFrame:
        """Return the action that sends the proof of this end."""
        proof = self.keys.make_proof(self.role.value, *self.get_hello_frames())
        return SendFrame(encode_message(Proof(proof)))

    def find_key(self, proof: bytes) -> bytes | None:
        """Return the accepted key with which the peer made a proof, or None."""
        peer_role = Role.LISTENER if self.role is Role.DIALLER else Role.DIALLER
        return self.keys.find_key(proof, peer_role.value, *self.get_hello_frames())

    def check_peer(self, hello: Hello) -> RefusePeer | None:
        """Return the refusal of an invalid `Hello`, or None if it is valid."""
        if len(hello.nonce) != NONCE_BYTES:
            return RefusePeer(Refusal.NO_HELLO, f"sent a nonce of {len(hello.nonce)} bytes")
        if hello.purpose != self.own_hello.purpose:
            return RefusePeer(Refusal.UNKNOWN_PURPOSE, f"answered for {hello.purpose!r}")
        if hello.incarnation == self.own_hello.incarnation:
            return RefusePeer(Refusal.WRONG_PEER, "is this process itself")
        if self.expected and hello.instance != self.expected:
            text = f"is {hello.instance!r} and not {self.expected!r}"
            return RefusePeer(Refusal.WRONG_PEER, text)
        return None


class _HandshakeInputs(Protocol):
    """The inputs of the state machine."""

    def receive_hello(self, hello: Hello, frame: bytes) -> list[HandshakeAction]:
        """The peer has sent `Hello`."""

    def receive_proof(self, proof: bytes) -> list[HandshakeAction]:
        """The peer has sent a proof."""


def _build_machine() -> Callable[[_HandshakeState], _HandshakeInputs]:
    builder = TypeMachineBuilder(_HandshakeInputs, _HandshakeState)
    awaiting_hello = builder.state("awaiting hello")
    awaiting_proof = builder.state("awaiting proof")

    @awaiting_hello.upon(_HandshakeInputs.receive_hello).to(awaiting_proof)
    def _on_hello(
        inputs: _HandshakeInputs, state: _HandshakeState, hello: Hello, frame: bytes
    ) -> list[HandshakeAction]:
        state.peer = hello
        state.peer_frame = frame
        refusal = state.check_peer(hello)
        if refusal is not None:
            return [refusal]
        if state.role is Role.DIALLER:
            return []
        return [SendFrame(state.own_frame), state.make_proof()]

    @awaiting_hello.upon(_HandshakeInputs.receive_proof).loop()
    def _on_early_proof(
        inputs: _HandshakeInputs, state: _HandshakeState, proof: bytes
    ) -> list[HandshakeAction]:
        return [RefusePeer(Refusal.NO_HELLO, "sent a proof before Hello")]

    @awaiting_proof.upon(_HandshakeInputs.receive_hello).loop()
    def _on_second_hello(
        inputs: _HandshakeInputs, state: _HandshakeState, hello: Hello, frame: bytes
    ) -> list[HandshakeAction]:
        return [RefusePeer(Refusal.SECOND_HELLO, "sent Hello twice")]

    @awaiting_proof.upon(_HandshakeInputs.receive_proof).loop()
    def _on_proof(
        inputs: _HandshakeInputs, state: _HandshakeState, proof: bytes
    ) -> list[HandshakeAction]:
        key = state.find_key(proof)
        if key is None or state.peer is None:
            return [RefusePeer(Refusal.WRONG_KEY, "proved no accepted key")]
        open_stream = OpenStream(state.peer, key)
        if state.role is Role.DIALLER:
            return [state.make_proof(), open_stream]
        return [open_stream]

    return builder.build()


_make_machine = _build_machine()


class Handshake:
    """The handshake of one stream.

    `own_hello` is the `Hello` of this process, with a fresh nonce. `expected` is the instance ID
    that the peer must have, or empty to accept any. On an open stream a peer sends a further proof
    when its key changes.
    """

    def __init__(self, role: Role, own_hello: Hello, keys: KeyRing, expected: str = "") -> None:
        self._state = _HandshakeState(role, own_hello, keys, expected, encode_message(own_hello))
        self._machine = _make_machine(self._state)

    def start(self) -> list[HandshakeAction]:
        """Return the first actions of this end."""
        if self._state.role is Role.DIALLER:
            return [SendFrame(self._state.own_frame)]
        return []

    def receive(self, message: Message, frame: bytes) -> list[HandshakeAction]:
        """Handle a message received before the stream opened, and return the actions."""
        if isinstance(message, Hello):
            return self._machine.receive_hello(message, frame)
        if isinstance(message, Proof):
            return self._machine.receive_proof(message.proof)
        text = f"sent {type(message).__name__} before it was let in"
        return [RefusePeer(Refusal.NO_HELLO, text)]

    def change_keys(self, keys: KeyRing) -> SendFrame:
        """Replace the keys and return the action that sends a proof of the new one."""
        self._state.keys = keys
        return self._state.make_proof()

    def check_proof(self, proof: bytes) -> bytes | None:
        """Return the accepted key that the peer of an open stream proves, or None."""
        return self._state.find_key(proof)
