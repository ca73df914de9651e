"""Shares suspect requests among entries before their callers are answered."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from coltsfootshift.controllers.quarantine import Quarantine, Standing, Suspect
from coltsfootshift.entry.exchange import EntryExchange
from coltsfootshift.filters.base import Exchange
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import SuspectNoted, SuspectTaken
from coltsfootshift.metrics import Metrics
from coltsfootshift.streams import PeerStream

__all__ = ["SuspectSharing"]

ANSWER_SECONDS = 0.5

logger = get_logger("entry.suspects")


class SuspectSharing:
    """Notes crashes, tells the other entries and waits until those that are reached act on it."""

    def __init__(
        self, reactor: Any, exchange: EntryExchange, quarantine: Quarantine, metrics: Metrics
    ) -> None:
        self._reactor = reactor
        self._exchange = exchange
        self._quarantine = quarantine
        self._metrics = metrics
        self._number = 0
        self._waiting: dict[int, tuple[set[InstanceId], Deferred[None]]] = {}
        exchange.receivers[SuspectNoted] = self._take_note
        exchange.receivers[SuspectTaken] = self._take_answer
        exchange.on_opened = self._tell_all

    def find_standing(self, exchange: Exchange) -> Standing:
        """Return how a request stands now."""
        now = self._reactor.seconds()
        return self._quarantine.find_standing(exchange.fingerprint(), now)

    def note_served(self, exchange: Exchange) -> None:
        """Clear a suspect that gave a whole answer."""
        if self._quarantine.clear(exchange.fingerprint()):
            self._metrics.count("suspects_cleared")

    def note_crash(self, exchange: Exchange, crash: str) -> Deferred[None]:
        """Note a crash; fires once the entries that are reached act on it, or after a while."""
        now = self._reactor.seconds()
        suspect = self._quarantine.record_crashes(
            exchange.fingerprint(), exchange.service, [crash], now
        )
        self._report(suspect, "here")
        done: Deferred[None] = Deferred()
        peers = set(self._exchange.peers)
        if not peers:
            done.callback(None)
            return done
        self._number += 1
        self._waiting[self._number] = (peers, done)
        for peer in peers:
            self._exchange.send(peer, self._make_note(suspect, self._number))
        self._reactor.callLater(ANSWER_SECONDS, self._end_wait, self._number)
        return done

    def describe(self) -> list[dict[str, Any]]:
        """Return the rows of the status page."""
        return self._quarantine.describe(self._reactor.seconds())

    def _make_note(self, suspect: Suspect, answer: int) -> SuspectNoted:
        remaining = suspect.until - self._reactor.seconds()
        crashes = sorted(suspect.crashes)
        return SuspectNoted(suspect.fingerprint, suspect.service, crashes, remaining, answer)

    def _tell_all(self, stream: PeerStream) -> None:
        for suspect in self._quarantine.list_suspects(self._reactor.seconds()):
            stream.send(self._make_note(suspect, 0))

    def _take_note(self, stream: PeerStream, note: SuspectNoted) -> None:
        suspect = self._quarantine.record_crashes(
            note.fingerprint, note.service, note.crashes, self._reactor.seconds(), note.remaining
        )
        if note.answer:
            self._report(suspect, stream.peer_id)
            stream.send(SuspectTaken(note.answer))

    def _take_answer(self, stream: PeerStream, message: SuspectTaken) -> None:
        held = self._waiting.get(message.answer)
        if held is None:
            return
        held[0].discard(stream.peer_id)
        if not held[0]:
            self._end_wait(message.answer)

    def _end_wait(self, number: int) -> None:
        held = self._waiting.pop(number, None)
        if held is not None:
            held[1].callback(None)

    def _report(self, suspect: Suspect, source: str) -> None:
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
