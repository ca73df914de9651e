"""Whole requests whose connection ended without a complete answer."""

from __future__ import annotations

import re
import socket
from dataclasses import replace
from unittest.mock import Mock, patch

import h11
import pytest
from gateway_harness import (
    KEY,
    Transport,
    make_chunk,
    make_event,
    make_response,
)
from test_gateway_leaving import LeavingHarness
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone, ConnectionLost

from coltsfootshift.errors import SettingsError
from coltsfootshift.gateway.exchange import Exchange
from coltsfootshift.gateway.model import CallerLimits
from coltsfootshift.gateway.settings_reload import NodeSettings, SettingsReloader
from coltsfootshift.ids import InstanceId, ServiceName
from coltsfootshift.settings import Address

IDLE_SECONDS = 15.0  # of the limits for callers
SILENCE_SECONDS = 1.9  # between two events, of an endpoint that falls silent for 1.5 s


class LateTransport(Transport):
    """A connection that ends in the next iteration of the reactor, as one of Twisted does.

    `unread` is set while bytes of the other end wait in the buffer of its socket.
    """

    def __init__(self, clock):
        super().__init__()
        self.unread = False
        self._clock = clock
        read = self.handle.recv
        self.handle.recv = lambda size, flags: b"P" if self.unread else read(size, flags)

    def loseConnection(self):
        if not self.disconnecting:
            self.disconnecting = True
            self._clock.callLater(0, self.disconnect, ConnectionDone())

    def abortConnection(self):
        if not self.aborted:
            self.aborted = True
            self._clock.callLater(0, self.disconnect, ConnectionLost())

    def receive(self, data):
        """Pass bytes of the other end on to the protocol."""
        assert self.protocol is not None and not self.disconnecting
        self.unread = False
        self.protocol.dataReceived(data)


def connect(harness) -> LateTransport:
    caller = LateTransport(harness.clock)
    caller.protocol = harness.factory.buildProtocol(None)
    caller.protocol.makeConnection(caller)
    return caller


def make_request(route="read", request="r-1", headers=(), method="POST") -> bytes:
    lines = [f"{method} /{route}/x HTTP/1.1", "Host: host", f"X-Attempt-Id: {request}"]
    lines += [f"X-Api-Key: {KEY}", "Content-Length: 0", *headers, "", ""]
    return "\r\n".join(lines).encode()


def list_statuses(caller, method="POST") -> list[int]:
    """Return the statuses of the complete responses to requests with that method."""
    statuses: list[int] = []
    data = caller.value()
    while data:
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("Host", "host")]))
        http.send(h11.EndOfMessage())
        http.receive_data(data)
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return statuses
            if isinstance(event, h11.Response):
                status = event.status_code
        statuses.append(status)
        data = http.trailing_data[0]
    return statuses


def closes(caller) -> bool:
    """Whether the last response says that the connection ends."""
    return b"connection: close" in caller.value().rpartition(b"HTTP/1.1 ")[2].lower()


def begin(harness, endpoint, route, request):
    """Begin the response of an endpoint; return the bytes that complete it."""
    if route != "talk":
        return make_response(b"ok", request=request)
    endpoint.protocol.dataReceived(make_response(chunked=True, request=request))
    endpoint.protocol.dataReceived(make_chunk(make_event(1)))
    return make_chunk(b"")


@pytest.mark.parametrize("route", ["read", "book", "talk"])
@pytest.mark.parametrize(
    ("left_after", "answered_at", "status"),
    [(0.0, 0.5, 200), (0.5, 0.5, 200), (0.0, 3.0, 503)],
    ids=["before the stop", "after the stop", "answered late"],
)
def test_request_behind_another_gets_an_answer_when_the_entry_leaves(
    route, left_after, answered_at, status
):
    """The connection was closed after the response before it, though it had been read."""
    harness = LeavingHarness(endpoints=1)
    caller = connect(harness)
    caller.receive(make_request(route, "r-1"))
    rest = begin(harness, first := harness.accept(), route, "r-1")
    if left_after:
        harness.entry.leave()
        harness.advance(left_after)
    caller.receive(make_request("read", "r-2"))
    if not left_after:
        harness.entry.leave()
    for number in range(2, 5):
        harness.advance(answered_at / 3)
        if route == "talk":
            first.protocol.dataReceived(make_chunk(make_event(number)))
    first.protocol.dataReceived(rest)
    harness.advance(0.1)
    if status == 200:
        second = first if b"r-2" in first.value() else harness.accept()
        assert caller.protocol is not None
        second.protocol.dataReceived(make_response(b"ok", request="r-2"))
    harness.advance(0.1)
    assert list_statuses(caller) == [200, status]
    assert closes(caller) and caller.protocol is None and not caller.aborted


