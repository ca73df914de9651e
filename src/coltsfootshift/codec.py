"""Turns typed messages into msgpack frames and back.

Whatever the bytes, a frame gives a message or a `CodecError`. The number of items that a frame
may announce is bounded by its length, so that a few bytes cannot make the reader set aside much.
"""

from __future__ import annotations

from typing import Any

import msgpack
import msgspec

from coltsfootshift.errors import CodecError
from coltsfootshift.messages import Hello, Message, Proof

__all__ = ["decode_handshake", "decode_message", "encode_message"]

MAX_ITEMS = 65_536
MAX_HELLO_ITEMS = 16
MAX_MAP_ITEMS = 0
MAX_EXTENSION_BYTES = 0

_Kinds = dict[Any, type[Message]]


def _list_by_tag(kinds: list[type[Message]]) -> _Kinds:
    """Return the kinds by tag; converting to one known kind needs no table of all for each call."""
    return {kind.__struct_config__.tag: kind for kind in kinds}


_ANY_MESSAGE = _list_by_tag(Message.__subclasses__())
_ANY_HELLO = _list_by_tag([Hello, Proof])


def encode_message(message: Message) -> bytes:
    """Return the msgpack frame of a message.

    >>> from coltsfootshift import messages
    >>> decode_message(encode_message(messages.Heartbeat(sent_at=1.5)))
    Heartbeat(sent_at=1.5, next_in=0, needed=False)
    """
    return msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)), use_bin_type=True)


def decode_message(frame: bytes) -> Message:
    """Return the message of a frame; raises `CodecError` where the frame holds none."""
    return _decode(frame, _ANY_MESSAGE, MAX_ITEMS)


def decode_handshake(frame: bytes) -> Message:
    """Return the message of a frame from a peer that is not let in yet.

    Only `Hello` and `Proof` are taken; raises `CodecError` for all else.
    """
    return _decode(frame, _ANY_HELLO, MAX_HELLO_ITEMS)


def _decode(frame: bytes, kinds: _Kinds, most_items: int) -> Message:
    try:
        content = msgpack.unpackb(
            frame,
            max_array_len=min(most_items, len(frame)),
            max_map_len=MAX_MAP_ITEMS,
            max_ext_len=MAX_EXTENSION_BYTES,
            max_str_len=len(frame),
            max_bin_len=len(frame),
        )
        return msgspec.convert(content, kinds[content[0]])
    except (ValueError, TypeError, LookupError, RecursionError, msgpack.UnpackException) as error:
        raise CodecError(f"frame of {len(frame)} bytes holds no message: {error}") from error
