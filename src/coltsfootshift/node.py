"""Common parts of both daemons: settings, streams, mesh, operators' port and shutdown."""

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
from coltsfootshift.loop import end_process
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
    """Base class of the entry and agent processes.

    Subclasses implement `start_role`, `stop_new_work`, `count_unfinished` and `describe_role`.
    """

    role: Role

    def __init__(self, settings: ProcessSettings, reactor: Any = default_reactor) -> None:
        self.settings = settings
        self.reactor = reactor
        self.incarnation = make_incarnation()
        self.metrics = Metrics()
        self.rng = Random(self.incarnation)
        self.leaving = False
        self.keys = KeyManager(make_key_source(settings.keys), self.metrics, self._apply_keys)
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
        self.started_at_unix = time.time()
        self.decisions = DecisionLog(self.started_at_unix - self._started_at)
        self._drain_deadline = 0.0
        self._min_drain_until = 0.0
        own = InstanceId(settings.instance)
        self._leaving_watch = LeavingWatch(reactor, self.mesh, own, self.leave)

    def start(self) -> None:
        """Open the ports and start the tasks."""
        settings = self.settings
        self.listener.register(Purpose.CONTROL, self.mesh)
        self.start_role()
        self.reactor.listenTCP(settings.peers.port, self.listener, interface=settings.peers.host)
        server = OperatorHttpServer(
            self.describe,
            self.metrics,
            self.mesh.audit,
            self.decisions,
            self.mesh.view,
            self.started_at_unix,
        )
        server.listen(self.reactor, settings.operators.host, settings.operators.port)
        self.keys.start(self.reactor)
        self.mesh.start()
        logger.info("started", extra={"role": self.role.value, "incarnation": self.incarnation})

    def leave(self) -> None:
        """Refuse new work, drain the work in progress, then stop the process.

        The process stops after `drain_seconds` even if work is still unfinished; see
        `end_unfinished`.
        """
        if self.leaving:
            return
        self.leaving = True
        now = self.reactor.seconds()
        self._drain_deadline = now + self.settings.drain_seconds
        self._min_drain_until = min(now + self.min_drain_seconds, self._drain_deadline)
        logger.info("leaving", extra={"unfinished": self.count_unfinished()})
        self.mesh.membership.record_leaving(InstanceId(self.settings.instance), self.incarnation)
        self.mesh.announce_leaving()
        self.stop_new_work()
        self._check_drained()

    def make_hello(self, purpose: Purpose) -> Hello:
        """Return the `Hello` with which this process opens a stream."""
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
        """Return the state shown on the status page."""
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
        """The service of this process's endpoint, or empty if it has no endpoint."""
        return ""

    @property
    def min_drain_seconds(self) -> float:
        """The minimum time that this process keeps running after `leave`, in seconds."""
        return 0.0

    @abstractmethod
    def start_role(self) -> None:
        """Start the tasks of this role."""

    @abstractmethod
    def stop_new_work(self) -> None:
        """Refuse new work from now on."""

    @abstractmethod
    def count_unfinished(self) -> int:
        """Return the number of requests or attempts in progress."""

    def end_unfinished(self) -> None:
        """End the work in progress because the time to drain is over.

        By default it is cut, and the entry of each request learns it from the lost stream.
        """
        return

    @abstractmethod
    def describe_role(self) -> dict[str, Any]:
        """Return the state of this role for the status page."""

    def _apply_keys(self) -> None:
        self.context.change_keys(self.keys.ring)

    def _check_drained(self) -> None:
        unfinished = self.count_unfinished()
        now = self.reactor.seconds()
        overrun = now >= self._drain_deadline
        if (unfinished or now < self._min_drain_until) and not overrun:
            self.reactor.callLater(DRAIN_CHECK_SECONDS, self._check_drained)
            return
        if unfinished:
            logger.error("drain time is over", extra={"unfinished": unfinished})
            self.end_unfinished()
        self.reactor.callLater(FLUSH_SECONDS, self.reactor.stop)


_Settings = TypeVar("_Settings", bound=ProcessSettings)


def run_daemon(path: Path, settings_type: type[_Settings], node_type: type[Node]) -> None:
    """Run a daemon until it has shut down; exits with status 2 if it cannot start.

    It cannot start if the settings or keys are invalid or a port cannot be opened. SIGTERM and
    SIGINT start a graceful shutdown, and SIGHUP reloads the keys.
    """
    try:
        settings = load_settings(path, settings_type)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    set_up_logs(settings.log_level, settings.instance)
    try:
        node = node_type(settings)
        node.start()
    except (KeysError, CannotListenError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    signal.signal(signal.SIGTERM, lambda *_: default_reactor.callFromThread(node.leave))
    signal.signal(signal.SIGINT, lambda *_: default_reactor.callFromThread(node.leave))
    signal.signal(signal.SIGHUP, lambda *_: default_reactor.callFromThread(node.keys.reload))
    default_reactor.run(installSignalHandlers=False)
    end_process()
