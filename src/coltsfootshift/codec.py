"""Encodes typed messages as msgpack frames and decodes them.

Decoding any bytes returns a message or raises `CodecError`. The number of items that a frame may
declare is limited by its length, so that a short frame cannot make the decoder allocate a large
amount of memory.
"""

from __future__ import annotations

from typing import Any, get_args, get_origin

import msgpack
import msgspec

from coltsfootshift.errors import CodecError, InvalidMessageError
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import Hello, Message, Proof

__all__ = ["decode_handshake", "decode_message", "encode_message"]

MAX_ITEMS = 65_536
MAX_HANDSHAKE_ITEMS = 16
MAX_MAP_ITEMS = 0
MAX_EXTENSION_BYTES = 0

logger = get_logger("codec")

_MessageTypes = dict[Any, type[Message]]


def _index_by_tag(types: list[type[Message]]) -> _MessageTypes:
    """Return the message types by tag.

    Converting to a single known type avoids building the table of the whole union on each call.
    """
    return {message_type.__struct_config__.tag: message_type for message_type in types}


_MESSAGE_TYPES = _index_by_tag(Message.__subclasses__())
_HANDSHAKE_TYPES = _index_by_tag([Hello, Proof])


class _Encoder:
    """Keeps the latest frame, since a message to all peers is sent to one after the other."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._frame = b""

    def encode(self, message: Message) -> bytes:
        if message is not self._message:
            content = msgspec.to_builtins(message, builtin_types=(bytes,))
            self._frame = msgpack.packb(content, use_bin_type=True)
            self._message = message
        return self._frame


_encoder = _Encoder()


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack frame.

    >>> from coltsfootshift import messages
    >>> decode_message(encode_message(messages.Heartbeat(sent_at=1.5)))
    Heartbeat(sent_at=1.5, next_in=0, needed=False)
    """
    return _encoder.encode(message)


def decode_message(frame: bytes) -> Message:
    """Decode a frame into a message.

    Raises `CodecError` if the frame holds no message of a known kind, and `InvalidMessageError` if
    it holds one whose fields are invalid. An invalid row of a list of rows is logged and left out.
    """
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
        message_type = types[content[0]]
    except (ValueError, TypeError, LookupError, RecursionError, msgpack.UnpackException) as error:
        raise CodecError(f"frame of {len(frame)} bytes holds no message: {error}") from error
    try:
        return _convert(content, message_type)
    except (ValueError, TypeError, RecursionError) as error:
        text = f"frame of {len(frame)} bytes: invalid {message_type.__name__}: {error}"
        raise InvalidMessageError(text) from error


def _convert(content: list[Any], message_type: type[Message]) -> Message:
    try:
        return msgspec.convert(content, message_type)
    except msgspec.ValidationError as error:
        kept = _leave_out_invalid_rows(content, message_type)
        message = msgspec.convert(kept, message_type)
        row = {"kind": message_type.__name__, "cause": str(error)}
        logger.warning("invalid rows of a message left out", extra=row)
        return message


def _leave_out_invalid_rows(content: list[Any], message_type: type[Message]) -> list[Any]:
    """Return the content without the rows that do not fit the type of their list."""
    kept = list(content)
    for index, info in enumerate(msgspec.structs.fields(message_type), start=1):
        row_types = get_args(info.type) if get_origin(info.type) is list else ()
        if index >= len(kept) or not row_types or not isinstance(kept[index], list):
            continue
        kept[index] = [row for row in kept[index] if _is_valid(row, row_types[0])]
    return kept


def _is_valid(row: Any, row_type: Any) -> bool:
    try:
        msgspec.convert(row, row_type)
    except (ValueError, TypeError, RecursionError):
        return False
    return True
