"""How HTTP clients connect to the store, engines, the origin and the platform."""

from __future__ import annotations

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.answers import make_agent


class _Resolver:
    """Tells the address of each name at once, and which names it was asked for."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def resolveHostName(self, receiver, name, portNumber=0, **_):
        self.names.append(name)
        receiver.resolutionBegan(None)
        receiver.addressResolved(IPv4Address("TCP", "127.0.0.9", portNumber))
        receiver.resolutionComplete()


@pytest.mark.parametrize(
    ("host", "dialled", "names"),
    [("127.0.0.1", "127.0.0.1", []), ("store.example", "127.0.0.9", ["store.example"])],
    ids=["address", "name"],
)
def test_address_is_dialled_without_a_lookup(host, dialled, names):
    """A thread looked it up, and did so too late for the time limit on a busy machine."""
    reactor, resolver = MemoryReactorClock(), _Resolver()
    reactor.nameResolver = resolver
    agent = make_agent(reactor, HTTPConnectionPool(reactor, persistent=True))
    agent.request(b"GET", f"http://{host}:81/".encode())
    assert resolver.names == names
    assert [client[:2] for client in reactor.tcpClients] == [(dialled, 81)]
