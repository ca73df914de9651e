"""Changes of the catalogue and of the endpoints while requests are in each of their phases."""

from __future__ import annotations

from dataclasses import replace
from threading import Thread

import pytest
from gateway_harness import make_chunk, make_event, make_response
from test_gateway_broken_off import LoopbackHarness
from test_gateway_leaving import LONG_SECONDS, LeavingHarness
from test_gateway_lost_answers import (
    CHANGES,
    change_catalogue,
    connect,
    list_statuses,
    make_request,
)

from coltsfootshift.gateway.model import CallerLimits
from coltsfootshift.ids import InstanceId, ServiceName

SLOTS = 12  # requests that the endpoint of the harness takes at a time
HEAD = make_response(chunked=True)
EVENT = make_chunk(make_event(1))
# Statuses of requests that are handled after the change, which may forbid them.
LATER = {200, 401, 403, 404, 413, 431, 503}
OTHER_CHANGES = {
    "all time-outs shortened": ["time-out shortened", "idle time-outs shortened"],
    "catalogue and endpoints at once": ["limits lowered", "endpoint removed", "routes removed"],
    "service removed and added again": ["service removed", "restored"],
    "endpoint removed and added again": ["endpoint removed", "restored"],
    "endpoint moved and moved back": ["endpoint moved", "restored"],
    "service removed, endpoint restarted, service added": [
        "service removed",
        "endpoint restarted",
        "restored",
    ],
}


class ChangingHarness(LeavingHarness):
    """A gateway with one endpoint, whose tables change."""

    def __init__(self):
        super().__init__(endpoints=1)
        self._catalogue = self.tables.catalogue
        self._endpoints = dict(self.tables.endpoints)

    def change(self, change):
        """Make one change, or several in series."""
        for part in OTHER_CHANGES.get(change, [change]):
            if part == "idle time-outs shortened":
                limits = CallerLimits(header_timeout=0.02, idle_timeout=0.02)
                self.tables.catalogue = replace(self.tables.catalogue, limits=limits)
                self.gateway.refresh()
            elif part == "restored":
                self.tables.catalogue = self._catalogue
                self.tables.endpoints.clear()
                self.tables.endpoints.update(self._endpoints)
                self.gateway.refresh()
            else:
                change_catalogue(self, part)


class Phase:
    """A request in some phase: `begin` brings it there, `finish` on to its end."""

    expected = [{200}]

    def begin(self, harness):
        self.caller = connect(harness)
        self.caller.receive(make_request("book"))

    def finish(self, harness):
        harness.accept().protocol.dataReceived(make_response(b"ok"))


class HeadHalfRead(Phase):
    expected = [LATER]
    request = make_request("book")
    first_bytes = 30

    def begin(self, harness):
        self.caller = connect(harness)
        self.caller.receive(self.request[: self.first_bytes])

    def finish(self, harness):
        if not self.caller.disconnecting:
            self.caller.receive(self.request[self.first_bytes :])
        endpoint = harness.accept()
        if endpoint is not None:
            endpoint.protocol.dataReceived(make_response(b"ok"))


class BodyHalfRead(HeadHalfRead):
    request = make_request("book").replace(b"Content-Length: 0", b"Content-Length: 3") + b"abc"
    first_bytes = len(request) - 2


class Waiting(Phase):
    expected = [{200, 503}]

    def begin(self, harness):
        others = [harness.send_request("book", request=f"w-{number}") for number in range(SLOTS)]
        self.others = [harness.accept() for _ in others]
        super().begin(harness)

    def finish(self, harness):
        for number, endpoint in enumerate(self.others):
            endpoint.protocol.dataReceived(make_response(b"ok", request=f"w-{number}"))
        harness.advance(0.1)
        endpoint = harness.accept()
        if endpoint is not None:
            endpoint.protocol.dataReceived(make_response(b"ok"))
        else:
            harness.advance(LONG_SECONDS)  # it waits for an endpoint to come back


class Dialled(Phase):
    """The connection to the endpoint is not open yet."""


