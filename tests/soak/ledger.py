"""What callers sent, what endpoints ran, and which promises that breaks."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from enum import Enum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ANSWER_SLACK_SECONDS = 1.5  # half a second of the rules, the rest for a busy machine
EVENTS = 12
CALM_FROM_SECONDS = 3.0  # the programs' `contact_ms`


class Kind(Enum):
    """What may be repeated of a request."""

    BOOK = "book"
    LOOK = "look"
    CHAT = "chat"

    @property
    def attempts(self) -> int:
        """On how many endpoints a request may run."""
        return 1 if self is Kind.BOOK else 3


@dataclass
class Call:
    """One request of a caller; times on the soak's monotonic clock."""

    request: str
    kind: Kind
    route: str
    key: str
    entry: str
    body: bytes
    deadline: float
    sent_at: float
    status: int | None = None
    answer: bytes = b""
    sealed: bool = False
    whole: bool = False
    ended_at: float = 0.0


@dataclass(frozen=True)
class Run:
    """A request that an endpoint began to work on."""

    endpoint: str
    version: int
    team: str
    body: bytes
    at: float


@dataclass
class Ledger:
    """Collects from all threads; `list_broken` judges once every process is gone.

    A run is noted before the endpoint answers, so a promise that nothing has run is judged against
    all runs, those after the promise included.
    """

    teams: dict[str, str]
    revoke_within: float
    calls: dict[str, Call] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)
    disturbed: list[tuple[str, float, float]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def note_call(self, call: Call) -> None:
        """A caller is about to send a request."""
        with self.lock:
            self.calls[call.request] = call

    def note_run(self, request: str, run: Run) -> None:
        """An endpoint begins to work on a request."""
        with self.lock:
            self.runs.setdefault(request, []).append(run)

    def note_revoked(self, key: str) -> None:
        """The store has accepted a catalogue without a key."""
        with self.lock:
            self.revoked.setdefault(key, time.monotonic())

    def note_disturbed(self, entry: str, since: float, until: float) -> None:
        """An entry's process was paused, killed or told to stop in this span."""
        with self.lock:
            self.disturbed.append((entry, since, until))

    def note_broken(self, text: str) -> None:
        """A promise was seen to be broken."""
        with self.lock:
            self.broken.append(text)

    def list_broken(self) -> list[str]:
        """Return each promise that was broken, with the request."""
        found = list(self.broken)
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            if call is None:
                found.append(f"{request}: ran, but no caller sent it")
                continue
            found += [f"{request} ({call.kind.value}): {text}" for text in self._judge(call, runs)]
        for call in self.calls.values():
            found += [f"{call.request} ({call.kind.value}): {t}" for t in self._judge_answer(call)]
        return found

    def _judge(self, call: Call, runs: list[Run]) -> list[str]:
        found = []
        if len(runs) > call.kind.attempts:
            found.append(f"ran {len(runs)} times, at most {call.kind.attempts} allowed")
        if call.status in NOT_RUN_STATUSES:
            found.append(f"was answered {call.status} and ran at {runs[0].endpoint}")
        revoked_at = self.revoked.get(call.key)
        for run in runs:
            if run.team != self.teams[call.key]:
                found.append(f"ran for {run.team!r}, its key is of {self.teams[call.key]!r}")
            if run.body != call.body:
                found.append(f"ran with another body at {run.endpoint}")
        if revoked_at is not None and call.sent_at > revoked_at + self.revoke_within:
            after = call.sent_at - revoked_at
            found.append(f"was sent {after:.2f} s after its key was revoked, and ran")
        return found

    def _judge_answer(self, call: Call) -> list[str]:
        if call.status is None:
            if self._was_disturbed(call, time.monotonic()):
                return []
            if call.ended_at > call.sent_at + call.deadline + ANSWER_SLACK_SECONDS:
                return [f"no answer {call.ended_at - call.sent_at:.2f} s after it was sent"]
            return []
        if call.status != 200:
            return []
        if not call.sealed:
            return ["a success without the endpoint's seal"]
        if call.kind is Kind.CHAT:
            return self._judge_events(call)
        if call.whole and call.answer not in self._list_answers(call):
            return [f"an answer that no endpoint gave: {call.answer[:80]!r}"]
        return []

    def _list_answers(self, call: Call) -> set[bytes]:
        return {make_answer(run.endpoint, call.request) for run in self.runs.get(call.request, [])}

    def _judge_events(self, call: Call) -> list[str]:
        ids = []
        for block in call.answer.split(b"\n\n")[:-1]:
            lines = dict(line.split(b": ", 1) for line in block.split(b"\n"))
            if not lines[b"data"].startswith(call.request.encode()):
                return [f"an event of another request: {block!r}"]
            ids.append(int(lines[b"id"]))
        expected = list(range(1, len(ids) + 1))
        if ids != expected:
            return [f"events {ids}"]
        if call.whole and len(ids) != EVENTS:
            return [f"ended as complete after event {len(ids)} of {EVENTS}"]
        versions = {run.version for run in self.runs.get(call.request, [])}
        if call.whole and len(versions) > 1 and not self._is_of_one_version(call):
            return [f"events of versions {sorted(versions)} joined"]
        return []

    def _is_of_one_version(self, call: Call) -> bool:
        versions = {part.split(b"\n")[0] for part in call.answer.split(b" version ")[1:]}
        return len(versions) == 1

    def _was_disturbed(self, call: Call, now: float) -> bool:
        for entry, since, until in self.disturbed:
            if entry == call.entry and since <= (call.ended_at or now) and until >= call.sent_at:
                return True
        return False


def make_answer(endpoint: str, request: str) -> bytes:
    """Return the whole answer of a plain endpoint to a request."""
    return f"{endpoint} has run {request}".encode()


def make_event(request: str, number: int, version: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request} version {version}\n\n".encode()
