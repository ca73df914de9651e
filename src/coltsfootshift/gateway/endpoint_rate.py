"""The rate that one endpoint takes, by its own word and while it is cold, and this entry's part."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.gateway.endpoint_limits import BURST_REQUESTS, RateShare

__all__ = ["ColdShare", "EndpointRate"]


@dataclass(frozen=True, slots=True)
class ColdShare:
    """What a cold endpoint takes of all entries and of this one, in requests a second.

    `burst` is how many requests this entry may send at once, and `phase` the part of the interval
    between two of them after which the first may be sent.
    """

    limit: float
    share: float
    burst: float
    phase: float = 1.0


class EndpointRate:
    """Spaces this entry's requests to an endpoint that names a limit, is cold, or both.

    Of both limits and of both shares the lower one applies.

    >>> rate = EndpointRate()
    >>> rate.set(4.0, 1.0, now=0.0, cold=ColdShare(10.0, 0.5, burst=1.0))
    >>> rate.limit, rate.has_room(1.0), rate.has_room(2.0)
    (4.0, False, True)
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.cold = False
        self._share = 0.0
        self._spacing: RateShare | None = None

    def __repr__(self) -> str:
        return f"EndpointRate({self.limit!r}, cold={self.cold!r}, {self._spacing!r})"

    def set(self, limit: float | None, share: float, now: float, cold: ColdShare | None) -> None:
        """Set the limit for all entries and this entry's share, in requests a second."""
        burst, tokens = BURST_REQUESTS, 0.0
        self.cold = cold is not None
        if cold is not None:
            share = cold.share if limit is None else min(share, cold.share)
            limit = cold.limit if limit is None else min(limit, cold.limit)
            burst, tokens = cold.burst, 1.0 - cold.phase
        self.limit, self._share = limit, share
        if limit is None:
            self._spacing = None
        elif self._spacing is None:
            self._spacing = RateShare(share, now, burst, tokens)
        else:
            self._spacing.set_rate(share, now, burst)

    def has_room(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._spacing is None or self._spacing.has_room(now)

    def spend(self, now: float) -> None:
        """Count a request that is sent now."""
        if self._spacing is not None:
            self._spacing.spend(now)

    def bound(self, rate: float) -> float:
        """Return how many of `rate` requests a second the endpoint takes of all entries."""
        return rate if self.limit is None else min(rate, self.limit)

    def divide(self, rate: float, entry_count: int) -> float:
        """Return how many of `rate` requests a second, within the limit, are this entry's.

        A cold endpoint has places for some of the entries only.
        """
        if not self.cold or not self.limit:
            return rate / entry_count
        return rate * self._share / self.limit
