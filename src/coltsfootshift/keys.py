"""Shared keys for authenticating streams between processes, and the HMAC proofs made with them.

Each process proves one key and accepts several. A key can therefore be replaced without a restart
in three steps: accept the new key everywhere, prove the new key everywhere, drop the old key.

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
CHECK_INTERVAL_SECONDS = 1.0
FINGERPRINT_HEX_DIGITS = 12
_HMAC_LABEL = b"coltsfootshift stream 1"

KeyFingerprint = NewType("KeyFingerprint", str)

logger = get_logger("keys")


class KeysError(ColtsfootshiftError):
    """The keys cannot be read or are invalid."""


@dataclass(frozen=True, slots=True, repr=False)
class KeyRing:
    """The key that this process proves, and all keys that it accepts, including that one."""

    proving: bytes
    accepted: tuple[bytes, ...]

    def __repr__(self) -> str:
        proving = compute_fingerprint(self.proving)
        return f"KeyRing(proving={proving}, accepted={self.list_fingerprints()})"

    @classmethod
    def make(cls, prove: str, accept: Iterable[str] = ()) -> KeyRing:
        """Return a key ring that proves `prove` and accepts it and the keys in `accept`."""
        keys = dict.fromkeys([prove, *accept])
        return cls(prove.encode(), tuple(key.encode() for key in keys))

    def list_fingerprints(self) -> list[KeyFingerprint]:
        """Return the fingerprints of the accepted keys, which do not reveal the keys."""
        return [compute_fingerprint(key) for key in self.accepted]

    def make_proof(self, role: bytes, first: bytes, second: bytes) -> bytes:
        """Return the HMAC of a role and both `Hello` frames of a stream with the proving key."""
        return _compute_hmac(self.proving, role, first, second)

    def find_key(self, proof: bytes, role: bytes, first: bytes, second: bytes) -> bytes | None:
        """Return the accepted key with which a proof was made, or None if there is none."""
        found = None
        for key in self.accepted:
            if hmac.compare_digest(_compute_hmac(key, role, first, second), proof):
                found = key
        return found


def compute_fingerprint(key: bytes) -> KeyFingerprint:
    """Return a short fingerprint of a key that is safe to show on status pages and in logs."""
    return KeyFingerprint(
        hashlib.sha256(_HMAC_LABEL + b" name " + key).hexdigest()[:FINGERPRINT_HEX_DIGITS]
    )


def _compute_hmac(key: bytes, role: bytes, first: bytes, second: bytes) -> bytes:
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (_HMAC_LABEL, role, first, second):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()


class KeySource(ABC):
    """The source of the keys of a process."""

    @abstractmethod
    def read(self) -> KeyRing:
        """Return the keys; raises `KeysError` if they cannot be read or are invalid."""

    @abstractmethod
    def get_version(self) -> Any:
        """Return a value that changes when the keys may have changed; never raises."""


class FixedKeySource(KeySource):
    """Keys given in the settings; changing them requires a restart."""

    def __init__(self, values: KeyValues) -> None:
        self._ring = KeyRing.make(values.prove, values.accept)

    def read(self) -> KeyRing:
        """Return the keys from the settings."""
        return self._ring

    def get_version(self) -> int:
        """Return a constant, since the keys never change."""
        return 0


class FileKeySource(KeySource):
    """Keys in a separate JSON file of the form `{"prove": KEY, "accept": [KEY, …]}`."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def read(self) -> KeyRing:
        """Read and validate the file."""
        try:
            values = msgspec.json.decode(self._path.read_bytes(), type=KeyValues)
        except OSError as error:
            raise KeysError(f"{self._path}: cannot be read: {error.strerror}") from error
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise KeysError(f"{self._path}: {error}") from error
        return KeyRing.make(values.prove, values.accept)

    def get_version(self) -> Any:
        """Return the modification time, size and inode of the file, or None on an error."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino


def make_key_source(settings: KeySettings) -> KeySource:
    """Return the key source that is configured in the settings."""
    if settings.file is not None:
        return FileKeySource(Path(settings.file))
    assert settings.values is not None
    return FixedKeySource(settings.values)


class KeyManager:
    """Holds the current keys and reloads them while the process runs.

    If the new keys cannot be read, the previous ones stay in use. Calls `on_change` after a change.
    """

    def __init__(self, source: KeySource, metrics: Metrics, on_change: Callable[[], None]) -> None:
        self._source = source
        self._metrics = metrics
        self._on_change = on_change
        self._version = source.get_version()
        self.ring = source.read()
        self.problem = ""

    def start(self, clock: Any) -> None:
        """Start checking for new keys every `CHECK_INTERVAL_SECONDS`."""
        loop = LoopingCall(self._check)
        loop.clock = clock
        loop.start(CHECK_INTERVAL_SECONDS, now=False)

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page, with fingerprints instead of keys."""
        return {
            "proving": compute_fingerprint(self.ring.proving),
            "accepted": self.ring.list_fingerprints(),
            "problem": self.problem,
        }

    def reload(self) -> None:
        """Read the keys again and report a change."""
        self._version = self._source.get_version()
        try:
            ring = self._source.read()
        except KeysError as error:
            self._metrics.count("key_reloads_failed")
            self.problem = str(error)
            logger.error(
                "new keys rejected; keeping the previous keys", extra={"problem": str(error)}
            )
            return
        self.problem = ""
        if ring == self.ring:
            return
        self.ring = ring
        self._metrics.count("key_reloads")
        logger.info("keys changed", extra=self.describe())
        self._on_change()

    def _check(self) -> None:
        if self._source.get_version() != self._version:
            self.reload()
