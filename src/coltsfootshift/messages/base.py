"""Messages that open a stream and keep it alive."""

from __future__ import annotations

import msgspec

__all__ = [
    "Heartbeat",
    "Hello",
    "Leaving",
    "Message",
    "Proof",
]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages between processes."""


class Hello(Message, frozen=True, array_like=True, tag="hello"):
    """First message in each direction: identifies the sender and the purpose of the stream."""

    instance: str
    incarnation: str
    role: str
    purpose: str
    service: str
    region: str
    failure_domain: str
    sent_at: float
    nonce: bytes = b""


class Proof(Message, frozen=True, array_like=True, tag="proof"):
    """Proves that the sender has a key; computed over both `Hello` messages of the stream."""

    proof: bytes


class Heartbeat(Message, frozen=True, array_like=True, tag="hb"):
    """Keeps an idle stream alive; `sent_at` is the sender's monotonic clock in seconds.

    The sender sends its next message within `next_in` milliseconds. `needed` is true if the sender
    awaits messages on this stream; the receiver then keeps the short heartbeat interval too.
    """

    sent_at: float
    next_in: int = 0
    needed: bool = False


class Leaving(Message, frozen=True, array_like=True, tag="leave"):
    """The sender is draining: it accepts no new work and finishes what is in flight."""
