"""Collect the problems of a text together with their line numbers."""

import difflib
from collections.abc import Iterable

from chestnutvale.configuration.const import MAX_NAME_SUGGESTIONS
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.configuration.line_index import LineIndex, Path


def format_path(path: Path) -> str:
    """Format a path for messages, for example ``services.chat.calls[0]``.

    Parameters
    ----------
    path : Path
        Object keys and list positions from the root to the field.

    Returns
    -------
    str
        The path; keys with unprintable characters are escaped.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part if part.isprintable() else ascii(part)}"
    return text.removeprefix(".")


class ProblemReport:
    """Collects the problems of one text.

    Parameters
    ----------
    lines : LineIndex
        Line numbers of the text's fields.
    """

    def __init__(self, lines: LineIndex) -> None:
        self._lines = lines
        self._problems: list[TextProblem] = []
        self._suggestions_left = MAX_NAME_SUGGESTIONS

    def add(self, path: Path, reason: str, line: int | None = None) -> None:
        """Add a problem of a field.

        Parameters
        ----------
        path : Path
            Object keys and list positions from the root to the field.
        reason : str
            What is wrong.
        line : int, optional
            Line number; by default the line where the field first occurs.
        """
        line_number = self._lines.find_line(path) if line is None else line
        self._problems.append(TextProblem(line_number, format_path(path), reason))

    def suggest_name(self, name: str, known: Iterable[str]) -> str:
        """Build a suffix for a message that suggests the most similar known name.

        Parameters
        ----------
        name : str
            The unknown name.
        known : iterable of str
            The valid names.

        Returns
        -------
        str
            The suffix; empty if no name is similar or ``MAX_NAME_SUGGESTIONS`` were
            made already.
        """
        if self._suggestions_left <= 0:
            return ""
        self._suggestions_left -= 1
        nearest = difflib.get_close_matches(name, list(known), n=1)
        return f"; did you mean {nearest[0]!r}?" if nearest else ""

    def raise_if_any(self) -> None:
        """Raise the problems collected so far, if there are any.

        Raises
        ------
        TextError
            If at least one problem was added.
        """
        if self._problems:
            raise TextError(self._problems)
