"""Stand-in for a plain service that counts executions by request, to detect duplicates.

With a journal, each execution is appended to that file before the response is sent, so that the
executed requests are known even after the process was killed. The field `bytes` of a request body
sets the length of the padding in the response.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import defopt
from klein import Klein

from coltsfootshift_standins.common import reply_json, serve, sleep


class ServiceStandIn:
    """A plain service whose requests take `work_seconds` each.

    `slots` is the capacity that it reports; it is not enforced.
    """

    def __init__(self, slots: int, work_seconds: float, journal: Path | None = None) -> None:
        self.app = Klein()
        self._journal = journal.open("ab", buffering=0) if journal is not None else None
        self._slots = slots
        self._work_seconds = work_seconds
        self._running = 0
        self.reports_status = True
        self._executed: Counter[str] = Counter()
        self.app.route("/orders", methods=["POST"])(self._handle_request)
        self.app.route("/orders/<request_id>/<attempt>", methods=["DELETE"])(self._cancel)
        self.app.route("/status", methods=["GET"])(self._status)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    async def _handle_request(self, request: Any) -> bytes:
        """Execute a request; it is counted by the `name` in its body, halfway through its work."""
        content = _read_body(request.content.read())
        name = str(content.get("name") or request.getHeader("Request"))
        self._running += 1
        try:
            await sleep(self._work_seconds / 2)
            self._record_execution(name)
            await sleep(self._work_seconds / 2)
        finally:
            self._running -= 1
        answer = {"done": name, "padding": "x" * int(content.get("bytes", 0))}
        return json.dumps(answer).encode() + b"\n"

    def _record_execution(self, name: str) -> None:
        self._executed[name] += 1
        if self._journal is not None:
            self._journal.write(name.encode() + b"\n")

    def _cancel(self, request: Any, request_id: str, attempt: str) -> bytes:
        return b""

    def _status(self, request: Any) -> bytes:
        if not self.reports_status:
            request.setResponseCode(404)
            return b""
        content = {
            "running": self._running,
            "queued": 0,
            "capacity": self._slots,
            "digest": "",
            "serving": True,
            "fencing": 0,
            "age": 0.0,
        }
        return reply_json(request, content)

    def _counts(self, request: Any) -> bytes:
        return reply_json(request, {"executed": dict(self._executed)})


def _read_body(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def run(
    *,
    host: str,
    port: int,
    slots: int = 16,
    work_seconds: float = 0.02,
    journal: Path | None = None,
    status: bool = True,
) -> None:
    """Run the plain service stand-in.

    :param host: IP address to listen on
    :param port: port to listen on
    :param slots: capacity to report, in concurrent requests
    :param work_seconds: duration of a request, in seconds
    :param journal: file to which every execution is appended
    :param status: whether to serve the status page
    """
    stand_in = ServiceStandIn(slots, work_seconds, journal)
    stand_in.reports_status = status
    serve(stand_in.app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
