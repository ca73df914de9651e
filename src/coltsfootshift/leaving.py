"""Detects when the platform marks this process's own instance as leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from coltsfootshift.ids import InstanceId
from coltsfootshift.mesh import InstancesChanged, MeshTask
from coltsfootshift.tasks import Task

__all__ = ["LeavingWatch"]


class LeavingWatch(Task):
    """Calls `leave` once the platform's instance list shows this instance as leaving."""

    def __init__(
        self, reactor: Any, mesh: MeshTask, own: InstanceId, leave: Callable[[], None]
    ) -> None:
        super().__init__(reactor)
        self._mesh = mesh
        self._own = own
        self._leave = leave
        mesh.subscribe(self)

    def handle(self, message: Any) -> None:
        """Check this instance's record whenever the list changes."""
        if not isinstance(message, InstancesChanged):
            return
        record = self._mesh.membership.find(self._own)
        if record is not None and record.state == "leaving":
            self._leave()
