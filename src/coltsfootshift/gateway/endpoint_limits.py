"""Limits of endpoints, named in their responses or while they are cold, and this entry's share."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from math import ceil

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import InstanceId

__all__ = [
    "ColdPlan",
    "EndpointLimits",
    "NamedLimit",
    "RateShare",
    "compute_cold_share",
    "compute_share",
    "compute_unsettled_share",
    "draw_phase",
    "plan_cold_shares",
]

# A limited endpoint is asked at least this often, in requests a second, in case it names its limit
# no longer.
MIN_RATE = 0.25
EXPIRY_SECONDS = 12.0  # three requests at the lowest rate without a response that names the limit
CONFIRM_SECONDS = 3.0  # peers are told of an unchanged limit this often, so that it stays valid
BURST_REQUESTS = 1.5
MAX_LIMITS = 8192
# A request leaves up to this much later than it is counted: a dial, or a busy process.
DELIVERY_SECONDS = 0.2
# Part of the bound of a cold endpoint that is left to entries of which the others don't know yet.
RESERVED_SHARE = 0.2
# With more senders each sends more rarely. They may cost this part of the rate, not more.
MIN_PLANNED_RATIO = 0.95
# Spacings are that much longer than what just breaks the bound, against rounding.
SPACING_MARGIN = 1.001
# Entries that an entry assumes as long as it can't know them: the largest fleet in view.
ASSUMED_ENTRIES = 64
# Part of the bound that these use on average. Their phases are random: three times the average
# in the same second does not occur in the life of a fleet.
UNSETTLED_SHARE = 1 / 3
COLD_BURST_REQUESTS = 1.0
PHASE_BYTES = 6


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What an incarnation of an endpoint has named; None if it named no limit any more.

    `rate` is in requests a second of all entries together, `at` in seconds of this process's clock.
    """

    endpoint: str
    rate: float | None
    at: float


class EndpointLimits:
    """The latest that this process or a peer has heard of each endpoint's limit.

    A limit that no response has named for `EXPIRY_SECONDS` is dropped.

    >>> limits = EndpointLimits()
    >>> limits.record(NamedLimit("e-1/0", 2.5, at=10.0)), limits.get_rate("e-1/0")
    (True, 2.5)
    >>> limits.record(NamedLimit("e-1/0", 9.0, at=9.0)), limits.get_rate("e-1/0")
    (False, 2.5)
    >>> limits.record(NamedLimit("e-1/0", None, at=11.0)), limits.get_rate("e-1/0")
    (True, None)
    """

    def __init__(self) -> None:
        self._limits: OrderedDict[str, NamedLimit] = OrderedDict()
        self._told_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __repr__(self) -> str:
        return f"EndpointLimits({list(self._limits.values())!r})"

    def get_rate(self, endpoint: str) -> float | None:
        """Return the limit of an incarnation of an endpoint, None if it names none."""
        limit = self._limits.get(endpoint)
        return limit.rate if limit is not None else None

    def list_all(self) -> list[NamedLimit]:
        """Return what is known, the latest heard last."""
        return list(self._limits.values())

    def record(self, limit: NamedLimit) -> bool:
        """Record what an endpoint has named; return whether its limit is another one now."""
        known = self._limits.get(limit.endpoint)
        if known is None and limit.rate is None:
            return False
        if known is not None and limit.at <= known.at:
            return False
        self._limits[limit.endpoint] = limit
        self._limits.move_to_end(limit.endpoint)
        while len(self._limits) > MAX_LIMITS:
            oldest, _ = self._limits.popitem(last=False)
            del self._told_at[oldest]
        changed = known is None or known.rate != limit.rate
        if changed:
            self._told_at[limit.endpoint] = limit.at
        return changed

    def claim_confirmation(self, endpoint: str, now: float) -> bool:
        """Return whether peers are to be told again of an unchanged limit; count it as told."""
        if self.get_rate(endpoint) is None or now - self._told_at[endpoint] < CONFIRM_SECONDS:
            return False
        self._told_at[endpoint] = now
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Drop what no response has confirmed for too long; return the endpoints."""
        expired = []
        for endpoint, limit in list(self._limits.items()):
            if now - limit.at <= EXPIRY_SECONDS:
                break
            del self._limits[endpoint]
            del self._told_at[endpoint]
            expired.append(endpoint)
        return expired


class RateShare:
    """Spaces this entry's requests to an endpoint at `rate` requests a second.

    The first request is allowed after the interval, since others may have been sent just before
    the limit became known. It is allowed sooner by the part of the interval that `tokens` states.
    After a pause, up to `burst` requests may follow each other at once.

    >>> share = RateShare(2.0, now=0.0)
    >>> share.has_room(0.0), share.has_room(0.5)
    (False, True)
    >>> share.spend(0.5)
    >>> share.has_room(0.6)
    False
    """

    def __init__(
        self, rate: float, now: float, burst: float = BURST_REQUESTS, tokens: float = 0.0
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = tokens
        self._filled_at = now

    def __repr__(self) -> str:
        return f"RateShare({self._rate!r}, now={self._filled_at!r})"

    def has_room(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._fill(now)
        return self._tokens >= 1.0

    def spend(self, now: float) -> None:
        """Count a request that is sent now."""
        self._fill(now)
        self._tokens -= 1.0

    def set_rate(self, rate: float, now: float, burst: float = BURST_REQUESTS) -> None:
        """Change the rate and the burst from now on."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(burst, self._tokens)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._filled_at = max(self._filled_at, now)


