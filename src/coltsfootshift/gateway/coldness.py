"""Which endpoints may be cold, and until when."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from math import inf

from coltsfootshift.gateway.model import EndpointRecord, ServiceSpec

__all__ = ["ColdCause", "ColdEndpoint", "Coldness"]

# Until an endpoint that has just started or come back is heard of, and its end of coldness is
# certain here: it is told by clocks and messages of different processes.
MARGIN_SECONDS = 0.5
# An endpoint's word cuts short only what was known for longer than a response is on its way.
MIN_AGE_SECONDS = 0.5


class ColdCause(Enum):
    """Why an endpoint is believed to be cold."""

    NEW = "not known to be warm"
    RECORD = "its record"
    RESPONSE = "its response"
    SILENCE = "silence"
    PEER = "told by a peer"
    EVACUATION = "evacuation"
    ABSENCE = "this entry was out of touch"

    @property
    def is_evidence(self) -> bool:
        """Whether something has been heard of the endpoint, and not only nothing."""
        return self not in (ColdCause.NEW, ColdCause.ABSENCE)


@dataclass(frozen=True, slots=True)
class ColdEndpoint:
    """An incarnation of an endpoint that is cold `until` then, in seconds of this clock.

    `at` is when the latest evidence came. `proven_until` is the part of the time for which there is
    evidence: of the rest, nothing is known.
    """

    incarnation: str
    cause: ColdCause
    at: float
    until: float
    proven_until: float = -inf


class Coldness:
    """What this entry believes of the coldness of the endpoints of services with a cold rate.

    Load pattern: engines start, or come back, into a load that would crash them. What is not known
    to be warm is cold. Evidence of coldness only extends it; only the endpoint's own word, which is
    newer than all that was known, cuts it short.

    >>> coldness = Coldness()
    >>> coldness.record("e-1/0", ColdCause.NEW, seconds=3.0, now=10.0)
    True
    >>> coldness.is_cold("e-1/0", 13.4), coldness.is_cold("e-1/0", 13.6)
    (True, False)
    >>> coldness.record_word("e-1/0", 0.0, now=11.0)
    True
    >>> [item.incarnation for item in coldness.remove_warm(11.6)]
    ['e-1/0']
    """

    def __init__(self) -> None:
        self._cold: dict[str, ColdEndpoint] = {}
        self._record_words: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._cold)

    def __repr__(self) -> str:
        return f"Coldness({list(self._cold.values())!r})"

    def get(self, incarnation: str) -> ColdEndpoint | None:
        """Return what is known of an incarnation that is cold, or was until a moment ago."""
        return self._cold.get(incarnation)

    def is_cold(self, incarnation: str, now: float) -> bool:
        """Return whether an incarnation of an endpoint is believed to be cold."""
        known = self._cold.get(incarnation)
        return known is not None and now < known.until

    def record(self, incarnation: str, cause: ColdCause, seconds: float, now: float) -> bool:
        """Record that an endpoint may be cold for `seconds` from now; return whether it is news.

        The margin is added here.
        """
        was_cold = self.is_cold(incarnation, now)
        until = now + seconds + MARGIN_SECONDS
        proven_until = until if cause.is_evidence else -inf
        known = self._cold.get(incarnation)
        if known is not None and was_cold:
            cause, until = known.cause, max(known.until, until)
            proven_until = max(known.proven_until, proven_until)
        self._cold[incarnation] = ColdEndpoint(incarnation, cause, now, until, proven_until)
        return not was_cold

    def record_warm(self, incarnation: str, now: float) -> bool:
        """Record that a peer knows an endpoint to be warm; return whether it was cold here.

        What has been heard of the endpoint here may be newer, and stands.
        """
        known = self._cold.get(incarnation)
        if known is None or known.proven_until >= known.until:
            return False
        until = max(now, known.proven_until)
        self._cold[incarnation] = replace(known, until=until)
        return now < known.until and until <= now

    def record_endpoint(
        self, record: EndpointRecord, spec: ServiceSpec, is_new: bool, now: float
    ) -> bool:
        """Take in a record of the store; return whether the endpoint was not cold before.

        `is_new` is set if the incarnation was not in the table; one whose service has just been
        given a cold rate is new as well. A record's word counts once: it is not newer each time
        that the table is read.
        """
        name = record.incarnation
        is_new = is_new or name not in self._record_words
        changed = self._record_words.get(name) != record.cold_for
        self._record_words[name] = record.cold_for
        if is_new:
            seconds = max(spec.cold_seconds, record.cold_for)
            return self.record(name, ColdCause.NEW, seconds, now)
        if changed and record.cold_for > 0.0:
            return self.record(name, ColdCause.RECORD, record.cold_for, now)
        return False

    def watch(self, record: EndpointRecord) -> None:
        """Take in the record of an endpoint that is known to be warm."""
        self._record_words[record.incarnation] = 0.0

    def record_word(self, incarnation: str, cold_for: float, now: float) -> bool:
        """Take in an endpoint's word of how long it stays cold; return whether a belief changed."""
        known = self._cold.get(incarnation)
        if known is None or now - known.at < MIN_AGE_SECONDS:
            if cold_for <= 0.0:
                return False
            return self.record(incarnation, ColdCause.RESPONSE, cold_for, now)
        until = now + cold_for + (MARGIN_SECONDS if cold_for > 0.0 else 0.0)
        self._cold[incarnation] = ColdEndpoint(incarnation, ColdCause.RESPONSE, now, until, until)
        return (now < until) != (now < known.until)

    def remove_warm(self, now: float) -> list[ColdEndpoint]:
        """Drop and return those that are warm by now."""
        warm = [item for item in self._cold.values() if item.until <= now]
        for item in warm:
            del self._cold[item.incarnation]
        return warm

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an endpoint whose service has no cold rate."""
        self._cold.pop(incarnation, None)
        self._record_words.pop(incarnation, None)

    def keep_only(self, incarnations: set[str]) -> None:
        """Drop what is known of incarnations that no record names any more."""
        for known in (self._cold, self._record_words):
            for name in [name for name in known if name not in incarnations]:
                del known[name]
