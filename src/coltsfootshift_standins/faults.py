"""Fault-injecting TCP proxy that aborts, delays, stalls, corrupts or rate-limits connections.

`POST /admin/rules` adds or changes a rule: `{"name": …, "mode": …, "delay": …, "rate": …}`.
`delay` is in seconds and `rate` in bytes per second (0 or null: unlimited). The modes are:

- `pass`: forward all data.
- `refuse`: abort open connections and refuse new ones.
- `stall`: discard all further data of the connections that are open and do not forward their
  end; new connections work.
- `hold`: buffer all data until the mode changes.
- `hold_out`, `hold_back`: the same, only towards the target or only from it.

`corrupt_share` is the fraction of received blocks of at least `MIN_CORRUPTED_BYTES` in which one
byte is changed. Connections from the addresses in `denied` are aborted or refused.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

import defopt
from klein import Klein
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from coltsfootshift.loop import reactor
from coltsfootshift_standins.common import RateLimiter, read_json, reply_json, serve

HOLD_POLL_SECONDS = 0.05
MAX_BUFFERED_BYTES = 262_144
MIN_CORRUPTED_BYTES = 4_096
CORRUPTION_SEED = 1

_RNG = Random(CORRUPTION_SEED)


@dataclass(slots=True)
class Rule:
    """A forwarded port and the faults injected on it; `delay` is in seconds."""

    name: str
    listen: tuple[str, int]
    target: tuple[str, int]
    mode: str = "pass"
    delay: float = 0.0
    limiter: RateLimiter | None = None
    corrupt_share: float = 0.0
    carried: int = 0
    connections: list[_ProxyConnection] = field(default_factory=list)
    denied: set[str] = field(default_factory=set)


class _ProxyConnection(Protocol):
    """One side of a forwarded connection.

    Buffers the data that it receives, in order, until the time at which it is to be forwarded to
    the other side.
    """

    transport: Any

    def __init__(self, rule: Rule, hold_mode: str) -> None:
        self.rule = rule
        self.held_by = hold_mode
        self.other: _ProxyConnection | None = None
        self.source = ""
        self.stalled = False
        self._sent_before_connect: list[bytes] = []
        self._buffer: deque[tuple[float, bytes]] = deque()
        self._buffered_bytes = 0
        self._forward_scheduled = False
        self._closed = False

    def connectionMade(self) -> None:
        self.rule.connections.append(self)
        for data in self._sent_before_connect:
            self.transport.write(data)
        self._sent_before_connect.clear()

    def dataReceived(self, data: bytes) -> None:
        if self.stalled:
            return
        due = reactor.seconds() + self.rule.delay
        if self.rule.limiter is not None:
            due = self.rule.limiter.reserve(len(data)) + self.rule.delay
        self._buffer.append((due, data))
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self.transport.pauseProducing()
        if not self._forward_scheduled:
            self._forward_due()

    def deliver(self, data: bytes) -> None:
        """Write data to this side, or keep it until this side is connected."""
        if self.transport is None:
            self._sent_before_connect.append(data)
            return
        self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        if self in self.rule.connections:
            self.rule.connections.remove(self)
        self._closed = True
        if not self._buffer:
            self._close_other()

    def _forward_due(self) -> None:
        """Forward the data that is due and schedule a call for the rest."""
        self._forward_scheduled = False
        while self._buffer:
            now = reactor.seconds()
            if self.rule.mode in ("hold", self.held_by):
                self._schedule_forward(HOLD_POLL_SECONDS)
                return
            due, data = self._buffer[0]
            if due > now:
                self._schedule_forward(due - now)
                return
            self._buffer.popleft()
            self._forward(data)
        if self._closed:
            self._close_other()

    def _schedule_forward(self, seconds: float) -> None:
        self._forward_scheduled = True
        reactor.callLater(seconds, self._forward_due)

    def _forward(self, data: bytes) -> None:
        full = self._buffered_bytes > MAX_BUFFERED_BYTES
        self._buffered_bytes -= len(data)
        if full and self._buffered_bytes <= MAX_BUFFERED_BYTES and self.connected:
            self.transport.resumeProducing()
        if self.stalled or self.other is None:
            return
        self.rule.carried += len(data)
        if len(data) >= MIN_CORRUPTED_BYTES and _RNG.random() < self.rule.corrupt_share:
            middle = len(data) // 2
            data = data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
        self.other.deliver(data)

    def _close_other(self) -> None:
        if self.other is not None and self.other.transport is not None and not self.stalled:
            self.other.transport.loseConnection()


class _ListeningFactory(Factory):
    noisy = False

    def __init__(self, rule: Rule) -> None:
        self._rule = rule

    def buildProtocol(self, addr: Any) -> Any:
        if self._rule.mode == "refuse" or addr.host in self._rule.denied:
            return None
        client_side = _ProxyConnection(self._rule, "hold_out")
        client_side.source = addr.host
        target_side = _ProxyConnection(self._rule, "hold_back")
        client_side.other, target_side.other = target_side, client_side
        host, port = self._rule.target
        reactor.connectTCP(host, port, _TargetFactory(target_side))
        return client_side


class _TargetFactory(ClientFactory):
    noisy = False

    def __init__(self, side: _ProxyConnection) -> None:
        self._side = side

    def buildProtocol(self, addr: Any) -> _ProxyConnection:
        return self._side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        other = self._side.other
        if other is not None and other.transport is not None:
            other.transport.abortConnection()


class FaultProxy:
    """The forwarding rules by name and the admin calls that change them."""

    def __init__(self) -> None:
        self.app = Klein()
        self._rules: dict[str, Rule] = {}
        self.app.route("/admin/rules", methods=["POST"])(self._set_rule)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    def add(self, rule: Rule) -> None:
        """Add a rule and listen on its port."""
        self._rules[rule.name] = rule
        host, port = rule.listen
        reactor.listenTCP(port, _ListeningFactory(rule), interface=host)

    def _set_rule(self, request: Any) -> bytes:
        wanted = read_json(request)
        if wanted["name"] not in self._rules:
            self.add(Rule(wanted["name"], tuple(wanted["listen"]), tuple(wanted["target"])))
        rule = self._rules[wanted["name"]]
        rule.mode = wanted.get("mode", rule.mode)
        rule.delay = float(wanted.get("delay", rule.delay))
        rule.corrupt_share = float(wanted.get("corrupt_share", rule.corrupt_share))
        rule.denied = set(wanted.get("denied", rule.denied))
        if "rate" in wanted:
            rule.limiter = RateLimiter(float(wanted["rate"])) if wanted["rate"] else None
        self._apply_to_open_connections(rule)
        return reply_json(request, {"mode": rule.mode, "open": len(rule.connections)})

    def _apply_to_open_connections(self, rule: Rule) -> None:
        for side in list(rule.connections):
            if side.source in rule.denied:
                side.transport.abortConnection()
        if rule.mode == "refuse":
            for side in list(rule.connections):
                side.transport.abortConnection()
        if rule.mode == "stall":
            for side in rule.connections:
                side.stalled = True

    def _counts(self, request: Any) -> bytes:
        rows = {name: {"carried": rule.carried} for name, rule in self._rules.items()}
        return reply_json(request, {"rules": rows})


def run(*, host: str, port: int) -> None:
    """Run the fault proxy; rules are added with admin calls.

    :param host: IP address of the admin port
    :param port: admin port
    """
    serve(FaultProxy().app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
