"""Collect the problems of a text with their lines."""

import difflib
from collections.abc import Iterable

from chestnutvale.configuration.const import MAX_NAME_SUGGESTIONS
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.configuration.line_index import LineIndex, Path


def format_path(path: Path) -> str:
    """Return a path as operators write it, for example ``services.chat.calls[0]``.

    Parameters
    ----------
    path : Path
        Keys and positions from the root to the field.

    Returns
    -------
    str
        The path.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part if part.isprintable() else ascii(part)}"
    return text.removeprefix(".")


class ProblemReport:
    """The problems of one text.

    Parameters
    ----------
    lines : LineIndex
        Lines of the text's fields.
    """

    def __init__(self, lines: LineIndex) -> None:
        self._lines = lines
        self._problems: list[TextProblem] = []
        self._suggestions_left = MAX_NAME_SUGGESTIONS

    def add(self, path: Path, reason: str, line: int | None = None) -> None:
        """Add a problem.

        Parameters
        ----------
        path : Path
            The field.
        reason : str
            What is wrong.
        line : int, optional
            Line, if it is not that of the field's first place.
        """
        place = self._lines.find_line(path) if line is None else line
        self._problems.append(TextProblem(place, format_path(path), reason))

    def suggest_name(self, name: str, known: Iterable[str]) -> str:
        """Return a hint with the nearest known name.

        Parameters
        ----------
        name : str
            The unknown name.
        known : iterable of str
            The names that would do.

        Returns
        -------
        str
            The hint; empty if no name is near or enough hints were given.
        """
        if self._suggestions_left <= 0:
            return ""
        self._suggestions_left -= 1
        nearest = difflib.get_close_matches(name, list(known), n=1)
        return f"; did you mean {nearest[0]!r}?" if nearest else ""

    def raise_if_any(self) -> None:
        """Raise the problems collected so far.

        Raises
        ------
        TextError
            If there is a problem.
        """
        if self._problems:
            raise TextError(self._problems)
