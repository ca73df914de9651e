"""A peer that makes the handshake with a process and then sends what a test wants."""

from __future__ import annotations

import secrets
import socket
import time

import msgpack

from coltsfootshift.codec import decode_message
from coltsfootshift.frames import FrameReader, make_prefix
from coltsfootshift.gateway.nodes import PLACEHOLDER_SECRET
from coltsfootshift.handshake import Handshake, OpenStream, Role, SendFrame
from coltsfootshift.keys import NONCE_BYTES, KeyRing
from coltsfootshift.messages import Hello

MAX_FRAME_BYTES = 16 * 1024 * 1024


class RawPeer:
    """A blocking stream to the peer port of a process."""

    def __init__(self, host: str, port: int, name: str, role="entry", purpose="entries") -> None:
        self._socket = socket.create_connection((host, port), 5.0)
        self._frames = FrameReader(MAX_FRAME_BYTES)
        self._received: list[bytes] = []
        hello = Hello(
            name,
            secrets.token_hex(8),
            role,
            purpose,
            "",
            "north",
            "a",
            time.monotonic(),
            secrets.token_bytes(NONCE_BYTES),
        )
        handshake = Handshake(Role.DIALLER, hello, KeyRing.make(PLACEHOLDER_SECRET))
        actions = handshake.start()
        while not any(isinstance(action, OpenStream) for action in actions):
            self._perform(actions)
            frame = self.receive()
            actions = handshake.receive(decode_message(frame), frame)
        self._perform(actions)

    def send(self, content: list) -> None:
        """Send a frame with any content."""
        frame = msgpack.packb(content)
        self._socket.sendall(make_prefix(frame) + frame)

    def receive(self) -> bytes:
        """Return the next frame; raises `ConnectionError` if the process has closed the stream."""
        while not self._received:
            data = self._socket.recv(65536)
            if not data:
                raise ConnectionError("the process has closed the stream")
            self._received += self._frames.feed(data)
        return self._received.pop(0)

    def close(self) -> None:
        self._socket.close()

    def _perform(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendFrame):
                self._socket.sendall(make_prefix(action.frame) + action.frame)
