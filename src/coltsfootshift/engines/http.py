"""HTTP client for endpoints, using the protocol of the stand-ins."""

from __future__ import annotations

import json
from typing import Any, cast

import treq
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.answers import make_agent, read_body
from coltsfootshift.engines.base import (
    EndpointError,
    EndpointRequest,
    EndpointResponse,
    EndpointStatus,
    LoadOrder,
    ModelEngine,
    ResponseReceiver,
)
from coltsfootshift.engines.transfer import RequestBody, deliver_response
from coltsfootshift.ids import Digest
from coltsfootshift.statuses import is_success

__all__ = ["HttpEndpoint"]

STATUS_NOT_FOUND = 404
DEFAULT_STATUS = EndpointStatus(0, 0, 0, Digest(""), serving=True, fencing=0, age=0.0)
CONTROL_TIMEOUT_SECONDS = 5.0
MAX_CONTROL_BYTES = 1024 * 1024  # of a status or a list of staged chunks
MAX_CHUNK_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 64
STATUS_REFUSED = 503
STATUS_DIFFERENT_WEIGHTS = 409


class HttpEndpoint(ModelEngine):
    """A model engine or plain service over HTTP; a plain service does not support staging.

    A plain service that responds to status requests with 404 counts as serving and idle.
    """

    def __init__(self, reactor: Any, url: str) -> None:
        self._reactor = reactor
        self._url = url
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.retryAutomatically = False
        self._agent = make_agent(reactor, pool)

    def __repr__(self) -> str:
        return f"HttpEndpoint(url={self._url!r})"

    def run(
        self, request: EndpointRequest, receiver: ResponseReceiver
    ) -> Deferred[EndpointResponse]:
        """Run a request and pass the response body to `receiver`."""
        return Deferred.fromCoroutine(self._run(request, receiver))

    def cancel(self, request: EndpointRequest) -> None:
        """Ask the endpoint to stop a request; failures are ignored."""
        url = f"{self._url}/orders/{request.request}/{request.attempt}"
        deferred = Deferred.fromCoroutine(self._call("DELETE", url))
        deferred.addErrback(lambda failure: None)

    def read_status(self) -> Deferred[EndpointStatus]:
        """Return the endpoint's status."""
        return Deferred.fromCoroutine(self._read_status())

    def stage(self, digest: Digest, index: int, data: bytes) -> Deferred[None]:
        """Write a chunk to the staging memory."""
        url = f"{self._url}/staging/{digest}/{index}"
        return Deferred.fromCoroutine(self._call("PUT", url, data)).addCallback(_discard_content)

    def read_staged(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return a staged chunk."""
        return Deferred.fromCoroutine(
            self._call("GET", f"{self._url}/staging/{digest}/{index}", max_bytes=MAX_CHUNK_BYTES)
        )

    def list_staged(self, digest: Digest) -> Deferred[frozenset[int]]:
        """Return the indexes of the staged chunks of a digest."""
        return Deferred.fromCoroutine(self._list_staged(digest))

    def drop_staged(self, keep: Digest) -> Deferred[None]:
        """Free the staging memory of all digests but one."""
        url = f"{self._url}/staging?keep={keep}"
        return Deferred.fromCoroutine(self._call("DELETE", url)).addCallback(_discard_content)

    def load(self, order: LoadOrder) -> Deferred[None]:
        """Order the engine to serve staged weights."""
        content = {"digest": order.digest, "fencing": order.fencing, "chunks": order.chunks}
        body = json.dumps(content).encode()
        return Deferred.fromCoroutine(self._call("POST", f"{self._url}/load", body)).addCallback(
            _discard_content
        )

    async def _run(self, request: EndpointRequest, receiver: ResponseReceiver) -> EndpointResponse:
        body = RequestBody(request.body, receiver)
        try:
            response = await treq.post(
                f"{self._url}/orders",
                data=cast(Any, body),
                headers=_make_headers(request),
                agent=self._agent,
                reactor=self._reactor,
                unbuffered=True,
            )
        except Exception as error:
            reason = body.refusal or f"{self._url}: {error}"
            raise EndpointError(reason, started=body.sent) from error
        if response.code == STATUS_REFUSED:
            raise EndpointError(f"{self._url}: refused the work", started=False)
        if response.code == STATUS_DIFFERENT_WEIGHTS and request.resume_from:
            raise EndpointError(f"{self._url}: serves other weights", started=False)
        digest = Digest(response.headers.getRawHeaders("Weights-Digest", [""])[0])
        try:
            await deliver_response(response, digest, receiver)
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
        asked_at = self._reactor.seconds()
        try:
            text = await self._call("GET", f"{self._url}/status")
        except EndpointError as error:
            if error.status == STATUS_NOT_FOUND:
                return DEFAULT_STATUS
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
                waited=self._reactor.seconds() - asked_at,
            )
        except (ValueError, KeyError, TypeError) as error:
            raise EndpointError(f"{self._url}: malformed status: {error}", False) from error

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes:
        try:
            response = await treq.request(
                method,
                url,
                data=body,
                agent=self._agent,
                timeout=CONTROL_TIMEOUT_SECONDS,
                reactor=self._reactor,
                unbuffered=True,
            )
            content = await read_body(response, max_bytes, CONTROL_TIMEOUT_SECONDS, self._reactor)
        except Exception as error:
            raise EndpointError(f"{url}: {error}", started=True) from error
        if not is_success(response.code):
            text = f"{url}: status {response.code}: {content[:200]!r}"
            raise EndpointError(text, started=False, status=response.code)
        return content


def _make_headers(request: EndpointRequest) -> dict[bytes | str, bytes | str]:
    headers: dict[bytes | str, bytes | str] = {
        "Request": request.request,
        "Attempt": str(request.attempt),
        "Operation": request.operation,
        "Priority": str(request.priority),
    }
    if request.resume_from:
        headers["Resume-From"] = str(request.resume_from)
        headers["Weights-Digest"] = request.digest
    return headers


def _discard_content(content: bytes) -> None:
    return None
