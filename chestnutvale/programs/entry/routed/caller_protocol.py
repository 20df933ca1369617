"""Interface that maps routed calls to and from HTTP headers and answers."""

from typing import Any, Protocol

import attrs

from chestnutvale.attempts.events import Failure
from chestnutvale.membership.endpoint_notices import EndpointNotice

Headers = list[tuple[str, str]]


@attrs.frozen
class RoutedRequest:
    """A caller's request, parsed from HTTP.

    Attributes
    ----------
    request_id : str
        ID of the request, chosen by the caller.
    key : str
        The caller's API key; empty if there is none.
    host : str
        Value of the Host header.
    method, target, path : str
        HTTP method, path with query, and path alone.
    deadline_ms : int or None
        Time in milliseconds for which the caller waits; None if it sets no deadline.
    model : str
        Requested model; empty for a plain service.
    max_tokens : int
        Maximum number of tokens in the answer; 0 for a plain service.
    last_event : int
        Number of the last event that the caller has received; 0 for none.
    headers : list of tuple of str
        Headers to forward unchanged.
    prompt_parts : tuple of str
        IDs of the parts of the prompt in order; the last one belongs to the request or
        its session, the others are shared with other requests. Empty if unknown.
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
    prompt_parts: tuple[str, ...] = ()


@attrs.frozen
class ForwardingInfo:
    """Data that the entry adds to a forwarded request.

    Attributes
    ----------
    host_id : str
        Host that the request is meant for; any other host refuses it.
    workspace : str
        The caller's workspace; empty for a public route.
    remaining_ms : int
        Time in milliseconds until the call's deadline.
    last_event : int
        Number of the last event that the caller has received; 0 for none.
    """

    host_id: str
    workspace: str
    remaining_ms: int
    last_event: int = 0


class CallerProtocol(Protocol):
    """Translates between HTTP and the entry's own types; contains no routing logic."""

    def read_request(self, environ: dict[str, Any]) -> RoutedRequest:
        """Parse a caller's request; raises `BadCallError` if it is malformed."""

    def make_endpoint_headers(
        self, request: RoutedRequest, forwarding: ForwardingInfo
    ) -> Headers:
        """Return the headers of the request that is forwarded to an endpoint."""

    def make_relay_headers(self, request: RoutedRequest, remaining_ms: int) -> Headers:
        """Return the headers of the caller's request for another entry.

        They are those of the caller, with the time that is left as its deadline.
        """

    def is_refusal(self, status: int, headers: Headers) -> bool:
        """Return whether an answer proves that the endpoint did not run the request."""

    def promises_not_run(self, status: int) -> bool:
        """Return whether a status tells a caller that its request has not run.

        It also says that the request never will, so that the caller may send it again.
        """

    def find_request_id(self, headers: Headers) -> str:
        """Return the request ID in an endpoint's answer; empty if there is none."""

    def read_notice(self, status: int, headers: Headers) -> EndpointNotice:
        """Return what an answer says about the endpoint that sent it."""

    def has_endpoint_signature(self, headers: Headers) -> bool:
        """Return whether an answer comes from an endpoint, not from an intermediary."""

    def make_failure_answer(
        self, failure: Failure, request_id: str, retry_after_s: float | None
    ) -> tuple[str, Headers, bytes]:
        """Return the status line, headers and body that report a failure."""