def compute_share(rate: float, endpoint: str, own: InstanceId, entries: Sequence[str]) -> float:
    """Return how many requests a second this entry may send to an endpoint with a limit.

    Equal parts of a low limit would let each of many entries send one request at once. So at most
    one entry for each request a second sends to the endpoint; all entries derive the same ones.

    >>> entries = ["a", "b", "c", "d"]
    >>> [compute_share(2.0, "e-1/0", InstanceId(name), entries) for name in entries].count(1.0)
    2
    """
    rate = max(MIN_RATE, rate)
    senders = rank_by_hash(endpoint, list(entries))[: max(1, ceil(rate))]
    if own not in senders:
        return 0.0
    return rate / len(senders)


@dataclass(frozen=True, slots=True)
class ColdPlan:
    """How many entries send to a cold endpoint, each at most once in `interval` seconds."""

    senders: int
    interval: float


@lru_cache(maxsize=1024)
def plan_cold_shares(rate: float, bound: float, entry_count: int) -> ColdPlan:
    """Return how `entry_count` entries share what a cold endpoint takes.

    It takes `rate` requests a second on average and `bound` in any one second. Load pattern: each
    entry has work for the endpoint at all times and none knows when the others send. In one second
    a sender sends up to one request more than fits by the interval, so that many senders reach the
    bound at a low rate. The largest number is chosen that hardly lowers it, since an entry that is
    no sender has to do without the endpoint.

    >>> plan = plan_cold_shares(17.0, 30.5, 60)
    >>> plan.senders, round(plan.interval, 2)
    (24, 1.41)
    """
    usable = (1.0 - RESERVED_SHARE) * bound
    plans = []
    for senders in range(1, max(1, min(entry_count, int(usable))) + 1):
        most = max(1, int(usable / senders))
        span = SPACING_MARGIN * (1.0 + DELIVERY_SECONDS) / most
        plans.append(ColdPlan(senders, max(senders / rate, span)))
    best = max(plan.senders / plan.interval for plan in plans)
    good = [p for p in plans if p.senders / p.interval >= MIN_PLANNED_RATIO * best]
    return good[-1]


def compute_cold_share(
    rate: float, bound: float, endpoint: str, own: str, entries: Sequence[str]
) -> float:
    """Return how many requests a second this entry may send to a cold endpoint.

    All entries that know the same ones derive the same senders.
    """
    plan = plan_cold_shares(rate, bound, len(entries))
    if own not in rank_by_hash(endpoint, list(entries))[: plan.senders]:
        return 0.0
    return 1.0 / plan.interval


def compute_unsettled_share(rate: float, bound: float) -> float:
    """Return how many requests a second an entry may send that can't know the others.

    >>> round(1 / compute_unsettled_share(17.0, 30.5), 1)
    7.6
    """
    average = min(rate, UNSETTLED_SHARE * bound / (1.0 + DELIVERY_SECONDS))
    return average / ASSUMED_ENTRIES


def draw_phase(own: str, endpoint: str) -> float:
    """Return a number from 0 to 1 that differs between entries, the same at each call.

    >>> 0.0 <= draw_phase("a", "e-1") < 1.0
    True
    """
    digest = hashlib.blake2b(f"{own}/{endpoint}".encode(), digest_size=PHASE_BYTES).digest()
    return int.from_bytes(digest, "big") / 256.0**PHASE_BYTES
