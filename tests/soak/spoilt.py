"""Faults of what processes know: taken away for a while, out of date, or wrong once."""

from __future__ import annotations

import signal
import socket
import threading
import time
from random import Random

from platform_standins import HOST

from soak.faults import SILENCE_RANGE_SECONDS, Fault, Kill, PlannedFault
from soak.ledger import DEADLINE_TOLERANCE_SECONDS, STORE, Call, Kind
from soak.members import TEAMS, Member, SoakFleet, Taken

TAKEN_RANGE_SECONDS = (0.5, 4.0)
# Pieces may turn bad up to 3 s before a load; the agent must not run for longer than that.
VERIFICATION_PAUSE_RANGE_SECONDS = (3.2, 4.5)
# With the longest silence of an engine more than 3 s.
SHORT_PAUSE_RANGE_SECONDS = (1.6, 2.5)
ORDER_SECONDS = 0.2  # until an order that the agent sent before the pause has been accepted
ROLLOUT_RANGE_SECONDS = (0.0, 2.0)  # from a publication to about the load
PERIOD_SECONDS = 5.0
REQUESTS_AHEAD = 400
RUNS_AHEAD = 40  # one of so many requests runs at an endpoint
AHEAD_SECONDS = 8.0
UNREAD_SECONDS = 4.0
LARGE_BODIES = 6
LARGE_BODY_BYTES = 2 * 1024 * 1024
BODY_DEADLINE_SECONDS = 8.0
READ_BYTES = 64 * 1024
STALE_SEEDS = ("127.0.0.1:1", "127.0.0.1:2")


class TakenAway(Fault):
    """Takes away all keys, teams, routes or engines, and gives them back."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = rng.uniform(*TAKEN_RANGE_SECONDS)
        self.taken = rng.choice(list(Taken))

    def begin(self, fleet: SoakFleet) -> None:
        fleet.take_away(self.taken)

    def end(self, fleet: SoakFleet) -> None:
        fleet.give_back(self.taken)

    def __repr__(self) -> str:
        return f"TakenAway({self.taken.value}, {self.seconds:.1f} s)"


class VerificationPause(Fault):
    """Suspends an agent during a rollout; pieces that it may have verified turn bad meanwhile."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = rng.uniform(*VERIFICATION_PAUSE_RANGE_SECONDS)
        number = rng.randrange(len(fleet.engines))
        self.engine = fleet.engines[number]
        self.member = next(item for item in fleet.members if item.name == f"agent-{number}")

    def begin(self, fleet: SoakFleet) -> None:
        fleet.record_disruption(self.member.name, self.seconds)
        self.member.send(signal.SIGSTOP)
        time.sleep(ORDER_SECONDS)
        for index in list(self.engine.staged)[:2]:
            self.engine.staged[index] = b"spoilt"

    def end(self, fleet: SoakFleet) -> None:
        self.member.send(signal.SIGCONT)

    def __repr__(self) -> str:
        return f"VerificationPause({self.member.name}, {self.seconds:.1f} s)"


class LateOrder(VerificationPause):
    """Suspends an agent for less than 3 s; its engine falls silent when it gets the next order.

    Pieces that turned bad at the beginning would then be loaded more than 3 s later.
    """

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        super().choose(fleet, rng)
        self.seconds = rng.uniform(*SHORT_PAUSE_RANGE_SECONDS)

    def end(self, fleet: SoakFleet) -> None:
        self.engine.silence_at_order = SILENCE_RANGE_SECONDS[1]
        super().end(fleet)

    def __repr__(self) -> str:
        return f"LateOrder({self.member.name}, {self.seconds:.2f} s)"


class WrongOnce(Fault):
    """Publishes a version of which the origin sends one wrong digest or chunk."""

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.manifest = rng.random() < 0.7

    def begin(self, fleet: SoakFleet) -> None:
        if self.manifest:
            fleet.origin.corrupt_manifests = 1
        else:
            fleet.origin.corrupt_chunks = 1
        fleet.put_version()

    def __repr__(self) -> str:
        return f"WrongOnce({'manifest' if self.manifest else 'chunk'})"


class StaleSeeds(Kill):
    """Kills a process; of the seeds that it starts with again, all but the last are gone."""

    def end(self, fleet: SoakFleet) -> None:
        live = [seed for seed in self.member.fields["seeds"] if seed not in STALE_SEEDS]
        self.member.fields["seeds"] = [*STALE_SEEDS, live[-1]]
        super().end(fleet)


