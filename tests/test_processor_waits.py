"""What a failed test tells of threads that were ready to run, but were not run."""

from __future__ import annotations

import os
import threading
import time

import pytest
from processor_waits import (
    MIN_WAIT_SECONDS,
    ThreadState,
    WaitFinder,
    describe_processor_time,
    read_own_states,
)

RUN_SECONDS = 0.05  # more than the kernel's clock ticks
LONG, SHORT = MIN_WAIT_SECONDS * 2, MIN_WAIT_SECONDS / 2


@pytest.mark.parametrize(
    ("samples", "waits"),
    [
        ([(0.0, "R", 5), (LONG, "R", 5), (2 * LONG, "R", 6)], [(0.0, LONG)]),
        ([(0.0, "R", 5), (LONG, "R", 5), (2 * LONG, "R", 5)], [(0.0, 2 * LONG)]),
        ([(0.0, "R", 5), (LONG, "S", 6), (2 * LONG, "R", 6)], []),
        ([(0.0, "S", 5), (LONG, "S", 5)], []),
        ([(0.0, "R", 5), (LONG, "R", 6), (LONG + SHORT, "R", 6)], []),
        ([(0.0, "R", 5), (SHORT, "R", 5), (LONG, "R", 6), (2 * LONG, "R", 6)], [(LONG, 2 * LONG)]),
        ([(0.0, "R", 5), (LONG, None, 0), (2 * LONG, "R", 5)], []),
    ],
    ids=["once", "goes on", "slept between", "sleeps", "ran", "begins anew", "another thread"],
)
def test_wait_for_a_processor_is_told_from_sleep_and_work(samples, waits):
    """A thread that slept or ran was taken for one that was not run, or the other way round."""
    finder = WaitFinder()
    for at, state, ran in samples:
        finder.add_sample(at, {"7": ThreadState(state == "R", ran)} if state else {})
    found = finder.list_waits(since=0.0)
    assert [(wait.began_at, wait.ended_at) for wait in found] == waits
    assert finder.list_waits(since=10 * LONG) == []


def test_states_of_this_process_are_read():
    """All threads seemed to sleep, so that no wait was ever found."""
    sleeper = threading.Event()
    thread = threading.Thread(target=sleeper.wait)
    thread.start()
    before = read_own_states()
    began_at = time.thread_time()
    while time.thread_time() < began_at + RUN_SECONDS:
        pass
    after = read_own_states()
    own = str(threading.get_native_id())
    sleeper.set()
    thread.join()
    assert after[own].ready and after[own].run_nanoseconds > before[own].run_nanoseconds
    assert not after[str(thread.native_id)].ready
    assert describe_processor_time(os.getpid()).startswith("ran ")
    assert describe_processor_time(2**30) == ""
