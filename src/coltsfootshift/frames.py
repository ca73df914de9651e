"""Cuts the bytes of a connection into frames: four bytes of length, then as many bytes."""

from __future__ import annotations

from collections.abc import Iterator

from coltsfootshift.errors import StreamError

__all__ = ["PREFIX_BYTES", "FrameReader", "FrameTooLargeError", "make_prefix"]

PREFIX_BYTES = 4


class FrameTooLargeError(StreamError):
    """A frame was announced that is longer than what is taken."""


def make_prefix(frame: bytes) -> bytes:
    """Return the length that goes before a frame."""
    return len(frame).to_bytes(PREFIX_BYTES, "big")


class FrameReader:
    """Collects frames from pieces of any size; `max_frame_bytes` bounds a frame, in bytes.

    Each byte is copied a bounded number of times, whatever the size of the pieces.
    `max_frame_bytes` may be changed between two frames, also while iterating over `feed`.

    >>> reader = FrameReader(max_frame_bytes=8)
    >>> [list(reader.feed(piece)) for piece in (b"\\0\\0", b"\\0\\2a", b"b\\0\\0\\0\\0")]
    [[], [], [b'ab', b'']]
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._prefix = bytearray()
        self._body = bytearray()
        self._length = -1

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the frames that a piece completes; raises `FrameTooLargeError`."""
        position = 0
        while position < len(data):
            if self._length < 0:
                position = self._take_prefix(data, position)
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
                yield self._finish()

    def _take_prefix(self, data: bytes, position: int) -> int:
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

    def _finish(self) -> bytes:
        frame = bytes(self._body)
        self._body.clear()
        self._length = -1
        return frame