class RoughCaller(Fault):
    """A caller that sends hundreds of requests ahead, reads nothing, or sends large bodies."""

    member: Member

    def choose(self, fleet: SoakFleet, rng: Random) -> None:
        self.seconds = AHEAD_SECONDS
        self.member = rng.choice(fleet.entries)
        self.kind = rng.choice((self.send_ahead, self.read_nothing, self.send_large))
        self.name = f"rough-{rng.randrange(10**6)}"
        self.key = rng.choice(sorted(TEAMS))

    def begin(self, fleet: SoakFleet) -> None:
        self.thread = threading.Thread(target=self._run, args=(fleet,), daemon=True)
        self.thread.start()

    def end(self, fleet: SoakFleet) -> None:
        self.thread.join(2 * AHEAD_SECONDS)

    def _run(self, fleet: SoakFleet) -> None:
        started = time.monotonic()
        try:
            problem = self.kind(fleet)
        except OSError as error:
            problem = f"the connection has ended: {type(error).__name__}"
        names = {self.member.name, STORE}
        if problem and not fleet.ledger.was_disrupted(names, started, time.monotonic()):
            fleet.ledger.record_violation(f"{self!r} at {self.member.name}: {problem}")

    def send_ahead(self, fleet: SoakFleet) -> str:
        """Expect an answer to each of hundreds of requests that are sent at once."""
        with self._connect() as connection:
            connection.settimeout(AHEAD_SECONDS)
            sending = threading.Thread(target=connection.sendall, args=(self._make_ahead(fleet),))
            sending.start()
            data = b""
            while data.count(b"HTTP/1.1 ") < REQUESTS_AHEAD and (
                part := connection.recv(READ_BYTES)
            ):
                data += part
            sending.join()
        answered = data.count(b"HTTP/1.1 ")
        return "" if answered == REQUESTS_AHEAD else f"{answered} of {REQUESTS_AHEAD} answered"

    def read_nothing(self, fleet: SoakFleet) -> str:
        """Send hundreds of requests and read no answer."""
        with self._connect() as connection:
            connection.settimeout(UNREAD_SECONDS)
            connection.sendall(self._make_ahead(fleet))
            time.sleep(UNREAD_SECONDS)
        return ""

    def send_large(self, fleet: SoakFleet) -> str:
        """Expect an answer to each of several large bodies."""
        with self._connect() as connection:
            connection.settimeout(BODY_DEADLINE_SECONDS)
            for number in range(LARGE_BODIES):
                call = self._make_call(fleet, number, Kind.BOOK, bytes(LARGE_BODY_BYTES))
                connection.sendall(self._make_head(call) + call.body)
                if not connection.recv(READ_BYTES).startswith(b"HTTP/1.1 "):
                    return f"body {number} got no answer"
        return ""

    def _connect(self) -> socket.socket:
        return socket.create_connection((HOST, self.member.ports[0]), BODY_DEADLINE_SECONDS)

    def _make_ahead(self, fleet: SoakFleet) -> bytes:
        """Return requests of which most have no route."""
        heads = []
        for number in range(REQUESTS_AHEAD):
            call = self._make_call(fleet, number, Kind.LOOK, b"")
            call.route = call.route if number % RUNS_AHEAD == 0 else "nowhere"
            heads.append(self._make_head(call))
        return b"".join(heads)

    def _make_call(self, fleet: SoakFleet, number: int, kind: Kind, body: bytes) -> Call:
        call = Call(
            request=f"{self.name}-{number}",
            kind=kind,
            route=kind.value,
            key=self.key,
            entry=self.member.name,
            body=body,
            deadline=BODY_DEADLINE_SECONDS - DEADLINE_TOLERANCE_SECONDS,
            sent_at=time.monotonic(),
        )
        fleet.ledger.record_call(call)
        return call

    def _make_head(self, call: Call) -> bytes:
        lines = [f"POST /{call.route}/1 HTTP/1.1", "Host: desk.example"]
        lines += [f"X-Attempt-Id: {call.request}", f"X-Api-Key: {call.key}"]
        return "\r\n".join([*lines, f"Content-Length: {len(call.body)}", "", ""]).encode()

    def __repr__(self) -> str:
        return f"RoughCaller({self.name}, {self.kind.__name__}, {self.member.name})"


def draw_spoilt_knowledge(fleet: SoakFleet, rng: Random) -> list[PlannedFault]:
    """Return faults of what processes know, and callers that ask for more than their part.

    What is taken away is given back before the next is taken.
    """
    plan = []
    starts_at = 0.0
    while starts_at < PERIOD_SECONDS:
        fault = TakenAway()
        fault.choose(fleet, rng)
        plan.append(PlannedFault(starts_at, fault))
        starts_at += fault.seconds + rng.uniform(*ROLLOUT_RANGE_SECONDS)
    published_at = rng.uniform(0.0, PERIOD_SECONDS)
    rows: list[tuple[type[Fault], float]] = [
        (WrongOnce, published_at),
        (VerificationPause, published_at + rng.uniform(*ROLLOUT_RANGE_SECONDS)),
        (StaleSeeds, rng.uniform(0.0, PERIOD_SECONDS)),
        (RoughCaller, rng.uniform(0.0, PERIOD_SECONDS)),
        (RoughCaller, rng.uniform(0.0, PERIOD_SECONDS)),
    ]
    for kind, at in rows:
        fault = kind()
        fault.draw(fleet, rng)
        plan.append(PlannedFault(at, fault))
    return sorted(plan, key=lambda planned: planned.starts_at)


def draw_late_order(
    fleet: SoakFleet, rng: Random, spoilt_knowledge: list[PlannedFault]
) -> PlannedFault:
    """Return a late order beside the pause of another agent, after the publication of a version."""
    published = next(item for item in spoilt_knowledge if isinstance(item.fault, WrongOnce))
    paused = next(item.fault for item in spoilt_knowledge if type(item.fault) is VerificationPause)
    fault = LateOrder()
    fault.draw(fleet, rng)
    while fault.engine is paused.engine:
        fault.draw(fleet, rng)
    return PlannedFault(published.starts_at + rng.uniform(*ROLLOUT_RANGE_SECONDS), fault)
