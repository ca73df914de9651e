"""Tests of the trace command, which follows a request through the logs of several processes."""

from __future__ import annotations

import json

import pytest

from coltsfootshift.cli.main import trace

ROWS = [
    ("entry-1", "02", "store lost", {}),
    ("entry-2", "03", "catalogue in force", {"version": 4}),
    ("entry-1", "04", "request placed", {"request": "r-1", "endpoint": "e-1"}),
    ("entry-1", "05", "request placed", {"request": "r-2", "endpoint": "e-1"}),
    ("entry-1", "06", "request ended", {"request": "r-1", "outcome": "deadline"}),
]


@pytest.mark.parametrize(
    ("request_id", "status", "expected"),
    [
        ("r-1", 0, ["store lost", "request placed", "request ended"]),
        ("r-9", 1, []),
    ],
)
def test_trace(tmp_path, capsys, request_id, status, expected):
    files = []
    for instance in ("entry-1", "entry-2"):
        lines = ["not a log line", "{broken"]
        for name, second, message, fields in ROWS:
            if name == instance:
                row = {"time": f"12:00:{second}", "message": message, "instance": name, **fields}
                lines.append(f"  3.14 {name} {json.dumps(row)}")
        files.append(tmp_path / f"{instance}.log")
        files[-1].write_text("\n".join(lines), "utf-8")
    assert trace(request_id, *files) == status
    shown = [line.split(": ")[1].split(" ") for line in capsys.readouterr().out.splitlines()]
    assert [" ".join(words[:2]) for words in shown] == expected
