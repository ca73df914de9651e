"""Counts what waits to be sent to callers and endpoints that read slowly."""

from __future__ import annotations

from typing import Any, Protocol

from coltsfootshift.gateway.holding import MIN_BODY_BYTES, HeldBytes

__all__ = ["UnsentAnswers", "count_unsent"]

MEASURE_INTERVAL_SECONDS = 0.05  # a caller that reads empties the buffer of its socket sooner


def count_unsent(transport: Any) -> int:
    """Return how many bytes wait in the buffers of a transport, which keeps them once closed."""
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


class AnsweredConnection(Protocol):
    """A caller's connection on which a complete answer may wait to be sent."""

    def count_unsent(self) -> int: ...


class UnsentAnswers:
    """The bytes of complete answers that callers have not read, in the sum of all held bytes.

    Load pattern: many callers ask for long answers and read nothing. Each answer is complete and
    its request over, but its bytes stay until the caller reads them or its connection is closed.
    Short ones, up to `MIN_BODY_BYTES` on a connection, are not counted.
    """

    def __init__(self, total: HeldBytes, reactor: Any) -> None:
        self._total = total
        self._reactor = reactor
        self._sizes: dict[AnsweredConnection, int] = {}
        self._timer: Any = None

    def __repr__(self) -> str:
        return f"UnsentAnswers(connections={len(self._sizes)})"

    @property
    def full(self) -> bool:
        """Whether this process holds so much that it should not add to what a caller leaves."""
        return self._total.full

    def update(self, connection: AnsweredConnection) -> None:
        """Count what waits on a connection now."""
        size = connection.count_unsent()
        if size <= MIN_BODY_BYTES:
            self.release(connection)
            return
        self._total.size += size - self._sizes.get(connection, 0)
        self._sizes[connection] = size
        if self._timer is None:
            self._timer = self._reactor.callLater(MEASURE_INTERVAL_SECONDS, self._measure)

    def release(self, connection: AnsweredConnection) -> None:
        """Stop counting a connection, which has been read or closed."""
        self._total.size -= self._sizes.pop(connection, 0)

    def _measure(self) -> None:
        self._timer = None
        for connection in list(self._sizes):
            self.update(connection)
