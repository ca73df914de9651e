"""The log handler limits the rate of lines and never blocks on a slow reader."""

from __future__ import annotations

import json
import logging
import os
import time

import pytest

from coltsfootshift.logs import MAX_LINES_PER_SECOND, MAX_PENDING_BYTES, BoundedHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    handler.setFormatter(logging.Formatter("%(message)s"))
    yield reader, handler
    os.close(reader)
    os.close(writer)


def emit(handler, text, count=1):
    for _ in range(count):
        handler.emit(logging.makeLogRecord({"msg": text}))


def test_lines_of_one_kind_are_bounded_and_others_pass(pipe, monkeypatch):
    reader, handler = pipe
    monkeypatch.setattr(time, "monotonic", lambda: 5.0)
    emit(handler, "often", MAX_LINES_PER_SECOND + 50)
    emit(handler, "seldom")
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert lines.count("often") == MAX_LINES_PER_SECOND and lines.count("seldom") == 1
    monkeypatch.setattr(time, "monotonic", lambda: 6.0)
    emit(handler, "seldom")
    assert "lines left out" in os.read(reader, 1 << 20).decode()


def test_reader_that_stops_costs_lines_and_no_time(pipe):
    """When the pipe is full, lines are dropped instead of blocking or buffering without limit."""
    _, handler = pipe
    started = time.perf_counter()
    for kind in range(40):
        emit(handler, json.dumps({"kind": kind, "text": "x" * 1000}), MAX_LINES_PER_SECOND)
    assert time.perf_counter() - started < 5.0
    assert len(handler._pending) <= MAX_PENDING_BYTES and handler._dropped
