"""What callers and endpoints of routed calls say to each other."""

from typing import Any, Protocol

import attrs

from chestnutvale.attempts.events import Failure

Headers = list[tuple[str, str]]


@attrs.frozen
class RoutedRequest:
    """A caller's request as it was read.

    Attributes
    ----------
    request_id : str
        Identity that the caller gave its attempt.
    key : str
        The caller's key; empty if there is none.
    host : str
        Host name that the request names.
    method, target, path : str
        HTTP method, path with query, and path alone.
    deadline_ms : int or None
        Time in milliseconds that the caller waits; None if it does not tell.
    model : str
        Model that the request asks for; empty for a plain service.
    max_tokens : int
        Most tokens of the answer; 0 for a plain service.
    last_event : int
        Number of the last event that the caller already has; 0 for none.
    headers : list of tuple of str
        Headers to pass on unchanged.
    """

    request_id: str
    key: str
    host: str
    method: str
    target: str
    path: str
    deadline_ms: int | None
    model: str
    max_tokens: int
    last_event: int
    headers: Headers


@attrs.frozen
class ForwardingInfo:
    """What an endpoint is told beside the request itself.

    Attributes
    ----------
    host_id : str
        Host that must take the request; any other one refuses it.
    workspace : str
        The caller's workspace; empty for a public route.
    remaining_ms : int
        Time in milliseconds that is left for the answer.
    last_event : int
        Number of the last event that the caller has; 0 for none.
    """

    host_id: str
    workspace: str
    remaining_ms: int
    last_event: int = 0


class CallerProtocol(Protocol):
    """Translates between HTTP and the entry's own types; decides nothing."""

    def read_request(self, environ: dict[str, Any]) -> RoutedRequest:
        """Read a caller's request; raises `BadCallError` if it is malformed."""

    def make_endpoint_headers(
        self, request: RoutedRequest, forwarding: ForwardingInfo
    ) -> Headers:
        """Return the headers of a request to an endpoint."""

    def is_refusal(self, status: int, headers: Headers) -> bool:
        """Tell whether an endpoint's answer says that it did not run the request."""

    def find_request_id(self, headers: Headers) -> str:
        """Return the request that an endpoint's answer names; empty if none."""

    def has_endpoint_signature(self, headers: Headers) -> bool:
        """Tell whether an answer was made by an endpoint and nothing in between."""

    def make_failure_answer(
        self, failure: Failure, request_id: str, retry_after_s: float | None
    ) -> tuple[str, Headers, bytes]:
        """Return status line, headers and body of a failure."""
