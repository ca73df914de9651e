"""Collects the log lines of one request from the log files of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coltsfootshift.cli.client import ReadError

__all__ = ["LogLine", "print_trace", "read_log", "trace_request"]

STATE_CHANGE_MESSAGES = frozenset(
    {
        "catalogue in force",
        "endpoint gone",
        "engine told",
        "entry silent",
        "evacuation not written again, lifted",
        "event loop stalled",
        "failure domain back in service",
        "failure domain evacuated",
        "leaving",
        "older version of an item ignored",
        "peer has a newer item than the store",
        "publication time learnt from a peer",
        "read of the store failed",
        "readiness changed",
        "record of an older copy not used yet",
        "started",
        "store came back from an older copy",
        "store lost",
        "store regained",
        "table learnt from a peer",
        "weights named",
    }
)
MAX_STATE_CHANGES_SHOWN = 5  # before each line of the request
_STANDARD_FIELDS = frozenset({"time", "level", "logger", "message", "instance", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line of a process; `fields` are its fields other than the standard ones."""

    time: str
    instance: str
    message: str
    request: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the line formatted for the trace."""
        rows = [f"{name}={value}" for name, value in self.fields.items()]
        return f"{self.time} {self.instance}: {self.message} {' '.join(rows)}".rstrip()


def read_log(path: Path) -> list[LogLine]:
    """Return the JSON log lines of a file.

    Text before the JSON on a line, such as the prefix of a log collector, is ignored, and so are
    lines without a JSON log record. Raises `ReadError` if the file cannot be read.
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
        extra_fields = {
            name: value for name, value in fields.items() if name not in _STANDARD_FIELDS
        }
        lines.append(
            LogLine(
                str(fields["time"]),
                str(fields.get("instance", "")),
                str(fields["message"]),
                str(fields.get("request", "")),
                extra_fields,
            )
        )
    return lines


def trace_request(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the log lines of a request in order of time.

    Each line is preceded by the last state changes that its process logged since its previous line
    on the request, at most `MAX_STATE_CHANGES_SHOWN`.

    >>> lost = LogLine("1", "e", "store lost", "", {})
    >>> placed = LogLine("2", "e", "request placed", "r", {})
    >>> [line.message for line in trace_request("r", [placed, lost])]
    ['store lost', 'request placed']
    """
    ordered = sorted(lines, key=lambda line: line.time)
    selected: list[LogLine] = []
    state_changes: dict[str, list[LogLine]] = {}
    for line in ordered:
        if line.message in STATE_CHANGE_MESSAGES:
            state_changes.setdefault(line.instance, []).append(line)
            continue
        if line.request != request:
            continue
        selected += state_changes.pop(line.instance, [])[-MAX_STATE_CHANGES_SHOWN:]
        selected.append(line)
    return selected


def print_trace(request: str, files: list[Path]) -> bool:
    """Print the log lines of a request and return whether any file mentions it."""
    lines: list[LogLine] = []
    for path in files:
        lines += read_log(path)
    selected = trace_request(request, lines)
    for line in selected:
        print(line.render())
    return any(line.request == request for line in selected)
