"""Limits that endpoints name in their responses, and this entry's share of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import InstanceId

__all__ = ["EndpointLimits", "NamedLimit", "RateShare", "compute_share"]

# A limited endpoint is asked at least this often, in requests a second, in case it names its limit
# no longer.
MIN_RATE = 0.25
EXPIRY_SECONDS = 12.0  # three requests at the lowest rate without a response that names the limit
CONFIRM_SECONDS = 3.0  # peers are told of an unchanged limit this often, so that it stays valid
BURST_REQUESTS = 1.5
MAX_LIMITS = 8192


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
    the limit became known.

    >>> share = RateShare(2.0, now=0.0)
    >>> share.has_room(0.0), share.has_room(0.5)
    (False, True)
    >>> share.spend(0.5)
    >>> share.has_room(0.6)
    False
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = 0.0
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

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._fill(now)
        self._rate = rate

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(BURST_REQUESTS, self._tokens + elapsed * self._rate)
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
