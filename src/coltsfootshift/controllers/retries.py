"""The retry budget of a service: retries stay a fraction of first tries."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]

FIRST_RETRIES = 10.0
MOST_RETRIES = 100.0


@dataclass(slots=True)
class RetryBudget:
    """Each first try earns `share` of a retry; a few are there from the start.

    >>> budget = RetryBudget(credit=0.0)
    >>> for _ in range(10):
    ...     budget.note_first_try(share=0.1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    credit: float = FIRST_RETRIES

    def note_first_try(self, share: float) -> None:
        """Count the first try of a request."""
        self.credit = min(MOST_RETRIES, self.credit + share)

    def take(self) -> bool:
        """Take one retry where there is one."""
        if self.credit < 1 - 1e-9:
            return False
        self.credit -= 1
        return True
