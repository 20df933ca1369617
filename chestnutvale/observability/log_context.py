"""Fields, such as the request id, added to all log lines of a task."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

_FIELDS: ContextVar[dict[str, str] | None] = ContextVar("log_context", default=None)


@contextmanager
def bind_log_context(**fields: str) -> Iterator[None]:
    """Add fields to the log lines that the running task writes in the context.

    Parameters
    ----------
    **fields : str
        Fields to add, such as ``request_id`` and ``group_id``; nested contexts are
        merged, and the inner value wins.

    Yields
    ------
    None
    """
    token = _FIELDS.set({**(_FIELDS.get() or {}), **fields})
    try:
        yield
    finally:
        _FIELDS.reset(token)


def get_log_context() -> dict[str, str]:
    """Return the log fields of the running task.

    Returns
    -------
    dict of str to str
        Field values by name; empty outside of any context.
    """
    return _FIELDS.get() or {}
