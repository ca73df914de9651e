"""Splits a byte stream into frames, each with a four-byte big-endian length prefix."""

from __future__ import annotations

from collections.abc import Iterator

from coltsfootshift.errors import StreamError

__all__ = ["PREFIX_BYTES", "FrameReader", "FrameTooLargeError", "make_prefix"]

PREFIX_BYTES = 4


class FrameTooLargeError(StreamError):
    """The length prefix of a frame exceeds the limit."""


def make_prefix(frame: bytes) -> bytes:
    """Return the length prefix of a frame."""
    return len(frame).to_bytes(PREFIX_BYTES, "big")


class FrameReader:
    """Reassembles frames from chunks of any size.

    The number of times that a byte is copied is bounded, whatever the size of the chunks.
    `max_frame_bytes` may be changed between two frames, also while iterating over `feed`.

    >>> reader = FrameReader(max_frame_bytes=8)
    >>> [list(reader.feed(chunk)) for chunk in (b"\\0\\0", b"\\0\\2a", b"b\\0\\0\\0\\0")]
    [[], [], [b'ab', b'']]
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._prefix = bytearray()
        self._body = bytearray()
        self._length = -1

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the frames that are complete with `data`.

        Raises `FrameTooLargeError` if a length prefix exceeds `max_frame_bytes`.
        """
        position = 0
        while position < len(data):
            if self._length < 0:
                position = self._read_prefix(data, position)
            if self._length < 0:
                return
            end = position + self._length - len(self._body)
            if not self._body and end <= len(data):
                self._length = -1
                yield data[position:end]
                position = end
                continue
            self._body += data[position:end]
            position = min(end, len(data))
            if len(self._body) == self._length:
                yield self._finish_frame()

    def _read_prefix(self, data: bytes, position: int) -> int:
        end = position + PREFIX_BYTES - len(self._prefix)
        prefix = bytes(self._prefix) + data[position:end] if self._prefix else data[position:end]
        if len(prefix) < PREFIX_BYTES:
            self._prefix += data[position:end]
            return len(data)
        length = int.from_bytes(prefix, "big")
        self._prefix.clear()
        if length > self.max_frame_bytes:
            raise FrameTooLargeError(
                f"announced {length} bytes; at most {self.max_frame_bytes} are taken"
            )
        self._length = length
        return end

    def _finish_frame(self) -> bytes:
        frame = bytes(self._body)
        self._body.clear()
        self._length = -1
        return frame
