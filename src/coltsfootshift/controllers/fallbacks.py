"""Decides whom to ask for the earlier text of entries that fail their checks."""

from __future__ import annotations

from coltsfootshift.ids import InstanceId

__all__ = ["FallbackRequester"]

ASK_SECONDS = 0.5
MOST_KEYS = 64


class FallbackRequester:
    """Asks each peer once for the earlier text of an invalid entry that was read without one.

    >>> asker = FallbackRequester()
    >>> asker.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=0.0)
    ('p', ['team/a'])
    >>> asker.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=1.0)
    ('q', ['team/a'])
    >>> asker.choose({"team/a": 7}, [InstanceId("p"), InstanceId("q")], now=2.0)
    """

    def __init__(self) -> None:
        self._asked: set[tuple[InstanceId, str, int]] = set()
        self._next_at = 0.0

    def choose(
        self, missing: dict[str, int], peers: list[InstanceId], now: float
    ) -> tuple[InstanceId, list[str]] | None:
        """Return a peer and the keys to ask it for, given the revision of each missing key."""
        if not missing:
            self._asked.clear()
            return None
        if now < self._next_at:
            return None
        for peer in peers:
            keys: list[str] = []
            for key, revision in missing.items():
                if (peer, key, revision) not in self._asked and len(keys) < MOST_KEYS:
                    keys.append(key)
            if not keys:
                continue
            self._next_at = now + ASK_SECONDS
            self._asked.update((peer, key, missing[key]) for key in keys)
            return peer, keys
        return None
