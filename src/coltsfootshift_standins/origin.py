"""Stand-in for the weight store's origin, with a rate limit and injectable faults."""

from __future__ import annotations

import hashlib
from random import Random
from typing import Any

import defopt
from klein import Klein

from coltsfootshift.weightstore.manifest import Manifest, make_manifest
from coltsfootshift_standins.common import RateLimiter, read_json, reply_json, serve


class OriginStandIn:
    """Generates versions from seeds and serves their chunks at a limited rate."""

    def __init__(self, bytes_per_second: float, seed: int) -> None:
        self.app = Klein()
        self._limiter = RateLimiter(bytes_per_second)
        self._rng = Random(seed)
        self._versions: dict[str, tuple[Manifest, bytes]] = {}
        self._bytes_sent: dict[str, int] = {}
        self._delivered: dict[str, set[int]] = {}
        self._corrupt_share = 0.0
        self._down = False
        self.app.route("/manifests/<digest>", methods=["GET"])(self._read_manifest)
        self.app.route("/chunks/<digest>/<int:index>", methods=["GET"])(self._read_chunk)
        self.app.route("/admin/manifests/<digest>", methods=["GET"])(self._read_manifest_as_admin)
        self.app.route("/admin/versions", methods=["POST"])(self._add_version)
        self.app.route("/admin/mode", methods=["POST"])(self._set_mode)
        self.app.route("/admin/counts", methods=["GET"])(self._counts)

    async def _read_manifest(self, request: Any, digest: str) -> bytes:
        if self._down or digest not in self._versions:
            request.setResponseCode(503 if self._down else 404)
            return b""
        return self._versions[digest][0].to_json()

    def _read_manifest_as_admin(self, request: Any, digest: str) -> bytes:
        return self._versions[digest][0].to_json()

    async def _read_chunk(self, request: Any, digest: str, index: int) -> bytes:
        if self._down or digest not in self._versions:
            request.setResponseCode(503 if self._down else 404)
            return b""
        manifest, data = self._versions[digest]
        start = index * manifest.chunk_bytes
        chunk = data[start : start + manifest.chunk_bytes]
        self._bytes_sent[digest] = self._bytes_sent.get(digest, 0) + len(chunk)
        await self._limiter.wait(len(chunk))
        if self._down:
            request.setResponseCode(503)
            return b""
        if self._rng.random() < self._corrupt_share:
            return bytes([chunk[0] ^ 1]) + chunk[1:]
        self._delivered.setdefault(digest, set()).add(index)
        return chunk

    def _add_version(self, request: Any) -> bytes:
        """Add a version of `bytes` bytes generated from `seed`, in chunks of `chunk_bytes`."""
        parameters = read_json(request)
        data = make_weights(int(parameters["seed"]), int(parameters["bytes"]))
        manifest = make_manifest(data, int(parameters["chunk_bytes"]))
        self._versions[manifest.digest] = (manifest, data)
        return reply_json(request, {"digest": manifest.digest, "chunks": len(manifest.chunks)})

    def _set_mode(self, request: Any) -> bytes:
        mode = read_json(request)
        self._down = bool(mode.get("down", self._down))
        self._corrupt_share = float(mode.get("corrupt_share", self._corrupt_share))
        self._limiter.bytes_per_second = float(
            mode.get("bytes_per_second", self._limiter.bytes_per_second)
        )
        return reply_json(request, mode)

    def _counts(self, request: Any) -> bytes:
        rows = {}
        for digest, (manifest, _) in self._versions.items():
            sent = self._bytes_sent.get(digest, 0)
            rows[digest] = {
                "bytes_sent": sent,
                "copies": sent / manifest.total_bytes,
                "whole_copy": len(self._delivered.get(digest, ())) == len(manifest.chunks),
            }
        return reply_json(request, {"versions": rows})


def make_weights(seed: int, length: int) -> bytes:
    """Return `length` pseudo-random bytes determined by `seed`."""
    return hashlib.shake_128(f"weights/{seed}".encode()).digest(length)


def run(*, host: str, port: int, bytes_per_second: float = 100e6, seed: int = 1) -> None:
    """Run the origin stand-in.

    :param host: IP address to listen on
    :param port: port to listen on
    :param bytes_per_second: bandwidth of the origin's link
    :param seed: seed of the random chunk corruption
    """
    serve(OriginStandIn(bytes_per_second, seed).app, host, port)


if __name__ == "__main__":
    defopt.run(run, cli_options="all")
