"""How soon the platform of the product's own interface is read again after it was silent."""

from __future__ import annotations

import json
from random import Random

import pytest
from simulated_store import TRANSIT_SECONDS, RawStore
from twisted.internet.task import Clock

from coltsfootshift.catalogueservice import http as catalogue_http
from coltsfootshift.catalogueservice.base import PlatformError
from coltsfootshift.catalogueservice.http import MAX_TIMEOUT_SECONDS, HttpPlatform
from coltsfootshift.controllers.catalogue import PLATFORM_RETRY_MAX_SECONDS

MAX_RETURN_SECONDS = 3.0  # a change must be in force within 3 s
STEP_SECONDS = 0.01
ANSWER = json.dumps({"after": 0, "revision": 7, "complete": True, "records": []}).encode()


def follow(monkeypatch, answer_times, until):
    """Poll until a time; return the times of answers, those of calls and the most at once."""
    clock = Clock()
    store = RawStore(clock, ANSWER, answer_times)
    monkeypatch.setattr(catalogue_http, "treq", store)
    platform = HttpPlatform(clock, "http://10.0.0.1:80")
    answers = []

    def poll(_=None):
        platform.watch("catalogue", 0).addCallbacks(answered, failed)

    def answered(difference):
        answers.append(clock.seconds())
        clock.callLater(1.0, poll)

    def failed(failure):
        failure.trap(PlatformError)
        clock.callLater(PLATFORM_RETRY_MAX_SECONDS, poll)

    poll()
    while clock.seconds() < until:
        clock.advance(STEP_SECONDS)
    return answers, store


@pytest.mark.parametrize("seconds", [1.0, 3.0, 6.4, 15.0, 40.0])
@pytest.mark.parametrize("seed", range(5))
def test_platform_is_read_soon_after_it_has_returned(monkeypatch, seconds, seed):
    """A poll that was sent into a silence hung on for up to 20 s, twice as long each time."""
    starts_at = 4.0 + Random(seed).random()
    returned_at = starts_at + seconds

    def find_delay(now):
        return None if starts_at <= now < returned_at else TRANSIT_SECONDS

    answers, store = follow(monkeypatch, find_delay, returned_at + 25.0)
    after = [at for at in answers if at >= returned_at]
    assert min(after) - returned_at <= MAX_RETURN_SECONDS
    assert store.most_open <= 4


@pytest.mark.parametrize("seconds", [1.0, 4.0, 12.0])
def test_platform_that_is_slow_for_good_is_still_read(monkeypatch, seconds):
    answers, _ = follow(monkeypatch, lambda now: seconds, 60.0)
    assert len(answers) >= 60.0 / (seconds + 1.0) - 1


def test_platform_that_never_answers_fails(monkeypatch):
    answers, store = follow(monkeypatch, lambda now: None, 3 * MAX_TIMEOUT_SECONDS)
    assert not answers and store.open < store.calls
