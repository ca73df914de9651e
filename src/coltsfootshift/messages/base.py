"""Messages that open a stream and keep it alive."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "Age",
    "Heartbeat",
    "Hello",
    "Index",
    "Leaving",
    "Message",
    "Name",
    "Port",
    "Proof",
    "WholeNumber",
]


MAX_WHOLE_NUMBER = 2**63 - 1  # of msgpack's signed 64 bits
MAX_NAME_CHARACTERS = 512

# Ranges of the fields of messages, checked when a message is decoded.
Age = Annotated[float, msgspec.Meta(ge=0)]  # in seconds; infinite if unknown
Index = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


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
