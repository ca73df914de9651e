"""HTTP client of the platform, using the protocol of the stand-in platform."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.answers import make_agent, read_body
from coltsfootshift.catalogueservice.base import Platform, PlatformError
from coltsfootshift.messages import Difference, VersionedRecord

__all__ = ["HttpPlatform"]

WATCH_SECONDS = 1
# After so long without a byte another poll is sent: it bounds the time from the return of a silent
# platform to the first answer. A poll that waits for a change is answered after `WATCH_SECONDS`.
LATE_SECONDS = 1.5
MAX_POLLS = 4  # at the same time
MAX_TIMEOUT_SECONDS = 20.0
MAX_TABLE_BYTES = 16 * 1024 * 1024  # 5,000 instances at less than 3 KB each


class HttpPlatform(Platform):
    """Watches the platform's tables by long polling.

    A poll lasts at most `WATCH_SECONDS`, so that a dead connection is detected soon.
    """

    def __init__(self, reactor: Any, url: str) -> None:
        self._url = url
        self._reactor = reactor
        self._agent = make_agent(reactor, HTTPConnectionPool(reactor, persistent=True))
        self.bytes_read = 0

    def __repr__(self) -> str:
        return f"HttpPlatform(url={self._url!r})"

    def watch(self, table: str, after: int) -> Deferred[Difference]:
        """Return the records of a table above a revision; see `Platform.watch`."""
        return Deferred.fromCoroutine(self._watch(table, after))

    async def _watch(self, table: str, after: int) -> Difference:
        url = f"{self._url}/tables/{table}?after={after}&wait={WATCH_SECONDS}"
        polls = _Polls(self._reactor, lambda progress: self._poll(url, progress))
        try:
            status, text = await polls.run()
        except Exception as error:
            raise PlatformError(f"{url}: {error}") from error
        self.bytes_read += len(text)
        if status != 200:
            raise PlatformError(f"{url}: status {status}")
        return _parse(table, text)

    async def _poll(self, url: str, report_progress: Callable[[], None]) -> tuple[int, bytes]:
        response = await treq.get(url, agent=self._agent, reactor=self._reactor, unbuffered=True)
        report_progress()
        text = await read_body(
            response, MAX_TABLE_BYTES, MAX_TIMEOUT_SECONDS, self._reactor, report_progress
        )
        return response.code, text


class _Polls:
    """Sends a poll, and further ones while nothing arrives, until one of them has an outcome.

    Load pattern: the platform is silent for a while and never answers what was sent meanwhile, or
    it is slow. The first poll is kept, since a slow platform answers it first; the latest one is
    replaced, so that one is under way soon after a silence.
    """

    def __init__(
        self, reactor: Any, send: Callable[[Callable[[], None]], Coroutine[Any, Any, Any]]
    ) -> None:
        self._reactor = reactor
        self._send = send
        self._heard_at = 0.0
        self._done: Deferred[Any] = Deferred()
        self._polls: list[Deferred[Any]] = []

    async def run(self) -> Any:
        """Return the first answer; fails as the first poll that fails, or with `TimeoutError`."""
        late = LoopingCall(self._send_another)
        late.clock = self._reactor
        self._add()
        late.start(LATE_SECONDS, now=False)
        try:
            return await self._done.addTimeout(MAX_TIMEOUT_SECONDS, self._reactor)
        finally:
            late.stop()
            for poll in list(self._polls):
                poll.cancel()

    def _send_another(self) -> None:
        if self._reactor.seconds() - self._heard_at < LATE_SECONDS:
            return
        if len(self._polls) >= MAX_POLLS:
            self._polls.pop().cancel()
        self._add()

    def _add(self) -> None:
        poll = Deferred.fromCoroutine(self._send(self._record_progress))
        self._polls.append(poll)
        poll.addBoth(self._end, poll)

    def _record_progress(self) -> None:
        self._heard_at = self._reactor.seconds()

    def _end(self, result: Any, poll: Deferred[Any]) -> None:
        """Pass on the outcome of a poll that has not been replaced."""
        if poll not in self._polls:
            return
        self._polls.remove(poll)
        if not self._done.called:
            self._done.callback(result)


def _parse(table: str, text: bytes) -> Difference:
    try:
        content = json.loads(text)
        records = []
        for row in content["records"]:
            value = row["value"]
            raw = b"" if value is None else _encode(value)
            records.append(VersionedRecord(str(row["key"]), int(row["revision"]), raw))
        return Difference(
            table, int(content["after"]), int(content["revision"]), content["complete"], records
        )
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformError(f"table {table}: malformed response: {error}") from error


def _encode(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
