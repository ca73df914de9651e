"""Notices about the state of entries, which are newer than the platform's instance list."""

from __future__ import annotations

from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import InstanceNotice, NoticedState

__all__ = ["NoticeStore"]

_SEVERITY = {NoticedState.LIVE: 0, NoticedState.UNREACHABLE: 1, NoticedState.LEAVING: 2}


class NoticeStore:
    """The newest notice about each instance.

    An instance numbers its own notices. Of two notices with the same number the more severe one
    wins, so that a peer's report overrides the instance's own notice until the instance refutes it
    with a higher number. The order does not depend on clocks.

    >>> store = NoticeStore(InstanceId("entry-1"))
    >>> store.merge(InstanceNotice("entry-1", 0, NoticedState.UNREACHABLE))
    [InstanceNotice(instance='entry-1', number=1, state=<NoticedState.LIVE: 'live'>)]
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._own_state = NoticedState.LIVE
        self._newest: dict[InstanceId, InstanceNotice] = {}

    def __len__(self) -> int:
        return len(self._newest)

    def merge(self, notice: InstanceNotice) -> list[InstanceNotice]:
        """Merge a peer's notice; return the notices to send to all peers."""
        instance = InstanceId(notice.instance)
        if instance == self._own and notice.state is not self._own_state:
            return self._refute(notice)
        if not self._is_newer(notice):
            return []
        self._newest[instance] = notice
        return [notice]

    def report(self, instance: InstanceId, state: NoticedState) -> list[InstanceNotice]:
        """Record a state that this process has observed; return the notices for all peers."""
        held = self._newest.get(instance)
        number = held.number if held else 0
        return self.merge(InstanceNotice(instance, number, state))

    def announce_leaving(self) -> list[InstanceNotice]:
        """Mark this process as leaving; return the notices to send to all peers."""
        self._own_state = NoticedState.LEAVING
        held = self._newest.get(self._own)
        notice = InstanceNotice(self._own, held.number + 1 if held else 1, self._own_state)
        self._newest[self._own] = notice
        return [notice]

    def find_state(self, instance: InstanceId) -> NoticedState:
        """Return the state of an instance, which is live if there is no notice about it."""
        held = self._newest.get(instance)
        return held.state if held else NoticedState.LIVE

    def list_not_live(self) -> list[InstanceNotice]:
        """Return all notices about instances that are unreachable or leaving."""
        return [row for row in self._newest.values() if row.state is not NoticedState.LIVE]

    def forget(self, instance: InstanceId) -> None:
        """Remove the notice about an instance that is no longer in the platform's list."""
        self._newest.pop(instance, None)

    def _refute(self, notice: InstanceNotice) -> list[InstanceNotice]:
        held = self._newest.get(self._own)
        if held is not None and held.number > notice.number:
            return [held]
        answer = InstanceNotice(self._own, notice.number + 1, self._own_state)
        self._newest[self._own] = answer
        return [answer]

    def _is_newer(self, notice: InstanceNotice) -> bool:
        held = self._newest.get(InstanceId(notice.instance))
        if held is None:
            return notice.number > 0 or notice.state is not NoticedState.LIVE
        if notice.number != held.number:
            return notice.number > held.number
        return _SEVERITY[notice.state] > _SEVERITY[held.state]
