"""The adapter's programs while the operator empties a failure domain and takes it back."""

from __future__ import annotations

import re
import time

import pytest
from platform_fleet import Fleet, book, is_ready
from platform_standins import (
    HOST,
    PLAIN_SERVICE,
    EndpointStandIn,
    StoreStandIn,
    make_record,
    send_request,
    wait_for,
)

# Bound of a change of the catalogue; an evacuation spreads in the same way.
MAX_DELAY_SECONDS = 2.0
REWRITE_DELAY_SECONDS = 1.5  # after which an operator has written again what a store has lost
KEY = "op/evacuate/a"


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet with the endpoint `e-1` in domain `a`, and `other` in domain `b`."""
    started = Fleet(tmp_path)
    started.other = EndpointStandIn("e-2")
    record = make_record(PLAIN_SERVICE, started.other.address, zone="b")
    started.store.put("servers/e-2", record)
    yield started
    started.close()
    started.other.close()


def send_some(ports, endpoint, count=8):
    """Send some requests; return how many of them have reached an endpoint."""
    before = len(endpoint.orders)
    for number in range(count):
        assert book(ports, request=f"r-{number}")[0] == 200
    return len(endpoint.orders) - before


def count_evacuated(ports):
    """Return how many failure domains an entry holds to be out of service."""
    page = send_request(ports[5], "GET", "/metrics")[1].decode()
    (line,) = re.findall(r"coltsfootshift_failure_domains_evacuated ([0-9.]+)", page)
    return float(line)


@pytest.mark.parametrize("value", [{}, b"", b"\xff"], ids=["empty object", "no value", "odd value"])
def test_evacuation_reaches_entries_with_and_without_the_store(fleet, value):
    first = fleet.start_entry("entry-1")
    wait_for(lambda: is_ready(first))
    refusing = StoreStandIn()
    refusing.down = 429
    second = fleet.start_entry("entry-2", refusing.address, [f"{HOST}:{first[2]}"])
    wait_for(lambda: is_ready(second))
    assert send_some(first, fleet.endpoint) and send_some(second, fleet.endpoint)
    fleet.store.put(KEY, value)
    written_at = time.monotonic()
    for ports in (first, second):
        wait_for(lambda p=ports: not send_some(p, fleet.endpoint, 1), MAX_DELAY_SECONDS)
    time.sleep(max(0.0, written_at + MAX_DELAY_SECONDS - time.monotonic()))
    assert not send_some(first, fleet.endpoint) and not send_some(second, fleet.endpoint)
    page = send_request(first[5], "GET", "/metrics")[1].decode()
    assert "coltsfootshift_failure_domains_evacuated 1.0" in page
    assert "coltsfootshift_evacuation_seconds_a " in page
    third = fleet.start_entry("entry-3", refusing.address, [f"{HOST}:{second[2]}"])
    wait_for(lambda: is_ready(third))
    assert not send_some(third, fleet.endpoint)
    # The measured time of an endpoint may leave it without requests, unless it is the only one.
    for key, value, count in ((KEY, None, 0), ("op/evacuate/b", {}, 1)):
        fleet.store.put(key, value)
        for ports in (first, second, third):
            wait_for(lambda p=ports, c=count: count_evacuated(p) == c, MAX_DELAY_SECONDS)
    for ports in (first, second, third):
        assert send_some(ports, fleet.endpoint) == 8
    refusing.close()


@pytest.mark.parametrize("lifted", [False, True], ids=["lost by the copy", "lifted, in the copy"])
def test_restored_store_changes_no_evacuation(fleet, lifted):
    """The operator corrects the store within the time in which the known state stands."""
    ports = fleet.start_entry()
    wait_for(lambda: is_ready(ports))
    fleet.store.put("op/other", {"number": 1})
    if lifted:
        fleet.store.put(KEY, {})
    copy = fleet.store.copy()
    fleet.store.put(KEY, None if lifted else {})
    wait_for(lambda: bool(send_some(ports, fleet.endpoint, 1)) is lifted, MAX_DELAY_SECONDS)
    time.sleep(MAX_DELAY_SECONDS)
    fleet.store.down = 503
    time.sleep(0.3)
    fleet.store.restore(copy)
    fleet.store.down = 0
    restored_at = time.monotonic()
    while time.monotonic() < restored_at + REWRITE_DELAY_SECONDS:
        assert bool(send_some(ports, fleet.endpoint, 1)) is lifted
        time.sleep(0.05)
    fleet.store.put(KEY, None if lifted else {})
    while time.monotonic() < restored_at + 5.0:
        assert bool(send_some(ports, fleet.endpoint, 1)) is lifted
        time.sleep(0.05)
