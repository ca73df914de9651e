"""Bookings under random faults: none runs twice, none told `not_run` ran, none lacks an outcome."""

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
MOST_REPEATS = 10
MOST_TICKET_TRIES = 20
REPEAT_WAIT_SECONDS = 0.1
RUN_SECONDS = 85.0
QUICK_RUN_SECONDS = 30.0
QUICK_COUNT = 2_000
PROGRESS_SECONDS = 5.0
READY_SECONDS = 20.0
DRAIN_SECONDS = 1.0
SHARE_AT_TWO_ENTRIES = 0.1
SHARE_REPEATED = 0.1
SHARE_VOIDED = 0.05
NO_DIGEST = "0" * 64
STREAMS = {"heartbeat": 0.2, "silence": 0.8, "retry_most": 0.5}


@dataclass(slots=True)
class _Booking:
    """One booking under one ticket and every outcome that a caller was told of it."""

    name: str
    told: list[str] = field(default_factory=list)
    denials: list[str] = field(default_factory=list)
    seconds: float = 0.0

    def add(self, answer: Answer) -> None:
        """Take what a caller was told."""
        self.told.append(answer.outcome)
        if answer.outcome == "not_run":
            self.denials.append(str(answer.last["reason"]))

    @property
    def outcome(self) -> str:
        """The outcome that the caller was left with, empty for none."""
        explicit = [told for told in self.told if told in ("complete", "not_run", "unknown")]
        for wanted in ("complete", "not_run"):
            if wanted in explicit:
                return wanted
        return explicit[-1] if explicit else ""


@dataclass(slots=True)
class _Ledger:
    """What all callers together were told."""

    count: int
    until: float
    bookings: list[_Booking] = field(default_factory=list)
    without_ticket: int = 0
    started: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def next_number(self) -> int | None:
        """Return the number of the next booking, None once the run is over."""
        with self.lock:
            if self.started >= self.count or time.monotonic() > self.until:
                return None
            self.started += 1
            return self.started

    def add(self, booking: _Booking | None) -> None:
        """Take a booking that has ended, None for one that got no ticket."""
        with self.lock:
            if booking is None:
                self.without_ticket += 1
                return
            self.bookings.append(booking)


class _Booker:
    """A caller that books, repeats at another entry until settled, and sometimes voids."""

    def __init__(self, addresses: list[tuple[str, int]], rng: Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._caller = Caller(addresses[0], rng.choice(TENTLINE.teams), rng)

    def book(self, number: int) -> _Booking | None:
        """Make one booking; None where no entry gave a ticket."""
        started = time.monotonic()
        ticket = self._ask_ticket()
        if not ticket:
            return None
        booking = _Booking(f"booking-{number}")
        chance = self._rng.random()
        if chance < SHARE_AT_TWO_ENTRIES:
            self._book_at_two(booking, ticket)
        elif chance < SHARE_AT_TWO_ENTRIES + SHARE_VOIDED:
            self._void(booking, ticket)
        self._book_until_settled(booking, ticket)
        if self._rng.random() < SHARE_REPEATED:
            self._send(booking, ticket, self._pick())
        booking.seconds = time.monotonic() - started
        return booking

    def _ask_ticket(self) -> str:
        for _ in range(MOST_TICKET_TRIES):
            ticket = self._caller.request_ticket(SERVICE, self._pick())
            if ticket:
                return ticket
            time.sleep(REPEAT_WAIT_SECONDS)
        return ""

    def _book_until_settled(self, booking: _Booking, ticket: str) -> None:
        entries = self._rng.sample(self._addresses, len(self._addresses))
        for repeat in range(MOST_REPEATS):
            answer = self._send(booking, ticket, entries[repeat % len(entries)])
            if answer.outcome in ("complete", "not_run"):
                return
            if answer.outcome == "unknown" and "replaced" in answer.last["reason"]:
                return
            time.sleep(REPEAT_WAIT_SECONDS)

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
        """Void the ticket while the booking is on its way at another entry."""
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

    def _pick(self) -> tuple[str, int]:
        return self._rng.choice(self._addresses)


def run_bookings(count: int, quick: bool, seed: int, path: Path | None) -> bool:
    """Run the bookings, write the report and return whether every target holds."""
    seconds = QUICK_RUN_SECONDS if quick else RUN_SECONDS
    count = min(count, QUICK_COUNT) if quick else count
    with Fleet(seed=seed, streams=STREAMS) as fleet:
        ledgers = [f"ledger-{number + 1}" for number in range(LEDGERS)]
        entries = [f"entry-{number + 1}" for number in range(ENTRIES)]
        print(f"starting {ENTRIES} entries and {LEDGERS} ledgers behind the fault proxy")
        _start(fleet, entries, ledgers)
        injector = FaultInjector(fleet, entries, ledgers, Random(seed), _list_options)
        book = _Ledger(count, time.monotonic() + seconds)
        _run(fleet, entries, book, injector, seed)
        time.sleep(DRAIN_SECONDS)
        executed = _count_executed(fleet, ledgers)
        faults = [asdict(fault) for fault in injector.done]
    report = _judge(seed, count, book, executed, faults)
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
    fleet: Fleet, entries: list[str], book: _Ledger, injector: FaultInjector, seed: int
) -> None:
    addresses = [(fleet.members[name].host, CALLERS_PORT) for name in entries]
    threads = []
    for number in range(CALLERS):
        booker = _Booker(addresses, Random(seed * 1_000 + number))
        thread = threading.Thread(target=_book_until_over, args=(booker, book))
        thread.start()
        threads.append(thread)
    injector.start()
    started = time.monotonic()
    try:
        while any(thread.is_alive() for thread in threads):
            _wait(threads, PROGRESS_SECONDS)
            seconds = time.monotonic() - started
            print(f"  {seconds:5.1f} s  {len(book.bookings)} booked, {len(injector.done)} faults")
    finally:
        book.until = 0.0
        injector.stop()
        for thread in threads:
            thread.join()


