"""Keeps the control streams of one process dialled to the peers that it chose."""

from __future__ import annotations

from collections.abc import Container

from coltsfootshift.controllers.membership import Membership
from coltsfootshift.controllers.peers import PeerSelector
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import VersionedRecord
from coltsfootshift.settings import Address, ProcessSettings
from coltsfootshift.streams import Dialer

__all__ = ["PeerConnector"]

UNREACHED_SECONDS = 1.5


class PeerConnector:
    """Dials the chosen peers, the seeds while there is none, and finds those that do not answer."""

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
        """The rank of this process among the watchers of its region, None where unlisted."""
        return self._selector.find_watch_rank()

    @property
    def wanted(self) -> int:
        """How many of the peers dialled are not known to be unreachable."""
        return self._selector.count_reachable(list(self._targets))

    def note_instances(self, changed: list[VersionedRecord]) -> None:
        """These instances have changed in the membership."""
        for record in changed:
            instance = InstanceId(record.key)
            held = self._membership.find(instance)
            if held is None:
                self._selector.remove(instance)
            else:
                self._selector.put(held)

    def note_opened(self, peer: InstanceId) -> None:
        """A stream of a peer has opened."""
        self._selector.mark_reachable(peer)

    def note_closed(self, peer: InstanceId, now: float) -> None:
        """The last stream of a peer is gone."""
        if peer in self._targets:
            self._targets[peer] = now

    def choose(self, now: float) -> None:
        """Dial the peers that the instance list and what was found of them call for."""
        chosen = self._selector.choose(now)
        addresses: dict[InstanceId, Address] = {} if chosen else dict(self._seeds)
        for instance in chosen:
            record = self._membership.find(instance)
            if record is not None:
                addresses[instance] = record.peers
        self._targets = {name: self._targets.get(name, now) for name in chosen}
        self._dialer.set_targets(addresses)

    def find_unreachable(self, opened: Container[InstanceId], now: float) -> list[InstanceId]:
        """Return the peers newly found not to answer; `opened` are those with a stream."""
        missing = []
        for name, since in self._targets.items():
            if name in opened or self._selector.is_unreachable(name):
                continue
            if now - since > UNREACHED_SECONDS:
                missing.append(name)
        for name in missing:
            self._selector.mark_unreachable(name, now)
        return missing

    def has_expired(self, now: float) -> bool:
        """Return whether the peers are to be chosen anew."""
        return self._selector.has_expired(now)
