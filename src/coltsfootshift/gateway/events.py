"""Splits a stream of server-sent events at event boundaries and tracks the last event id."""

from __future__ import annotations

import re

__all__ = ["EventStreamBuffer", "MAX_EVENT_BYTES"]

MAX_EVENT_BYTES = 64 * 1024  # an event holds a few tokens, mostly less than 1 KB

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_END_BYTES = 4
_DATA_FIELD = re.compile(rb"(?:^|\n|\r)data:")
_ID_FIELD = re.compile(rb"(?:^|\n|\r)id:[ ]?([^\r\n]*)")
_HEADER_VALUE = re.compile(rb"[^\x00\s]+(?:[ \t]+[^\x00\s]+)*")


class EventStreamBuffer:
    """Holds back incomplete events, so that a resumed stream never contains part of an event.

    `event_count` counts the events that carry something new: another id, or data without an id.
    `resumable` is unset once an id can't be sent in a header; white space around it is left out.

    >>> buffer = EventStreamBuffer("")
    >>> buffer.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> buffer.last_id, buffer.at_event_boundary
    ('1', False)
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.event_count = 0
        self.resumable = True
        self._buffer = bytearray()
        self._searched_bytes = 0

    @property
    def overlong(self) -> bool:
        """Whether the incomplete event is longer than any event of an answer."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def at_event_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> bytes:
        """Buffer received bytes and return those of the events that are complete now."""
        # Most reads hold whole events, which need not be copied to the buffer.
        source: bytes | bytearray = data
        start = 0
        if self._buffer:
            self._buffer += data
            source = self._buffer
            # The end of an event may have begun in the bytes that were searched before.
            start = max(0, self._searched_bytes - _EVENT_END_BYTES + 1)
        end = 0
        for match in _EVENT_END.finditer(source, start):
            self._record_event(source[end : match.end()])
            end = match.end()
        complete = bytes(source[:end])
        if self._buffer:
            del self._buffer[:end]
        else:
            self._buffer += data[end:]
        self._searched_bytes = len(self._buffer)
        return complete

    def discard_partial(self) -> None:
        """Discard an incomplete event, before the stream resumes from another endpoint."""
        self._buffer.clear()
        self._searched_bytes = 0

    def _record_event(self, event: bytes | bytearray) -> None:
        match = _ID_FIELD.search(event)
        if match is None:
            self.event_count += _DATA_FIELD.search(event) is not None
            return
        value = match.group(1).strip()
        if value and _HEADER_VALUE.fullmatch(value) is None:
            self.resumable = False
        event_id = value.decode("latin-1")
        if event_id != self.last_id:
            self.event_count += 1
            self.last_id = event_id
