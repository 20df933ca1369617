"""Keeps the bodies of answers to the rules of HTTP (RFC 9112, section 6.3)."""

from collections.abc import Iterable

_METHOD_WITHOUT_BODY = "HEAD"
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL_STATUS = 200
_TRANSFER_ENCODING = "transfer-encoding"
_CONTENT_LENGTH = "content-length"


def has_body(method: str, status: int) -> bool:
    """Tell whether an answer may have a body.

    Parameters
    ----------
    method : str
        Method of the request.
    status : int
        HTTP status of the answer.

    Returns
    -------
    bool
        False for answers to HEAD, and for statuses 1xx, 204 and 304.
    """
    if method == _METHOD_WITHOUT_BODY or status in (_NO_CONTENT, _NOT_MODIFIED):
        return False
    return status >= _FIRST_FINAL_STATUS


def select_headers(
    status: int, headers: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers that an answer without a body may have.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    headers : iterable of tuple of (str, str)
        Names and values.

    Returns
    -------
    list of tuple of (str, str)
        The headers. An answer to HEAD and one with status 304 may say how long the body
        of another answer would be.
    """
    dropped = {_TRANSFER_ENCODING}
    if status < _FIRST_FINAL_STATUS or status == _NO_CONTENT:
        dropped.add(_CONTENT_LENGTH)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def discard_body(body: Iterable[bytes]) -> list[bytes]:
    """Close a body that is not sent.

    Parameters
    ----------
    body : iterable of bytes
        Body of a WSGI answer.

    Returns
    -------
    list of bytes
        The body to send instead: none.
    """
    close = getattr(body, "close", None)
    if close is not None:
        close()
    return []
