"""How soon an entry reads the store again that was silent, refused, lost answers or was slow."""

from __future__ import annotations

from random import Random
from statistics import median

import pytest
from coltsfootshift_platform import store as platform_store
from coltsfootshift_platform.store import StoreWatcher
from simulated_store import PIECES, FollowingConsumer, Outage, SimulatedStore
from twisted.internet.task import Clock

from coltsfootshift.controllers.storereads import (
    PROBE_SECONDS,
    RESPONSE_SECONDS,
    Answered,
    ReportContact,
    RequestId,
    SendProbe,
    Sent,
    StoreReads,
    TimeReached,
)
from coltsfootshift.gateway.table_cache import Table
from coltsfootshift.gateway.table_reader import WATCH_WAIT_SECONDS
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address

MAX_RETURN_SECONDS = 2.0
MEDIAN_RETURN_SECONDS = 1.0
STEP_SECONDS = 0.02
SEEDS = 20
KINDS = [
    ("silent", 1.0),
    ("reset", 1.0),
    ("503", 1.0),
    ("429", 1.0),
    ("slow", 100.0),
    ("slow", 2500.0),
    ("lossy", 0.6),
    ("stalled", 1.0),
]


def follow(monkeypatch, seed, outages, until, changes=(), readers=1):
    """Let an entry follow a store; return its consumer, the store and the changes' revisions."""
    clock = Clock()
    simulated = SimulatedStore(clock, seed, outages)
    monkeypatch.setattr(platform_store, "treq", simulated)
    revisions = [simulated.change(at) for at in changes]
    consumer = FollowingConsumer(clock, readers)
    watcher = StoreWatcher(clock, Address("10.0.0.1", 80), consumer, Metrics(), Random(seed))
    watcher.start()
    while clock.seconds() < until:
        clock.advance(STEP_SECONDS)
    watcher.stop()
    return consumer, simulated, revisions


@pytest.mark.parametrize("seconds", [0.5, 2.0, 5.2, 6.4, 13.0])
@pytest.mark.parametrize(("kind", "x"), KINDS)
def test_change_is_in_force_soon_after_the_store_has_returned(monkeypatch, kind, x, seconds):
    """A read that was sent into an outage hung on for seconds after its end."""
    delays = []
    for seed in range(SEEDS):
        starts_at = 4.0 + Random(seed).random()
        ends_at = starts_at + seconds
        changes = [starts_at + seconds / 2, ends_at + 0.1, ends_at + 0.7]
        outage = Outage(kind, starts_at, ends_at, x)
        consumer, _, revisions = follow(monkeypatch, seed, [outage], ends_at + 10.0, changes)
        for at, revision in zip(changes, revisions, strict=True):
            delays.append(max(0.0, consumer.find_arrival(revision) - max(at, ends_at)))
    assert max(delays) <= MAX_RETURN_SECONDS
    assert median(delays) < MEDIAN_RETURN_SECONDS


@pytest.mark.parametrize(("kind", "x"), KINDS)
def test_catalogue_is_confirmed_at_once_by_the_first_read_after_an_outage(monkeypatch, kind, x):
    """Keys were refused for as long as that read waited for a change."""
    for seed in range(SEEDS):
        starts_at = 4.0 + Random(seed).random()
        outage = Outage(kind, starts_at, starts_at + 6.0, x)
        consumer, _, _ = follow(monkeypatch, seed, [outage], outage.end + 4.0)
        after = [at for at, since in consumer.confirmations if since >= outage.end]
        assert min(after) - outage.end <= PROBE_SECONDS + WATCH_WAIT_SECONDS[Table.OPERATOR][0]


@pytest.mark.parametrize(("again", "lost"), [(0.03, False), (RESPONSE_SECONDS, True)])
def test_store_does_not_count_as_lost_by_probes_from_before_its_last_answer(again, lost):
    """A poll from before the silence was answered at its end; the probes of the silence never."""
    reads = StoreReads(Random(1), now=0.0)
    early, late, probe = RequestId("endpoints"), RequestId("operator"), RequestId("probe")
    reads.handle(Sent(early, wait=9.0), 1.0)
    reads.handle(Sent(late, wait=0.5), 3.0)
    assert reads.handle(TimeReached(), 4.0) == [SendProbe()]
    reads.handle(Sent(probe, is_probe=True), 4.0)
    assert ReportContact(False) in reads.handle(TimeReached(), 4.0 + RESPONSE_SECONDS)
    assert ReportContact(True) in reads.handle(Answered(early), 5.0)
    assert (ReportContact(False) in reads.handle(TimeReached(), 5.0 + again)) is lost


