"""How long threads of a test and of its processes were ready to run, but were not run.

On a busy machine a thread may wait for a processor for a second and more. A stand-in does not
answer then, or a process stands still, although nothing is wrong with either.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

SAMPLE_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.3  # shorter ones explain no failure
MAX_WAITS = 40
PROCESSES = Path("/proc")
NANOSECONDS_PER_SECOND = 1_000_000_000


@dataclass(frozen=True)
class ThreadState:
    """What the kernel tells of a thread: whether it is ready to run, and how long it has run."""

    ready: bool
    run_nanoseconds: int


@dataclass
class ProcessorWait:
    """A thread, and from when until when, in seconds, it was ready but not run."""

    thread: str
    began_at: float
    ended_at: float


class WaitFinder:
    """Finds the threads that are ready in successive samples and have not run in between.

    >>> finder = WaitFinder()
    >>> for at, ran in [(0.0, 5), (0.2, 5), (0.4, 5), (0.6, 6)]:
    ...     finder.add_sample(at, {"27": ThreadState(True, ran)})
    >>> finder.list_waits(since=0.0)
    [ProcessorWait(thread='27', began_at=0.0, ended_at=0.4)]
    """

    def __init__(self) -> None:
        self._ready: dict[str, tuple[ThreadState, ProcessorWait]] = {}
        self._waits: deque[ProcessorWait] = deque(maxlen=MAX_WAITS)

    def add_sample(self, now: float, states: dict[str, ThreadState]) -> None:
        """Compare the states of all threads with those of the sample before."""
        before, self._ready = self._ready, {}
        for thread, state in states.items():
            if not state.ready:
                continue
            known, wait = before.get(thread, (None, None))
            if wait is None or known != state:
                self._ready[thread] = (state, ProcessorWait(thread, now, now))
                continue
            was_short = wait.ended_at - wait.began_at < MIN_WAIT_SECONDS
            wait.ended_at = now
            if was_short and now - wait.began_at >= MIN_WAIT_SECONDS:
                self._waits.append(wait)
            self._ready[thread] = (state, wait)

    def list_waits(self, since: float) -> list[ProcessorWait]:
        """Return the long waits that ended at `since` or later."""
        return [wait for wait in self._waits if wait.ended_at >= since]


def read_own_states() -> dict[str, ThreadState]:
    """Return the states of the threads of this process by their ids."""
    states = {}
    for task in (PROCESSES / "self" / "task").iterdir():
        try:
            state = (task / "stat").read_text("utf-8", "replace").rpartition(") ")[2][:1]
            run = (task / "schedstat").read_text("ascii").split()
        except OSError:
            continue  # it has ended
        states[task.name] = ThreadState(state == "R", int(run[0]))
    return states


def describe_processor_time(process: int) -> str:
    """Return for how long a process has run and has waited for a processor; empty if unknown."""
    try:
        row = (PROCESSES / str(process) / "schedstat").read_text("ascii").split()
    except OSError:
        return ""
    ran, waited = (int(item) / NANOSECONDS_PER_SECOND for item in row[:2])
    return f"ran {ran:.1f} s, was ready but not run for {waited:.1f} s"


class ProcessorWatch(threading.Thread):
    """Takes samples all the time, so that a failed test can tell what waited for a processor."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._finder = WaitFinder()
        self._lock = threading.Lock()

    def run(self) -> None:
        while True:
            states = read_own_states()
            with self._lock:
                self._finder.add_sample(time.time(), states)
            time.sleep(SAMPLE_SECONDS)

    def describe(self, since: float) -> list[str]:
        """Return a line for each long wait that ended after `since`, in seconds of the clock."""
        with self._lock:
            waits = self._finder.list_waits(since)
        lines = []
        for wait in waits:
            clock = time.strftime("%H:%M:%S", time.localtime(wait.began_at))
            seconds = wait.ended_at - wait.began_at
            lines.append(
                f"{clock} thread {wait.thread} was ready for {seconds:.1f} s, but was not run"
            )
        return lines
