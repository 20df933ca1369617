"""Failures as ``application/problem+json`` (RFC 9457)."""

import json
import math
from http import HTTPStatus
from typing import Any

import attrs

from chestnutvale.http_server.const import CONTENT_TYPE_PROBLEM

# Status for metrics and logs when the caller closed the connection; never sent.
STATUS_CALLER_GONE = 499


@attrs.frozen
class Problem:
    """The answer to a request that failed.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Stable code of the failure.
    detail : str
        What went wrong, in a sentence.
    outcome : str
        ``"not_run"``, ``"unknown"`` or ``"failed"``; empty where it doesn't apply.
    step : str
        The step that failed.
    peer : str
        The other side of that step.
    retry_after_s : float or None
        Seconds after which trying again makes sense; None if it does not.
    request_id : str
        Identity of the call; empty where there is none.
    extra : dict
        Further members of the answer.
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
        """Status and phrase as WSGI wants them."""
        return f"{self.status} {self.title}"

    @property
    def title(self) -> str:
        """Phrase of the status."""
        if self.status == STATUS_CALLER_GONE:
            return "Client Closed Request"
        return HTTPStatus(self.status).phrase

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of the answer.

        Returns
        -------
        list of tuple of (str, str)
            Names and values.
        """
        headers = [("Content-Type", CONTENT_TYPE_PROBLEM)]
        if self.retry_after_s is not None:
            seconds = max(1, math.ceil(self.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        if self.request_id:
            headers.append(("X-Request-Id", self.request_id))
        return headers

    def body(self) -> bytes:
        """Return the body of the answer.

        Returns
        -------
        bytes
            One JSON object.
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

    def respond(self, start_response: Any) -> list[bytes]:
        """Answer a WSGI request.

        Parameters
        ----------
        start_response : callable
            As WSGI defines it.

        Returns
        -------
        list of bytes
            The body.
        """
        body = self.body()
        headers = [*self.headers(), ("Content-Length", str(len(body)))]
        start_response(self.status_line, headers)
        return [body]
