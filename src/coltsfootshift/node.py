"""What both daemons share: settings, streams, mesh, operators' port and the way to stop."""

from __future__ import annotations

import signal
import sys
import time
from abc import ABC, abstractmethod
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from twisted.internet.error import CannotListenError

from coltsfootshift.catalogueservice.http import HttpPlatform
from coltsfootshift.decisions import DecisionLog
from coltsfootshift.errors import SettingsError
from coltsfootshift.ids import InstanceId, Purpose, Role, make_incarnation
from coltsfootshift.keys import KeyManager, KeysError, make_key_source
from coltsfootshift.leaving import LeavingWatch
from coltsfootshift.logs import get_logger, set_up_logs
from coltsfootshift.loop import reactor as default_reactor
from coltsfootshift.mesh import MeshTask
from coltsfootshift.messages import Hello
from coltsfootshift.metrics import Metrics
from coltsfootshift.operators import OperatorHttpServer
from coltsfootshift.settings import EXIT_BAD_SETTINGS, ProcessSettings, load_settings
from coltsfootshift.streams import StreamContext, StreamListener

__all__ = ["Node", "run_daemon"]

DRAIN_CHECK_SECONDS = 0.1
FLUSH_SECONDS = 0.2

logger = get_logger("node")


class Node(ABC):
    """One process of the system.

    Subclasses fill `start_role`, `stop_new_work`, `count_unfinished` and `describe_role`.
    """

    role: Role

    def __init__(self, settings: ProcessSettings, reactor: Any = default_reactor) -> None:
        self.settings = settings
        self.reactor = reactor
        self.incarnation = make_incarnation()
        self.metrics = Metrics()
        self.rng = Random(self.incarnation)
        self.leaving = False
        self.keys = KeyManager(make_key_source(settings.keys), self.metrics, self._pass_keys)
        self.context = StreamContext(
            reactor,
            settings.streams,
            self.metrics,
            self.make_hello,
            self.keys.ring,
            source=settings.peers.host,
        )
        self.listener = StreamListener(self.context)
        platform = HttpPlatform(reactor, settings.platform)
        self.mesh = MeshTask(self.context, settings, platform, self.rng)
        self._started_at = reactor.seconds()
        self.started_wall = time.time()
        self.decisions = DecisionLog(self.started_wall - self._started_at)
        self._drain_until = 0.0
        self._stay_until = 0.0
        own = InstanceId(settings.instance)
        self._leaving_watch = LeavingWatch(reactor, self.mesh, own, self.leave)

    def start(self) -> None:
        """Open the ports and start the tasks."""
        settings = self.settings
        self.listener.register(Purpose.CONTROL, self.mesh)
        self.start_role()
        self.reactor.listenTCP(settings.peers.port, self.listener, interface=settings.peers.host)
        page = OperatorHttpServer(
            self.describe,
            self.metrics,
            self.mesh.audit,
            self.decisions,
            self.mesh.view,
            self.started_wall,
        )
        page.listen(self.reactor, settings.operators.host, settings.operators.port)
        self.keys.start(self.reactor)
        self.mesh.start()
        logger.info("started", extra={"role": self.role.value, "incarnation": self.incarnation})

    def leave(self) -> None:
        """Take no new work, finish what is in progress, then stop."""
        if self.leaving:
            return
        self.leaving = True
        now = self.reactor.seconds()
        self._drain_until = now + self.settings.drain_seconds
        self._stay_until = min(now + self.min_drain_seconds, self._drain_until)
        logger.info("leaving", extra={"unfinished": self.count_unfinished()})
        self.mesh.membership.record_leaving(InstanceId(self.settings.instance), self.incarnation)
        self.mesh.announce_leaving()
        self.stop_new_work()
        self._check_drained()

    def make_hello(self, purpose: Purpose) -> Hello:
        """Return the introduction of this process for a stream."""
        return Hello(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            role=self.role.value,
            purpose=purpose.value,
            service=self.service,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            sent_at=self.reactor.seconds(),
        )

    def describe(self) -> dict[str, Any]:
        """Return the state that the status page shows."""
        return {
            "instance": self.settings.instance,
            "incarnation": self.incarnation,
            "role": self.role.value,
            "region": self.settings.region,
            "failure_domain": self.settings.failure_domain,
            "uptime_seconds": round(self.reactor.seconds() - self._started_at, 3),
            "leaving": self.leaving,
            "unfinished": self.count_unfinished(),
            "mesh": self.mesh.describe(),
            "keys": self.keys.describe(),
            "open_streams": len(self.context.registry),
            **self.describe_role(),
        }

    @property
    def service(self) -> str:
        """The service of this process's endpoint, empty where it has none."""
        return ""

    @property
    def min_drain_seconds(self) -> float:
        """How long this process answers at least after it began to leave."""
        return 0.0

    @abstractmethod
    def start_role(self) -> None:
        """Start what only this role has."""

    @abstractmethod
    def stop_new_work(self) -> None:
        """Refuse new work from now on."""

    @abstractmethod
    def count_unfinished(self) -> int:
        """Return how many pieces of work are in progress."""

    @abstractmethod
    def describe_role(self) -> dict[str, Any]:
        """Return what only this role shows on its status page."""

    def _pass_keys(self) -> None:
        self.context.change_keys(self.keys.ring)

    def _check_drained(self) -> None:
        unfinished = self.count_unfinished()
        now = self.reactor.seconds()
        overrun = now >= self._drain_until
        if (unfinished or now < self._stay_until) and not overrun:
            self.reactor.callLater(DRAIN_CHECK_SECONDS, self._check_drained)
            return
        if unfinished:
            logger.error("drain time is over", extra={"unfinished": unfinished})
        self.reactor.callLater(FLUSH_SECONDS, self.reactor.stop)


_Settings = TypeVar("_Settings", bound=ProcessSettings)


def run_daemon(path: Path, kind: type[_Settings], make_node: type[Node]) -> None:
    """Run a daemon until it has left; a wrong settings file ends it with status 2."""
    try:
        settings = load_settings(path, kind)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    set_up_logs(settings.log_level, settings.instance)
    try:
        node = make_node(settings)
        node.start()
    except (KeysError, CannotListenError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    signal.signal(signal.SIGTERM, lambda *_: default_reactor.callFromThread(node.leave))
    signal.signal(signal.SIGINT, lambda *_: default_reactor.callFromThread(node.leave))
    signal.signal(signal.SIGHUP, lambda *_: default_reactor.callFromThread(node.keys.reload))
    default_reactor.run(installSignalHandlers=False)
