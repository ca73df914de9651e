"""Decides when the records that a process read at its start may come into force."""

from __future__ import annotations

from coltsfootshift.ids import InstanceId

__all__ = ["SettlingGate"]

SETTLE_SECONDS = 2.0
SETTLE_WHILE_BEHIND_SECONDS = 6.0


class SettlingGate:
    """A gate that stays closed until the peers of a process have reported their revisions.

    It opens when no peer has a higher revision and either a settled peer or all expected peers
    have reported. Without these reports it opens `SETTLE_SECONDS` after the first data. If a peer
    is ahead but does not deliver, it opens after `SETTLE_WHILE_BEHIND_SECONDS`.
    """

    def __init__(self, open_at_once: bool) -> None:
        self.is_open = open_at_once
        self.expected_peers: int | None = None
        self._reported: dict[InstanceId, bool] = {}
        self._waiting_since: float | None = None

    def record_report(self, peer: InstanceId, settled: bool) -> None:
        """Record that a peer has reported its revision, and whether it has settled."""
        self._reported[peer] = settled

    def record_disconnected(self, peer: InstanceId) -> None:
        """Forget the report of a peer whose stream has closed."""
        self._reported.pop(peer, None)

    def close(self, now: float) -> None:
        """Close the gate and wait for new reports from the peers."""
        self.is_open = False
        self._reported.clear()
        self._waiting_since = now

    def try_open(self, revision: int, peer_revision: int, now: float) -> bool:
        """Open the gate if allowed and return whether it is open.

        `revision` is the local one, `peer_revision` the highest that a peer has reported.
        """
        if self._waiting_since is None:
            self._waiting_since = now
        waited = now - self._waiting_since
        if peer_revision > revision:
            self.is_open = waited >= SETTLE_WHILE_BEHIND_SECONDS
            return self.is_open
        all_reported = (
            self.expected_peers is not None and len(self._reported) >= self.expected_peers
        )
        self.is_open = all_reported or any(self._reported.values()) or waited >= SETTLE_SECONDS
        return self.is_open
