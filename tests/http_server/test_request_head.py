"""Heads that two parsers could read differently are refused, and nothing of them runs.

Guards against a request that is hidden in the body of another one.
"""

import contextlib
import json
import re

import eventlet
import pytest
from eventlet.green import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chestnutvale.http_server.const import ENVIRON_REQUEST_TARGET
from chestnutvale.http_server.exceptions import HttpRequestError
from chestnutvale.http_server.request_head import parse_request_head
from chestnutvale.http_server.server import HttpServer
from chestnutvale.settings.common import default_http_limits

HIDDEN = b"POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)
BAD_LINES = {
    "space before the colon": b"Content-Length : %d\r\n" % len(HIDDEN),
    "tab before the colon": b"Content-Length\t: %d\r\n" % len(HIDDEN),
    "no colon": b"Content-Length %d\r\n" % len(HIDDEN),
    "no name": b": %d\r\n" % len(HIDDEN),
    "folded": b"X-A: a\r\n " + LENGTH,
    "folded by a tab": b"X-A: a\r\n\t" + LENGTH,
    "bare line feed": LENGTH[:-2] + b"\n",
    "bare line feed within": b"X-A: a\n" + LENGTH,
    "bare carriage return": b"X-A: a\r" + LENGTH,
    "NUL": b"X-A: a\0b\r\n" + LENGTH,
    "control character": b"X-A: a\x01b\r\n" + LENGTH,
    "name with a bracket": b"X(A: a\r\n" + LENGTH,
    "two lengths": b"Content-Length: 0\r\n" + LENGTH,
    "two lengths in one line": b"Content-Length: 0, %d\r\n" % len(HIDDEN),
    "signed length": b"Content-Length: +%d\r\n" % len(HIDDEN),
    "length with an underscore": b"Content-Length: 0_0\r\n",
    "hexadecimal length": b"Content-Length: 0x10\r\n",
    "empty length": b"Content-Length:\r\n",
    "length beside chunks": LENGTH + b"Transfer-Encoding: chunked\r\n",
    "chunks beside a length": b"Transfer-Encoding: chunked\r\n" + LENGTH,
    "unknown coding": b"Transfer-Encoding: gzip, chunked\r\n",
    "another coding": b"Transfer-Encoding: identity\r\n",
    "coding with a space": b"Transfer-Encoding : chunked\r\n",
    "two codings": b"Transfer-Encoding: chunked\r\n" * 2,
    "length with an underscore in its name": b"Content_Length: %d\r\n" % len(HIDDEN),
    "coding with an underscore": b"Transfer_Encoding: chunked\r\n" + LENGTH,
    "two hosts": b"Host: b\r\n" + LENGTH,
}
BAD_REQUEST_LINES = [
    b"POST  / HTTP/1.1\r\n",
    b"POST / HTTP/1.1 \r\n",
    b" POST / HTTP/1.1\r\n",
    b"POST /\r\n",
    b"POST / HTTP/1.1\n",
    b"POST /a b HTTP/1.1\r\n",
    b"POST /\x00 HTTP/1.1\r\n",
    b"POST /\xc3\xa4 HTTP/1.1\r\n",
    b"PO(ST / HTTP/1.1\r\n",
    b"POST / HTTP/11\r\n",
    b"POST / http/1.1\r\n",
]


def parse(head):
    return parse_request_head(head.splitlines(keepends=True))


class Recorder:
    """Application that records each request that it runs."""

    def __init__(self):
        self.runs = []

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        target = environ[ENVIRON_REQUEST_TARGET]
        headers = list(environ["headers_raw"])
        self.runs.append((environ["REQUEST_METHOD"], target, headers, body))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def address(recorder, free_address):
    address = free_address()
    with HttpServer(recorder, address, default_http_limits()):
        yield address


def exchange(address, data):
    """Send bytes, and return what comes until the server closes the connection."""
    host, _, port = address.rpartition(":")
    received = b""
    with contextlib.closing(socket.create_connection((host, int(port)))) as client:
        client.sendall(data)
        client.shutdown(socket.SHUT_WR)
        with eventlet.Timeout(10), contextlib.suppress(ConnectionError):
            while part := client.recv(65_536):
                received += part
    return received


@pytest.mark.parametrize("name", BAD_LINES)
def test_malformed_header_is_refused_and_its_connection_closed(address, recorder, name):
    head = b"POST / HTTP/1.1\r\nHost: a\r\n" + BAD_LINES[name] + b"\r\n"
    answer = exchange(address, head + HIDDEN)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["outcome"] == "not_run"
    assert recorder.runs == []


