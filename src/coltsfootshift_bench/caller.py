"""A caller: finds entries in the directory, sends requests and ticket calls, reads outcomes."""

from __future__ import annotations

import http.client
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

__all__ = ["Answer", "Caller"]

TIMEOUT_SECONDS = 40.0


@dataclass(slots=True)
class Answer:
    """A response: the outcome line `last`, the `lines` before it and the latency in seconds.

    The outcome is "lost" if the connection failed, and "cut" if the response ended without one.
    """

    status: int
    outcome: str
    lines: list[dict[str, Any]]
    last: dict[str, Any]
    seconds: float

    def list_digests(self) -> set[str]:
        """Return the digests of the weights versions named in the lines of the answer."""
        return {str(line["weights"]) for line in self.lines if "weights" in line}


@dataclass(slots=True)
class Caller:
    """A caller of one team; `entries` caches the directory's addresses until they expire.

    The directory is read from `bootstrap_address` if no cached entry answers.
    """

    bootstrap_address: tuple[str, int]
    team: str
    rng: Random
    entries: list[tuple[str, int]] = field(default_factory=list)
    entries_expire_at: float = 0.0
    outcomes: Counter[str] = field(default_factory=Counter)
    request_name: str = ""

    def pick_entry(self) -> tuple[str, int]:
        """Return a random entry; reads the directory again once its lifetime is over."""
        if time.monotonic() >= self.entries_expire_at:
            self._read_directory()
        return self.rng.choice(self.entries)

    def send(
        self,
        service: str,
        body: dict[str, Any],
        operation: str = "",
        ticket: str = "",
        deadline: float = 30.0,
        entry: tuple[str, int] | None = None,
        priority: str = "standard",
    ) -> Answer:
        """Send a request, read the whole answer and count its outcome.

        `deadline` is in seconds; `entry` overrides the choice from the directory.
        """
        headers = {
            "Coltsfootshift-Team": self.team,
            "Coltsfootshift-Request": self.request_name,
            "Coltsfootshift-Operation": operation,
            "Coltsfootshift-Ticket": ticket,
            "Coltsfootshift-Class": priority,
            "Coltsfootshift-Deadline-Seconds": str(deadline),
        }
        path = f"/v1/services/{service}/requests"
        answer = self._call("POST", path, headers, json.dumps(body), entry)
        self.outcomes[answer.outcome] += 1
        return answer

    def request_ticket(self, service: str, entry: tuple[str, int] | None = None) -> str:
        """Return a ticket for one non-idempotent request, or an empty string if none was issued."""
        return str(self.send_ticket_request(service, entry).last.get("ticket", ""))

    def send_ticket_request(self, service: str, entry: tuple[str, int] | None = None) -> Answer:
        """Request a ticket and return the whole answer."""
        headers = {"Coltsfootshift-Team": self.team}
        return self._call("POST", f"/v1/services/{service}/tickets", headers, "", entry)

    def void_ticket(self, ticket: str, entry: tuple[str, int] | None = None) -> Answer:
        """Void a ticket; the outcome `not_run` means that its request never ran and never will."""
        return self._call("DELETE", f"/v1/tickets/{ticket}", {}, "", entry)

    def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: str,
        entry: tuple[str, int] | None,
    ) -> Answer:
        started = time.monotonic()
        try:
            host, port = entry or self.pick_entry()
            connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            text = response.read()
            status = response.status
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            self.entries_expire_at = 0.0
            last = {"outcome": "lost", "reason": str(error)}
            return Answer(0, "lost", [], last, time.monotonic() - started)
        return _read_answer(status, text, time.monotonic() - started)

    def _read_directory(self) -> None:
        for host, port in [*self.entries, self.bootstrap_address]:
            connection = http.client.HTTPConnection(host, port, timeout=2.0)
            try:
                connection.request("GET", "/directory")
                content = json.loads(connection.getresponse().read())
            except (OSError, ValueError):
                continue
            finally:
                connection.close()
            rows = content["entries"]
            if rows:
                self.entries = [(row["host"], row["port"]) for row in rows]
                self.entries_expire_at = time.monotonic() + content["lifetime_seconds"]
                return


def _read_answer(status: int, text: bytes, seconds: float) -> Answer:
    lines = []
    for line in text.splitlines():
        try:
            lines.append(json.loads(line))
        except ValueError:
            lines.append({"cut": True})
    last = lines[-1] if lines else {}
    outcome = str(last.get("outcome", "cut"))
    return Answer(status, outcome, lines[:-1], last, seconds)
