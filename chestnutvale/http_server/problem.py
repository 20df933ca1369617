"""Error answers as ``application/problem+json`` (RFC 9457)."""

import json
import math
from http import HTTPStatus
from typing import Any

import attrs

from chestnutvale.http_server.const import CONTENT_TYPE_PROBLEM

# nginx's status for a client that closed the connection; used in metrics and logs,
# never sent.
STATUS_CALLER_GONE = 499


@attrs.frozen
class Problem:
    """An error answer to a failed request.

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Stable, machine-readable code of the failure.
    detail : str
        Human-readable explanation of this failure.
    outcome : str
        ``"not_run"``, ``"unknown"`` or ``"failed"``; empty if not applicable.
    step : str
        The step that failed.
    peer : str
        Identity or address of the peer involved in that step.
    retry_after_s : float or None
        Delay in seconds after which a retry may succeed; None if a retry is pointless.
    request_id : str
        Identity of the request; empty if it has none.
    extra : dict
        Additional members of the JSON object; they override the standard ones.
    """

    status: int
    code: str
    detail: str
    outcome: str = ""
    step: str = ""
    peer: str = ""
    retry_after_s: float | None = None
    request_id: str = ""
    extra: dict[str, Any] = attrs.field(factory=dict)

    @property
    def status_line(self) -> str:
        """Status code and reason phrase, as ``start_response`` expects them."""
        return f"{self.status} {self.title}"

    @property
    def title(self) -> str:
        """Reason phrase of the status code."""
        if self.status == STATUS_CALLER_GONE:
            return "Client Closed Request"
        return HTTPStatus(self.status).phrase

    def headers(self) -> list[tuple[str, str]]:
        """Build the response headers, without ``Content-Length``.

        Returns
        -------
        list of tuple of (str, str)
            Header names and values; ``Retry-After`` is rounded up to whole seconds.
        """
        headers = [("Content-Type", CONTENT_TYPE_PROBLEM)]
        if self.retry_after_s is not None:
            seconds = max(1, math.ceil(self.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        if self.request_id:
            headers.append(("X-Request-Id", self.request_id))
        return headers

    def body(self) -> bytes:
        """Encode the problem as JSON.

        Returns
        -------
        bytes
            The problem document.
        """
        members = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "code": self.code,
            "detail": self.detail,
            "outcome": self.outcome,
            "step": self.step,
            "peer": self.peer,
        }
        if self.retry_after_s is not None:
            members["retry_after_s"] = max(1, math.ceil(self.retry_after_s))
        if self.request_id:
            members["request_id"] = self.request_id
        return json.dumps({**members, **self.extra}).encode()

    def encode_response(self, *, has_body: bool = True) -> bytes:
        """Encode the problem as a whole HTTP answer that ends its connection.

        Parameters
        ----------
        has_body : bool, optional
            Whether the request allows a body.

        Returns
        -------
        bytes
            Status line, headers and body.
        """
        body = self.body()
        headers = [
            *self.headers(),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        lines = [f"HTTP/1.1 {self.status_line}"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        return head + body if has_body else head

    def respond(self, start_response: Any) -> list[bytes]:
        """Send the problem as the answer to a WSGI request.

        Parameters
        ----------
        start_response : callable
            The WSGI ``start_response`` callable.

        Returns
        -------
        list of bytes
            The response body.
        """
        body = self.body()
        headers = [*self.headers(), ("Content-Length", str(len(body)))]
        start_response(self.status_line, headers)
        return [body]
