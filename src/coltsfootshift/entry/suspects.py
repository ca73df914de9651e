"""Reports requests that crash endpoints (suspects) to the other entries."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from coltsfootshift.controllers.quarantine import Quarantine, Standing, Suspect
from coltsfootshift.entry.peering import EntryPeering
from coltsfootshift.filters.base import Exchange
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import SuspectAcknowledged, SuspectReported
from coltsfootshift.metrics import Metrics
from coltsfootshift.streams import PeerStream

__all__ = ["SuspectSharing"]

ACK_TIMEOUT_SECONDS = 0.5

logger = get_logger("entry.suspects")


class SuspectSharing:
    """Records crashes and reports each to the connected entries before its caller is answered.

    Waiting for their acknowledgement means that a caller that sends the same request to another
    entry does not crash another endpoint before that entry knows of the crash.
    """

    def __init__(
        self, reactor: Any, peering: EntryPeering, quarantine: Quarantine, metrics: Metrics
    ) -> None:
        self._reactor = reactor
        self._peering = peering
        self._quarantine = quarantine
        self._metrics = metrics
        self._last_number = 0
        self._pending: dict[int, tuple[set[InstanceId], Deferred[None]]] = {}
        peering.receivers[SuspectReported] = self._handle_report
        peering.receivers[SuspectAcknowledged] = self._handle_ack
        peering.on_opened = self._send_all

    def find_standing(self, exchange: Exchange) -> Standing:
        """Return whether a request is clear, suspect or quarantined."""
        now = self._reactor.seconds()
        return self._quarantine.find_standing(exchange.fingerprint(), now)

    def record_served(self, exchange: Exchange) -> None:
        """Clear a suspect request after a complete answer."""
        if self._quarantine.clear(exchange.fingerprint()):
            self._metrics.count("suspects_cleared")

    def record_crash(self, exchange: Exchange, crash: str) -> Deferred[None]:
        """Record a crash and report it to the connected entries.

        Fires once all of them have acknowledged it, or after `ACK_TIMEOUT_SECONDS`.
        """
        now = self._reactor.seconds()
        suspect = self._quarantine.record_crashes(
            exchange.fingerprint(), exchange.service, [crash], now
        )
        self._record_report(suspect, "here")
        done: Deferred[None] = Deferred()
        peers = set(self._peering.peers)
        if not peers:
            done.callback(None)
            return done
        self._last_number += 1
        self._pending[self._last_number] = (peers, done)
        for peer in peers:
            self._peering.send(peer, self._make_report(suspect, self._last_number))
        self._reactor.callLater(ACK_TIMEOUT_SECONDS, self._finish_wait, self._last_number)
        return done

    def describe(self) -> list[dict[str, Any]]:
        """Return one row for each suspect for the status page."""
        return self._quarantine.describe(self._reactor.seconds())

    def _make_report(self, suspect: Suspect, number: int) -> SuspectReported:
        remaining = suspect.until - self._reactor.seconds()
        crashes = sorted(suspect.crashes)
        return SuspectReported(suspect.fingerprint, suspect.service, crashes, remaining, number)

    def _send_all(self, stream: PeerStream) -> None:
        for suspect in self._quarantine.list_suspects(self._reactor.seconds()):
            stream.send(self._make_report(suspect, 0))

    def _handle_report(self, stream: PeerStream, report: SuspectReported) -> None:
        suspect = self._quarantine.record_crashes(
            report.fingerprint,
            report.service,
            report.crashes,
            self._reactor.seconds(),
            report.remaining,
        )
        if report.answer:
            self._record_report(suspect, stream.peer_id)
            stream.send(SuspectAcknowledged(report.answer))

    def _handle_ack(self, stream: PeerStream, message: SuspectAcknowledged) -> None:
        pending = self._pending.get(message.answer)
        if pending is None:
            return
        pending[0].discard(stream.peer_id)
        if not pending[0]:
            self._finish_wait(message.answer)

    def _finish_wait(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending[1].callback(None)

    def _record_report(self, suspect: Suspect, source: str) -> None:
        self._metrics.count("suspects_noted")
        if suspect.standing is not Standing.QUARANTINED:
            return
        self._metrics.count("requests_quarantined")
        logger.error(
            "request quarantined",
            extra={
                "fingerprint": suspect.fingerprint.hex(),
                "service": suspect.service,
                "crashes": sorted(suspect.crashes),
                "source": source,
            },
        )
