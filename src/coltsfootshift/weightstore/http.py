"""HTTP client for the weight store, using the protocol of the stand-in."""

from __future__ import annotations

from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from coltsfootshift.answers import make_agent, read_body
from coltsfootshift.ids import Digest
from coltsfootshift.weightstore.base import WeightStore, WeightStoreError
from coltsfootshift.weightstore.manifest import Manifest, ManifestError

__all__ = ["HttpWeightStore"]

REQUEST_TIMEOUT_SECONDS = 30.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # of a chunk or a manifest


class HttpWeightStore(WeightStore):
    """Reads manifests and chunks over HTTP."""

    def __init__(self, reactor: Any, url: str) -> None:
        self._reactor = reactor
        self._url = url
        self._agent = make_agent(reactor, HTTPConnectionPool(reactor, persistent=True))

    def __repr__(self) -> str:
        return f"HttpWeightStore(url={self._url!r})"

    def read_manifest(self, digest: Digest) -> Deferred[Manifest]:
        """Return the verified manifest of a digest."""
        return Deferred.fromCoroutine(self._read_manifest(digest))

    def read_chunk(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return one chunk without verifying it."""
        return Deferred.fromCoroutine(self._get(f"{self._url}/chunks/{digest}/{index}"))

    async def _read_manifest(self, digest: Digest) -> Manifest:
        text = await self._get(f"{self._url}/manifests/{digest}")
        try:
            return Manifest.from_json(digest, text)
        except ManifestError as error:
            raise WeightStoreError(str(error)) from error

    async def _get(self, url: str) -> bytes:
        try:
            response = await treq.get(
                url,
                agent=self._agent,
                timeout=REQUEST_TIMEOUT_SECONDS,
                reactor=self._reactor,
                unbuffered=True,
            )
            content = await read_body(
                response, MAX_ANSWER_BYTES, REQUEST_TIMEOUT_SECONDS, self._reactor
            )
        except Exception as error:
            raise WeightStoreError(f"{url}: {error}") from error
        if response.code != 200:
            raise WeightStoreError(f"{url}: status {response.code}")
        return content
