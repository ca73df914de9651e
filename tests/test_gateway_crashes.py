"""Requests under which engines end, one after the other."""

from __future__ import annotations

from math import inf

import pytest
from simulated_engines import COMMON_PART, RESTART_SECONDS, SimulatedEngines, make_sender

from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.gateway.crashes import (
    CRASHES_TO_QUARANTINE,
    MAX_CRASHES,
    MAX_SERVICES,
    MAX_SURVIVALS,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SURVIVAL_MEMORY_SECONDS,
    SUSPECT_SECONDS,
    Crash,
    CrashEvidence,
    Suspect,
    Suspicion,
)
from coltsfootshift.ids import ServiceName, SuspectId

CONTACT_SECONDS = 3.0
CRASHES_UNTIL_LIMIT = 5
CRASHES_OF_A_REPEATED_REQUEST = 3
MAX_SENT_AFTER_LIMIT = 3
BAD_PART = "0bad0bad"
BAD_REQUEST = "0bad0b0d"


def draw_sound(rng):
    return (COMMON_PART, f"{rng.randrange(40):08x}")


def draw_rare(rng):
    return (COMMON_PART, f"{rng.randrange(100_000):08x}")


def draw_bad(rng):
    return (COMMON_PART, BAD_PART, f"{rng.randrange(40):08x}")


def find_limit(group, crashes=CRASHES_UNTIL_LIMIT):
    """Return when the crash happened that begins the time to react, or now if it did not."""
    return (group.crashes + [group.now] * crashes)[crashes - 1]


