"""Strict parser of request heads, without I/O.

A head that two parsers may read differently hides a request in the body of another
one, so whatever RFC 9112 does not allow is refused instead of repaired.
"""

import re
from collections.abc import Sequence

import attrs
import h11

from chestnutvale.http_server.const import REFUSED_HEAD_MALFORMED
from chestnutvale.http_server.exceptions import HttpRequestError

_MAX_HEAD_BYTES = 1024 * 1024
_CONTENT_LENGTH = "content-length"
_TRANSFER_ENCODING = "transfer-encoding"
_FRAMING_NAMES = frozenset({_CONTENT_LENGTH, _TRANSFER_ENCODING})
_HOST = "host"
_PLAIN_NUMBER = re.compile("[0-9]{1,18}")
# Control characters, ends of lines other than CR LF, and folded lines.
_FORBIDDEN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n|\n[ \t]")
# Start of a line that names the host.
_HOST_LINE = re.compile(rb"\nhost[ \t]*:", re.IGNORECASE)
# h11 requires the header, which HTTP/1.0 does not know and simple clients leave out.
_SUBSTITUTE_HOST_LINE = b"Host: -\r\n"


@attrs.frozen
class RequestHead:
    """Head of a request.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Request target as it was sent: path and query, or another form.
    version : str
        ``HTTP/1.0`` or ``HTTP/1.1``.
    headers : list of tuple of (str, str)
        Names and values in order.
    """

    method: str
    target: str
    version: str
    headers: list[tuple[str, str]]

    @property
    def will_close(self) -> bool:
        """Whether the client expects no further answer on the connection."""
        options = self.get_tokens("connection")
        if self.version == "HTTP/1.0":
            return "keep-alive" not in options
        return "close" in options

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim answer before it sends its body."""
        is_known = self.version != "HTTP/1.0"
        return is_known and "100-continue" in self.get_tokens("expect")

    def get_tokens(self, name: str) -> list[str]:
        """Return the comma-separated values of a header.

        Parameters
        ----------
        name : str
            Name in lower case.

        Returns
        -------
        list of str
            Values in lower case.
        """
        return [
            token.strip().lower()
            for key, value in self.headers
            if key.lower() == name
            for token in value.split(",")
        ]


def parse_request_head(lines: Sequence[bytes]) -> RequestHead:
    """Parse the lines of a head, from the request line to the empty line.

    Parameters
    ----------
    lines : sequence of bytes
        The lines with their ends.

    Returns
    -------
    RequestHead
        The head.

    Raises
    ------
    HttpRequestError
        If the head is malformed, or does not say clearly where the body ends.
    """
    data = b"".join(lines)
    if _FORBIDDEN.search(data) is not None:
        raise _make_error("a line of the head has an invalid character or end")
    has_host = _HOST_LINE.search(data) is not None
    if not has_host:
        data = b"".join([lines[0], _SUBSTITUTE_HOST_LINE, *lines[1:]])
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
    connection.receive_data(data)
    try:
        request = connection.next_event()
    except h11.RemoteProtocolError as error:
        # The error quotes the line, which may hold a key.
        raise _make_error("the head is malformed") from error
    if not isinstance(request, h11.Request):
        raise _make_error("the head is incomplete")
    version = request.http_version
    if version not in (b"1.0", b"1.1"):
        raise _make_error("the version of HTTP is not supported", status=505)
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.headers.raw_items()
    ]
    if not has_host:
        headers = [item for item in headers if item[0].lower() != _HOST]
    _check_framing(headers, is_http_1_0=version == b"1.0")
    return RequestHead(
        request.method.decode("ascii"),
        request.target.decode("ascii"),
        f"HTTP/{version.decode('ascii')}",
        headers,
    )


def _check_framing(headers: list[tuple[str, str]], *, is_http_1_0: bool) -> None:
    lengths = 0
    has_coding = False
    for key, value in headers:
        name = key.lower()
        if name == _CONTENT_LENGTH:
            lengths += 1
            if _PLAIN_NUMBER.fullmatch(value) is None:
                raise _make_error("the length of the body is no decimal number")
        elif name == _TRANSFER_ENCODING:
            has_coding = True
        elif "_" in name and name.replace("_", "-") in _FRAMING_NAMES:
            # In the environment of WSGI, underscores and hyphens are the same.
            raise _make_error(f"a header is named {name}")
    if has_coding and (lengths or is_http_1_0):
        raise _make_error("the length of the body is ambiguous")


def _make_error(reason: str, *, status: int = 400) -> HttpRequestError:
    return HttpRequestError(status, REFUSED_HEAD_MALFORMED, reason)
