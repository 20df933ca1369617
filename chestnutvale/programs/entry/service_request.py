"""Parses calls to plain services and selects what is forwarded to the endpoint."""

import hashlib
from typing import Any
from urllib.parse import quote

import attrs
import xxhash

from chestnutvale.ledger.const import MAX_KEY_BYTES
from chestnutvale.programs.entry.call_validation import make_refusal
from chestnutvale.schema.ledger_pb2 import RecordedAnswer

SERVICES_PREFIX = "/services/"

# Headers of a single connection (hop-by-hop), or set by the entry or its HTTP server.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
        "x-workspace",
    }
)


@attrs.frozen
class ServiceRequest:
    """A parsed call to a plain service.

    Attributes
    ----------
    service : str
        Name of the service.
    method : str
        HTTP method.
    path : str
        Decoded path below the service, as the rules of the configuration match it.
    target : str
        Encoded path and query that are sent to the endpoint.
    key : str
        Idempotency key of the caller; empty for none.
    """

    service: str
    method: str
    path: str
    target: str
    key: str


def read_service_request(environ: dict[str, Any]) -> ServiceRequest:
    """Read service, path, query and idempotency key of a call.

    Parameters
    ----------
    environ : dict
        The WSGI environment.

    Returns
    -------
    ServiceRequest
        The call.

    Raises
    ------
    CallRefusedError
        If the path is not in normal form or the key is too long.
    """
    decoded = environ["PATH_INFO"].encode("latin-1", "replace").decode(errors="replace")
    service, slash, rest = decoded.removeprefix(SERVICES_PREFIX).partition("/")
    path = slash + rest or "/"
    segments = path.split("/")[1:]
    # The endpoint may normalise the path, and the rules must match the same path.
    if (
        any(segment in (".", "..") for segment in segments)
        or "" in segments[:-1]
        or "\\" in path
    ):
        raise make_refusal(
            "bad_request",
            "the path must not contain empty, . or .. segments, or backslashes",
        )
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()
    if len(key.encode()) > MAX_KEY_BYTES:
        raise make_refusal(
            "bad_request", f"Idempotency-Key is longer than {MAX_KEY_BYTES} bytes"
        )
    query = environ.get("QUERY_STRING", "")
    target = quote(path, safe="/:@!$&'()*+,;=~-._") + (f"?{query}" if query else "")
    return ServiceRequest(service, environ["REQUEST_METHOD"], path, target, key)


def compute_request_digest(request: ServiceRequest, body: bytes) -> str:
    """Return the digest by which the ledger compares calls with the same key.

    Parameters
    ----------
    request : ServiceRequest
        The call.
    body : bytes
        Its body.

    Returns
    -------
    str
        SHA-256 of method, target and body in hexadecimal.
    """
    digest = hashlib.sha256(f"{request.method} {request.target}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def compute_request_fingerprint(request: ServiceRequest, body: bytes) -> int:
    """Return the fingerprint by which a request that crashes endpoints is recognised.

    Parameters
    ----------
    request : ServiceRequest
        The call.
    body : bytes
        Its body.

    Returns
    -------
    int
        64-bit fingerprint, which does not depend on the idempotency key.
    """
    request_line = f"{request.service} {request.method} {request.target}\n"
    digest = xxhash.xxh64(request_line.encode())
    digest.update(body)
    return digest.intdigest()


def make_forwarded_headers(
    environ: dict[str, Any], request_id: str, workspace: str
) -> dict[str, str]:
    """Return the headers to send to the endpoint.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    request_id : str
        Identity of the call.
    workspace : str
        The caller's workspace.

    Returns
    -------
    dict of str to str
        The caller's end-to-end headers and those that the entry sets.
    """
    headers = {
        name: value
        for name, value in environ.get("headers_raw", ())
        if name.lower() not in _DROPPED_HEADERS
    }
    headers["X-Request-Id"] = request_id
    headers["X-Workspace"] = workspace
    return headers


def make_recorded_answer(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> RecordedAnswer:
    """Make the record of an endpoint's answer, which callers receive.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Headers of the answer.
    body : bytes
        Complete body.

    Returns
    -------
    RecordedAnswer
        The answer without hop-by-hop headers.
    """
    forwarded = [(n, v) for n, v in headers if n.lower() not in _DROPPED_HEADERS]
    return RecordedAnswer(
        status=status,
        header_names=[name for name, _ in forwarded],
        header_values=[value for _, value in forwarded],
        body=body,
    )