def list_quarantined(group):
    names = set()
    for harness in group.entries:
        for item in harness.gateway.beliefs.crashes.list_all(group.now):
            if item.quarantined:
                names.add(item.suspect)
    return names


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("entries", [1, 4])
def test_part_of_a_prompt_that_ends_engine_after_engine_is_not_sent_on(entries, seed):
    group = SimulatedEngines(entries, crashing=[BAD_PART], seed=seed)
    sound, bad = [], []
    group.run(2.0, [make_sender(12, draw_sound, sound)])
    group.run(25.0, [make_sender(12, draw_sound, sound), make_sender(3, draw_bad, bad)])
    assert len(bad) > 40
    limit = find_limit(group)
    assert group.sent_to_engines(BAD_PART, limit + CONTACT_SECONDS) <= MAX_SENT_AFTER_LIMIT
    assert list_quarantined(group) == {f"llm/part/{BAD_PART}"}
    late = sound[len(sound) // 2 :]
    assert group.answered(late) >= 0.9 * len(late)


@pytest.mark.parametrize("restarted", [[0], [1, 3], [0, 1, 2, 3]], ids=["one", "two", "all"])
@pytest.mark.parametrize("seed", range(2))
def test_restarted_entry_does_not_send_what_ends_engines(restarted, seed):
    """Agents keep what is known, so that the restart of all entries does not lose it."""
    group = SimulatedEngines(4, crashing=[BAD_PART], seed=seed)
    sound, bad = [], []
    group.run(15.0, [make_sender(12, draw_sound, sound), make_sender(3, draw_bad, bad)])
    for number in restarted:
        group.restart_entry(number)
    restarted_at = group.now
    group.run(10.0, [make_sender(12, draw_sound, sound), make_sender(3, draw_bad, bad)])
    assert group.sent_to_engines(BAD_PART, restarted_at) == 0


@pytest.mark.parametrize("seed", range(2))
def test_request_that_ends_engine_after_engine_is_not_sent_on(seed):
    """The same request from the same caller, at any entry."""
    group = SimulatedEngines(4, crashing=[BAD_REQUEST], seed=seed)
    sound = []

    def repeat(current):
        if current.rng.random() < 0.03:
            current.send((COMMON_PART, "00000001"), own=BAD_REQUEST)

    group.run(25.0, [make_sender(12, draw_sound, sound), repeat])
    limit = find_limit(group, CRASHES_OF_A_REPEATED_REQUEST)
    assert group.sent_to_engines(BAD_REQUEST, limit + CONTACT_SECONDS) <= MAX_SENT_AFTER_LIMIT
    assert all("/request/" in name for name in list_quarantined(group))


@pytest.mark.parametrize("draw", [draw_sound, draw_rare], ids=["shared parts", "rare parts"])
@pytest.mark.parametrize(
    ("at_once", "count", "pause"),
    [(1, 12, 0.7), (6, 1, RESTART_SECONDS), (6, 5, RESTART_SECONDS + 0.6)],
    ids=["one after the other", "all at once", "all, again and again"],
)
@pytest.mark.parametrize("seed", range(2))
def test_crashes_of_another_cause_are_held_against_no_request(draw, at_once, count, pause, seed):
    group = SimulatedEngines(4, seed=seed)
    sound = []
    sender = make_sender(25, draw, sound)
    group.run(3.0, [sender])
    for _ in range(count):
        live = [port for port, engine in group.engines.items() if engine.back_at is None]
        for port in live[:at_once]:
            group.crash(port)
        group.run(pause, [sender])
    group.run(RESTART_SECONDS, [sender])
    assert len(group.crashes) >= 6
    assert list_quarantined(group) == set()
    late = []
    group.run(4.0, [make_sender(12, draw, late)])
    group.run(3.0)
    assert group.answered(late) >= 0.9 * len(late)


@pytest.mark.parametrize("seed", range(2))
def test_waiting_requests_with_the_part_are_refused_as_soon_as_it_is_quarantined(seed):
    group = SimulatedEngines(2, engines=3, crashing=[BAD_PART], seed=seed)
    sound, bad = [], []
    group.run(12.0, [make_sender(40, draw_sound, sound), make_sender(6, draw_bad, bad)])
    known_at = max(row.arrived_at for row in group.arrivals if BAD_PART in row.parts)
    group.run(3.0)
    assert group.sent_to_engines(BAD_PART, known_at) == 0
    for name in bad:
        assert group.callers[name].value() or group.callers[name].aborted


SERVICE = ServiceName("llm")
PART = SuspectId("llm/part/1")


def make_evidence(survived=20, lost=0):
    """Return evidence with so many outcomes of other requests."""
    evidence = CrashEvidence()
    for number in range(survived):
        other = Suspect(SuspectId(f"llm/part/other-{number}"), b"")
        evidence.record_survival((other,), 9.0, 19.0)
    for number in range(lost):
        other = Suspect(SuspectId("llm/part/0"), b"")
        evidence.record_crash(f"x-{number}", SERVICE, [(other,)], 19.0)
    return evidence


def make_crashes(times, requests=None):
    rows = {}
    for number, at in enumerate(times):
        request = b"r-%d" % (number if requests is None else requests[number])
        rows[f"e-{number}"] = Crash(f"e-{number}", at, request)
    return rows


@pytest.mark.parametrize(
    ("crashes", "survived_at", "repeats", "standing"),
    [
        (make_crashes([10, 11, 12]), None, False, Standing.QUARANTINED),
        (make_crashes([10, 11]), None, False, Standing.SUSPECT),
        (make_crashes([10]), None, False, Standing.CLEAR),
        (make_crashes([10, 10.1, 10.2]), None, False, Standing.SUSPECT),
        (make_crashes([10, 11, 12], [1, 1, 1]), None, False, Standing.SUSPECT),
        (make_crashes([10, 11, 12], [1, 1, 1]), None, True, Standing.QUARANTINED),
        (make_crashes([10, 11, 12]), 11.5, False, Standing.CLEAR),
        (make_crashes([10, 11, 12]), 12 - SURVIVAL_MEMORY_SECONDS + 0.1, False, Standing.CLEAR),
        (make_crashes([20, 21, 22]), 10, False, Standing.SUSPECT),
        (make_crashes([20, 21, 22, 23, 24]), 10, False, Standing.QUARANTINED),
    ],
    ids=[
        "three crashes",
        "two crashes",
        "one crash",
        "one moment",
        "one request",
        "one request, repeated",
        "served between",
        "served just before",
        "served long before, three crashes",
        "served long before, five crashes",
    ],
)
def test_evidence_that_suffices(crashes, survived_at, repeats, standing):
    evidence = make_evidence()
    suspect = Suspect(PART, b"", repeats)
    if survived_at is not None:
        evidence.record_survival((suspect,), survived_at, survived_at)
    evidence.merge(Suspicion(PART, repeats, crashes), 25.0)
    assert evidence.find_standing([suspect], 25.0) is standing


def test_crashes_of_a_quarantined_part_count_for_no_other():
    """What else the requests held is not blamed, in whatever order the crashes become known."""
    evidence = CrashEvidence()
    other = Suspect(SuspectId("llm/part/2"), b"r")
    for number in range(6):
        request = b"r-%d" % number
        common = Suspect(SuspectId("llm/part/0"), request)
        evidence.record_survival((common,), 1.0, 1.0)
        suspects = (common, other, Suspect(PART, request))
        evidence.record_crash(f"e-{number}", SERVICE, [suspects], 10.0 + number)
    assert [item.suspect for item in evidence.list_all(16.0)] == [PART]


@pytest.mark.parametrize(("count", "seconds"), [(1, SUSPECT_SECONDS), (3, QUARANTINE_SECONDS)])
def test_suspicion_expires(count, seconds):
    evidence = make_evidence()
    evidence.merge(Suspicion(PART, False, make_crashes(range(10, 10 + count))), 20.0)
    last_at = 9.0 + count
    assert evidence.list_all(last_at + seconds - 0.1)
    assert not evidence.list_all(last_at + seconds + 0.1)
    evidence.record_crash("e-9", SERVICE, [(Suspect(PART, b""),)], last_at + seconds + 1.0)
    assert len(evidence.get(PART).crashes) == 1


def test_memory_is_bounded():
    """Quarantined suspects stay when there are too many suspicions."""
    evidence = CrashEvidence()
    evidence.merge(Suspicion(PART, False, make_crashes(range(10, 30))), 30.0)
    assert evidence.get(PART).quarantined and len(evidence.get(PART).crashes) == MAX_CRASHES
    for number in range(2 * MAX_SUSPECTS):
        suspect = Suspect(SuspectId(f"s-{number}"), b"")
        evidence.record_crash(f"x-{number}", SERVICE, [(suspect,)], 31.0)
    assert len(evidence) == MAX_SUSPECTS and evidence.get(PART).quarantined
    for number in range(MAX_SURVIVALS + 10):
        evidence.record_survival((Suspect(SuspectId(f"v-{number}"), b""),), 32.0, 32.0)
    assert f"survivals={MAX_SURVIVALS}" in repr(evidence)


def test_memory_of_a_process_that_only_hears_from_others_is_bounded():
    """An agent records no survival itself, and services are removed from the catalogue."""
    evidence = CrashEvidence(inf)
    for number in range(MAX_SURVIVALS + 10):
        evidence.merge(Suspicion(SuspectId(f"v-{number}"), False, survived_at=32.0), 32.0)
    assert f"survivals={MAX_SURVIVALS}" in repr(evidence)
    for number in range(MAX_SERVICES + 10):
        evidence.record_request(ServiceName(f"s-{number}"), (Suspect(PART, b""),))
    assert len(evidence._recent) == MAX_SERVICES


@pytest.mark.parametrize("known", range(1, MAX_CRASHES + 4))
def test_exchange_of_suspicions_comes_to_an_end(known):
    """Two processes that know different crashes do not tell each other the same for ever."""
    first, second = CrashEvidence(), CrashEvidence()
    first.merge(Suspicion(PART, False, make_crashes(range(10, 10 + known))), 30.0)
    second.merge(Suspicion(PART, False, make_crashes(range(14, 14 + known))), 30.0)
    for _ in range(3):
        second.merge(first.get(PART), 30.0)
        first.merge(second.get(PART), 30.0)
    assert not second.merge(first.get(PART), 30.0)
    assert not first.merge(second.get(PART), 30.0)


def test_quarantined_part_that_an_engine_survives_is_cleared():
    evidence = CrashEvidence()
    suspect = Suspect(PART, b"")
    evidence.merge(Suspicion(PART, False, make_crashes([10, 11, 12])), 13.0)
    assert len(evidence.get(PART).crashes) == CRASHES_TO_QUARANTINE
    assert evidence.record_survival((suspect,), 13.0, 13.0) == [PART]
    assert evidence.find_standing([suspect], 13.0) is Standing.CLEAR
    assert evidence.get_survival(PART, 13.0) == 13.0 and evidence.get_survival(PART, inf) is None