def _wait(threads: list[threading.Thread], seconds: float) -> None:
    until = time.monotonic() + seconds
    for thread in threads:
        thread.join(max(0.0, until - time.monotonic()))


def _book_until_over(booker: _Booker, book: _Ledger) -> None:
    while True:
        number = book.next_number()
        if number is None:
            return
        book.add(booker.book(number))


def _count_executed(fleet: Fleet, ledgers: list[str]) -> Counter[str]:
    executed: Counter[str] = Counter()
    for name in ledgers:
        executed.update((fleet.folder / f"{name}.journal").read_text().split())
    return executed


def _judge(
    seed: int, count: int, book: _Ledger, executed: Counter[str], faults: list[dict[str, Any]]
) -> Report:
    twice = [name for name, runs in executed.items() if runs > 1]
    denied = []
    lost = []
    for row in book.bookings:
        if row.denials and executed[row.name]:
            denied.append([row.name, *row.denials])
        if row.outcome == "complete" and not executed[row.name]:
            lost.append(row.name)
    silent = [row.name for row in book.bookings if not row.outcome]
    outcomes = Counter(row.outcome or "none" for row in book.bookings)
    figures = {
        "asked": count,
        "bookings": len(book.bookings),
        "without_ticket": book.without_ticket,
        "outcomes": dict(outcomes),
        "told": dict(Counter(told for row in book.bookings for told in row.told)),
        "executed": len(executed),
        "executed_twice": twice,
        "not_run_but_ran": denied,
        "complete_but_not_run": lost,
        "without_outcome": silent,
        "seconds": sorted(round(row.seconds, 3) for row in book.bookings),
        "faults": faults,
    }
    bounds = [
        Target.at_most("bookings executed twice", len(twice), targets.MAX_DOUBLE_BOOKINGS),
        Target.at_most("bookings told not_run that ran", len(denied), targets.MAX_FALSE_NOT_RUN),
        Target.at_most("bookings complete that did not run", len(lost), targets.MAX_FALSE_COMPLETE),
        Target.at_most("bookings without outcome", len(silent), targets.MAX_WITHOUT_OUTCOME),
        Target.at_least("bookings made", len(book.bookings) + book.without_ticket, count),
    ]
    return Report(seed, figures, bounds)
