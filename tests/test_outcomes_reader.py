"""An entry passes on each byte of a response once, in order and from the same weights."""

from __future__ import annotations

import pytest

from coltsfootshift.entry.answers import CREDIT_BATCH_BYTES, AnswerSink, AttemptReader
from coltsfootshift.messages import AnswerEnd


class FakeSink(AnswerSink):
    def __init__(self, sent: bytes = b"", digest: str = "") -> None:
        super().__init__()
        self.content = sent
        self.sent = len(sent)
        self.digest = digest

    def write(self, payload: bytes) -> None:
        self.content += payload
        self.sent += len(payload)
        self.on_consumed(len(payload))


@pytest.mark.parametrize(
    ("sent", "offset", "frames", "content"),
    [
        (b"", 0, [b"ab", b"cd"], b"abcd"),
        (b"ab", 2, [b"cd"], b"abcd"),
        (b"abc", 0, [b"ab", b"cd"], b"abcd"),
        (b"abcd", 0, [b"ab", b"cd"], b"abcd"),
    ],
    ids=["whole", "resumed", "replayed", "replayed whole"],
)
def test_each_byte_goes_out_once(
    sent: bytes, offset: int, frames: list[bytes], content: bytes
) -> None:
    sink = FakeSink(sent, "aa")
    reader = AttemptReader(sink, offset, "aa")
    for number, payload in enumerate(frames):
        reader.frame_received(payload, "" if number else "aa")
    assert sink.content == content


@pytest.mark.parametrize("digest", ["bb", ""])
def test_answer_of_other_weights_is_not_taken(digest: str) -> None:
    sink = FakeSink(b"ab", "aa")
    reader = AttemptReader(sink, 2, "aa")
    ends: list[AnswerEnd | None] = []
    reader.done.addCallback(ends.append)
    reader.frame_received(b"cd", digest)
    reader.frame_received(b"ef", "")
    reader.end_received(AnswerEnd("request", 1, 2, "complete", digest, ""))
    assert sink.content == b"ab"
    assert ends == [None]


def test_credit_follows_what_the_caller_takes() -> None:
    sink = FakeSink()
    reader = AttemptReader(sink, 0, "")
    granted: list[int] = []
    reader.grant_credit = granted.append
    for _ in range(4):
        reader.frame_received(bytes(CREDIT_BATCH_BYTES // 2), "")
    assert granted == [CREDIT_BATCH_BYTES, CREDIT_BATCH_BYTES]
    reader.close()
    reader.frame_received(bytes(CREDIT_BATCH_BYTES), "")
    assert len(granted) == 2