@pytest.mark.parametrize("gap", [0.3, 1.0, 3.0])
def test_change_is_in_force_soon_after_a_series_of_outages(monkeypatch, gap):
    """Each outage of another kind than the one before; a wait must not outlast any of them."""
    delays = []
    for seed in range(SEEDS):
        rng = Random(seed)
        outages, at = [], 4.0
        for kind, x in rng.sample(KINDS, 4):
            outages.append(Outage(kind, at, at + rng.uniform(0.3, 7.0), x))
            at = outages[-1].end + gap
        ends_at = outages[-1].end
        consumer, _, [revision] = follow(monkeypatch, seed, outages, ends_at + 10.0, [ends_at])
        delays.append(consumer.find_arrival(revision) - ends_at)
    assert max(delays) <= MAX_RETURN_SECONDS
    assert median(delays) < MEDIAN_RETURN_SECONDS


@pytest.mark.parametrize("seconds", [0.24, 0.8, 1.6, 4.0, 7.0])
def test_store_that_is_slow_for_good_is_still_read(monkeypatch, seconds):
    """A short time limit would end every read of it."""
    outage = Outage("slow", 4.0, 100.0, seconds / 0.002)
    changes = [10.0, 30.0, 50.0]
    consumer, simulated, revisions = follow(monkeypatch, 1, [outage], 70.0, changes)
    for at, revision in zip(changes, revisions, strict=True):
        # The answer under way may lack the change, and the next one has it.
        assert consumer.find_arrival(revision) - at <= 2 * seconds + 1.0


@pytest.mark.parametrize(
    ("pieces", "ends_after"),
    [(8, 7.3), (2, 2.9), (12, 8.1), (0, 1.1)],
    ids=["slow", "stops", "without end", "never begins"],
)
def test_large_answer_on_a_narrow_link_is_read_as_long_as_it_arrives(
    monkeypatch, pieces, ends_after
):
    """A large answer that took over a second was given up, and asked for again as a whole."""
    outage = Outage("pieces", 0.0, 1.0, float(pieces))
    consumer, simulated, _ = follow(monkeypatch, 1, [outage], 12.0)
    [request] = simulated.sent_in_pieces
    assert request.closed is (pieces != PIECES)
    assert consumer.find_arrival(5) <= ends_after + 0.4


@pytest.mark.parametrize(
    ("outages", "calls_per_second"),
    [([], 1 / 0.5 + 1 / 1.0), ([Outage("silent", 4.0, 90.0)], 5.0), ([Outage("503", 4, 90)], 5.0)],
    ids=["calm", "silent", "refusing"],
)
def test_calls_to_the_store_are_bounded(monkeypatch, outages, calls_per_second):
    """In a calm second as many as before; in an outage a probe every 0.2 s at most."""
    _, simulated, _ = follow(monkeypatch, 1, outages, 60.0)
    for start in range(5, 55, 5):
        calls = [at for at in simulated.calls if start <= at < start + 5]
        assert len(calls) <= 5 * calls_per_second + 2


@pytest.mark.parametrize("readers", [4, 40, 430])
def test_entries_of_a_large_fleet_share_the_probes(monkeypatch, readers):
    """All entries probe a lost store, which 2,000 calls a second may reach."""
    outage = Outage("silent", 4.0, 34.0)
    consumer, simulated, [revision] = follow(monkeypatch, 1, [outage], 40.0, [30.0], readers)
    calls = [at for at in simulated.calls if 10.0 <= at < 30.0]
    assert len(calls) / 20.0 * readers <= max(5.0 * readers, 1000.0) and len(calls) * readers < 2e4
    assert consumer.find_arrival(revision) - outage.end <= MAX_RETURN_SECONDS
