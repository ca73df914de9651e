"""A lock based on an exclusive local port, for engines that do not check fencing numbers."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

__all__ = ["PortLock"]


class PortLock:
    """A lock held by the one process of an instance that listens on the port.

    The operating system releases the port when the holder exits, even after a crash. If `port` is
    None, no lock is needed and `acquire` always succeeds.
    """

    def __init__(self, reactor: Any, host: str, port: int | None) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._server: Any = None

    def __repr__(self) -> str:
        return f"PortLock(host={self._host!r}, port={self._port}, held={self._server is not None})"

    def acquire(self) -> bool:
        """Acquire the lock if it is free; return whether this process holds it."""
        if self._port is None or self._server is not None:
            return True
        try:
            self._server = self._reactor.listenTCP(self._port, Factory(), interface=self._host)
        except CannotListenError:
            return False
        return True
