"""Keys that processes prove to each other when a stream opens, and the proofs made with them.

Every process proves one key and accepts several, so that a key is replaced in three steps while
the fleet runs: accept the new one everywhere, prove the new one everywhere, drop the old one.

>>> ring = KeyRing.make("b" * 32, ["a" * 32])
>>> proof = ring.make_proof(b"dialler", b"first", b"second")
>>> ring.find_key(proof, b"dialler", b"first", b"second") == ring.proving
True
>>> ring.find_key(proof, b"listener", b"first", b"second") is None
True
"""

from __future__ import annotations

import hashlib
import hmac
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NewType

import msgspec
from twisted.internet.task import LoopingCall

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import KeySettings, KeyValues

__all__ = [
    "FileKeySource",
    "FixedKeySource",
    "KeyManager",
    "KeyFingerprint",
    "KeyRing",
    "KeySource",
    "KeysError",
    "make_key_source",
]

NONCE_BYTES = 16
CHECK_SECONDS = 1.0
NAME_LETTERS = 12
_LABEL = b"coltsfootshift stream 1"

KeyFingerprint = NewType("KeyFingerprint", str)

logger = get_logger("keys")


class KeysError(ColtsfootshiftError):
    """The keys cannot be read or break a rule."""


@dataclass(frozen=True, slots=True, repr=False)
class KeyRing:
    """The key that this process proves, and all that it accepts, the proved one among them."""

    proving: bytes
    accepted: tuple[bytes, ...]

    def __repr__(self) -> str:
        proving = compute_fingerprint(self.proving)
        return f"KeyRing(proving={proving}, accepted={self.list_fingerprints()})"

    @classmethod
    def make(cls, prove: str, accept: Iterable[str] = ()) -> KeyRing:
        """Return the ring of a proved key and further accepted ones."""
        keys = dict.fromkeys([prove, *accept])
        return cls(prove.encode(), tuple(key.encode() for key in keys))

    def list_fingerprints(self) -> list[KeyFingerprint]:
        """Return the names of the accepted keys; a name tells nothing about its key."""
        return [compute_fingerprint(key) for key in self.accepted]

    def make_proof(self, role: bytes, first: bytes, second: bytes) -> bytes:
        """Return the proof of the proved key over a role and both introductions of a stream."""
        return _sign(self.proving, role, first, second)

    def find_key(self, proof: bytes, role: bytes, first: bytes, second: bytes) -> bytes | None:
        """Return the accepted key that a proof was made with, None where there is none."""
        found = None
        for key in self.accepted:
            if hmac.compare_digest(_sign(key, role, first, second), proof):
                found = key
        return found


def compute_fingerprint(key: bytes) -> KeyFingerprint:
    """Return the short public name of a key, for status pages and logs."""
    return KeyFingerprint(hashlib.sha256(_LABEL + b" name " + key).hexdigest()[:NAME_LETTERS])


def _sign(key: bytes, role: bytes, first: bytes, second: bytes) -> bytes:
    signer = hmac.new(key, digestmod=hashlib.sha256)
    for part in (_LABEL, role, first, second):
        signer.update(len(part).to_bytes(4, "big"))
        signer.update(part)
    return signer.digest()


class KeySource(ABC):
    """Where a process has its keys from."""

    @abstractmethod
    def read(self) -> KeyRing:
        """Return the keys; raises `KeysError`."""

    @abstractmethod
    def get_version(self) -> Any:
        """Return a value that differs once the keys may have changed; does not raise."""


class FixedKeySource(KeySource):
    """Keys written into the settings; they change with a restart only."""

    def __init__(self, values: KeyValues) -> None:
        self._ring = KeyRing.make(values.prove, values.accept)

    def read(self) -> KeyRing:
        """Return the keys of the settings."""
        return self._ring

    def get_version(self) -> int:
        """Return the same value always."""
        return 0


class FileKeySource(KeySource):
    """Keys in a JSON file of their own, `{"prove": KEY, "accept": [KEY, …]}`."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def read(self) -> KeyRing:
        """Read and check the file."""
        try:
            values = msgspec.json.decode(self._path.read_bytes(), type=KeyValues)
        except OSError as error:
            raise KeysError(f"{self._path}: cannot be read: {error.strerror}") from error
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise KeysError(f"{self._path}: {error}") from error
        return KeyRing.make(values.prove, values.accept)

    def get_version(self) -> Any:
        """Return what tells one state of the file from another."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino


def make_key_source(settings: KeySettings) -> KeySource:
    """Return the source that the settings name."""
    if settings.file is not None:
        return FileKeySource(Path(settings.file))
    assert settings.values is not None
    return FixedKeySource(settings.values)


class KeyManager:
    """Holds the keys in force and takes new ones while the process runs.

    New keys that cannot be read leave the earlier ones in force.
    """

    def __init__(self, source: KeySource, metrics: Metrics, changed: Callable[[], None]) -> None:
        self._source = source
        self._metrics = metrics
        self._changed = changed
        self._version = source.get_version()
        self.ring = source.read()
        self.problem = ""

    def start(self, clock: Any) -> None:
        """Look for a change at regular times from now on."""
        loop = LoopingCall(self._check)
        loop.clock = clock
        loop.start(CHECK_SECONDS, now=False)

    def describe(self) -> dict[str, Any]:
        """Return what the status page shows: names of keys, never keys."""
        return {
            "proving": compute_fingerprint(self.ring.proving),
            "accepted": self.ring.list_fingerprints(),
            "problem": self.problem,
        }

    def reload(self) -> None:
        """Read the keys again; tell of a change."""
        self._version = self._source.get_version()
        try:
            ring = self._source.read()
        except KeysError as error:
            self._metrics.count("key_reloads_failed")
            self.problem = str(error)
            logger.error("new keys refused; the earlier ones stay", extra={"problem": str(error)})
            return
        self.problem = ""
        if ring == self.ring:
            return
        self.ring = ring
        self._metrics.count("key_reloads")
        logger.info("keys changed", extra=self.describe())
        self._changed()

    def _check(self) -> None:
        if self._source.get_version() != self._version:
            self.reload()
