"""Stand-in for the platform's configuration service and its delayed instance list.

`GET /tables/NAME?after=R&wait=S` returns the records changed after revision R. If there are none,
it waits up to S seconds for a change (long polling). Every call, waiting or not, counts as one
read.

The `/admin` calls are for tests: they publish values and make the service unavailable, stale or
slow. In `/admin/mode`, `remember` saves a copy of all tables. `stale` makes all reads return the
tables as they are at that moment, or the saved copy if the value is `"remembered"`, until it is
set to `false`.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import defopt
from klein import Klein
from twisted.internet.defer import Deferred

from coltsfootshift.loop import reactor
from coltsfootshift_standins.common import read_json, reply_json, serve, sleep

MAX_READS_PER_SECOND = 2_000
LARGEST_VALUE_BYTES = 1_000_000


@dataclass(slots=True)
class _Table:
    """The records of a table, each with the revision of its last change."""

    revision: int = 0
    records: dict[str, tuple[int, Any]] = field(default_factory=dict)
    watches: list[Deferred[None]] = field(default_factory=list)

    def publish(self, changes: dict[str, Any]) -> int:
        for key, value in changes.items():
            self.revision += 1
            self.records[key] = (self.revision, value)
        watches, self.watches = self.watches, []
        for deferred in watches:
            deferred.callback(None)
        return self.revision


class PlatformStandIn:
    """Serves tables that clients read and watch; only the admin calls change them."""

    def __init__(self, list_lag: float) -> None:
        self.app = Klein()
        self._tables = {"catalogue": _Table(), "instances": _Table()}
        self._stale_tables: dict[str, tuple[int, dict[str, tuple[int, Any]]]] | None = None
        self._remembered_tables = self._copy_tables()
        self._down = False
        self._delay = 0.0
        self._list_lag = list_lag
        self._second = 0
        self._reads_this_second = 0
        self._reads = 0
        self._reads_refused = 0
        self._max_reads_in_a_second = 0
        self.app.route("/tables/<name>", methods=["GET"])(self._read)
        self.app.route("/admin/publish/<name>", methods=["POST"])(self._publish)
        self.app.route("/admin/mode", methods=["POST"])(self._set_mode)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    async def _read(self, request: Any, name: str) -> bytes:
        if self._down or not self._count_read():
            request.setResponseCode(503)
            return b""
        if self._delay:
            await sleep(self._delay)
        after = int(request.args.get(b"after", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"0"])[0])
        table = self._tables[name]
        if self._stale_tables is None and after > 0 and table.revision <= after and wait > 0:
            await self._wait_for_change(table, wait)
        if self._down:
            request.setResponseCode(503)
            return b""
        return reply_json(request, self._list_records_after(name, after))

    async def _wait_for_change(self, table: _Table, seconds: float) -> None:
        deferred: Deferred[None] = Deferred()
        table.watches.append(deferred)
        timer = reactor.callLater(seconds, self._end_wait, table, deferred)
        await deferred
        if timer.active():
            timer.cancel()

    def _end_wait(self, table: _Table, deferred: Deferred[None]) -> None:
        if deferred in table.watches:
            table.watches.remove(deferred)
            deferred.callback(None)

    def _list_records_after(self, name: str, after: int) -> dict[str, Any]:
        if self._stale_tables is not None:
            revision, records = self._stale_tables[name]
        else:
            revision, records = self._tables[name].revision, self._tables[name].records
        is_complete = after == 0
        rows = []
        for key, (changed, value) in records.items():
            if changed <= after or (is_complete and value is None):
                continue
            rows.append({"key": key, "revision": changed, "value": value})
        from_revision = revision if is_complete else after
        return {
            "after": from_revision,
            "revision": revision,
            "complete": is_complete,
            "records": rows,
        }

    def _count_read(self) -> bool:
        second = int(reactor.seconds())
        if second != self._second:
            self._second = second
            self._reads_this_second = 0
        self._reads_this_second += 1
        if self._reads_this_second > MAX_READS_PER_SECOND:
            self._reads_refused += 1
            return False
        self._reads += 1
        self._max_reads_in_a_second = max(self._max_reads_in_a_second, self._reads_this_second)
        return True

    async def _publish(self, request: Any, name: str) -> bytes:
        changes = read_json(request)
        if name == "instances" and self._list_lag:
            reactor.callLater(self._list_lag, self._tables[name].publish, changes)
            return reply_json(request, {"revision": -1})
        accepted_at = time.time()
        revision = self._tables[name].publish(changes)
        return reply_json(request, {"revision": revision, "accepted_at": accepted_at})

    def _set_mode(self, request: Any) -> bytes:
        mode = read_json(request)
        self._down = bool(mode.get("down", self._down))
        self._delay = float(mode.get("delay", self._delay))
        self._list_lag = float(mode.get("list_lag", self._list_lag))
        if mode.get("remember"):
            self._remembered_tables = self._copy_tables()
        if mode.get("stale") == "remembered":
            self._stale_tables = self._remembered_tables
        elif "stale" in mode:
            self._stale_tables = self._copy_tables() if mode["stale"] else None
        if self._stale_tables is not None:
            self._end_all_watches()
        if self._down:
            self._end_all_watches()
        return reply_json(request, mode)

    def _end_all_watches(self) -> None:
        for table in self._tables.values():
            table.publish({})

    def _copy_tables(self) -> dict[str, tuple[int, dict[str, tuple[int, Any]]]]:
        copies = {}
        for name, table in self._tables.items():
            copies[name] = (table.revision, dict(table.records))
        return copies

    def _counts(self, request: Any) -> bytes:
        content = {
            "reads": self._reads,
            "reads_refused": self._reads_refused,
            "most_reads_in_a_second": self._max_reads_in_a_second,
            "revisions": {name: table.revision for name, table in self._tables.items()},
        }
        return reply_json(request, content)


def run(*, host: str, port: int, list_lag: float = 0.0) -> None:
    """Run the platform stand-in.

    :param host: IP address to listen on
    :param port: port to listen on
    :param list_lag: delay until a change of the instance list is visible, in seconds
    """
    serve(PlatformStandIn(list_lag).app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
