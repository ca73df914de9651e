"""When the staged chunks of a version were last read back, and for how long that is valid."""

from __future__ import annotations

from math import inf

__all__ = ["MAX_ENGINE_SILENCE_SECONDS", "VERIFICATION_SECONDS", "VerifiedChunks"]

# A load must not take chunks that turned bad longer ago than this.
MAX_CORRUPTED_SECONDS = 3.0
# A sound engine may read nothing for this long, and then accepts what its sender has given up.
MAX_ENGINE_SILENCE_SECONDS = 1.5
VERIFICATION_SECONDS = MAX_CORRUPTED_SECONDS - MAX_ENGINE_SILENCE_SECONDS


class VerifiedChunks:
    """The times at which chunks were found to match their digests.

    Load pattern: a process may be suspended between any two steps of a pass over the chunks, and
    chunks may become corrupted meanwhile. A result is therefore valid for `VERIFICATION_SECONDS`
    from when the chunk was requested, and a load may be ordered while the results of all chunks
    are valid. The order itself may wait for `MAX_ENGINE_SILENCE_SECONDS` at the engine. Times are
    in seconds of a clock that counts while the process is suspended.

    >>> verified = VerifiedChunks(2)
    >>> verified.record(0, 10.0)
    >>> verified.record(1, 10.5)
    >>> verified.list_due(10.6), verified.valid_until, verified.list_due(11.7)
    ([], 11.5, [0])
    """

    def __init__(self, count: int) -> None:
        self._requested_at = [-inf] * count

    def __repr__(self) -> str:
        return f"VerifiedChunks(count={len(self._requested_at)}, valid_until={self.valid_until})"

    @property
    def valid_until(self) -> float:
        """When the first result becomes invalid, in seconds; in the past if one is missing."""
        return min(self._requested_at, default=inf) + VERIFICATION_SECONDS

    def record(self, index: int, requested_at: float) -> None:
        """Record that a chunk that was requested at `requested_at` matches its digest."""
        self._requested_at[index] = requested_at

    def list_due(self, now: float) -> list[int]:
        """Return the indexes of the chunks that have no valid result."""
        due = []
        for index, requested_at in enumerate(self._requested_at):
            if now >= requested_at + VERIFICATION_SECONDS:
                due.append(index)
        return due
