"""Bind a request id and a group to the log lines of the running task."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

_FIELDS: ContextVar[dict[str, str] | None] = ContextVar("log_context", default=None)


@contextmanager
def bind_log_context(**fields: str) -> Iterator[None]:
    """Add fields to the log lines that this task writes inside the context.

    Parameters
    ----------
    **fields : str
        For example ``request_id`` and ``group_id``.

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
    """Return the fields bound to the running task.

    Returns
    -------
    dict of str to str
        The fields.
    """
    return _FIELDS.get() or {}
