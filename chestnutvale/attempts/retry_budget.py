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
    """

    share: float
    reserve: float
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
        """Note a fresh call in both budgets."""
        self.retries.count_call()
        self.reroutes.count_call()