@pytest.mark.parametrize("line", BAD_REQUEST_LINES)
def test_malformed_request_line_is_refused(address, recorder, line):
    answer = exchange(address, line + b"Host: a\r\n" + LENGTH + b"\r\n" + HIDDEN)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert recorder.runs == []


def test_coding_of_an_old_version_is_refused(address, recorder):
    head = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert exchange(address, head + HIDDEN).startswith(b"HTTP/1.1 400 ")
    assert recorder.runs == []


@pytest.mark.parametrize(
    "target",
    ["//pay/x", "/pay/x?", "/pay//x", "/pay/../x", "/%2Fpay", "/pay?a=b?c", "/"],
)
def test_target_arrives_as_it_was_sent(address, recorder, target):
    exchange(address, f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    assert [run[1] for run in recorder.runs] == [target]


NAMES = st.from_regex(r"X-[A-Za-z0-9!#$%&'*+.^`|~-]{1,12}", fullmatch=True)
# Field values begin and end with a visible character (RFC 9110, section 5.5).
VALUES = st.from_regex(r"[!-~\x80-\xff]([ \t!-~\x80-\xff]{0,20}[!-~])?", fullmatch=True)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=6)
TARGETS = st.from_regex(r"/[!-~]{0,30}", fullmatch=True)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PURGE"])
MUTATIONS = st.sampled_from(
    [
        b" ",
        b"\t",
        b":",
        b"\r",
        b"\n",
        b"\0",
        b"\x7f",
        b"_",
        b",",
        b"\r\n ",
        b"0",
        b"\xff",
    ]
)


LENIENT_LENGTH = re.compile(
    rb"(?im)^[ \t]*content[-_]length[ \t]*:[ \t]*%d[ \t]*\r?$" % len(HIDDEN)
)


def make_head(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1", "Host: a", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(METHODS, TARGETS, HEADERS, st.binary(max_size=50))
def test_sound_request_arrives_byte_for_byte(
    address, recorder, method, target, headers, body
):
    recorder.runs.clear()
    answer = exchange(address, make_head(method, target, headers, body) + body)
    assert answer.startswith(b"HTTP/1.1 200 ")
    ((got_method, got_target, got_headers, got_body),) = recorder.runs
    assert (got_method, got_target, got_body) == (method, target, body)
    assert [item for item in got_headers if item[0].startswith("X-")] == headers


@settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.data())
def test_changed_head_never_lets_a_request_run_from_a_body(address, recorder, data):
    recorder.runs.clear()
    head = make_head("POST", "/", [("X-A", "1")], HIDDEN)
    position = data.draw(st.integers(0, len(head) - 4))
    inserted = data.draw(MUTATIONS)
    removed = data.draw(st.integers(0, 2))
    changed = head[:position] + inserted + head[position + removed :]
    exchange(address, changed + HIDDEN)
    changed_head, end, rest = (changed + HIDDEN).partition(b"\r\n\r\n")
    # A lenient parser would still find the length, so nothing may follow the body.
    if LENIENT_LENGTH.search(changed_head + end):
        assert [run[3] for run in recorder.runs] in ([], [rest[: len(HIDDEN)]])


def test_parsed_head_has_its_fields():
    head = parse(b"PUT /a?b HTTP/1.1\r\nHost: h\r\nx-A:  1 \r\nX-a: 2\r\n\r\n")
    assert (head.method, head.target, head.version) == ("PUT", "/a?b", "HTTP/1.1")
    assert head.headers == [("Host", "h"), ("x-A", "1"), ("X-a", "2")]
    assert head.get_tokens("x-a") == ["1", "2"]


@pytest.mark.parametrize(
    ("head", "will_close"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", False),
        (b"GET / HTTP/1.1\r\nConnection: a, Close\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", False),
    ],
)
def test_head_tells_whether_the_connection_closes(head, will_close):
    assert parse(head).will_close == will_close


def test_client_that_waits_for_an_interim_answer_is_known():
    assert parse(b"PUT / HTTP/1.1\r\nExpect: 100-Continue\r\n\r\n").expects_continue
    assert not parse(b"PUT / HTTP/1.0\r\nExpect: 100-continue\r\n\r\n").expects_continue


def test_other_versions_are_refused():
    with pytest.raises(HttpRequestError) as refusal:
        parse(b"GET / HTTP/2.0\r\nHost: a\r\n\r\n")
    assert refusal.value.status == 505


def test_refusal_quotes_nothing_of_the_head():
    with pytest.raises(HttpRequestError) as refusal:
        parse(b"GET / HTTP/1.1\r\nAuthorization : Token secret\r\n\r\n")
    assert "secret" not in refusal.value.message
