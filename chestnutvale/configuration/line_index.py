"""Map the fields of a valid JSON5 text to line numbers."""

import re
from collections.abc import Iterator

import attrs
import pyjson5

Path = tuple[str | int, ...]

_TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\],:])
    |(?P<word>[^\s\ufeff{}\[\],:"'/]+)
    |(?P<newline>\n)
    """,
    re.VERBOSE | re.DOTALL,
)


@attrs.define
class _Container:
    path: Path
    is_object: bool
    position: int = 0
    key: str | None = None
    keys: set[str] = attrs.field(factory=set)

    def child_path(self) -> Path:
        return (*self.path, self.key if self.is_object else self.position)


def _tokenise(text: str) -> Iterator[tuple[str, str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        value = match.group()
        if match.lastgroup not in ("comment", "newline"):
            yield match.lastgroup or "", value, line
        line += value.count("\n")


def _decode_key(token: str) -> str:
    if token[0] not in "\"'":
        return token
    return str(pyjson5.decode(token))


class LineIndex:
    """Line numbers of the fields of a JSON5 text.

    The parser doesn't report where each field is, so the text is tokenised again. It
    must already have been accepted by the parser.

    Parameters
    ----------
    text : str
        A valid JSON5 text.

    Attributes
    ----------
    duplicate_keys : list of tuple of (Path, int)
        Path and line of each key that repeats an earlier one of the same object.
    """

    def __init__(self, text: str) -> None:
        self.duplicate_keys: list[tuple[Path, int]] = []
        self._lines: dict[Path, int] = {}
        self._stack: list[_Container] = []
        for kind, value, line in _tokenise(text):
            if kind == "mark":
                self._process_punctuation(value, line)
            else:
                self._process_scalar(value, line)

    def find_line(self, path: Path) -> int:
        """Return the line of a field, or of its nearest enclosing field with one.

        Parameters
        ----------
        path : Path
            Object keys and list positions from the root to the field.

        Returns
        -------
        int
            Line number, starting at 1.
        """
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[:-1]
        return self._lines.get((), 1)

    def _process_punctuation(self, mark: str, line: int) -> None:
        if mark in "{[":
            path = self._stack[-1].child_path() if self._stack else ()
            self._lines.setdefault(path, line)
            self._stack.append(_Container(path, is_object=mark == "{"))
        elif mark in "}]":
            self._stack.pop()
        elif mark == ",":
            self._stack[-1].position += 1
            self._stack[-1].key = None

    def _process_scalar(self, token: str, line: int) -> None:
        if not self._stack:
            return
        container = self._stack[-1]
        if not container.is_object:
            self._lines.setdefault(container.child_path(), line)
            return
        if container.key is not None:
            return
        container.key = _decode_key(token)
        path = container.child_path()
        if container.key in container.keys:
            self.duplicate_keys.append((path, line))
        container.keys.add(container.key)
        self._lines.setdefault(path, line)
