"""Limits retries to a fraction of new calls."""

import attrs


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a fraction of new calls, plus a burst.

    Parameters
    ----------
    share : float
        Retries added to the budget by each new call.
    reserve : float
        Maximum number of retries in the budget.
    refill_per_s : float, optional
        Retries added to the budget per second, independent of calls.
    """

    share: float
    reserve: float
    refill_per_s: float = 0.0
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full budget."""
        self._available = self.reserve

    @property
    def available(self) -> float:
        """Number of retries in the budget."""
        return self._available

    @property
    def has_retry(self) -> bool:
        """Whether `try_retry` would succeed."""
        return self._available >= 1.0

    def count_call(self) -> None:
        """Add the share of a new call to the budget."""
        self._available = min(self.reserve, self._available + self.share)

    def refill(self, passed_s: float) -> None:
        """Add the retries for the elapsed time to the budget.

        Parameters
        ----------
        passed_s : float
            Time in seconds since the last refill.
        """
        gained = self.refill_per_s * max(0.0, passed_s)
        self._available = min(self.reserve, self._available + gained)

    def resize(self, reserve: float, refill_per_s: float) -> None:
        """Resize the budget, for example when the number of entries changes.

        Parameters
        ----------
        reserve : float
            Maximum number of retries in the budget.
        refill_per_s : float
            Retries added to the budget per second.
        """
        self.reserve = reserve
        self.refill_per_s = refill_per_s
        self._available = min(self._available, reserve)

    def try_retry(self) -> bool:
        """Take one retry from the budget, if there is one.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        if not self.has_retry:
            return False
        self._available -= 1.0
        return True


@attrs.define
class AttemptBudgets:
    """Retry budgets shared by all calls of an entry.

    Rerouting a call whose group was lost adds no load, because the lost group no longer
    does the work. It has a larger budget than a retry after a refusal for overload,
    which would prolong the overload.

    Attributes
    ----------
    retries : RetryBudget
        For retries after a refusal for overload.
    reroutes : RetryBudget
        For retries after a broken attempt or any other refusal.
    """

    retries: RetryBudget = attrs.field(factory=lambda: RetryBudget(0.2, 50.0))
    reroutes: RetryBudget = attrs.field(factory=lambda: RetryBudget(1.0, 500.0))

    def count_call(self) -> None:
        """Count a new call in both budgets, but once if they are the same object."""
        self.retries.count_call()
        if self.reroutes is not self.retries:
            self.reroutes.count_call()


@attrs.frozen
class SharedRetryBound:
    """Limit on retries over all entries.

    Attributes
    ----------
    share : float
        Retries allowed per new call.
    reserve : float
        Retries allowed beyond the share within the window, summed over all entries.
    window_s : float
        Length of the window in seconds.
    """

    share: float
    reserve: float
    window_s: float

    def make_budgets(self) -> AttemptBudgets:
        """Create the budgets of an entry, initially empty.

        Returns
        -------
        AttemptBudgets
            Both kinds of retries use the same budget.
        """
        budget = RetryBudget(self.share, 0.0)
        budgets = AttemptBudgets(budget, budget)
        self.divide(budgets, 1)
        return budgets

    def divide(self, budgets: AttemptBudgets, entry_count: int) -> None:
        """Resize an entry's budgets to its part of the limit.

        Within any window an entry uses at most its full budget plus the refill of the
        window. Each is half of the entry's part of the reserve.

        Parameters
        ----------
        budgets : AttemptBudgets
            Budgets to resize in place.
        entry_count : int
            Number of live entries.
        """
        half = self.reserve / max(1, entry_count) / 2
        budgets.retries.resize(max(1.0, half), half / self.window_s)
