"""Log of recent decisions: why requests were routed, refused or limited.

An entry records the steps of each request in its trace. The log keeps the latest traces; those of
requests without a complete answer are kept separately, so that successful traffic does not evict
them.

>>> trace = DecisionTrace("r1", "service", "team", arrived_at=10.0)
>>> trace.add_step(10.5, "LimitsFilter", "refused: team is over its rate")
>>> log = DecisionLog(wall_offset=100.0)
>>> log.add(trace, complete=False)
>>> log.find("r1")[0]["steps"]
[{'at': 110.5, 'step': 'LimitsFilter', 'text': 'refused: team is over its rate'}]
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

__all__ = ["DecisionLog", "DecisionStep", "DecisionTrace"]

MAX_COMPLETE_TRACES = 2_000
MAX_INCOMPLETE_TRACES = 4_000
MAX_STEPS = 32
MAX_TEXT_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class DecisionStep:
    """One step of a decision; `at` is in monotonic seconds."""

    at: float
    step: str
    text: str


@dataclass(slots=True)
class DecisionTrace:
    """The steps of one request through one entry."""

    request: str
    service: str
    team: str
    arrived_at: float
    operation: str = ""
    steps: list[DecisionStep] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.request = self.request[:MAX_TEXT_CHARACTERS]
        self.service = self.service[:MAX_TEXT_CHARACTERS]
        self.team = self.team[:MAX_TEXT_CHARACTERS]
        self.operation = self.operation[:MAX_TEXT_CHARACTERS]

    def add_step(self, now: float, step: str, text: str) -> None:
        """Add a step; steps beyond `MAX_STEPS` are dropped."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append(DecisionStep(now, step, text[:MAX_TEXT_CHARACTERS]))


class DecisionLog:
    """The latest traces of one entry; `wall_offset` converts monotonic to wall time (seconds)."""

    def __init__(self, wall_offset: float) -> None:
        self._wall_offset = wall_offset
        self._complete: deque[DecisionTrace] = deque(maxlen=MAX_COMPLETE_TRACES)
        self._incomplete: deque[DecisionTrace] = deque(maxlen=MAX_INCOMPLETE_TRACES)

    def __len__(self) -> int:
        return len(self._complete) + len(self._incomplete)

    def add(self, trace: DecisionTrace, complete: bool) -> None:
        """Add the trace of a request that has ended; `complete` if its answer was complete."""
        (self._complete if complete else self._incomplete).append(trace)

    def find(self, request: str) -> list[dict[str, Any]]:
        """Return all traces of a request ID, oldest first, with wall times."""
        rows = []
        request = request[:MAX_TEXT_CHARACTERS]
        for traces in (self._complete, self._incomplete):
            for trace in traces:
                if trace.request == request:
                    rows.append(self._describe(trace))
        return sorted(rows, key=lambda row: row["arrived_at"])

    def _describe(self, trace: DecisionTrace) -> dict[str, Any]:
        steps = []
        for step in trace.steps:
            at = round(step.at + self._wall_offset, 6)
            steps.append({"at": at, "step": step.step, "text": step.text})
        return {
            "request": trace.request,
            "service": trace.service,
            "operation": trace.operation,
            "team": trace.team,
            "arrived_at": round(trace.arrived_at + self._wall_offset, 6),
            "steps": steps,
        }
