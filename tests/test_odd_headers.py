"""Headers of callers and endpoints that hold any text are read without an error."""

from __future__ import annotations

from math import inf

import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from hypothesis import given
from hypothesis import strategies as st

from coltsfootshift.gateway.calls import RequestError

header_names = st.sampled_from(
    ["X-Attempt-Id", "X-Token-Counts", "X-Deadline-Ms", "X-Length-Hint", "X-Prompt-Prefix"]
    + ["X-Engine-Load", "X-Weight-Versions", "Server-Limit", "Server-Leaving", "Retry-After"]
    + ["Keep-Alive", "Connection", "X-Cold-Ms"]
)
number_texts = st.sampled_from(["inf", "nan", "-1", "1e999", "\xb2", "9" * 5000, "1_0", ""])
header_values = st.text("0123456789,.:=-e \xb2\xff", max_size=12) | number_texts


@given(st.lists(st.tuples(header_names, header_values), max_size=6))
def test_any_header_of_a_caller_or_engine_is_read(headers):
    rows = [(name.lower().encode(), value.encode("latin-1")) for name, value in headers]
    dialect = PlatformDialect()
    head = dialect.parse_response(200, rows)
    assert head.version is None or head.version >= 0
    assert head.cold_for is None or 0.0 <= head.cold_for < inf
    try:
        request = dialect.parse_request(b"POST", b"/x", rows)
    except RequestError:
        return
    assert min(request.prompt_tokens, request.answer_tokens, request.answer_hint) >= 0


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("0", 0.0), ("1500", 1.5), (" 250 ", 0.25), ("-1", None), ("inf", None), ("x", None)]
    + [("", None), ("1,5", None)],
)
def test_engine_says_for_how_long_it_is_cold(text, seconds):
    rows = [(b"x-cold-ms", text.encode())]
    assert PlatformDialect().parse_response(200, rows).cold_for == seconds
    assert PlatformDialect().parse_response(200, []).cold_for is None
