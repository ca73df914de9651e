"""Endpoints over HTTP, as the stand-ins speak it."""

from __future__ import annotations

import json
from typing import Any, cast

import treq
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.engines.base import (
    EndpointError,
    EndpointRequest,
    EndpointResponse,
    EndpointStatus,
    LoadOrder,
    ModelEngine,
    ResponseReceiver,
)
from coltsfootshift.engines.transfer import RequestBody, read_answer
from coltsfootshift.ids import Digest

__all__ = ["HttpEndpoint"]

STATUS_NOT_FOUND = 404
UNREPORTED_STATUS = EndpointStatus(0, 0, 0, Digest(""), serving=True, fencing=0, age=0.0)
CONTROL_TIMEOUT_SECONDS = 5.0
CONNECTIONS = 64
STATUS_REFUSED = 503
STATUS_OTHER_WEIGHTS = 409


class HttpEndpoint(ModelEngine):
    """A model engine or plain service over HTTP; a plain service has no staging calls."""

    def __init__(self, reactor: Any, url: str) -> None:
        self._reactor = reactor
        self._url = url
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS
        self._pool.retryAutomatically = False

    def __repr__(self) -> str:
        return f"HttpEndpoint(url={self._url!r})"

    def run(self, order: EndpointRequest, reader: ResponseReceiver) -> Deferred[EndpointResponse]:
        """Run an order and pass its answer's bytes on."""
        return Deferred.fromCoroutine(self._run(order, reader))

    def cancel(self, order: EndpointRequest) -> None:
        """Tell the endpoint to stop an order."""
        url = f"{self._url}/orders/{order.request}/{order.attempt}"
        deferred = Deferred.fromCoroutine(self._call("DELETE", url))
        deferred.addErrback(lambda failure: None)

    def read_status(self) -> Deferred[EndpointStatus]:
        """Return the endpoint's report."""
        return Deferred.fromCoroutine(self._read_status())

    def stage(self, digest: Digest, index: int, data: bytes) -> Deferred[None]:
        """Put a chunk into the staging memory."""
        url = f"{self._url}/staging/{digest}/{index}"
        return Deferred.fromCoroutine(self._call("PUT", url, data)).addCallback(_drop)

    def read_staged(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return a staged chunk."""
        return Deferred.fromCoroutine(self._call("GET", f"{self._url}/staging/{digest}/{index}"))

    def list_staged(self, digest: Digest) -> Deferred[frozenset[int]]:
        """Return the indexes of the staged chunks of a digest."""
        return Deferred.fromCoroutine(self._list_staged(digest))

    def drop_staged(self, keep: Digest) -> Deferred[None]:
        """Free the staging memory of all digests but one."""
        url = f"{self._url}/staging?keep={keep}"
        return Deferred.fromCoroutine(self._call("DELETE", url)).addCallback(_drop)

    def load(self, order: LoadOrder) -> Deferred[None]:
        """Order the engine to serve staged weights."""
        content = {"digest": order.digest, "fencing": order.fencing, "chunks": order.chunks}
        body = json.dumps(content).encode()
        return Deferred.fromCoroutine(self._call("POST", f"{self._url}/load", body)).addCallback(
            _drop
        )

    async def _run(self, order: EndpointRequest, reader: ResponseReceiver) -> EndpointResponse:
        body = RequestBody(order.body, reader)
        try:
            response = await treq.post(
                f"{self._url}/orders",
                data=cast(Any, body),
                headers=_make_headers(order),
                pool=self._pool,
                reactor=self._reactor,
                unbuffered=True,
            )
        except Exception as error:
            reason = body.refusal or f"{self._url}: {error}"
            raise EndpointError(reason, started=body.sent) from error
        if response.code == STATUS_REFUSED:
            raise EndpointError(f"{self._url}: refused the work", started=False)
        if response.code == STATUS_OTHER_WEIGHTS and order.resume_from:
            raise EndpointError(f"{self._url}: serves other weights", started=False)
        digest = Digest(response.headers.getRawHeaders("Weights-Digest", [""])[0])
        try:
            await read_answer(response, digest, reader)
        except Exception as error:
            raise EndpointError(f"{self._url}: answer cut: {error}", started=True) from error
        return EndpointResponse(response.code, digest)

    async def _list_staged(self, digest: Digest) -> frozenset[int]:
        text = await self._call("GET", f"{self._url}/staging/{digest}")
        try:
            return frozenset(int(index) for index in json.loads(text))
        except (ValueError, TypeError) as error:
            raise EndpointError(f"{self._url}: malformed staging list: {error}", False) from error

    async def _read_status(self) -> EndpointStatus:
        try:
            text = await self._call("GET", f"{self._url}/status")
        except EndpointError as error:
            if error.status == STATUS_NOT_FOUND:
                return UNREPORTED_STATUS
            raise
        try:
            row = json.loads(text)
            return EndpointStatus(
                running=int(row["running"]),
                queued=int(row["queued"]),
                capacity=int(row["capacity"]),
                digest=Digest(str(row["digest"])),
                serving=bool(row["serving"]),
                fencing=int(row["fencing"]),
                age=float(row["age"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise EndpointError(f"{self._url}: malformed status: {error}", False) from error

    async def _call(self, method: str, url: str, body: bytes | None = None) -> bytes:
        try:
            response = await treq.request(
                method,
                url,
                data=body,
                pool=self._pool,
                timeout=CONTROL_TIMEOUT_SECONDS,
                reactor=self._reactor,
            )
            content = await treq.content(response)
        except Exception as error:
            raise EndpointError(f"{url}: {error}", started=True) from error
        if response.code >= 400:
            text = f"{url}: status {response.code}: {content[:200]!r}"
            raise EndpointError(text, started=False, status=response.code)
        return content


def _make_headers(order: EndpointRequest) -> dict[bytes | str, bytes | str]:
    headers: dict[bytes | str, bytes | str] = {
        "Request": order.request,
        "Attempt": str(order.attempt),
        "Operation": order.operation,
        "Priority": str(order.priority),
    }
    if order.resume_from:
        headers["Resume-From"] = str(order.resume_from)
        headers["Weights-Digest"] = order.digest
    return headers


def _drop(content: bytes) -> None:
    return None
