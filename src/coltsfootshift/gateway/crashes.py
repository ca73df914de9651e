"""Evidence that endpoints end under requests with something in common, and the quarantine of it."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.gateway.calls import RequestHead
from coltsfootshift.ids import ServiceName, SuspectId

__all__ = ["Crash", "CrashEvidence", "Suspect", "Suspicion", "list_suspects"]

CRASHES_TO_SUSPECT = 2  # the request in flight is not tried at one more engine
CRASHES_TO_QUARANTINE = 3
CRASHES_OF_SERVED_TO_QUARANTINE = 5  # of what has been served before
# Endpoints that are lost at one moment share a cause, such as the network or a failure domain.
SEPARATE_MOMENTS_SECONDS = 0.5
SURVIVAL_MEMORY_SECONDS = 5.0  # what was served this shortly before a crash did not cause it
# Highest number of suspects that crashes of another cause may be expected to quarantine.
MAX_FALSE_SUSPECTS = 0.03
UNKNOWN_SURVIVAL_SHARE = 0.5  # where nothing is known of requests without the suspect
OUTCOME_SECONDS = 15.0  # crashes come in series of some seconds
RECENT_OUTCOMES = 512
# What most requests have in common cannot be told from another cause, and refusing it would refuse
# most callers.
MAX_REQUEST_SHARE = 0.5
RECENT_REQUESTS = 256  # of a service, from which the share is taken
SUSPECT_SECONDS = 120.0
QUARANTINE_SECONDS = 600.0
MAX_SUSPECTS = 256
MAX_SURVIVALS = 8192
MAX_SERVICES = 128  # with recent requests
MAX_CRASHES = 16  # the latest of one suspect; more add nothing
MAX_ENDPOINT_CRASHES = 256
DIGEST_BYTES = 12


@dataclass(frozen=True, slots=True)
class Suspect:
    """Something that requests have in common: a part of their prompt, or all of the request.

    `request` is the digest of the request that has it. `repeats` is set if `suspect` stands for
    the whole request, so that only its own repetitions have it.
    """

    suspect: SuspectId
    request: bytes
    repeats: bool = False

    @property
    def service(self) -> ServiceName:
        """The service of the request."""
        return get_service(self.suspect)


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of one incarnation of an endpoint, in seconds of this process's clock.

    `request` is the digest of the request that had just begun there.
    """

    endpoint: str
    at: float
    request: bytes


@dataclass(frozen=True, slots=True)
class _Outcome:
    """Whether an endpoint has survived a request that it had begun."""

    suspects: tuple[Suspect, ...]
    survived: bool
    at: float


@dataclass(slots=True)
class Suspicion:
    """The crashes at which requests with a suspect had just begun.

    `survived_at` is when the last such request began that its engine survived, as far as known.
    """

    suspect: SuspectId
    repeats: bool
    crashes: dict[str, Crash] = field(default_factory=dict)
    survived_at: float = -inf
    quarantined: bool = False

    @property
    def service(self) -> ServiceName:
        """The service whose endpoints ended."""
        return get_service(self.suspect)

    @property
    def last_at(self) -> float:
        """The time of the latest crash, or of the survival if there is none."""
        return max((crash.at for crash in self.crashes.values()), default=self.survived_at)

    @property
    def expires_at(self) -> float:
        """When the suspicion ends unless there is another crash."""
        return self.last_at + (QUARANTINE_SECONDS if self.quarantined else SUSPECT_SECONDS)

    def add(self, crash: Crash) -> bool:
        """Add a crash unless it is known or older than `MAX_CRASHES` known ones."""
        if crash.endpoint in self.crashes:
            return False
        if len(self.crashes) >= MAX_CRASHES:
            oldest = min(self.crashes.values(), key=lambda known: known.at)
            if crash.at <= oldest.at:
                return False
            del self.crashes[oldest.endpoint]
        self.crashes[crash.endpoint] = crash
        return True

    def is_conclusive(self, served_before: bool) -> bool:
        """Return whether only the suspect explains the crashes.

        The crashes must be separate in time. Those of a part of a prompt must concern different
        requests, since one request may be retried through several crashes of another cause.
        """
        needed = CRASHES_OF_SERVED_TO_QUARANTINE if served_before else CRASHES_TO_QUARANTINE
        if len(self.crashes) < needed:
            return False
        times = [crash.at for crash in self.crashes.values()]
        if max(times) - min(times) < SEPARATE_MOMENTS_SECONDS:
            return False
        return self.repeats or len({crash.request for crash in self.crashes.values()}) > 1


