"""Requests under which engines end, one after the other."""

from __future__ import annotations

import pytest
from crashing_engines import COMMON_PART, CrashingEngines, make_sender

CONTACT_SECONDS = 3.0
CRASHES_UNTIL_LIMIT = 5
MAX_SENT_AFTER_LIMIT = 3
BAD_PART = "0bad0bad"


def draw_sound(rng):
    return (COMMON_PART, f"{rng.randrange(40):08x}")


def draw_bad(rng):
    return (COMMON_PART, BAD_PART, f"{rng.randrange(40):08x}")


@pytest.mark.parametrize("seed", range(4))
def test_part_of_a_prompt_that_ends_engine_after_engine_is_not_sent_on(seed):
    group = CrashingEngines(crashing=[BAD_PART], seed=seed)
    sound, bad = [], []
    group.run(2.0, [make_sender(12, draw_sound, sound)])
    group.run(25.0, [make_sender(12, draw_sound, sound), make_sender(3, draw_bad, bad)])
    assert len(bad) > 40
    limit = (group.crashes + [group.now] * CRASHES_UNTIL_LIMIT)[CRASHES_UNTIL_LIMIT - 1]
    assert group.sent_to_engines(BAD_PART, limit + CONTACT_SECONDS) <= MAX_SENT_AFTER_LIMIT
    late = sound[len(sound) // 2 :]
    assert group.answered(late) >= 0.9 * len(late)
