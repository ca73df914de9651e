"""Homes: requests of some routes and teams are served in some regions alone."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest
from coltsfootshift_platform.pages import make_directory_site
from gateway_harness import KEY, ROUTES, GatewayHarness, make_chunk, make_event, make_response
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost

from coltsfootshift.gateway.directory_homes import DirectoryHomes
from coltsfootshift.gateway.homes import (
    ANYWHERE,
    NOWHERE,
    FullHomes,
    Homes,
)
from coltsfootshift.gateway.model import GatewayCatalogue, Team, UnreadParts
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.waiting import QueuedRequest, Turn
from coltsfootshift.ids import FailureDomain, InstanceId, TeamName
from coltsfootshift.messages import EntryRow
from coltsfootshift.settings import Address

REGIONS = {"a": "north", "a2": "north", "b": "south", "c": "east"}  # `a` is that of the entry
NAMES = ("north", "south", "east")
OUTDATED_SECONDS = 2.5  # more than the bound for changes of the harness, less than that of keys
ANSWERS = (
    b"",
    make_response(status=500),
    make_response(status=503, headers=("X-Not-Executed: 1",), sealed=False),
    make_response(chunked=True) + make_chunk(make_event(1)),
)
region_sets = st.frozensets(st.sampled_from(NAMES))


class HomesHarness(GatewayHarness):
    """A gateway whose endpoint `e-DOMAIN` is in that failure domain, on a port of its own."""

    def __init__(self, domains="abc", **named):
        super().__init__(endpoints=0, regions=REGIONS)
        self.domains = {}
        for number, domain in enumerate(domains):
            self.add_endpoint(f"e-{domain}", "s", 80 + number, domain=domain)
            self.domains[80 + number] = domain
        self.name_homes(**named)

    def name_homes(self, team=(), unread=None, dropped=False, revoked=False, **routes):
        """Let a new catalogue be in force, with homes of its team and of the routes by name."""
        listed = [replace(r, homes=frozenset(routes.get(r.name, ()))) for r in ROUTES]
        self.tables.catalogue = replace(
            self.tables.catalogue,
            version=self.tables.catalogue.version + 1,
            routes={} if dropped else {"host": tuple(listed)},
            teams={} if revoked else {KEY: Team(TeamName("team-1"), homes=frozenset(team))},
            unread=unread or UnreadParts(),
        )
        self.gateway.refresh()

    def fill(self, *domains, free=False):
        """Let the endpoints of some failure domains take nothing, or something again."""
        for domain in domains:
            state = self.gateway._states[InstanceId(f"e-{domain}")]
            state.backoff_until = 0.0 if free else 1e9

    def remove(self, *domains):
        for domain in domains:
            del self.tables.endpoints[InstanceId(f"e-{domain}")]
        self.gateway.refresh()

    def tick(self, seconds=0.02):
        self.clock.advance(seconds)

    @property
    def dialled(self) -> str:
        """The failure domains of the endpoints that were dialled, in this order."""
        return "".join(self.domains[client[1]] for client in self.clock.tcpClients)


def read_status(caller) -> int | None:
    text = caller.value()
    return int(text.split()[1]) if text else None


def assert_refused(caller):
    """A refusal is a true 503 that says when to come back."""
    assert read_status(caller) == 503
    assert b"retry-after" in caller.value().lower()


@given(
    route=region_sets,
    team=region_sets,
    states=st.fixed_dictionaries({d: st.sampled_from(("gone", "full", "free")) for d in "abc"}),
    outdated=st.booleans(),
    kind=st.sampled_from(("read", "book", "talk")),
    data=st.data(),
)
@settings(max_examples=300, deadline=None)
def test_nothing_is_sent_outside_the_homes(route, team, states, outdated, kind, data):
    """Wherever it fails, it runs again in a home, and is refused at once where there is none."""
    harness = HomesHarness("".join(d for d in "abc" if states[d] != "gone"), **{kind: route})
    harness.name_homes(team=team, **{kind: route})
    harness.fill(*(d for d in "abc" if states[d] == "full"))
    if outdated:
        harness.clock.advance(OUTDATED_SECONDS)
    homes = set(NAMES)
    for named in (route, team):
        homes &= named or homes
    if outdated and (route or team) and "north" in homes:
        homes = {"north"}
    allowed = {d for d in "abc" if REGIONS[d] in homes}
    caller = harness.send_request(kind)
    if any(states[d] == "free" for d in allowed):
        assert len(harness.dialled) == 1 and read_status(caller) is None
    elif all(states[d] == "gone" for d in allowed):
        assert_refused(caller)
    for _ in range(3):
        endpoint = harness.accept()
        if endpoint is None:
            break
        endpoint.protocol.dataReceived(data.draw(st.sampled_from(ANSWERS)))
        endpoint.disconnect(ConnectionLost())
        harness.tick()
    harness.fill(*(d for d in "abc" if states[d] == "full"), free=True)
    harness.tick()
    assert set(harness.dialled) <= allowed


@pytest.mark.parametrize(
    ("before", "after", "sent", "refused"),
    [
        ({"read": ["north"]}, {"read": ["south"]}, "b", False),
        ({"read": ["north"]}, {"read": ["north", "east"]}, "c", False),
        ({"read": ["north"]}, {}, "bc", False),
        ({"read": ["north"]}, {"read": ["north"]}, "", False),
        ({"read": ["north"]}, {"dropped": True}, "", False),
        ({"team": ["north"]}, {"team": ["south"]}, "b", False),
        ({"team": ["north"]}, {"revoked": True}, "", False),
        ({"team": ["north"]}, {"revoked": True, "read": ["south"]}, "", True),
        ({"team": ["north"]}, {"team": ["south"], "read": ["north"]}, "", True),
        ({"read": ["north"]}, {"read": ["west"]}, "", True),
        ({"read": ["north"]}, {"unread": UnreadParts({"host": ("/read/",)}, homes=True)}, "", True),
        ({"read": ["north"]}, {"unread": UnreadParts({"host": ("/x/",)}, homes=True)}, "bc", False),
    ],
    ids=lambda value: str(value)[:60],
)
def test_waiting_request_follows_the_homes_in_force(before, after, sent, refused):
    harness = HomesHarness(**before)
    harness.fill("a")
    caller = harness.send_request()
    assert harness.dialled == "" and read_status(caller) is None
    harness.name_homes(**after)
    harness.tick()
    assert set(harness.dialled) <= set(sent) and bool(harness.dialled) == bool(sent)
    if refused:
        assert_refused(caller)
        assert harness.gateway.metrics.get_count("refused_without_home") == 1
    else:
        assert read_status(caller) is None


@pytest.mark.parametrize("domains", ["abc", "ac", "a"])
def test_begun_stream_ends_where_it_is_and_is_resumed_in_a_home(domains):
    harness = HomesHarness(domains, talk=["north"])
    caller = harness.send_request("talk")
    first = harness.accept()
    head = make_response(chunked=True, headers=["Content-Type: text/event-stream"])
    first.protocol.dataReceived(head + make_chunk(make_event(1)))
    harness.name_homes(talk=["south"])
    harness.tick(0.1)
    first.protocol.dataReceived(make_chunk(make_event(2)))
    assert b"piece-2" in caller.value() and harness.dialled == "a"
    first.disconnect(ConnectionLost())
    harness.tick()
    assert harness.dialled == ("ab" if "b" in domains else "a")
    assert caller.aborted == ("b" not in domains)


@pytest.mark.parametrize(("homes", "dialled"), [(["south"], "b"), (["south", "east"], "bc")])
def test_silent_stream_goes_on_in_a_home_or_nowhere(homes, dialled):
    harness = HomesHarness("b", talk=homes)
    harness.send_request("talk")
    harness.accept().protocol.dataReceived(make_response(chunked=True) + make_chunk(make_event(1)))
    harness.add_endpoint("e-a", "s", 90, domain="a")
    harness.add_endpoint("e-c", "s", 91, domain="c")
    harness.domains.update({90: "a", 91: "c"})
    harness.gateway.refresh()
    harness.gateway._exchanges.copy().pop()._deadline_timer.delay(10.0)
    for _ in range(95):
        harness.tick()
    assert harness.dialled == dialled


@pytest.mark.parametrize("homes", [["south"], ["west"]], ids=["another", "none"])
def test_what_has_not_left_is_withdrawn_from_a_former_home(homes):
    """A connection that is being made is no begun request."""
    harness = HomesHarness(read=["north"])
    caller = harness.send_request(body=b"secret")
    harness.name_homes(read=homes)
    harness.tick()
    first = harness.accept()
    assert first is None or b"secret" not in first.value()
    if homes == ["west"]:
        assert_refused(caller)
    else:
        assert harness.dialled == "ab" and b"secret" in harness.accept().value()


def test_stopped_process_sends_nothing_to_a_home_that_may_be_none_any_more():
    harness = HomesHarness(read=["north", "south"])
    harness.tick(1.5)
    harness.fill("a")
    harness.send_request(body=b"secret")
    harness.fill("a", free=True)
    sent = []
    harness.stand_still(0.3, lambda: sent.append(harness.accept()))
    assert harness.dialled == "ba"
    assert sent[0] is None or b"secret" not in sent[0].value()


@pytest.mark.parametrize("first", ["read", "book"])
def test_full_home_holds_up_no_request_with_a_place_elsewhere(first):
    harness = HomesHarness(**{first: ["north"]})
    harness.fill("a", "b", "c")
    for number in range(3):
        harness.send_request(first, request=f"h-{number}")
    others = {"read", "book"} - {first}
    harness.send_request(others.pop(), request="r-1")
    harness.tick()
    assert harness.dialled == ""
    harness.fill("b", free=True)
    harness.tick()
    assert harness.dialled == "b" and b"r-1" in harness.accept().value()
    harness.fill("a", free=True)
    harness.tick()
    assert harness.dialled == "baaa"


@pytest.mark.parametrize(
    ("homes", "tried", "turn", "passed", "accepted"),
    [
        (["north"], [], Turn.NEW, True, "se"),
        (["north", "south"], [], Turn.LATE, True, "e"),
        (["north"], ["e-a"], Turn.LATE, True, "nse"),
        (["north"], ["e-a"], Turn.INTERRUPTED, True, "nse"),
        (None, [], Turn.NEW, False, ""),
        (None, ["e-a"], Turn.LATE, False, ""),
    ],
)
def test_what_avoids_endpoints_does_not_make_its_homes_full(homes, tried, turn, passed, accepted):
    """One that has tried an endpoint may have no place where another has one."""

    def make_queued(homes, tried, turn):
        homes = Homes(None if homes is None else frozenset(homes))
        return QueuedRequest(SimpleNamespace(homes=homes, tried=set(tried)), 1, 1.0, 2.0, turn)

    full = FullHomes(SimpleNamespace(find=lambda homes, now: homes), 0.0)
    assert full.pass_over(make_queued(homes, tried, turn)) is passed
    behind = [name for name in NAMES if full.accept(make_queued([name], [], Turn.LATE))]
    assert "".join(name[0] for name in behind) == accepted


@pytest.mark.parametrize(("ahead", "status"), [([], None), (["north"], 503)])
def test_requests_ahead_count_by_what_they_take_of_the_homes(ahead, status):
    """A third of those that may go anywhere takes the places of a request with one home of three.

    The same number of requests that have no other home than it are too many.
    """
    harness = HomesHarness(read=ahead, book=["north"])
    harness.fill("a", "b", "c")
    rate = harness.gateway._states[InstanceId("e-a")].compute_departure_rate()
    for number in range(int(1.5 * rate * ROUTES[0].latency_objective)):
        harness.send_request(request=f"w-{number}")
    assert read_status(harness.send_request("book", request="last")) == status


@pytest.mark.parametrize(
    ("named", "sent", "status"),
    [
        ({}, "abc", 503),
        ({"book": ["south"]}, "a", None),  # another route has homes: these may have got some too
        ({"read": ["north", "south"]}, "a", None),
        ({"read": ["south", "east"]}, "bc", 503),
        ({"read": ["south", "east"], "team": ["south"]}, "b", 503),
    ],
    ids=str,
)
def test_entry_with_an_outdated_catalogue_denies_nothing_and_sends_nothing_abroad(
    named, sent, status
):
    """`status` is that of a request once the catalogue is confirmed and the others are gone."""
    harness = HomesHarness(**named)
    harness.clock.advance(OUTDATED_SECONDS)
    for number in range(30):
        caller = harness.send_request(request=f"r-{number}")
        assert read_status(caller) is None
    assert set(harness.dialled) == set(sent)
    harness.remove(*sent)
    assert_refused(harness.send_request(request="r-98"))
    harness.confirm()
    assert read_status(harness.send_request()) == status


@pytest.mark.parametrize(("age", "sent"), [(1.5, "b"), (1.7, ""), (1.99, "")])
def test_nothing_is_sent_abroad_that_may_arrive_after_the_bound(age, sent):
    """What is sent just before the bound (2 s) takes a while to be sent and read."""
    harness = HomesHarness(read=["north", "south"])
    harness.fill("a")
    harness.clock.advance(age)
    assert read_status(harness.send_request()) is None and harness.dialled == sent


def test_endpoint_in_a_failure_domain_of_no_known_region_is_no_home():
    harness = HomesHarness("x", read=["north"])
    assert_refused(harness.send_request("read"))
    assert read_status(harness.send_request("book")) is None


def test_request_that_waits_for_homes_is_refused_when_they_have_gone():
    harness = HomesHarness(read=["north"])
    harness.fill("a")
    caller = harness.send_request()
    harness.remove("a")
    harness.tick()
    assert_refused(caller)


@pytest.mark.parametrize(
    ("gone", "refused"),
    [("a", False), ("b", False), ("ac", False), ("ab", True), ("abc", True)],
)
def test_what_waits_for_a_confirmation_is_refused_once_no_home_is_left(gone, refused):
    """A confirmation can help only while a home that is known is left."""
    harness = HomesHarness(read=["north", "south"])
    harness.clock.advance(1.5)
    harness.fill("a", "b", "c")
    caller = harness.send_request()
    harness.clock.advance(0.3)
    harness.remove(*gone)
    harness.tick(0.04)
    assert read_status(caller) == (503 if refused else None)


def test_evacuation_elsewhere_refuses_nothing_that_waits_for_a_confirmation():
    """Forecasts by the region that an outdated catalogue leaves would refuse it at once."""
    harness = HomesHarness(read=["north", "south"])
    harness.clock.advance(1.5)
    harness.fill("a", "b", "c")
    caller = harness.send_request()
    harness.clock.advance(0.3)
    harness.remove("a")
    harness.tick(0.02)
    harness.tables.evacuations.record("out", FailureDomain("c"), 1, 9, harness.clock.seconds())
    harness.gateway.refresh()
    assert read_status(caller) is None


@pytest.mark.parametrize("named", [{}, {"book": ["south"]}], ids=["none", "of another route"])
def test_request_without_homes_is_served_as_before(named):
    dialled = []
    for harness in (HomesHarness(**named), HomesHarness()):
        for number in range(30):
            harness.send_request(request=f"r-{number}")
        dialled.append(harness.dialled)
    assert dialled[0] == dialled[1] and len(set(dialled[0])) == 3


def test_log_tells_of_homes_and_of_requests_without_an_endpoint(lines):
    harness = HomesHarness()
    assert lines() == []
    harness.name_homes(read=["west"])
    harness.send_request()
    assert lines()[:2] == ["use of homes changed", "no endpoint in the homes of a request"]
    assert harness.gateway.metrics.get_count("refused_without_home") == 1


def make_catalogue(anonymous=False, teams=(), **routes) -> GatewayCatalogue:
    """Return a catalogue whose routes of host `host` have homes, and a host `other` without."""
    listed = [
        replace(ROUTES[0], name=name, homes=frozenset(homes), anonymous=anonymous)
        for name, homes in routes.items()
    ]
    rows = {str(n): Team(TeamName(str(n)), homes=frozenset(h)) for n, h in enumerate(teams)}
    return GatewayCatalogue(1, {"host": tuple(listed), "other": (ROUTES[0],)}, {}, rows or None)


@pytest.mark.parametrize(
    ("catalogue", "host", "region", "expected"),
    [
        (None, "host", "north", None),
        (make_catalogue(), "host", "north", None),
        (make_catalogue(x=[]), "host", "north", None),
        (make_catalogue(x=["south"]), "other", "north", None),
        (make_catalogue(x=["south"]), "unknown", "north", None),
        (make_catalogue(x=["south"]), "", "north", None),
        (make_catalogue(x=["south"]), "host", "north", ["north", "south"]),
        (make_catalogue(x=["south"]), "HOST", "north", ["north", "south"]),
        (make_catalogue(x=["south"]), "host", "", ["south"]),
        (make_catalogue(x=["south"], y=[]), "host", "north", ["north", "south"]),
        (make_catalogue(x=["south"], y=["east"]), "host", "north", ["north"]),
        (make_catalogue(x=["south", "east"], y=["east"]), "host", "north", ["east", "north"]),
        (make_catalogue(teams=[["south"], []], x=[]), "host", "north", ["north", "south"]),
        (make_catalogue(teams=[["south"]], x=["east"]), "host", "north", ["north"]),
        (make_catalogue(True, teams=[["south"]], x=[]), "host", "north", None),
    ],
)
def test_directory_lists_the_region_of_the_caller_and_homes_of_all(
    catalogue, host, region, expected
):
    homes = DirectoryHomes()
    for _ in range(2):
        assert homes.find(catalogue, host, region).list_regions() == expected


class CountingTeams(dict):
    """Counts how often all teams are gone through."""

    walks = 0

    def values(self):
        self.walks += 1
        return super().values()


@pytest.mark.parametrize(("homes", "walks"), [([], 1), (["south"], 2)], ids=["none", "some"])
def test_directory_goes_through_a_catalogue_once(homes, walks):
    """Callers ask every few seconds, and a catalogue may have thousands of routes."""
    catalogue = make_catalogue(x=homes)
    catalogue = replace(catalogue, teams=CountingTeams(key=Team(TeamName("t"))))
    directory = DirectoryHomes()
    for _ in range(3):
        directory.find(catalogue, "host", "north")
        directory.find(catalogue, "unknown", "north")
    assert catalogue.teams.walks == walks
    changed = make_catalogue(x=["east"])
    assert directory.find(changed, "host", "north").list_regions() == ["east", "north"]


@given(
    rows=st.lists(st.tuples(st.sampled_from(NAMES), st.booleans(), st.booleans()), max_size=8),
    listed=st.none() | region_sets,
    region=st.sampled_from(NAMES),
)
def test_entries_elsewhere_are_listed_only_if_none_is_ready(rows, listed, region):
    """Entries that are not ready, or leave, are as before."""
    roster = Roster(None)
    for number, (place, ready, leaving) in enumerate(rows):
        row = EntryRow(f"e-{number}", 1, place, 1, number + 1, place, "a", ready, leaving)
        roster.merge([row], 0.0)
    got = roster.list_caller_addresses("a", region, Random(1), Homes(listed))
    before = roster.list_caller_addresses("a", region, Random(1))
    near = [address for address in before if Homes(listed).allow(address.host)]
    any_ready = any(ready and not leaving for _, ready, leaving in rows)
    expected = near if near and any_ready else before
    assert sorted(map(str, got)) == sorted(map(str, expected))


@pytest.mark.parametrize(
    ("query", "asked"),
    [
        ({b"name": [b"host"], b"region": [b"r"], b"zone": [b"z"]}, ("z", "r", "host")),
        ({b"name": [b"\xff"]}, ("", "", "\xff")),
        ({}, ("", "", "")),
    ],
)
def test_directory_page_passes_on_the_host(query, asked):
    seen = []

    def list_caller_addresses(*args):
        seen.append(args)
        return [Address("10.0.0.1", 80)]

    entry = SimpleNamespace(list_caller_addresses=list_caller_addresses)
    request = SimpleNamespace(args=query, setHeader=lambda *_: None)
    page = make_directory_site(entry, 2.0).resource
    assert b"10.0.0.1:80" in page.render_GET(request) and seen == [asked]


@given(region_sets, region_sets)
def test_both_homes_bind(first, second):
    both = Homes(first).intersect(Homes(second))
    assert both.regions == first & second
    assert Homes(first).include(both) and ANYWHERE.include(both) and both.include(NOWHERE)
    assert ANYWHERE.intersect(both) == both == both.intersect(ANYWHERE)
