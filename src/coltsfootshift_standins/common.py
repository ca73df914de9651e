"""Helpers shared by the stand-ins: JSON requests and responses, serving, a rate limiter."""

from __future__ import annotations

import json
import signal
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from coltsfootshift.loop import reactor

__all__ = ["RateLimiter", "listen", "read_json", "reply_json", "serve", "sleep"]


class RateLimiter:
    """Limits a byte stream to a rate with a single first-in, first-out queue."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def reserve(self, amount: int) -> float:
        """Queue `amount` bytes and return the reactor time at which the last of them has passed."""
        now = reactor.seconds()
        self._free_at = max(now, self._free_at) + amount / self.bytes_per_second
        return self._free_at

    def wait(self, amount: int) -> Deferred[None]:
        """Return a deferred that fires once `amount` bytes have passed."""
        finish_at = self.reserve(amount)
        return sleep(max(0.0, finish_at - reactor.seconds()))


def sleep(seconds: float) -> Deferred[None]:
    """Return a deferred that fires after `seconds`."""
    deferred: Deferred[None] = Deferred()
    reactor.callLater(seconds, deferred.callback, None)
    return deferred


def read_json(request: Any) -> Any:
    """Return the decoded JSON body of a request, or an empty dict if the body is empty."""
    text = request.content.read()
    return json.loads(text) if text else {}


def reply_json(request: Any, content: Any) -> bytes:
    """Set the content type of the response and return `content` as JSON."""
    request.setHeader("Content-Type", "application/json")
    return json.dumps(content).encode()


def listen(app: Klein, host: str, port: int) -> None:
    """Listen on an address; requests are served once the reactor runs."""
    reactor.listenTCP(port, Site(app.resource()), interface=host)


def serve(app: Klein, host: str, port: int) -> None:
    """Serve an app and block until SIGTERM or SIGINT."""
    listen(app, host, port)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)
