"""Exceptions of the configuration text."""

from collections.abc import Iterable

import attrs

from chestnutvale.configuration.const import MAX_REPORTED_PROBLEMS, STEP_PARSE_TEXT
from chestnutvale.exceptions import ChestnutError


@attrs.frozen
class TextProblem:
    """One problem found in a text.

    Attributes
    ----------
    line : int
        Line number in the operator's text, starting at 1.
    path : str
        Field, for example ``"services.chat.groups"``; empty for the whole text.
    reason : str
        What is wrong, worded so that an operator can fix it.
    """

    line: int
    path: str
    reason: str

    def __str__(self) -> str:
        """Return line, field and reason as one line."""
        place = f"{self.path}: " if self.path else ""
        return f"line {self.line}: {place}{self.reason}"


class TextError(ChestnutError):
    """A text failed validation.

    Parameters
    ----------
    problems : iterable of TextProblem
        All problems found, in any order.

    Attributes
    ----------
    problems : tuple of TextProblem
        The problems sorted by line, at most ``MAX_REPORTED_PROBLEMS``.
    """

    code = "text_invalid"

    def __init__(self, problems: Iterable[TextProblem]) -> None:
        ordered = sorted(problems, key=lambda problem: problem.line)
        self.problems = tuple(ordered[:MAX_REPORTED_PROBLEMS])
        message = "; ".join(str(problem) for problem in self.problems)
        super().__init__(message, step=STEP_PARSE_TEXT)
