"""Differences between values of items, as they are sent to peers."""

from __future__ import annotations

import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootshift.gateway.item_values import (
    MAX_HELD_VALUES,
    MAX_VALUE_BYTES,
    EncodedValue,
    UndecodableValueError,
    ValueEncoding,
    ValueHistory,
    digest_value,
)

parts = st.lists(st.sampled_from([b"", b"{", b"{a", b"{b}", b"x" * 300, b'{"r": 1}']), max_size=30)
values = parts.map(b"".join)


@given(values, values)
def test_any_value_comes_back(base, value):
    history = ValueHistory()
    history.record(base)
    assert history.decode(history.encode(value, digest_value(base))) == value
    assert history.decode(history.encode(value, b"")) == value


@given(st.binary(), st.sampled_from(ValueEncoding), st.binary(max_size=16))
def test_any_bytes_are_decoded_or_refused(data, encoding, base):
    history = ValueHistory()
    try:
        history.decode(EncodedValue(encoding, data, b"digest", base))
    except UndecodableValueError:
        return
    assert encoding is ValueEncoding.PLAIN


@pytest.mark.parametrize(
    "steps",
    [[0, 5], [-1, 2], [0, -1], [0, 0], [0], ["x", 1], [[0]], 5, None, [0, 2**63], [0, 1] * 40],
    ids=str,
)
def test_difference_out_of_range_is_refused(steps):
    """A difference may not run beyond its base, nor grow without bound."""
    base = b"y" * (MAX_VALUE_BYTES // 30)
    history = ValueHistory()
    history.record(base)
    data = zlib.compress(msgpack.packb(steps))
    encoded = EncodedValue(ValueEncoding.DIFFERENCE, data, b"digest", digest_value(base))
    with pytest.raises(UndecodableValueError):
        history.decode(encoded)


def test_compressed_value_without_end_is_refused():
    data = zlib.compress(bytes(MAX_VALUE_BYTES + 1))
    with pytest.raises(UndecodableValueError):
        ValueHistory().decode(EncodedValue(ValueEncoding.COMPRESSED, data, b"digest"))


def test_oldest_values_are_dropped():
    history = ValueHistory()
    values = [bytes([number]) * 600 for number in range(MAX_HELD_VALUES + 1)]
    for value in values:
        history.record(value)
    first, last = (history.encode(b"z" * 600, digest_value(values[i])) for i in (0, -1))
    assert first.encoding is ValueEncoding.COMPRESSED
    assert last.encoding is ValueEncoding.DIFFERENCE