class CrashEvidence:
    """Decides which requests may not be sent to endpoints because endpoints end under them.

    When an endpoint ends, everything that the requests that had just begun there have in common
    with others is suspected. A suspect that is served elsewhere is cleared, together with its
    crashes, which had another cause; so parts that most prompts share are never suspected for
    long. A suspect is quarantined if no endpoint has survived it and chance does not explain that:
    other requests survive, and it is part of every crash. While endpoints end for another cause,
    more crashes are needed. They then no longer count against what else the requests held. All
    processes exchange what they see and decide, so that each knows what any of them has seen.

    A process decides only from `judges_from` on, when it has seen requests for a while; an agent,
    which sees none, never does.

    >>> evidence = CrashEvidence()
    >>> part = SuspectId("llm/part/91bd3f06")
    >>> for number in range(6):
    ...     suspect = Suspect(part, b"request-%d" % number)
    ...     endpoint, at = f"engine-{number}", 10.0 + number
    ...     changed = evidence.record_crash(endpoint, ServiceName("llm"), [(suspect,)], at)
    >>> evidence.find_standing([suspect], now=13.0)
    <Standing.QUARANTINED: 'quarantined'>
    >>> evidence.record_survival((suspect,), begun_at=13.0, now=14.0)
    ['llm/part/91bd3f06']
    >>> evidence.find_standing([suspect], now=13.0)
    <Standing.CLEAR: 'clear'>
    """

    def __init__(self, judges_from: float = -inf) -> None:
        self._judges_from = judges_from
        self._suspicions: OrderedDict[SuspectId, Suspicion] = OrderedDict()
        self._survivals: OrderedDict[SuspectId, float] = OrderedDict()
        self._recent: OrderedDict[ServiceName, deque[tuple[Suspect, ...]]] = OrderedDict()
        self._outcomes: deque[_Outcome] = deque(maxlen=RECENT_OUTCOMES)
        self._ends: OrderedDict[str, tuple[ServiceName, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspicions)

    def __repr__(self) -> str:
        return f"CrashEvidence(suspicions={len(self)}, survivals={len(self._survivals)})"

    def find_standing(self, suspects: Iterable[Suspect], now: float) -> Standing:
        """Return the worst standing of what a request has in common with others."""
        worst = Standing.CLEAR
        for item in suspects:
            suspicion = self._suspicions.get(item.suspect)
            if suspicion is None or suspicion.expires_at <= now:
                continue
            if suspicion.quarantined:
                return Standing.QUARANTINED
            if len(suspicion.crashes) >= CRASHES_TO_SUSPECT:
                worst = Standing.SUSPECT
        return worst

    def get_seconds_left(self, suspects: Iterable[Suspect], now: float) -> float:
        """Return for how many seconds a quarantine of one of the suspects lasts, 0 if none does."""
        left = 0.0
        for item in suspects:
            suspicion = self._suspicions.get(item.suspect)
            if suspicion is not None and suspicion.quarantined:
                left = max(left, suspicion.expires_at - now)
        return left

    def get(self, suspect: SuspectId) -> Suspicion | None:
        """Return the suspicion of a suspect, or None."""
        return self._suspicions.get(suspect)

    def list_all(self, now: float) -> list[Suspicion]:
        """Return all suspicions that have not expired, those changed longest ago first."""
        return [item for item in self._suspicions.values() if item.expires_at > now]

    def record_request(self, service: ServiceName, suspects: tuple[Suspect, ...]) -> None:
        """Record a request of a caller, whether it is served or not."""
        self._recent.setdefault(service, deque(maxlen=RECENT_REQUESTS)).append(suspects)
        self._recent.move_to_end(service)
        while len(self._recent) > MAX_SERVICES:
            self._recent.popitem(last=False)

    def record_crash(
        self,
        endpoint: str,
        service: ServiceName,
        begun: Iterable[tuple[Suspect, ...]],
        now: float,
    ) -> list[SuspectId]:
        """Record the end of an endpoint of a service and which requests had just begun there.

        `begun` holds what each of them has in common with others. Returns which suspicions change.
        """
        found: set[Suspect] = set()
        self._record_end(endpoint, service, now)
        for suspects in begun:
            found.update(suspects)
            self._outcomes.append(_Outcome(suspects, False, now))
        changed = []
        # What was never served is judged first, so that it explains the crash for the others.
        for item in sorted(found, key=lambda item: self._survivals.get(item.suspect, -inf)):
            crash = Crash(endpoint, now, item.request)
            if self.merge(Suspicion(item.suspect, item.repeats, {endpoint: crash}), now):
                changed.append(item.suspect)
        return changed

    def record_survival(
        self, suspects: tuple[Suspect, ...], begun_at: float, now: float
    ) -> list[SuspectId]:
        """Record that an endpoint has survived a request; return which suspects it clears."""
        self._outcomes.append(_Outcome(suspects, True, now))
        cleared = []
        for item in suspects:
            if self._remember_survival(item.suspect, begun_at):
                cleared.append(item.suspect)
        return cleared

    def get_survival(self, suspect: SuspectId, now: float) -> float | None:
        """Return when the last request with a suspect began that its engine survived, if known."""
        at = self._survivals.get(suspect)
        return None if at is None or now - at > SURVIVAL_MEMORY_SECONDS else at

    def merge(self, report: Suspicion, now: float) -> bool:
        """Merge what this or another process has seen of a suspect; return whether it was news."""
        changed = False
        if report.survived_at > -inf:
            changed = self._remember_survival(report.suspect, report.survived_at)
        suspicion = self._suspicions.get(report.suspect)
        if suspicion is None or suspicion.expires_at <= now:
            suspicion = Suspicion(report.suspect, report.repeats)
        for crash in report.crashes.values():
            self._record_end(crash.endpoint, suspicion.service, crash.at)
        added = report.quarantined and bool(report.crashes) and not suspicion.quarantined
        for crash in report.crashes.values():
            if crash.at + QUARANTINE_SECONDS > now and not self._is_explained(crash, suspicion):
                added |= suspicion.add(crash)
        if not added or not suspicion.crashes:
            return changed
        suspicion.quarantined = suspicion.quarantined or report.quarantined
        self._suspicions[report.suspect] = suspicion
        self._suspicions.move_to_end(report.suspect)
        self._judge(suspicion, now)
        self._evict(now)
        return True

    def _remember_survival(self, suspect: SuspectId, begun_at: float) -> bool:
        """Remember a survival; return whether it clears a suspicion."""
        self._survivals[suspect] = max(begun_at, self._survivals.get(suspect, begun_at))
        self._survivals.move_to_end(suspect)
        while len(self._survivals) > MAX_SURVIVALS:
            self._survivals.popitem(last=False)
        suspicion = self._suspicions.get(suspect)
        if suspicion is None:
            return False
        for name, crash in list(suspicion.crashes.items()):
            if begun_at > crash.at - SURVIVAL_MEMORY_SECONDS:
                del suspicion.crashes[name]
        if suspicion.crashes:
            return False
        del self._suspicions[suspect]
        return True

    def _is_explained(self, crash: Crash, suspicion: Suspicion) -> bool:
        """Return whether a crash had another cause than the suspect.

        The suspect was served near it, or the crash is held against one that is in quarantine.
        """
        survived_at = self._survivals.get(suspicion.suspect, -inf)
        if survived_at > crash.at - SURVIVAL_MEMORY_SECONDS:
            return True
        return self._is_attributed(crash.endpoint, suspicion)

    def _judge(self, suspicion: Suspicion, now: float) -> None:
        """Quarantine a suspect if the evidence suffices; its crashes count for no other then."""
        if not suspicion.quarantined and not self._is_proved(suspicion, now):
            return
        suspicion.quarantined = True
        for other in list(self._suspicions.values()):
            if other.quarantined:
                continue
            for name in suspicion.crashes:
                other.crashes.pop(name, None)
            if not other.crashes:
                del self._suspicions[other.suspect]

    def _is_proved(self, suspicion: Suspicion, now: float) -> bool:
        """Return whether the crashes of a suspect are not explained by chance.

        By chance, as many requests with it would have been lost as of the others, some of them in
        the same crash; and any of the candidates could have been the one.
        """
        if now < self._judges_from:
            return False
        if not suspicion.is_conclusive(suspicion.suspect in self._survivals):
            return False
        if self._is_in_most_requests(suspicion):
            return False
        candidates = 0
        for other in self._suspicions.values():
            candidates += not other.quarantined and other.service == suspicion.service
        chance = (1.0 - self._measure_survival(suspicion, now)) ** len(suspicion.crashes)
        chance *= self._compute_spread_chance(suspicion)
        return chance * candidates <= MAX_FALSE_SUSPECTS

    def _compute_spread_chance(self, suspicion: Suspicion) -> float:
        """Return how likely it is that the crashes of a suspect are all different by chance.

        A suspect that causes the crashes is part of every one of them, so that there are no others
        of its service meanwhile. Losses by chance would concern some of them twice.
        """
        times = [crash.at for crash in suspicion.crashes.values()]
        total = len(times)
        for endpoint, (service, at) in self._ends.items():
            if service != suspicion.service or endpoint in suspicion.crashes:
                continue
            if min(times) <= at <= max(times) and not self._is_attributed(endpoint, suspicion):
                total += 1
        chance = 1.0
        for number in range(len(times)):
            chance *= (total - number) / total
        return chance

    def _record_end(self, endpoint: str, service: ServiceName, at: float) -> None:
        if endpoint in self._ends:
            return
        self._ends[endpoint] = (service, at)
        while len(self._ends) > MAX_ENDPOINT_CRASHES:
            self._ends.popitem(last=False)

    def _measure_survival(self, suspicion: Suspicion, now: float) -> float:
        """Return the share of recent requests without the suspect that endpoints survived."""
        counts = {True: 0, False: 0}
        for outcome in self._outcomes:
            if now - outcome.at > OUTCOME_SECONDS or not outcome.suspects:
                continue
            if outcome.suspects[0].service != suspicion.service:
                continue
            if any(item.suspect == suspicion.suspect for item in outcome.suspects):
                continue
            counts[outcome.survived] += 1
        total = counts[True] + counts[False]
        return counts[True] / total if total else UNKNOWN_SURVIVAL_SHARE

    def _is_in_most_requests(self, suspicion: Suspicion) -> bool:
        """Return whether most recent requests of the service have the suspect."""
        recent = self._recent.get(suspicion.service, ())
        count = 0
        for suspects in recent:
            count += any(item.suspect == suspicion.suspect for item in suspects)
        return count > MAX_REQUEST_SHARE * len(recent)

    def _is_attributed(self, endpoint: str, suspicion: Suspicion) -> bool:
        """Return whether a crash is held against another suspect that is in quarantine."""
        for other in self._suspicions.values():
            if other.quarantined and other is not suspicion and endpoint in other.crashes:
                return True
        return False

    def _evict(self, now: float) -> None:
        """Remove what has expired, then suspicions that are not quarantined, oldest first."""
        for suspect, suspicion in list(self._suspicions.items()):
            if suspicion.expires_at <= now:
                del self._suspicions[suspect]
        for wanted in (False, True):
            for suspect, suspicion in list(self._suspicions.items()):
                if len(self._suspicions) <= MAX_SUSPECTS:
                    return
                if suspicion.quarantined is wanted:
                    del self._suspicions[suspect]


def get_service(suspect: SuspectId) -> ServiceName:
    """Return the service that a suspect belongs to; its name contains no slash."""
    return ServiceName(suspect.partition("/")[0])


def list_suspects(service: ServiceName, head: RequestHead, body: bytes) -> tuple[Suspect, ...]:
    """Return what a request has in common with others: itself, if repeated, and parts of it.

    Endpoints of other services are not affected, so that each service is judged for itself.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    fields = (head.method, head.target, head.host.encode("latin-1"), head.key.encode("latin-1"))
    # Lengths keep two requests with the same concatenation apart.
    for field_bytes in (*fields, ",".join(head.prompt_parts).encode("latin-1"), body):
        digest.update(b"%d:" % len(field_bytes))
        digest.update(field_bytes)
    request = digest.digest()
    suspects = [Suspect(SuspectId(f"{service}/request/{request.hex()}"), request, repeats=True)]
    for part in head.shared_parts:
        suspects.append(Suspect(SuspectId(f"{service}/part/{part}"), request))
    return tuple(suspects)
