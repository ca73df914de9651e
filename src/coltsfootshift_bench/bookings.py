"""Experiment on at-most-once execution: bookings while random faults are injected.

No booking may run twice, run although its outcome was `not_run`, or end without an outcome.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from coltsfootshift_bench import targets
from coltsfootshift_bench.caller import Answer, Caller
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue
from coltsfootshift_bench.fault_injection import FaultInjector
from coltsfootshift_bench.fault_proxy import route_through_proxy
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet
from coltsfootshift_bench.targets import Report, Target

__all__ = ["run_bookings"]

SERVICE = "booking-ledger"
ENTRIES = 4
LEDGERS = 3
CALLERS = 32
WORK_SECONDS = 0.02
DEADLINE_SECONDS = 4.0
MAX_REPEATS = 10
MAX_TICKET_ATTEMPTS = 20
REPEAT_INTERVAL_SECONDS = 0.1
RUN_SECONDS = 85.0
QUICK_RUN_SECONDS = 30.0
QUICK_COUNT = 2_000
PROGRESS_SECONDS = 5.0
READY_SECONDS = 20.0
DRAIN_SECONDS = 1.0
TWO_ENTRIES_PROBABILITY = 0.1
REPEAT_PROBABILITY = 0.1
VOID_PROBABILITY = 0.05
NO_DIGEST = "0" * 64
STREAMS = {"heartbeat": 0.2, "silence": 0.8, "retry_most": 0.5}


@dataclass(slots=True)
class _Booking:
    """One booking, made under one ticket, with the outcomes and latency that its caller saw."""

    name: str
    outcomes: list[str] = field(default_factory=list)
    not_run_reasons: list[str] = field(default_factory=list)
    seconds: float = 0.0

    def add(self, answer: Answer) -> None:
        """Record the outcome of one request."""
        self.outcomes.append(answer.outcome)
        if answer.outcome == "not_run":
            self.not_run_reasons.append(str(answer.last["reason"]))

    @property
    def final_outcome(self) -> str:
        """The outcome after all repeats: `complete`, else `not_run`, else `unknown`, else empty.

        A definite outcome takes precedence over `unknown`, whichever came last.
        """
        explicit = [item for item in self.outcomes if item in ("complete", "not_run", "unknown")]
        for wanted in ("complete", "not_run"):
            if wanted in explicit:
                return wanted
        return explicit[-1] if explicit else ""


@dataclass(slots=True)
class _BookingLog:
    """The bookings of all callers; ends after `count` bookings or at the time `until`.

    `without_ticket` counts bookings for which no entry issued a ticket.
    """

    count: int
    until: float
    bookings: list[_Booking] = field(default_factory=list)
    without_ticket: int = 0
    started: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def next_number(self) -> int | None:
        """Return the number of the next booking, or None once the run is over."""
        with self.lock:
            if self.started >= self.count or time.monotonic() > self.until:
                return None
            self.started += 1
            return self.started

    def add(self, booking: _Booking | None) -> None:
        """Record a booking that has ended, or None for one that got no ticket."""
        with self.lock:
            if booking is None:
                self.without_ticket += 1
                return
            self.bookings.append(booking)


class _BookingClient:
    """A caller that repeats each booking at other entries until its outcome is definite.

    Some bookings are sent to two entries at once, voided while in flight, or repeated after they
    are settled, to exercise deduplication by ticket.
    """

    def __init__(self, addresses: list[tuple[str, int]], rng: Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._caller = Caller(addresses[0], rng.choice(TENTLINE.teams), rng)

    def book(self, number: int) -> _Booking | None:
        """Make one booking and return it, or None if no entry issued a ticket."""
        started = time.monotonic()
        ticket = self._request_ticket()
        if not ticket:
            return None
        booking = _Booking(f"booking-{number}")
        chance = self._rng.random()
        if chance < TWO_ENTRIES_PROBABILITY:
            self._book_at_two(booking, ticket)
        elif chance < TWO_ENTRIES_PROBABILITY + VOID_PROBABILITY:
            self._void(booking, ticket)
        self._book_until_settled(booking, ticket)
        if self._rng.random() < REPEAT_PROBABILITY:
            self._send(booking, ticket, self._choose_entry())
        booking.seconds = time.monotonic() - started
        return booking

    def _request_ticket(self) -> str:
        for _ in range(MAX_TICKET_ATTEMPTS):
            ticket = self._caller.request_ticket(SERVICE, self._choose_entry())
            if ticket:
                return ticket
            time.sleep(REPEAT_INTERVAL_SECONDS)
        return ""

    def _book_until_settled(self, booking: _Booking, ticket: str) -> None:
        entries = self._rng.sample(self._addresses, len(self._addresses))
        for repeat in range(MAX_REPEATS):
            answer = self._send(booking, ticket, entries[repeat % len(entries)])
            if answer.outcome in ("complete", "not_run"):
                return
            if answer.outcome == "unknown" and "replaced" in answer.last["reason"]:
                return
            time.sleep(REPEAT_INTERVAL_SECONDS)

    def _book_at_two(self, booking: _Booking, ticket: str) -> None:
        pair = self._rng.sample(self._addresses, 2)
        threads = []
        for entry in pair:
            threads.append(threading.Thread(target=self._send, args=(booking, ticket, entry)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _void(self, booking: _Booking, ticket: str) -> None:
        """Void the ticket at one entry while the booking is in flight at another."""
        entry, other = self._rng.sample(self._addresses, 2)
        thread = threading.Thread(target=self._send, args=(booking, ticket, entry))
        thread.start()
        time.sleep(self._rng.uniform(0, 2 * WORK_SECONDS))
        booking.add(self._caller.void_ticket(ticket, other))
        thread.join()

    def _send(self, booking: _Booking, ticket: str, entry: tuple[str, int]) -> Answer:
        body = {"name": booking.name}
        answer = self._caller.send(SERVICE, body, "book", ticket, DEADLINE_SECONDS, entry)
        booking.add(answer)
        return answer

    def _choose_entry(self) -> tuple[str, int]:
        return self._rng.choice(self._addresses)


def run_bookings(count: int, quick: bool, seed: int, path: Path | None) -> bool:
    """Make the bookings, write the report to `path` and return whether every target is met."""
    seconds = QUICK_RUN_SECONDS if quick else RUN_SECONDS
    count = min(count, QUICK_COUNT) if quick else count
    with Fleet(seed=seed, streams=STREAMS) as fleet:
        ledgers = [f"ledger-{number + 1}" for number in range(LEDGERS)]
        entries = [f"entry-{number + 1}" for number in range(ENTRIES)]
        print(f"starting {ENTRIES} entries and {LEDGERS} ledgers behind the fault proxy")
        _start(fleet, entries, ledgers)
        injector = FaultInjector(fleet, entries, ledgers, Random(seed), _list_options)
        log = _BookingLog(count, time.monotonic() + seconds)
        _run(fleet, entries, log, injector, seed)
        time.sleep(DRAIN_SECONDS)
        executed = _count_executed(fleet, ledgers)
        faults = [asdict(fault) for fault in injector.injected]
    report = _make_report(seed, count, log, executed, faults)
    report.write(path)
    return report.holds()


def _start(fleet: Fleet, entries: list[str], ledgers: list[str]) -> None:
    fleet.start_platform()
    fleet.start_faults()
    for name in entries:
        fleet.start_entry(name)
    for name in ledgers:
        fleet.start_service(name, SERVICE, *_list_options(fleet, name))
    route_through_proxy(fleet, ledgers)
    fleet.publish_instances()
    fleet.publish("catalogue", make_catalogue(TENTLINE, "v1", NO_DIGEST))
    fleet.wait_until_listening()

    def is_ready() -> bool:
        for name in entries:
            endpoints = fleet.read_status(name)["endpoints"]
            if sum(row["serving"] for row in endpoints.values()) < len(ledgers):
                return False
        return True

    fleet.wait_until(is_ready, READY_SECONDS, "every entry reaches every ledger")


def _list_options(fleet: Fleet, name: str) -> list[str]:
    journal = fleet.folder / f"{name}.journal"
    return ["--work-seconds", str(WORK_SECONDS), "--journal", str(journal)]


def _run(
    fleet: Fleet, entries: list[str], log: _BookingLog, injector: FaultInjector, seed: int
) -> None:
    addresses = [(fleet.members[name].host, CALLERS_PORT) for name in entries]
    threads = []
    for number in range(CALLERS):
        client = _BookingClient(addresses, Random(seed * 1_000 + number))
        thread = threading.Thread(target=_run_client, args=(client, log))
        thread.start()
        threads.append(thread)
    injector.start()
    started = time.monotonic()
    try:
        while any(thread.is_alive() for thread in threads):
            _join_for(threads, PROGRESS_SECONDS)
            seconds = time.monotonic() - started
            print(
                f"  {seconds:5.1f} s  {len(log.bookings)} booked, {len(injector.injected)} faults"
            )
    finally:
        log.until = 0.0
        injector.stop()
        for thread in threads:
            thread.join()


def _join_for(threads: list[threading.Thread], seconds: float) -> None:
    until = time.monotonic() + seconds
    for thread in threads:
        thread.join(max(0.0, until - time.monotonic()))


def _run_client(client: _BookingClient, log: _BookingLog) -> None:
    while True:
        number = log.next_number()
        if number is None:
            return
        log.add(client.book(number))


def _count_executed(fleet: Fleet, ledgers: list[str]) -> Counter[str]:
    executed: Counter[str] = Counter()
    for name in ledgers:
        executed.update((fleet.folder / f"{name}.journal").read_text().split())
    return executed


def _make_report(
    seed: int, count: int, log: _BookingLog, executed: Counter[str], faults: list[dict[str, Any]]
) -> Report:
    executed_twice = [name for name, runs in executed.items() if runs > 1]
    not_run_but_ran = []
    complete_but_not_run = []
    for row in log.bookings:
        if row.not_run_reasons and executed[row.name]:
            not_run_but_ran.append([row.name, *row.not_run_reasons])
        if row.final_outcome == "complete" and not executed[row.name]:
            complete_but_not_run.append(row.name)
    without_outcome = [row.name for row in log.bookings if not row.final_outcome]
    outcomes = Counter(row.final_outcome or "none" for row in log.bookings)
    figures = {
        "asked": count,
        "bookings": len(log.bookings),
        "without_ticket": log.without_ticket,
        "outcomes": dict(outcomes),
        "told": dict(Counter(item for row in log.bookings for item in row.outcomes)),
        "executed": len(executed),
        "executed_twice": executed_twice,
        "not_run_but_ran": not_run_but_ran,
        "complete_but_not_run": complete_but_not_run,
        "without_outcome": without_outcome,
        "seconds": sorted(round(row.seconds, 3) for row in log.bookings),
        "faults": faults,
    }
    bounds = [
        Target.at_most("bookings executed twice", len(executed_twice), targets.MAX_DOUBLE_BOOKINGS),
        Target.at_most(
            "bookings told not_run that ran", len(not_run_but_ran), targets.MAX_FALSE_NOT_RUN
        ),
        Target.at_most(
            "bookings complete that did not run",
            len(complete_but_not_run),
            targets.MAX_FALSE_COMPLETE,
        ),
        Target.at_most(
            "bookings without outcome", len(without_outcome), targets.MAX_WITHOUT_OUTCOME
        ),
        Target.at_least("bookings made", len(log.bookings) + log.without_ticket, count),
    ]
    return Report(seed, figures, bounds)