@pytest.mark.parametrize("part", [0, 1], ids=["in the socket", "partly read"])
@pytest.mark.parametrize("closing", ["idle for too long", "the entry leaves"])
def test_request_that_waits_to_be_read_gets_an_answer(part, closing):
    """An idle connection was closed with a request in its socket, after the process stood still."""
    harness = LeavingHarness(endpoints=1)
    caller = connect(harness)
    caller.receive(make_request("book", "r-1"))
    harness.accept().protocol.dataReceived(make_response(b"ok"))
    request = make_request("book", "r-2")
    if closing == "the entry leaves":
        harness.entry.leave()
        harness.advance(4.4)
    else:
        harness.advance(IDLE_SECONDS - 0.1)
    if part:
        caller.receive(request[:9])
    else:
        caller.unread = True
    harness.advance(0.2)
    caller.receive(request[9:] if part else request)
    if closing == "idle for too long":
        harness.accept().protocol.dataReceived(make_response(b"ok", request="r-2"))
    harness.advance(0.1)
    assert list_statuses(caller) == [200, 503 if closing == "the entry leaves" else 200]


@pytest.mark.parametrize("leaving", [False, True])
def test_connection_with_part_of_a_request_is_not_kept_open(leaving):
    """A connection that is not closed since a request arrives must end if no more of it comes."""
    harness = LeavingHarness(endpoints=1)
    caller = connect(harness)
    caller.receive(make_request("book", "r-1") + make_request("book", "r-2")[:9])
    if leaving:
        harness.entry.leave()
    harness.accept().protocol.dataReceived(make_response(b"ok"))
    harness.advance(3.2)
    assert list_statuses(caller) == [200, 408] and caller.protocol is None


def open_connections(harness, count):
    """Let the gateway open connections to its endpoints, and leave them idle; return them."""
    callers = [harness.send_request("read", request=f"w-{number}") for number in range(count)]
    endpoints = [harness.accept() for _ in callers]
    for endpoint in endpoints:
        request = re.search(rb"x-attempt-id: (\S+)", endpoint.take().lower()).group(1).decode()
        endpoint.protocol.dataReceived(make_response(b"ok", request=request))
    return endpoints


@pytest.mark.parametrize(
    ("event_id", "resumed"),
    [(b"5", b"5"), (b"5 ", b"5"), (b" 5", b"5"), (b"5\t", b"5"), (b"5\0", None), (b"5\v6", None)],
    ids=repr,
)
def test_odd_id_of_an_event_ends_no_other_request(event_id, resumed):
    """A stream was resumed after an id that no header can hold, which ended the periodic task."""
    harness = LeavingHarness(endpoints=2)
    endpoints = open_connections(harness, 12)
    caller = harness.send_request("talk", request="r-1")
    first = next(item for item in endpoints if b"r-1" in item.take())
    first.protocol.dataReceived(make_response(chunked=True))
    first.protocol.dataReceived(make_chunk(b"id: " + event_id + b"\ndata: piece-5\n\n"))
    harness.advance(SILENCE_SECONDS)
    resumptions = [item.value() for item in endpoints if b"r-1" in item.value()]
    if resumed is None:
        assert not resumptions and not caller.aborted and not first.aborted
    else:
        assert b"\r\nlast-event-id: " + resumed + b"\r\n" in resumptions[0].lower()
    other = harness.send_request("book", ["X-Deadline-Ms: 300"], request="r-2")
    assert harness.accept() is not None
    harness.advance(0.4)
    assert list_statuses(other) == [504]


def test_periodic_task_goes_on_after_a_failure():
    """Once it had failed, requests waited until their deadlines, and streams were not watched."""
    harness = LeavingHarness(endpoints=1)
    callers = [harness.send_request("book", request=f"r-{number}") for number in range(13)]
    limits = harness.gateway.beliefs.limits
    with patch.object(limits, "remove_expired", side_effect=ValueError("a fault")):
        harness.advance(0.1)
    harness.entry.leave()
    harness.advance(7.28)
    assert list_statuses(callers[-1]) == [503]


