"""Finds the log lines of all processes that name a request of a violation."""

import re
from collections.abc import Iterator
from pathlib import Path

MAX_LINES = 30
# Identifier that an entry gives a request.
_REQUEST_ID = re.compile(r"\b[\w-]+-[0-9a-f]{24}\b")


def find_log_lines(detail: str, folder: Path) -> list[str]:
    """Return the lines of all logs that name a request, in order of their times.

    Parameters
    ----------
    detail : str
        What a check saw, with the identifiers of requests.
    folder : Path
        Folder of the logs of a run.

    Returns
    -------
    list of str
        Name of the process and line, at most `MAX_LINES`.
    """
    ids = set(_REQUEST_ID.findall(detail))
    found = sorted(_find_lines(ids, folder)) if ids else []
    return [f"{name}: {line}" for line, name in found[:MAX_LINES]]


def _find_lines(ids: set[str], folder: Path) -> Iterator[tuple[str, str]]:
    # The time is the first field of a line.
    for path in sorted([*folder.glob("*.log"), *folder.glob("*.out")]):
        with path.open(errors="replace") as lines:
            for line in lines:
                if any(request_id in line for request_id in ids):
                    yield line.rstrip(), path.stem
