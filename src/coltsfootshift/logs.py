"""Structured logging: one JSON object per line, on standard error or standard output."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import Counter

from pythonjsonlogger.json import JsonFormatter
from twisted.python import log as twisted_log

__all__ = ["BoundedHandler", "get_logger", "set_up_bounded_logs", "set_up_logs"]

ROOT_LOGGER = "coltsfootshift"
MAX_LINES_PER_SECOND = 200  # per message: two per request at three times the target load
MAX_PENDING_BYTES = 256 * 1024  # lines not yet read by a slow reader


def get_logger(name: str) -> logging.Logger:
    """Return the logger of a module, a child of the library's root logger."""
    return logging.getLogger(f"{ROOT_LOGGER}.{name}")


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines of one message beyond `MAX_LINES_PER_SECOND`, and lines that do not fit into the buffer
    while the pipe is full, are dropped. A later line reports how many of each message.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._pending = b""
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"BoundedHandler({self._descriptor!r})"

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._report_dropped()
        message = str(record.msg)
        self._counts[message] += 1
        if self._counts[message] > MAX_LINES_PER_SECOND:
            self._dropped[message] += 1
            return
        self._write(message, self.format(record).encode() + b"\n")

    def _report_dropped(self) -> None:
        if not self._dropped:
            return
        dropped, self._dropped = dict(self._dropped), Counter()
        row = {"lines": dropped}
        record = logging.makeLogRecord(
            {"name": f"{ROOT_LOGGER}.logs", "levelname": "WARNING", "msg": "lines left out", **row}
        )
        self._write("lines left out", self.format(record).encode() + b"\n")

    def _write(self, message: str, line: bytes) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped[message] += 1
            return
        self._pending += line
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the pending lines cannot be delivered.
            self._pending = b""
            return
        self._pending = self._pending[written:]


def set_up_logs(level: str, instance: str) -> None:
    """Log JSON lines to standard error, each with the name of the instance."""
    _set_handler(logging.StreamHandler(sys.stderr), level, instance)


def set_up_bounded_logs(level: str, instance: str) -> None:
    """Log JSON lines to standard output with a `BoundedHandler`, which never blocks."""
    _set_handler(BoundedHandler(sys.stdout.fileno()), level, instance)


def _set_handler(handler: logging.Handler, level: str, instance: str) -> None:
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": instance},
        )
    )
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    twisted_log.addObserver(_report_failure)


def _report_failure(event: dict) -> None:
    if not event.get("isError"):
        return
    logger = logging.getLogger(ROOT_LOGGER)
    logger.error("unhandled failure", extra={"failure": twisted_log.textFromEventDict(event)})