@pytest.mark.parametrize("named", ["host", "Host, X-Attempt-Id", "close, host"])
@pytest.mark.parametrize("used", [False, True], ids=["new", "used"])
def test_connection_header_that_names_what_a_request_needs(named, used):
    """The request could not be built for the endpoint; the caller's connection was closed."""
    harness = LeavingHarness(endpoints=1)
    endpoints = open_connections(harness, 1) if used else []
    caller = connect(harness)
    caller.receive(make_request("read", headers=[f"Connection: {named}"]))
    endpoint = endpoints[0] if used else harness.accept()
    head = endpoint.take().lower()
    assert b"host: host\r\n" in head and b"x-attempt-id: r-1\r\n" in head
    endpoint.protocol.dataReceived(make_response(b"ok"))
    assert list_statuses(caller) == [200]


@pytest.mark.parametrize("passed_on", [False, True])
def test_request_whose_handling_fails_gets_an_answer(passed_on):
    """Its connection was closed by the event loop, and its endpoint went on with it."""
    harness = LeavingHarness(endpoints=1)
    endpoints = open_connections(harness, 1)
    caller = connect(harness)
    if passed_on:
        fault = patch.object(Exchange, "set_outbound", side_effect=ValueError("a fault"))
    else:
        fault = patch.object(harness.gateway, "_place", side_effect=ValueError("a fault"))
    with fault:
        caller.receive(make_request("read", "r-1"))
    assert list_statuses(caller) == [502] and not caller.disconnecting
    assert (b"r-1" in endpoints[0].value()) is passed_on
    assert not harness.gateway.unfinished
    caller.receive(make_request("read", "r-2"))
    assert harness.accept() is not None or b"r-2" in endpoints[0].value()


@pytest.mark.parametrize("route", ["read", "book", "talk"])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"])
@pytest.mark.parametrize("status", [200, 204, 205, 304, 404, 500])
def test_answer_without_a_body_is_complete(route, method, status):
    """A body where the framing allows none ends the connection with an exception."""
    harness = LeavingHarness(endpoints=2)
    caller = connect(harness)
    caller.receive(make_request(route, method=method))
    answer = make_response(status=status)
    if status in (204, 304):
        answer = answer.replace(b"Content-Length: 0\r\n", b"")
    while (endpoint := harness.accept()) is not None:
        endpoint.protocol.dataReceived(answer)
    harness.advance(0.1)
    assert list_statuses(caller, method) == [status] and caller.protocol is not None


@pytest.mark.parametrize("route", ["read", "book", "talk"])
@pytest.mark.parametrize(
    "header",
    ["Expect: 100-continue", "Upgrade: websocket", "X-Long: " + "a" * 14_000, "TE: trailers"],
    ids=lambda header: header[:8],
)
def test_request_with_a_rare_header_is_answered_on_a_kept_connection(route, header):
    """An answer that ends the connection loses the request that follows on it."""
    harness = LeavingHarness(endpoints=2)
    caller = connect(harness)
    request = make_request(route, headers=[header], method="PUT")
    request = request.replace(b"Content-Length: 0", b"Content-Length: 3")
    endpoint = None
    for number in range(1, 4):
        head = request.replace(b"r-1", b"r-%d" % number)
        caller.receive(head[:100])
        caller.receive(head[100:])
        caller.receive(b"abc")
        endpoint = harness.accept() or endpoint
        endpoint.protocol.dataReceived(make_response(b"id: 1\ndata: a\n\n", request=f"r-{number}"))
        harness.advance(0.1)
    assert list_statuses(caller) == [200] * 3 and caller.protocol is not None


