"""HTTP client of the platform, using the protocol of the stand-in platform."""

from __future__ import annotations

import json
from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.answers import make_agent, read_body
from coltsfootshift.catalogueservice.base import Platform, PlatformError
from coltsfootshift.messages import Difference, VersionedRecord

__all__ = ["HttpPlatform"]

WATCH_SECONDS = 1
MIN_TIMEOUT_SECONDS = 2.5
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
        self._timeout = MIN_TIMEOUT_SECONDS
        self.bytes_read = 0

    def __repr__(self) -> str:
        return f"HttpPlatform(url={self._url!r})"

    def watch(self, table: str, after: int) -> Deferred[Difference]:
        """Return the records of a table above a revision; see `Platform.watch`."""
        return Deferred.fromCoroutine(self._watch(table, after))

    async def _watch(self, table: str, after: int) -> Difference:
        url = f"{self._url}/tables/{table}?after={after}&wait={WATCH_SECONDS}"
        started = self._reactor.seconds()
        try:
            response = await treq.get(
                url,
                agent=self._agent,
                timeout=self._timeout,
                reactor=self._reactor,
                unbuffered=True,
            )
            text = await read_body(response, MAX_TABLE_BYTES, self._timeout, self._reactor)
        except Exception as error:
            self._record_failure(self._reactor.seconds() - started)
            raise PlatformError(f"{url}: {error}") from error
        self._record_success(self._reactor.seconds() - started)
        self.bytes_read += len(text)
        if response.code != 200:
            raise PlatformError(f"{url}: status {response.code}")
        return _parse(table, text)

    def _record_success(self, seconds: float) -> None:
        """Set the timeout to twice the duration of the last successful poll."""
        self._timeout = min(max(MIN_TIMEOUT_SECONDS, 2 * seconds), MAX_TIMEOUT_SECONDS)

    def _record_failure(self, seconds: float) -> None:
        """Double the timeout after a timeout; other failures leave it unchanged."""
        if seconds >= self._timeout:
            self._timeout = min(2 * self._timeout, MAX_TIMEOUT_SECONDS)


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
