"""The retry budget of a service, which limits retries to a fraction of first tries."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]

INITIAL_CREDIT = 10.0
MAX_CREDIT = 100.0


@dataclass(slots=True)
class RetryBudget:
    """A budget to which each first try adds `share` of a retry.

    It starts with `INITIAL_CREDIT` retries.

    >>> budget = RetryBudget(credit=0.0)
    >>> for _ in range(10):
    ...     budget.record_first_try(share=0.1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    credit: float = INITIAL_CREDIT

    def record_first_try(self, share: float) -> None:
        """Add credit for the first try of a request."""
        self.credit = min(MAX_CREDIT, self.credit + share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if there is no credit for it."""
        if self.credit < 1 - 1e-9:
            return False
        self.credit -= 1
        return True
