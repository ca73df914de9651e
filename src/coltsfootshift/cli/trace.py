"""Follows one request through the log files of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coltsfootshift.cli.client import ReadError

__all__ = ["LogLine", "print_trace", "read_log", "trace_request"]

BELIEF_MESSAGES = frozenset(
    {
        "catalogue in force",
        "endpoint gone",
        "engine told",
        "entry silent",
        "leaving",
        "readiness changed",
        "started",
        "store lost",
        "store regained",
        "table learnt from a peer",
        "weights named",
    }
)
BELIEFS_SHOWN = 5  # of one process before its decision on the request
_COMMON = frozenset({"time", "level", "logger", "message", "instance", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process; `fields` are the inputs and the outcome that it tells."""

    time: str
    instance: str
    message: str
    request: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the line as the trace shows it."""
        rows = [f"{name}={value}" for name, value in self.fields.items()]
        return f"{self.time} {self.instance}: {self.message} {' '.join(rows)}".rstrip()


def read_log(path: Path) -> list[LogLine]:
    """Return the JSON lines of a file; text before the JSON, as collectors add it, is passed over.

    Raises `ReadError` where the file cannot be read.
    """
    try:
        text = path.read_text("utf-8", errors="replace")
    except OSError as error:
        raise ReadError(f"{path}: {error}") from error
    lines = []
    for raw in text.splitlines():
        _, brace, rest = raw.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if "message" not in fields or "time" not in fields:
            continue
        others = {name: value for name, value in fields.items() if name not in _COMMON}
        lines.append(
            LogLine(
                str(fields["time"]),
                str(fields.get("instance", "")),
                str(fields["message"]),
                str(fields.get("request", "")),
                others,
            )
        )
    return lines


def trace_request(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request in order of time, each process's last beliefs before them.

    >>> told = LogLine("1", "e", "store lost", "", {})
    >>> placed = LogLine("2", "e", "request placed", "r", {})
    >>> [line.message for line in trace_request("r", [placed, told])]
    ['store lost', 'request placed']
    """
    ordered = sorted(lines, key=lambda line: line.time)
    shown: list[LogLine] = []
    beliefs: dict[str, list[LogLine]] = {}
    for line in ordered:
        if line.message in BELIEF_MESSAGES:
            beliefs.setdefault(line.instance, []).append(line)
            continue
        if line.request != request:
            continue
        shown += beliefs.pop(line.instance, [])[-BELIEFS_SHOWN:]
        shown.append(line)
    return shown


def print_trace(request: str, files: list[Path]) -> bool:
    """Print the way of a request; return whether any file knows it."""
    lines: list[LogLine] = []
    for path in files:
        lines += read_log(path)
    shown = trace_request(request, lines)
    for line in shown:
        print(line.render())
    return any(line.request == request for line in shown)
