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

    A resume replaces work that was running a moment ago, so it adds no load
    and has a larger budget than a retry of a refused attempt.

    Attributes
    ----------
    retries : RetryBudget
        For attempts after a refusal.
    resumes : RetryBudget
        For attempts after a break.
    """

    retries: RetryBudget = attrs.field(factory=lambda: RetryBudget(0.2, 50.0))
    resumes: RetryBudget = attrs.field(factory=lambda: RetryBudget(1.0, 500.0))

    def count_call(self) -> None:
        """Note a fresh call in both budgets."""
        self.retries.count_call()
        self.resumes.count_call()
