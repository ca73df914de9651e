"""The manifest of a version of weights, which lists the digests of its chunks."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import Digest

__all__ = ["Manifest", "ManifestError", "compute_chunk_digest", "make_manifest"]


class ManifestError(ColtsfootshiftError):
    """A manifest is malformed or does not match its digest."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """Ordered SHA-256 chunk digests of a version of weights.

    `digest` covers the list of chunk digests, the chunk size and the total size.
    """

    digest: Digest
    chunk_bytes: int
    total_bytes: int
    chunks: tuple[str, ...]

    def accepts(self, index: int, data: bytes) -> bool:
        """Return whether `data` matches the digest of the chunk at `index`."""
        return 0 <= index < len(self.chunks) and compute_chunk_digest(data) == self.chunks[index]

    def to_json(self) -> bytes:
        """Return the manifest as JSON, the format sent by the weight store and peers."""
        return msgspec.json.encode(self)

    @classmethod
    def from_json(cls, digest: Digest, text: bytes) -> Manifest:
        """Parse a manifest; raises `ManifestError` unless it is valid and matches `digest`."""
        try:
            manifest = msgspec.json.decode(text, type=cls)
        except msgspec.DecodeError as error:
            raise ManifestError(f"manifest {digest}: {error}") from error
        if manifest.digest != digest or manifest.compute_digest() != digest:
            raise ManifestError(f"manifest {digest}: its content does not match the digest")
        return manifest

    def compute_digest(self) -> Digest:
        """Compute the SHA-256 digest of the manifest's content."""
        text = f"{self.chunk_bytes}/{self.total_bytes}/{','.join(self.chunks)}"
        return Digest(hashlib.sha256(text.encode()).hexdigest())


def compute_chunk_digest(data: bytes) -> str:
    """Return the SHA-256 digest of a chunk as hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def make_manifest(data: bytes, chunk_bytes: int) -> Manifest:
    """Split weights into chunks of `chunk_bytes` and return their manifest.

    >>> len(make_manifest(b"abcdef", 4).chunks)
    2
    """
    chunks = []
    for start in range(0, len(data), chunk_bytes):
        chunks.append(compute_chunk_digest(data[start : start + chunk_bytes]))
    draft = Manifest(Digest(""), chunk_bytes, len(data), tuple(chunks))
    return Manifest(draft.compute_digest(), chunk_bytes, len(data), tuple(chunks))
