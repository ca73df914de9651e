"""A field of a load report that cannot be read costs that field only.

Endpoints of one service began to send a fourth figure, and the whole report was dropped: entries
then knew of no load but their own.
"""

from __future__ import annotations

from random import Random

import pytest
from coltsfootshift_platform.dialect import PlatformDialect
from gateway_harness import GatewayHarness, make_response
from hypothesis import given
from hypothesis import strategies as st

from coltsfootshift.gateway.calls import EndpointLoadReport
from coltsfootshift.gateway.model import EndpointRecord
from coltsfootshift.gateway.placement import EndpointState, WorkSize
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId, ServiceName
from coltsfootshift.settings import Address

HUGE = "9" * 6000


def read(value: bytes) -> EndpointLoadReport | None:
    return PlatformDialect().parse_response(200, [(b"x-engine-load", value)]).load


# header, running, waiting, slots, slowdown, unreadable fields
REPORTS = [
    ("4,2,8", 4, 2, 8, None, 0),
    (" 4 , 2 , 8 ", 4, 2, 8, None, 0),
    ("0,0,0", 0, 0, 0, None, 0),
    ("4,2,8,100", 4, 2, 8, 1.0, 0),
    ("4,2,8,250.5", 4, 2, 8, 2.505, 0),
    ("4,2,8,0", 4, 2, 8, None, 1),
    ("4,2,8,-100", 4, 2, 8, None, 1),
    ("4,2,8,", 4, 2, 8, None, 1),
    ("4,2,8,nan", 4, 2, 8, None, 1),
    ("4,2,8,1e9", 4, 2, 8, None, 1),
    (f"4,2,8,{HUGE}", 4, 2, 8, None, 1),
    ("4,2,8,100,7,x", 4, 2, 8, 1.0, 2),
    ("4,2", 4, 2, None, None, 1),
    ("4", 4, None, None, None, 2),
    (",2,8,100", None, 2, 8, 1.0, 1),
    ("-1,2,8,100", None, 2, 8, 1.0, 1),
    (f"4,{HUGE},8,100", 4, None, 8, 1.0, 1),
    ("\xb2,\xb3,\xb9", None, None, None, None, 3),
    ("x", None, None, None, None, 3),
]


@pytest.mark.parametrize("text, running, waiting, slots, slowdown, unreadable", REPORTS)
def test_unreadable_field_costs_itself_only(text, running, waiting, slots, slowdown, unreadable):
    expected = EndpointLoadReport(running, waiting, slots, slowdown, unreadable)
    assert read(text.encode("latin-1")) == expected


@pytest.mark.parametrize("value", [b"", b"  "])
def test_empty_header_is_no_report(value):
    assert read(value) is None


@given(st.binary(max_size=60) | st.text("0123456789,.-+e_ nainf\xb2").map(lambda t: t.encode("l1")))
def test_any_header_is_read(value):
    report = read(value)
    if report is None:
        return
    assert all(n is None or n >= 0 for n in (report.running, report.waiting, report.slots))
    assert report.slowdown is None or 0 < report.slowdown <= 1000


counts = st.integers(0, 10**6)


@given(counts, counts, counts, st.none() | st.binary(max_size=20))
def test_three_good_figures_survive_any_fourth(running, waiting, slots, fourth):
    value = b"%d,%d,%d" % (running, waiting, slots)
    report = read(value if fourth is None else value + b"," + fourth)
    assert report is not None
    assert (report.running, report.waiting, report.slots) == (running, waiting, slots)


def make_state() -> EndpointState:
    record = EndpointRecord(
        InstanceId("e-1"), ServiceName("s"), Address("10.0.0.9", 80), FailureDomain("a"), 6
    )
    return EndpointState(record, None, Random(1))


@pytest.mark.parametrize(
    "report, load",
    [
        (EndpointLoadReport(3, 2, 6), 5.0),
        (EndpointLoadReport(3, 2, None), 5.0),
        (EndpointLoadReport(3, 2, 6, slowdown=9.0), 5.0),
        (EndpointLoadReport(None, 2, 6), 4.0),
        (EndpointLoadReport(3, None, 6), 4.0),
        (EndpointLoadReport(None, None, None), 4.0),
        (None, 4.0),
    ],
)
def test_total_is_taken_only_from_both_of_its_parts(report, load):
    state = make_state()
    state.record_sent(RequestId("r-1"), WorkSize(), 0.0)
    state.record_response_start(RequestId("r-1"), EndpointLoadReport(3, 1, 6), 0.0)
    state.record_response_start(RequestId("r-1"), report, 0.0)
    assert state.estimate_load(0.0) == load


def test_slowdown_does_not_change_placement():
    """It is decoded for its coming use; so far no request is placed by it."""
    plain, slow = make_state(), make_state()
    for state, slowdown in ((plain, None), (slow, 9.0)):
        state.record_response_start(RequestId("r"), EndpointLoadReport(3, 2, 6, slowdown), 0.0)
    assert slow.slowdown == 9.0
    assert plain.predict_start(WorkSize(), 0.1) == slow.predict_start(WorkSize(), 0.1)


def test_operator_sees_reports_and_unreadable_fields(lines):
    """The log has a line when an endpoint's reports become unreadable, not for each response."""
    harness = GatewayHarness(endpoints=1)
    for number, load in enumerate(["1,0,6,150", "1,x,6,150", "1,0,6,0", "1,0,6,300", None]):
        request = f"r-{number}"
        caller = harness.send_request(request=request)
        if number == 0:
            endpoint = harness.accept()
        headers = [] if load is None else [f"X-Engine-Load: {load}"]
        endpoint.protocol.dataReceived(make_response(b"x", request=request, headers=headers))
        assert b" 200 " in caller.take()
    metrics = harness.gateway.metrics
    assert metrics.get_count("load_reports") == 4
    assert metrics.get_count("load_reports_with_unreadable_fields") == 2
    assert metrics.snapshot()["gauges"]["endpoint_slowdown_highest"] == 3.0
    assert lines().count("load report partly unreadable") == 1
    assert lines().count("load report readable again") == 1
