"""Keeps control streams open from this process to its selected peers."""

from __future__ import annotations

from collections.abc import Container

from coltsfootshift.controllers.membership import Membership
from coltsfootshift.controllers.peers import PeerSelector
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import VersionedRecord
from coltsfootshift.settings import Address, ProcessSettings
from coltsfootshift.streams import Dialer

__all__ = ["PeerConnector"]

UNREACHABLE_AFTER_SECONDS = 1.5


class PeerConnector:
    """Dials the selected peers, or the seeds if there are none, and detects unreachable peers."""

    def __init__(self, dialer: Dialer, settings: ProcessSettings, membership: Membership) -> None:
        self._dialer = dialer
        self._seeds = {InstanceId(f"{seed.host}:{seed.port}"): seed for seed in settings.seeds}
        self._membership = membership
        self._selector = PeerSelector(InstanceId(settings.instance), settings.region)
        self._targets: dict[InstanceId, float] = {}

    def start(self) -> None:
        """Dial the seeds."""
        self._dialer.set_targets(self._seeds)

    @property
    def watch_rank(self) -> int | None:
        """The rank of this process among its region's watchers, or None if it is not listed."""
        return self._selector.find_watch_rank()

    @property
    def reachable_count(self) -> int:
        """The number of dialled peers that are not marked as unreachable."""
        return self._selector.count_reachable(list(self._targets))

    def update_instances(self, changed: list[VersionedRecord]) -> None:
        """Update the peer selector after records of the membership have changed."""
        for record in changed:
            instance = InstanceId(record.key)
            instance_record = self._membership.find(instance)
            if instance_record is None:
                self._selector.remove(instance)
            else:
                self._selector.put(instance_record)

    def record_opened(self, peer: InstanceId) -> None:
        """Record that a stream to a peer has opened."""
        self._selector.mark_reachable(peer)

    def record_closed(self, peer: InstanceId, now: float) -> None:
        """Record that the last stream to a peer has closed."""
        if peer in self._targets:
            self._targets[peer] = now

    def choose(self, now: float) -> None:
        """Select peers by the list of instances and their reachability, and dial them."""
        chosen = self._selector.choose(now)
        addresses: dict[InstanceId, Address] = {} if chosen else dict(self._seeds)
        for instance in chosen:
            record = self._membership.find(instance)
            if record is not None:
                addresses[instance] = record.peers
        self._targets = {name: self._targets.get(name, now) for name in chosen}
        self._dialer.set_targets(addresses)

    def detect_unreachable(self, opened: Container[InstanceId], now: float) -> list[InstanceId]:
        """Mark and return the peers that have become unreachable.

        A peer is unreachable if it has had no open stream for `UNREACHABLE_AFTER_SECONDS`. `opened`
        holds the peers with an open stream.
        """
        unreachable = []
        for name, since in self._targets.items():
            if name in opened or self._selector.is_unreachable(name):
                continue
            if now - since > UNREACHABLE_AFTER_SECONDS:
                unreachable.append(name)
        for name in unreachable:
            self._selector.mark_unreachable(name, now)
        return unreachable

    def has_expired(self, now: float) -> bool:
        """Return whether a peer's unreachable mark has expired, which requires a new selection."""
        return self._selector.has_expired(now)
