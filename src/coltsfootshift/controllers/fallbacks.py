"""Chooses the peer from which to request the previous values of invalid catalogue entries."""

from __future__ import annotations

from coltsfootshift.ids import InstanceId

__all__ = ["FallbackRequester"]

REQUEST_INTERVAL_SECONDS = 0.5
MAX_KEYS = 64


class FallbackRequester:
    """Requests the previous value of an invalid catalogue entry from each peer once.

    This is needed for an entry that was already invalid when this process first read it.

    >>> requester = FallbackRequester()
    >>> requester.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=0.0)
    ('p', ['team/a'])
    >>> requester.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=1.0)
    ('q', ['team/a'])
    >>> requester.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=2.0)
    """

    def __init__(self) -> None:
        self._requested: set[tuple[InstanceId, str, int]] = set()
        self._next_at = 0.0

    def choose(
        self, missing: dict[str, int], peers: list[InstanceId], now: float
    ) -> tuple[InstanceId, list[str]] | None:
        """Return a peer and the keys to request from it, or None.

        `missing` maps each key without a previous value to its revision. At most `MAX_KEYS` keys
        go into one request, and requests are at least `REQUEST_INTERVAL_SECONDS` apart.
        """
        if not missing:
            self._requested.clear()
            return None
        if now < self._next_at:
            return None
        for peer in peers:
            keys: list[str] = []
            for key, revision in missing.items():
                if (peer, key, revision) not in self._requested and len(keys) < MAX_KEYS:
                    keys.append(key)
            if not keys:
                continue
            self._next_at = now + REQUEST_INTERVAL_SECONDS
            self._requested.update((peer, key, missing[key]) for key in keys)
            return peer, keys
        return None
