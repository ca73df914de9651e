"""The agent's access to the engine's staging memory."""

from __future__ import annotations

from collections import OrderedDict

from twisted.internet.defer import Deferred, succeed

from coltsfootshift.engines.base import EndpointError, ModelEngine
from coltsfootshift.ids import Digest
from coltsfootshift.weightstore.manifest import Manifest

__all__ = ["Staging"]

MAX_CACHED_BYTES = 16 * 1024 * 1024


class Staging:
    """Writes verified chunks to the engine's staging memory and caches the most recent ones.

    The cache holds at most `MAX_CACHED_BYTES`, evicting the oldest chunks first.
    """

    def __init__(self, engine: ModelEngine) -> None:
        self._engine = engine
        self._cached: OrderedDict[tuple[Digest, int], bytes] = OrderedDict()
        self._cached_bytes = 0

    def put(self, digest: Digest, index: int, data: bytes) -> Deferred[None]:
        """Stage a verified chunk and add it to the cache."""
        self._cache(digest, index, data)
        return self._engine.stage(digest, index, data)

    def read_chunk(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return a staged chunk, from the cache if possible."""
        data = self._cached.get((digest, index))
        if data is not None:
            return succeed(data)
        return self._engine.read_staged(digest, index)

    def recover(self, manifest: Manifest, previous: Manifest | None) -> Deferred[frozenset[int]]:
        """Return the indexes of the chunks of a version that are staged and valid.

        Chunks shared with the previous version are copied from its staged chunks. Every chunk is
        read back and verified, since another process may have staged it.
        """
        return Deferred.fromCoroutine(self._recover(manifest, previous))

    def drop_other_versions(self, keep: Digest) -> None:
        """Free the staging memory of all versions except `keep`; failures are ignored."""
        self._engine.drop_staged(keep).addErrback(lambda failure: None)

    async def _recover(self, manifest: Manifest, previous: Manifest | None) -> frozenset[int]:
        valid = set()
        for index in sorted(await self._list(manifest.digest)):
            data = await self._read_back(manifest.digest, index)
            if data is not None and manifest.accepts(index, data):
                valid.add(index)
        if previous is not None and previous.digest != manifest.digest:
            valid |= await self._reuse(manifest, previous, valid)
        return frozenset(valid)

    async def _reuse(self, manifest: Manifest, previous: Manifest, valid: set[int]) -> set[int]:
        """Stage missing chunks that are also in the previous version; return their indexes."""
        reused: set[int] = set()
        staged = await self._list(previous.digest)
        sources = {}
        for index in staged:
            if index < len(previous.chunks):
                sources[previous.chunks[index]] = index
        for index, chunk in enumerate(manifest.chunks):
            source = sources.get(chunk)
            if index in valid or source is None:
                continue
            data = await self._read_back(previous.digest, source)
            if data is None or not manifest.accepts(index, data):
                continue
            await self._engine.stage(manifest.digest, index, data)
            reused.add(index)
        return reused

    async def _list(self, digest: Digest) -> frozenset[int]:
        try:
            return await self._engine.list_staged(digest)
        except EndpointError:
            return frozenset()

    async def _read_back(self, digest: Digest, index: int) -> bytes | None:
        try:
            return await self._engine.read_staged(digest, index)
        except EndpointError:
            return None

    def _cache(self, digest: Digest, index: int, data: bytes) -> None:
        replaced = self._cached.pop((digest, index), b"")
        self._cached[digest, index] = data
        self._cached_bytes += len(data) - len(replaced)
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, dropped = self._cached.popitem(last=False)
            self._cached_bytes -= len(dropped)
