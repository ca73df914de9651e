"""Request bodies are held in memory and bounded in size."""

from __future__ import annotations

from io import BytesIO

import pytest
from twisted.web.test.requesthelper import DummyChannel

from coltsfootshift import request_bodies
from coltsfootshift.request_bodies import BoundedRequest


@pytest.mark.parametrize(
    ("chunks", "kept"),
    [
        ([b"ab", b"c"], 3),
        ([b"x" * request_bodies.MAX_BODY_BYTES], request_bodies.MAX_BODY_BYTES),
        ([b"x" * request_bodies.MAX_BODY_BYTES] * 3, request_bodies.MAX_BODY_BYTES + 1),
    ],
)
def test_body_is_bounded_and_in_memory(chunks: list[bytes], kept: int) -> None:
    request = BoundedRequest(DummyChannel())
    request.gotLength(sum(len(chunk) for chunk in chunks))
    for chunk in chunks:
        request.handleContentChunk(chunk)
    assert isinstance(request.content, BytesIO)
    assert len(request.content.getvalue()) == kept
