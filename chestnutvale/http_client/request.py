"""Encoding of requests."""

import re
from collections.abc import Iterable

_BODYLESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "DELETE"})
_INVALID_IN_TARGET = re.compile(r"[\x00-\x20]")
_INVALID_IN_HEADER = re.compile(r"[\x00\r\n]")


def encode_request(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    http_version: str = "HTTP/1.1",
) -> bytes:
    """Encode a request whose body has a length.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query.
    headers : iterable of tuple of str
        Names and values, without Content-Length.
    body : bytes
        Body.
    http_version : str, optional
        Version in the request line.

    Returns
    -------
    bytes
        The request.

    Raises
    ------
    ValueError
        If the target or a header has a character that would end it early.
    """
    if _INVALID_IN_TARGET.search(target):
        raise ValueError("the target has a space or a control character")
    lines = [f"{method} {target} {http_version}"]
    for name, value in headers:
        if _INVALID_IN_HEADER.search(name) or _INVALID_IN_HEADER.search(value):
            raise ValueError("a header has a control character")
        lines.append(f"{name}: {value}")
    if body or method not in _BODYLESS_METHODS:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
