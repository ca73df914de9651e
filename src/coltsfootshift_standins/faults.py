"""Fault proxy: forwards TCP connections and cuts, delays, silences or shapes them on order.

`POST /admin/rules` sets the state of one rule: `{"name": …, "mode": …, "delay": …, "rate": …}`.
Modes: `pass`, `refuse` (new and open connections are cut), `stall` (open connections go silent for
good while new ones work), `hold` (nothing passes until the mode changes), `hold_out` and
`hold_back` (the same, only towards the target or only back). `corrupt_share` is the share of large
pieces in which one byte is changed.
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

HOLD_CHECK_SECONDS = 0.05
MOST_WAITING_BYTES = 262_144
LEAST_CORRUPTED_BYTES = 4_096
CORRUPTION_SEED = 1

_RNG = Random(CORRUPTION_SEED)


@dataclass(slots=True)
class Rule:
    """One forwarded port and what happens on it; `delay` in seconds, `rate` in bytes a second."""

    name: str
    listen: tuple[str, int]
    target: tuple[str, int]
    mode: str = "pass"
    delay: float = 0.0
    limiter: RateLimiter | None = None
    corrupt_share: float = 0.0
    carried: int = 0
    pairs: list[_Side] = field(default_factory=list)
    denied: set[str] = field(default_factory=set)


class _Side(Protocol):
    """One side of a forwarded connection; what it receives waits in order until it is due."""

    transport: Any

    def __init__(self, rule: Rule, held_by: str) -> None:
        self.rule = rule
        self.held_by = held_by
        self.other: _Side | None = None
        self.source = ""
        self.silenced = False
        self._early: list[bytes] = []
        self._waiting: deque[tuple[float, bytes]] = deque()
        self._waiting_bytes = 0
        self._pumping = False
        self._ended = False

    def connectionMade(self) -> None:
        self.rule.pairs.append(self)
        for data in self._early:
            self.transport.write(data)
        self._early.clear()

    def dataReceived(self, data: bytes) -> None:
        if self.silenced:
            return
        due = reactor.seconds() + self.rule.delay
        if self.rule.limiter is not None:
            due = self.rule.limiter.reserve(len(data)) + self.rule.delay
        self._waiting.append((due, data))
        self._waiting_bytes += len(data)
        if self._waiting_bytes > MOST_WAITING_BYTES:
            self.transport.pauseProducing()
        if not self._pumping:
            self._pump()

    def deliver(self, data: bytes) -> None:
        """Write data to this side, once it is connected."""
        if self.transport is None:
            self._early.append(data)
            return
        self.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        if self in self.rule.pairs:
            self.rule.pairs.remove(self)
        self._ended = True
        if not self._waiting:
            self._end_other()

    def _pump(self) -> None:
        """Pass on what is due; come back when the next is."""
        self._pumping = False
        while self._waiting:
            now = reactor.seconds()
            if self.rule.mode in ("hold", self.held_by):
                self._pump_after(HOLD_CHECK_SECONDS)
                return
            due, data = self._waiting[0]
            if due > now:
                self._pump_after(due - now)
                return
            self._waiting.popleft()
            self._pass(data)
        if self._ended:
            self._end_other()

    def _pump_after(self, seconds: float) -> None:
        self._pumping = True
        reactor.callLater(seconds, self._pump)

    def _pass(self, data: bytes) -> None:
        full = self._waiting_bytes > MOST_WAITING_BYTES
        self._waiting_bytes -= len(data)
        if full and self._waiting_bytes <= MOST_WAITING_BYTES and self.connected:
            self.transport.resumeProducing()
        if self.silenced or self.other is None:
            return
        self.rule.carried += len(data)
        if len(data) >= LEAST_CORRUPTED_BYTES and _RNG.random() < self.rule.corrupt_share:
            middle = len(data) // 2
            data = data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
        self.other.deliver(data)

    def _end_other(self) -> None:
        if self.other is not None and self.other.transport is not None and not self.silenced:
            self.other.transport.loseConnection()


class _Inward(Factory):
    noisy = False

    def __init__(self, rule: Rule) -> None:
        self._rule = rule

    def buildProtocol(self, addr: Any) -> Any:
        if self._rule.mode == "refuse" or addr.host in self._rule.denied:
            return None
        inner = _Side(self._rule, "hold_out")
        inner.source = addr.host
        outer = _Side(self._rule, "hold_back")
        inner.other, outer.other = outer, inner
        host, port = self._rule.target
        reactor.connectTCP(host, port, _Outward(outer))
        return inner


class _Outward(ClientFactory):
    noisy = False

    def __init__(self, side: _Side) -> None:
        self._side = side

    def buildProtocol(self, addr: Any) -> _Side:
        return self._side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        other = self._side.other
        if other is not None and other.transport is not None:
            other.transport.abortConnection()


class FaultProxy:
    """Rules by name and the admin calls that change them."""

    def __init__(self) -> None:
        self.app = Klein()
        self._rules: dict[str, Rule] = {}
        self.app.route("/admin/rules", methods=["POST"])(self._set)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    def add(self, rule: Rule) -> None:
        """Open the port of a rule."""
        self._rules[rule.name] = rule
        host, port = rule.listen
        reactor.listenTCP(port, _Inward(rule), interface=host)

    def _set(self, request: Any) -> bytes:
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
        self._act(rule)
        return reply_json(request, {"mode": rule.mode, "open": len(rule.pairs)})

    def _act(self, rule: Rule) -> None:
        for side in list(rule.pairs):
            if side.source in rule.denied:
                side.transport.abortConnection()
        if rule.mode == "refuse":
            for side in list(rule.pairs):
                side.transport.abortConnection()
        if rule.mode == "stall":
            for side in rule.pairs:
                side.silenced = True

    def _counts(self, request: Any) -> bytes:
        rows = {name: {"carried": rule.carried} for name, rule in self._rules.items()}
        return reply_json(request, {"rules": rows})


def run(*, host: str, port: int) -> None:
    """Run the fault proxy; rules are added through its admin call.

    :param host: IP number of the admin port
    :param port: admin port
    """
    serve(FaultProxy().app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
