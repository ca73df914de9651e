"""Lets each HTTP client make one call to a port, and prints its name and outcome.

    python endless_clients.py PORT SECONDS

Half a second after the last outcome it prints `open` and how many connections it still has to the
port. It ends when its standard input is closed, so that it can be seen which connections are closed
before, or after `SECONDS`.
"""

from __future__ import annotations

import sys
import threading
from random import Random

import psutil
from coltsfootshift_platform.engines import HttpEngine, HttpOrigin
from coltsfootshift_platform.store import StoreWatcher
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from coltsfootshift.catalogueservice import http as catalogue_http
from coltsfootshift.catalogueservice.http import HttpPlatform
from coltsfootshift.controllers.storereads import RequestId
from coltsfootshift.engines.http import HttpEndpoint
from coltsfootshift.gateway.table_cache import Table, TableConsumer, TablePosition
from coltsfootshift.ids import Digest
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address
from coltsfootshift.weightstore import http as weight_http

CLOSE_SECONDS = 0.5
WEIGHTS_SECONDS = 3.0  # less than the client's own limit, so that the test ends soon
POLL_SECONDS = 3.0  # the same


class _NoTables(TableConsumer):
    """Reads the operator table only, and knows nothing of it yet."""

    def record_contact(self, reached, seconds=0.0):
        pass

    def choose_start(self, table):
        return TablePosition() if table is Table.OPERATOR else None

    def handle_answer(self, answer):
        raise AssertionError("an answer without end was taken for one")


async def send_nothing(request) -> None:
    await Deferred()


def read_store(address: Address) -> Deferred:
    watcher = StoreWatcher(reactor, address, _NoTables(), Metrics(), Random(1))
    watcher.fetch_probe = send_nothing  # only the read connects
    name = RequestId(Table.OPERATOR.value)
    read = Deferred.fromCoroutine(watcher._read(Table.OPERATOR, TablePosition(), True, name))
    return read.addBoth(lambda result: (watcher.stop(), result)[1])


def list_calls(address: Address) -> dict:
    """Return a function for each client that makes its call."""
    url = f"http://{address.host}:{address.port}"
    engine = HttpEngine(reactor, address)
    digest = Digest("d")
    return {
        "store": lambda: read_store(address),
        "report": engine.read_report,
        "staged": lambda: engine.read_staged("m", 0),
        "stage": lambda: engine.stage("m", 0, b"data"),
        "origin": lambda: HttpOrigin(reactor, address).read_chunk("m", 1, 0),
        "digests": lambda: HttpOrigin(reactor, address).read_digests("m", 1),
        "chunk": lambda: weight_http.HttpWeightStore(reactor, url).read_chunk(digest, 0),
        "table": lambda: HttpPlatform(reactor, url).watch("catalogue", 0),
        "status": HttpEndpoint(reactor, url).read_status,
    }


def count_open(port: int) -> int:
    """Return how many sockets of this process are connected to a port, or were until it closed."""
    connections = psutil.Process().net_connections("tcp4")
    return sum(bool(row.raddr) and row.raddr.port == port for row in connections)


def main(port: int, seconds: float) -> None:
    weight_http.REQUEST_TIMEOUT_SECONDS = WEIGHTS_SECONDS
    catalogue_http.MAX_TIMEOUT_SECONDS = POLL_SECONDS
    catalogue_http.LATE_SECONDS = 2 * POLL_SECONDS  # one connection for each client
    calls = list_calls(Address("127.0.0.1", port))
    running = set(calls)

    reactor.callLater(seconds, reactor.stop)

    def end(result, name, outcome):
        print(name, outcome, flush=True)
        running.discard(name)
        if not running:
            # What is due after a time that this process was not run goes before what has arrived.
            reactor.callLater(CLOSE_SECONDS, reactor.callLater, 0, reactor.callLater, 0, tell_open)

    def tell_open():
        print("open", count_open(port), flush=True)
        threading.Thread(target=stop_at_end_of_input, daemon=True).start()

    def stop_at_end_of_input():
        sys.stdin.read()
        reactor.callFromThread(reactor.stop)

    for name, call in calls.items():
        call().addCallbacks(end, end, callbackArgs=(name, "done"), errbackArgs=(name, "failed"))
    reactor.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]))