def change_catalogue(harness, change):
    """Make a change of the catalogue or of the endpoints known to the gateway."""
    tables = harness.tables
    catalogue = tables.catalogue
    plain = ServiceName("s")
    routes = catalogue.routes["host"]
    if change == "routes removed":
        tables.catalogue = replace(catalogue, routes={})
    elif change == "service removed":
        services = {name: spec for name, spec in catalogue.services.items() if name != plain}
        tables.catalogue = replace(catalogue, services=services)
    elif change == "routes moved":
        target = replace(routes[0].targets[0], service=ServiceName("other"))
        other = replace(catalogue.services[plain], name=ServiceName("other"))
        moved = tuple(replace(route, targets=(target,)) for route in routes)
        services = {**catalogue.services, other.name: other}
        tables.catalogue = replace(catalogue, routes={"host": moved}, services=services)
        harness.add_endpoint("o-0", "other", 280)
    elif change == "key taken away":
        tables.catalogue = replace(catalogue, teams={"key-2": catalogue.teams[KEY]})
    elif change == "limits lowered":
        tables.catalogue = replace(catalogue, limits=CallerLimits(1000, 1, 0.1, 1.0))
    elif change == "time-out shortened":
        short = tuple(replace(route, timeout=0.1) for route in routes)
        tables.catalogue = replace(catalogue, routes={"host": short})
    elif change == "fewer connections":
        spec = replace(catalogue.services[plain], max_connections=1)
        tables.catalogue = replace(catalogue, services={**catalogue.services, plain: spec})
    else:
        _change_endpoint(tables, change)
    harness.gateway.refresh()


def _change_endpoint(tables, change):
    name = InstanceId("e-0")
    record = tables.endpoints[name]
    if change == "endpoint removed":
        del tables.endpoints[name]
    elif change == "endpoint replaced":
        del tables.endpoints[name]
        tables.endpoints[InstanceId("e-9")] = replace(record, endpoint=InstanceId("e-9"))
    elif change == "endpoint leaves":
        tables.endpoints[name] = replace(record, leaving=True)
    elif change == "endpoint restarted":
        tables.endpoints[name] = replace(record, born=1)
    elif change == "endpoint moved":
        tables.endpoints[name] = replace(record, address=Address("10.0.0.9", 99))
    else:
        raise ValueError(change)


CHANGES = [
    "routes removed",
    "service removed",
    "routes moved",
    "key taken away",
    "limits lowered",
    "time-out shortened",
    "fewer connections",
    "endpoint removed",
    "endpoint replaced",
    "endpoint leaves",
    "endpoint restarted",
    "endpoint moved",
]


@pytest.mark.parametrize("leaving", [False, True], ids=["", "entry leaves"])
@pytest.mark.parametrize("state", ["dialling", "sent", "begun", "kept", "pipelined"])
@pytest.mark.parametrize("change", CHANGES)
def test_change_ends_no_request_in_progress(change, state, leaving):
    """A request that an endpoint works on was cut when the catalogue or the endpoint changed."""
    harness = LeavingHarness(endpoints=1)
    caller = connect(harness)
    if state == "kept":
        caller.receive(make_request("book", "r-0"))
        harness.accept().protocol.dataReceived(make_response(b"ok", request="r-0"))
        caller.clear()
    if leaving:
        harness.entry.leave()
    route = "talk" if state == "begun" else "book"
    caller.receive(make_request(route))
    if state == "pipelined":
        caller.receive(make_request("book", "r-2"))
    if state != "dialling":
        endpoint = harness.accept()
    rest = make_response(b"ok")
    if state == "begun":
        rest = begin(harness, endpoint, route, "r-1")
    change_catalogue(harness, change)
    harness.advance(0.5)
    if state == "dialling":
        endpoint = harness.accept()
    harness.advance(0.5)
    endpoint.protocol.dataReceived(rest)
    harness.advance(0.1)
    second = harness.accept()
    if second is not None and second.protocol is not None:
        second.protocol.dataReceived(make_response(b"ok", request="r-2"))
    harness.run_until_stopped() if leaving else harness.advance(61.0)
    statuses = list_statuses(caller)
    assert statuses[0] == 200 and not caller.aborted
    assert len(statuses) == (2 if state == "pipelined" else 1)


@pytest.mark.parametrize("change", CHANGES)
def test_change_leaves_no_request_in_a_queue_without_an_answer(change):
    """A request that waited for an endpoint that is no longer there was not ended."""
    harness = LeavingHarness(endpoints=1)
    callers = []
    for number in range(13):
        callers.append(caller := connect(harness))
        caller.receive(make_request("book", f"r-{number}"))
    endpoints = [harness.accept() for _ in range(12)]
    change_catalogue(harness, change)
    harness.advance(0.5)
    for number, endpoint in enumerate(endpoints):
        endpoint.protocol.dataReceived(make_response(b"ok", request=f"r-{number}"))
    harness.advance(0.5)
    last = harness.accept()
    if last is not None:
        last.protocol.dataReceived(make_response(b"ok", request="r-12"))
    harness.advance(61.0)
    assert [list_statuses(caller)[0] for caller in callers[:12]] == [200] * 12
    assert list_statuses(callers[12]) in ([200], [503])


