"""Tests of the codec with random bytes, messages of every type and mutated frames."""

from __future__ import annotations

import tracemalloc
from enum import Enum
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin, get_type_hints

import msgpack
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootshift import messages
from coltsfootshift.codec import decode_handshake, decode_message, encode_message
from coltsfootshift.errors import CodecError

MESSAGE_TYPES = messages.Message.__subclasses__()
EXAMPLES = 300
MAX_DECODE_PEAK_BYTES = 32 * 1024 * 1024
INTEGERS = st.integers(-(2**63), 2**64 - 1)
SCALARS: dict[Any, st.SearchStrategy] = {
    str: st.text(max_size=40),
    bytes: st.binary(max_size=200),
    int: INTEGERS,
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    NoneType: st.none(),
}


def make_strategy(kind: Any) -> st.SearchStrategy:
    if kind in SCALARS:
        return SCALARS[kind]
    if get_origin(kind) is list:
        return st.lists(make_strategy(*get_args(kind)), max_size=8)
    if get_origin(kind) is Annotated:
        return make_bounded_strategy(*get_args(kind)[:2])
    if get_origin(kind) is Literal:
        return st.sampled_from(get_args(kind))
    if isinstance(kind, UnionType) or get_origin(kind) is Union:
        return st.one_of([make_strategy(choice) for choice in get_args(kind)])
    if isinstance(kind, type) and issubclass(kind, Enum):
        return st.sampled_from(kind)
    hints = get_type_hints(kind, include_extras=True)
    return st.builds(kind, *[make_strategy(hints[name]) for name in kind.__struct_fields__])


def make_bounded_strategy(kind: Any, bounds: msgspec.Meta) -> st.SearchStrategy:
    """Return the values of a type within the bounds of a message's field."""
    if kind is int:
        return st.integers(bounds.ge, bounds.le)
    if kind is float:
        return st.floats(bounds.ge, bounds.le, allow_nan=False)
    if kind is str:
        return st.text(min_size=bounds.min_length or 0, max_size=40)
    return SCALARS[kind]


MESSAGES = st.one_of([make_strategy(kind) for kind in MESSAGE_TYPES])


def try_decode(frame: bytes) -> None:
    for decode in (decode_message, decode_handshake):
        try:
            decode(frame)
        except CodecError:
            continue


@settings(max_examples=EXAMPLES, deadline=None)
@given(MESSAGES)
def test_every_message_comes_back(message: messages.Message) -> None:
    assert decode_message(encode_message(message)) == message


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes(frame: bytes) -> None:
    try_decode(frame)


@settings(max_examples=EXAMPLES, deadline=None)
@given(MESSAGES, st.data())
def test_mutated_frames(message: messages.Message, data: st.DataObject) -> None:
    frame = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(frame) - 1))
        frame[position] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(frame)))
    try_decode(bytes(frame))
    try_decode(bytes(frame[:cut]))


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.recursive(st.none() | INTEGERS | st.text() | st.binary(), st.lists, max_leaves=20))
def test_any_structure(content: Any) -> None:
    try_decode(msgpack.packb(content))
    try_decode(msgpack.packb(["hello", content]))


@pytest.mark.parametrize(
    "frame",
    [
        b"\xdd\xff\xff\xff\xff",
        b"\xdf\xff\xff\xff\xff",
        b"\xdb\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
        b"\xc9\xff\xff\xff\xff\x01",
        b"\x91" * 4000,
        b"\xdd\x00\x00\x0f\xff" * 800,
        b"\xdd\x00\xff\xff\xff" * 800,
        b"\xdd\x00\x01\xff\xff" * 40_000,
        b"\x81\xa1a\x01",
        b"\xc1",
        b"",
        b"\x92\xa2hb\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00\x00",
        b"\x92\xa2hb\xa2\xff\xfe",
    ],
    ids=lambda frame: f"{frame[:6].hex()}-{len(frame)}",
)
def test_bombs(frame: bytes) -> None:
    tracemalloc.start()
    try:
        with pytest.raises(CodecError):
            decode_message(frame)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < MAX_DECODE_PEAK_BYTES
    with pytest.raises(CodecError):
        decode_handshake(frame)


@settings(max_examples=EXAMPLES, deadline=None)
@given(MESSAGES.filter(lambda message: not isinstance(message, (messages.Hello, messages.Proof))))
def test_only_the_handshake_is_taken_early(message: messages.Message) -> None:
    with pytest.raises(CodecError):
        decode_handshake(encode_message(message))
