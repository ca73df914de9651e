"""Encodes typed messages as msgpack frames and decodes them.

Decoding any bytes returns a message or raises `CodecError`. The number of items that a frame may
declare is limited by its length, so that a short frame cannot make the decoder allocate a large
amount of memory.
"""

from __future__ import annotations

from typing import Any

import msgpack
import msgspec

from coltsfootshift.errors import CodecError
from coltsfootshift.messages import Hello, Message, Proof

__all__ = ["decode_handshake", "decode_message", "encode_message"]

MAX_ITEMS = 65_536
MAX_HANDSHAKE_ITEMS = 16
MAX_MAP_ITEMS = 0
MAX_EXTENSION_BYTES = 0

_MessageTypes = dict[Any, type[Message]]


def _index_by_tag(types: list[type[Message]]) -> _MessageTypes:
    """Return the message types by tag.

    Converting to a single known type avoids building the table of the whole union on each call.
    """
    return {message_type.__struct_config__.tag: message_type for message_type in types}


_MESSAGE_TYPES = _index_by_tag(Message.__subclasses__())
_HANDSHAKE_TYPES = _index_by_tag([Hello, Proof])


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack frame.

    >>> from coltsfootshift import messages
    >>> decode_message(encode_message(messages.Heartbeat(sent_at=1.5)))
    Heartbeat(sent_at=1.5, next_in=0, needed=False)
    """
    return msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)), use_bin_type=True)


def decode_message(frame: bytes) -> Message:
    """Decode a frame into a message; raises `CodecError` if the frame is invalid."""
    return _decode(frame, _MESSAGE_TYPES, MAX_ITEMS)


def decode_handshake(frame: bytes) -> Message:
    """Decode a frame from a peer that has not completed the handshake.

    Only `Hello` and `Proof` are accepted; raises `CodecError` for any other frame.
    """
    return _decode(frame, _HANDSHAKE_TYPES, MAX_HANDSHAKE_ITEMS)


def _decode(frame: bytes, types: _MessageTypes, max_items: int) -> Message:
    try:
        content = msgpack.unpackb(
            frame,
            max_array_len=min(max_items, len(frame)),
            max_map_len=MAX_MAP_ITEMS,
            max_ext_len=MAX_EXTENSION_BYTES,
            max_str_len=len(frame),
            max_bin_len=len(frame),
        )
        return msgspec.convert(content, types[content[0]])
    except (ValueError, TypeError, LookupError, RecursionError, msgpack.UnpackException) as error:
        raise CodecError(f"frame of {len(frame)} bytes holds no message: {error}") from error
