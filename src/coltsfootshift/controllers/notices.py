"""What processes say of entries between two readings of the platform's lagging list."""

from __future__ import annotations

from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import InstanceNotice, NoticedState

__all__ = ["NoticeStore"]

_SEVERITY = {NoticedState.LIVE: 0, NoticedState.UNREACHABLE: 1, NoticedState.LEAVING: 2}


class NoticeStore:
    """The newest notice of each instance.

    An instance numbers its own notices. Of two with the same number the more severe one stands, so
    that a peer's finding overrides the instance's word until the instance refutes it with a higher
    number. No clocks are compared.

    >>> board = NoticeStore(InstanceId("entry-1"))
    >>> board.take(InstanceNotice("entry-1", 0, NoticedState.UNREACHABLE))
    [InstanceNotice(instance='entry-1', number=1, state=<NoticedState.LIVE: 'live'>)]
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._own_state = NoticedState.LIVE
        self._held: dict[InstanceId, InstanceNotice] = {}

    def __len__(self) -> int:
        return len(self._held)

    def take(self, notice: InstanceNotice) -> list[InstanceNotice]:
        """Take a peer's notice; return what to pass on to all peers."""
        instance = InstanceId(notice.instance)
        if instance == self._own and notice.state is not self._own_state:
            return self._refute(notice)
        if not self._is_newer(notice):
            return []
        self._held[instance] = notice
        return [notice]

    def report(self, instance: InstanceId, state: NoticedState) -> list[InstanceNotice]:
        """Record this process's own finding; return what to tell all peers."""
        held = self._held.get(instance)
        number = held.number if held else 0
        return self.take(InstanceNotice(instance, number, state))

    def announce_leaving(self) -> list[InstanceNotice]:
        """This process takes no new work from now on; return what to tell all peers."""
        self._own_state = NoticedState.LEAVING
        held = self._held.get(self._own)
        notice = InstanceNotice(self._own, held.number + 1 if held else 1, self._own_state)
        self._held[self._own] = notice
        return [notice]

    def find_state(self, instance: InstanceId) -> NoticedState:
        """Return what is known of an instance."""
        held = self._held.get(instance)
        return held.state if held else NoticedState.LIVE

    def list_not_live(self) -> list[InstanceNotice]:
        """Return all notices that say more than that an instance is live."""
        return [row for row in self._held.values() if row.state is not NoticedState.LIVE]

    def forget(self, instance: InstanceId) -> None:
        """The platform's list no longer names the instance."""
        self._held.pop(instance, None)

    def _refute(self, notice: InstanceNotice) -> list[InstanceNotice]:
        held = self._held.get(self._own)
        if held is not None and held.number > notice.number:
            return [held]
        answer = InstanceNotice(self._own, notice.number + 1, self._own_state)
        self._held[self._own] = answer
        return [answer]

    def _is_newer(self, notice: InstanceNotice) -> bool:
        held = self._held.get(InstanceId(notice.instance))
        if held is None:
            return notice.number > 0 or notice.state is not NoticedState.LIVE
        if notice.number != held.number:
            return notice.number > held.number
        return _SEVERITY[notice.state] > _SEVERITY[held.state]
