"""Counts what a process holds of unfinished answers, over all of them."""

from __future__ import annotations

import os

__all__ = [
    "HeldBytes",
    "HeldBody",
    "MAX_HELD_BYTES",
    "MIN_BODY_BYTES",
    "compute_max_held_bytes",
]

MAX_HELD_BYTES = 48 * 1024 * 1024  # an entry needs some 50 MB besides, and may use 400 MB
MAX_HELD_MEMORY_SHARE = 0.12  # of a smaller machine; request bodies take up to half of its memory
# Bodies up to this size may be held in any case: a process that holds much through one service
# treats the short answers of all others as before.
MIN_BODY_BYTES = 16 * 1024


def compute_max_held_bytes(memory_bytes: int | None = None) -> int:
    """Return how many bytes of answers a process may hold.

    `memory_bytes` is the memory of the machine; by default the system is asked for it.

    >>> compute_max_held_bytes(150_000_000), compute_max_held_bytes(430_000_000)
    (18000000, 50331648)
    """
    if memory_bytes is None:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min(MAX_HELD_BYTES, int(memory_bytes * MAX_HELD_MEMORY_SHARE))


class HeldBytes:
    """The sum of what the answers in progress of one process hold, in bytes."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.size = 0
        self._max_bytes = max_bytes

    @property
    def full(self) -> bool:
        """Whether further answers may only be held up to `MIN_BODY_BYTES` each."""
        return self.size > self._max_bytes


class HeldBody:
    """The part of one answer that this process holds, counted in the sum of all.

    It is held back until it is taken to be passed on. What was taken counts until it has been
    sent if `keep_unsent` is called.

    >>> total = HeldBytes(max_bytes=20_000)
    >>> first, second = HeldBody(total, max_bytes=50_000), HeldBody(total, max_bytes=50_000)
    >>> first.add(bytes(17_000)); first.overlong
    False
    >>> second.add(bytes(17_000)); second.overlong
    True
    >>> len(first.take()), total.size, second.overlong
    (17000, 17000, False)
    """

    def __init__(self, total: HeldBytes, max_bytes: int) -> None:
        self._total = total
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._unsent_bytes = 0

    @property
    def overlong(self) -> bool:
        """Whether no more of the body may be held back."""
        size = len(self._data)
        return size > self._max_bytes or (size > MIN_BODY_BYTES and self._total.full)

    def add(self, data: bytes) -> None:
        """Hold further bytes back."""
        self._data += data
        self._total.size += len(data)

    def take(self) -> bytes:
        """Return what is held back, and hold it no longer."""
        data = bytes(self._data)
        self.discard()
        return data

    def discard(self) -> None:
        """Drop what is held back."""
        self._total.size -= len(self._data)
        self._data = bytearray()

    def keep_unsent(self, size: int) -> None:
        """Count bytes that were taken and wait in this process to be sent."""
        self._unsent_bytes += size
        self._total.size += size

    def release_unsent(self) -> None:
        """Stop counting the bytes that waited to be sent."""
        self._total.size -= self._unsent_bytes
        self._unsent_bytes = 0