class Sent(Phase):
    def begin(self, harness):
        super().begin(harness)
        self.endpoint = harness.accept()

    def finish(self, harness):
        self.endpoint.protocol.dataReceived(make_response(b"ok"))


class HeadPassedOn(Sent):
    route = "once"
    start = HEAD

    def begin(self, harness):
        self.caller = connect(harness)
        self.caller.receive(make_request(self.route))
        self.endpoint = harness.accept()
        self.endpoint.protocol.dataReceived(self.start)

    def finish(self, harness):
        self.endpoint.protocol.dataReceived(EVENT + make_chunk(b""))


class Streaming(HeadPassedOn):
    start = HEAD + EVENT

    def finish(self, harness):
        self.endpoint.protocol.dataReceived(make_chunk(make_event(2)) + make_chunk(b""))


class ResumableStreaming(Streaming):
    route = "talk"


class PlainHalfReceived(HeadPassedOn):
    route = "book"
    start = make_response(b"o", length=2)

    def finish(self, harness):
        self.endpoint.protocol.dataReceived(b"k")


class NextHalfRead(HeadHalfRead):
    """A request on a kept connection."""

    expected = [{200}, LATER]

    def begin(self, harness):
        self.caller = connect(harness)
        self.caller.receive(make_request("book"))
        harness.accept().protocol.dataReceived(make_response(b"ok"))
        self.arrive()

    def arrive(self):
        self.caller.receive(self.request[: self.first_bytes])


class NextInTheSocket(NextHalfRead):
    first_bytes = 0

    def arrive(self):
        self.caller.unread = True


PHASES = [
    HeadHalfRead,
    BodyHalfRead,
    Waiting,
    Dialled,
    Sent,
    HeadPassedOn,
    Streaming,
    ResumableStreaming,
    PlainHalfReceived,
    NextHalfRead,
    NextInTheSocket,
]


@pytest.mark.parametrize("stood_still", [False, True], ids=["", "after a stand-still"])
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("change", [*CHANGES, *OTHER_CHANGES])
def test_request_in_any_phase_gets_a_whole_answer_after_a_change(change, phase, stood_still):
    """Its connection ended without one, or was closed before the request had been read."""
    harness = ChangingHarness()
    row = phase()
    row.begin(harness)
    if stood_still:
        harness.stand_still(0.3, lambda: harness.change(change))
        harness.confirm()
    else:
        harness.change(change)
    harness.advance(0.04)
    row.finish(harness)
    harness.advance(0.5)
    statuses = list_statuses(row.caller)
    assert len(statuses) == len(row.expected) and not row.caller.aborted
    for status, expected in zip(statuses, row.expected, strict=True):
        assert status in expected
    assert not harness.gateway.unfinished


def test_service_that_is_back_takes_requests_again():
    """Its endpoints were known, but no request was sent to them."""
    harness = ChangingHarness()
    for change in OTHER_CHANGES:
        harness.change(change)
        harness.change("restored")
        caller = connect(harness)
        caller.receive(make_request("book"))
        harness.accept().protocol.dataReceived(make_response(b"ok"))
        assert list_statuses(caller) == [200]
        assert ServiceName("s") in harness.gateway._by_service
        assert InstanceId("e-0") in harness.gateway._pools


def test_answer_that_is_being_sent_survives_a_shorter_idle_time_out():
    """The time in which a slow caller receives an answer counts as idle."""
    with LoopbackHarness() as harness:
        limits = CallerLimits(header_timeout=0.02, idle_timeout=0.02)
        catalogue = replace(harness.tables.catalogue, limits=limits)
        caller, endpoint = harness.call(receive_bytes=4096, route="book")
        harness.tables.catalogue = catalogue
        harness.gateway.refresh()
        body = b"x" * 900_000
        sender = Thread(target=endpoint.sendall, args=(make_response(body),))
        sender.start()
        received, error = harness.read(caller)
        sender.join()
    assert received.endswith(b"\r\n\r\n" + body) and error is None
