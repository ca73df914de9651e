"""Which HTTP statuses are an answer."""

from __future__ import annotations

import re

from coltsfootshift.errors import ColtsfootshiftError

__all__ = [
    "STATUS_LINE_START_BYTES",
    "UndefinedStatusError",
    "is_final_status",
    "is_success",
    "is_status_line",
]

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
STATUS_LINE_START_BYTES = 13  # up to the byte after the status
_STATUS_LINE_START = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9][0-9][ \r\n]")


class UndefinedStatusError(ColtsfootshiftError):
    """A response has a status that HTTP does not define, so that it is no answer.

    Whether its request has run is unknown.
    """


def is_final_status(status: int) -> bool:
    """Return whether HTTP defines a status as that of a final response.

    >>> [is_final_status(status) for status in (0, 99, 100, 200, 599, 600, 999)]
    [False, False, False, True, True, False, False]
    """
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def is_success(status: int) -> bool:
    """Return whether a status says that the request has been done.

    >>> [is_success(status) for status in (0, 199, 200, 204, 299, 304, 600)]
    [False, False, True, True, True, False, False]
    """
    return MIN_FINAL_STATUS <= status < MIN_FINAL_STATUS + 100


def is_status_line(start: bytes) -> bool:
    """Return whether bytes may begin a status line whose status HTTP defines.

    Of a number with a sign or an underscore, a lenient reader makes a status that was not sent.

    >>> is_status_line(b"HTTP/1.1 200 OK"), is_status_line(b"HTTP/1.1 20")
    (True, True)
    >>> is_status_line(b"HTTP/1.1 +200 OK"), is_status_line(b"HTTP/1.1 000 X")
    (False, False)
    """
    if len(start) < STATUS_LINE_START_BYTES:
        return True
    return _STATUS_LINE_START.match(start) is not None