@pytest.mark.parametrize(
    "signals",
    [
        [("leave", 0.0), ("leave", 0.1), ("leave", 3.9)],
        [("reload", 0.0), ("reload", 0.0), ("reload", 0.1)],
        [("leave", 0.0), ("reload", 0.0), ("reload", 0.1), ("reload", 4.1), ("leave", 4.6)],
        [("reload", 0.0), ("leave", 0.1), ("leave", 0.1), ("reload", 7.0)],
    ],
    ids=lambda signals: "-".join(name for name, _ in signals),
)
@pytest.mark.parametrize("valid", [True, False], ids=["", "invalid settings"])
@pytest.mark.parametrize("route", ["book", "once"])
def test_signals_in_series_end_no_request(route, valid, signals):
    """A second signal restarted or cut short the time in which requests are finished."""
    harness = LeavingHarness(endpoints=1)
    source = Mock()
    source.parse.return_value = NodeSettings((Address("10.0.0.2", 1),), {})
    if not valid:
        source.parse.side_effect = SettingsError("seeds: missing")
    harness.entry.settings = SettingsReloader(source, NodeSettings((), {}))
    caller = connect(harness)
    caller.receive(make_request(route))
    endpoint = harness.accept()
    rest = make_response(b"ok")
    if route == "once":
        endpoint.protocol.dataReceived(make_response(chunked=True))
        rest = make_chunk(make_event(1)) + make_chunk(b"")
    for number in range(70):
        for name, at in signals:
            if number == int(10 * at):
                getattr(harness.entry, name)()
        harness.advance(0.1)
    assert endpoint.protocol is not None and caller.protocol is not None
    endpoint.protocol.dataReceived(rest)
    harness.advance(0.5)
    assert list_statuses(caller) == [200]
    assert harness.stopped is any(name == "leave" for name, _ in signals)


PHASES = [-2.0, -1.0, -0.1, 0.5, 1.4, 1.9, 3.2, 3.9, 4.4, 5.0]


@pytest.mark.parametrize("silent_from", PHASES, ids=lambda at: f"{at:+.1f} s")
@pytest.mark.parametrize(
    ("route", "others"),
    [("read", 0), ("book", 0), ("once", 0), ("book", 1), ("once", 1), ("talk", 1)],
)
def test_silence_of_an_endpoint_ends_no_answer_of_a_leaving_entry(route, others, silent_from):
    """An answer was cut since its endpoint had been silent for a while, though it went on."""
    answer_after_silence(route, others, silent_from)


@pytest.mark.parametrize(("route", "others"), [("talk", 0), ("model", 0), ("model", 1)])
def test_stream_that_nothing_else_can_go_on_with_survives_a_silence(route, others):
    """It was taken from its endpoint before it was known that no other can end it in time."""
    for silent_from in PHASES:
        answer_after_silence(route, others, silent_from)


def answer_after_silence(route, others, silent_from):
    """Let an endpoint be silent from `silent_from` seconds after the stop of the entry began.

    The answer is begun before and completed after that, by that endpoint or one of the `others`.
    """
    harness = LeavingHarness(endpoints=1 + others, engines=1 + others)
    now = min(silent_from, 1.8) - 0.1
    harness.entry.reactor.callLater(4.0, harness.entry.leave)
    harness.advance(4.0 + now)
    caller = connect(harness)
    caller.receive(make_request(route, headers=["X-Model: m", "X-Token-Counts: 900,90"]))
    endpoint = harness.accept()
    streams = route not in ("read", "book")
    if streams:
        endpoint.protocol.dataReceived(
            make_response(chunked=True, headers=["X-Weight-Versions: 1"])
        )
    number = 0
    while now < silent_from:
        number += 1
        if streams:
            endpoint.protocol.dataReceived(make_chunk(make_event(number)))
        harness.advance(0.1)
        now += 0.1
    harness.advance(SILENCE_SECONDS)
    assert not caller.aborted
    if endpoint.aborted:
        endpoint = harness.accept()
        endpoint.protocol.dataReceived(
            make_response(chunked=True, headers=["X-Weight-Versions: 1"])
        )
    rest = make_chunk(make_event(number + 1)) + make_chunk(b"")
    endpoint.protocol.dataReceived(rest if streams else make_response(b"ok"))
    harness.advance(0.2)
    assert list_statuses(caller) == [200]


