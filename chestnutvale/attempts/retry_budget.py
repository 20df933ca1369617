"""Bound the attempts that are made on top of fresh calls."""

import attrs


@attrs.define
class RetryBudget:
    """Lets retries be a share of fresh calls, with a reserve for bursts.

    Parameters
    ----------
    share : float
        Retries allowed for each fresh call.
    reserve : float
        Most retries that can be saved up.
    refill_per_s : float, optional
        Retries that are saved up in a second without any call.
    """

    share: float
    reserve: float
    refill_per_s: float = 0.0
    _saved: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full reserve."""
        self._saved = self.reserve

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def count_call(self) -> None:
        """Note a fresh call."""
        self._saved = min(self.reserve, self._saved + self.share)

    def refill(self, passed_s: float) -> None:
        """Save up what the time that passed allows.

        Parameters
        ----------
        passed_s : float
            Time in seconds since the last refill.
        """
        gained = self.refill_per_s * max(0.0, passed_s)
        self._saved = min(self.reserve, self._saved + gained)

    def resize(self, reserve: float, refill_per_s: float) -> None:
        """Change the reserve, for example because more entries share a bound.

        Parameters
        ----------
        reserve : float
            Most retries that can be saved up.
        refill_per_s : float
            Retries that are saved up in a second.
        """
        self.reserve = reserve
        self.refill_per_s = refill_per_s
        self._saved = min(self._saved, reserve)

    def try_retry(self) -> bool:
        """Take one retry.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


@attrs.define
class AttemptBudgets:
    """The budgets that all calls of an entry share.

    A call that goes elsewhere because its group is lost adds no load, as the
    work does not run there any more. It has a larger budget than a call that was
    refused for overload, whose retries would keep the overload up.

    Attributes
    ----------
    retries : RetryBudget
        For attempts after a refusal for overload.
    reroutes : RetryBudget
        For attempts after a break, or after any other refusal.
    """

    retries: RetryBudget = attrs.field(factory=lambda: RetryBudget(0.2, 50.0))
    reroutes: RetryBudget = attrs.field(factory=lambda: RetryBudget(1.0, 500.0))

    def count_call(self) -> None:
        """Note a fresh call in both budgets, or in the one that serves as both."""
        self.retries.count_call()
        if self.reroutes is not self.retries:
            self.reroutes.count_call()


@attrs.frozen
class SharedRetryBound:
    """A bound on retries that all entries share.

    Attributes
    ----------
    share : float
        Retries allowed for each fresh call.
    reserve : float
        Retries beyond the share within the window, over all entries.
    window_s : float
        Length of the window in seconds.
    """

    share: float
    reserve: float
    window_s: float

    def make_budgets(self) -> AttemptBudgets:
        """Make the budgets of an entry, with nothing saved up yet.

        Returns
        -------
        AttemptBudgets
            Both kinds of retries draw on one budget.
        """
        budget = RetryBudget(self.share, 0.0)
        budgets = AttemptBudgets(budget, budget)
        self.divide(budgets, 1)
        return budgets

    def divide(self, budgets: AttemptBudgets, entry_count: int) -> None:
        """Fit an entry's budgets to the number of entries that share the bound.

        Within any window an entry spends at most what it has saved up and what the
        window refills, each of which is half of its part of the reserve.

        Parameters
        ----------
        budgets : AttemptBudgets
            The budgets; changed in place.
        entry_count : int
            Live entries.
        """
        half = self.reserve / max(1, entry_count) / 2
        budgets.retries.resize(max(1.0, half), half / self.window_s)
