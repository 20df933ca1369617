"""Assembles the bodies of endpoints' answers up to a size limit."""

from collections.abc import Iterable

from chestnutvale.programs.entry.const import STEP_RECEIVE
from chestnutvale.programs.entry.exceptions import AnswerTooLargeError


def join_body(chunks: Iterable[bytes], max_bytes: int, address: str) -> bytes:
    """Join the chunks of a body.

    Parameters
    ----------
    chunks : iterable of bytes
        The chunks in the order of their arrival.
    max_bytes : int
        Maximum size of the body in bytes.
    address : str
        IP address and port of the endpoint, for the error.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    AnswerTooLargeError
        If the body is larger than `max_bytes`.
    """
    parts: list[bytes] = []
    total_bytes = 0
    for chunk in chunks:
        total_bytes += len(chunk)
        if total_bytes > max_bytes:
            raise AnswerTooLargeError(
                "the answer exceeds the size limit", step=STEP_RECEIVE, peer=address
            )
        parts.append(chunk)
    return b"".join(parts)