def test_connection_that_waits_to_be_accepted_gets_an_answer():
    """It was reset when the port closed, though its caller had connected and sent a request."""
    harness = LeavingHarness()
    reactor = EPollReactor()
    harness.entry._port = reactor.listenTCP(0, harness.factory, interface="127.0.0.1")
    address = harness.entry._port.getHost()
    callers = []
    harness.entry.leave()
    harness.advance(3.9)
    for number in range(3):
        callers.append(socket.create_connection((address.host, address.port), 5.0))
        callers[-1].sendall(make_request("book", f"r-{number}"))
    harness.advance(0.2)
    for _ in range(5):
        reactor.iterate()
    for caller in callers:
        assert caller.recv(65536).startswith(b"HTTP/1.1 503 ")
        caller.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((address.host, address.port), 5.0)


@pytest.mark.parametrize(
    ("stalled_from", "until"), [(1.0, 4.7), (3.0, 5.0), (3.9, 4.7), (3.9, 7.5)], ids=str
)
def test_entry_that_stood_still_does_not_end_before_its_answers(stalled_from, until):
    """It was found to have nothing left to do before it had looked at who had connected."""
    harness = LeavingHarness()
    callers = []

    def accept():
        callers.append(caller := connect(harness))
        caller.unread = True

    harness.port.doRead.side_effect = accept
    harness.entry.leave()
    harness.advance(stalled_from)
    harness.clock.advance(until - stalled_from)
    assert not harness.stopped
    callers[0].receive(make_request("book"))
    assert list_statuses(callers[0]) == [503] and not harness.stopped
    harness.advance(0.02)
    assert callers[0].protocol is None and not callers[0].aborted
    assert harness.run_until_stopped() < 0.5


@pytest.mark.parametrize("route", ["read", "talk", "model"])
@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("stalled_for", [0.6, 1.9, 3.0], ids=str)
def test_time_in_which_the_process_stood_still_is_no_silence_of_its_endpoints(
    stalled_for, begun, route
):
    """Timers run before sockets are read: all answers were moved, or ended by a refusal."""
    harness = LeavingHarness(endpoints=2, engines=2)
    headers = ["X-Model: m", "X-Token-Counts: 900,90"]
    caller = connect(harness)
    caller.receive(make_request(route, headers=headers))
    endpoint = harness.accept()
    streams = route != "read"
    if begun and streams:
        endpoint.protocol.dataReceived(
            make_response(chunked=True, headers=["X-Weight-Versions: 1"])
        )
        endpoint.protocol.dataReceived(make_chunk(make_event(1)))
    harness.advance(0.1)
    answer = make_response(b"id: 2\ndata: b\n\n", headers=["X-Weight-Versions: 1"])
    if begun and streams:
        answer = make_chunk(make_event(2)) + make_chunk(b"")

    def read():
        assert not endpoint.aborted and harness.accept() is None
        endpoint.protocol.dataReceived(answer)

    harness.stand_still(stalled_for, read)
    harness.advance(0.1)
    assert list_statuses(caller) == [200]
    for state in harness.gateway._states.values():
        assert not state.is_suspected(harness.clock.seconds()) and not state.ejected


def test_silence_is_noticed_by_a_process_that_is_short_of_time():
    """A check that waits for a tick in time would never come."""
    harness = LeavingHarness(engines=2)
    caller = connect(harness)
    caller.receive(make_request("model", headers=["X-Model: m", "X-Token-Counts: 900,90"]))
    endpoint = harness.accept()
    endpoint.protocol.dataReceived(make_response(chunked=True, headers=["X-Weight-Versions: 1"]))
    for _ in range(10):
        harness.clock.advance(0.2)
        harness.confirm()
    assert endpoint.aborted and harness.accept() is not None
