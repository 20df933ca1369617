"""Answers are parsed at any boundary, and bytes without end are refused early."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.http_client.answer_parser import AnswerParser
from chestnutvale.http_client.const import MAX_HEAD_BYTES
from chestnutvale.http_client.exceptions import AnswerFormatError

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "sized": (OK + b"Content-Length: 5\r\n\r\nab\r\nc", b"ab\r\nc"),
    "chunked": (
        CHUNKED + b"2;x=y\r\nab\r\n3\r\n\r\nc\r\n0\r\nX-T: 1\r\n\r\n",
        b"ab\r\nc",
    ),
    "bare line ends": (b"HTTP/1.1 200\nContent-Length: 1\n\na", b"a"),
    "after interim heads": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
        + OK
        + b"Content-Length: 1\r\n\r\na",
        b"a",
    ),
    "empty": (OK + b"Content-Length: 0\r\n\r\n", b""),
    "without content": (b"HTTP/1.1 204 No\r\nContent-Length: 9\r\n\r\n", b""),
    "not modified": (b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", b""),
}


def feed_pieces(parser, data, sizes):
    body = b""
    for size in [*sizes, len(data)]:
        body += parser.feed(data[:size])
        data = data[size:]
    return body


@pytest.mark.parametrize("name", ANSWERS)
@given(sizes=st.lists(st.integers(1, 9), max_size=60))
def test_answer_is_parsed_at_any_boundary_and_the_rest_is_kept(name, sizes):
    data, body = ANSWERS[name]
    parser = AnswerParser("POST")
    assert feed_pieces(parser, data + b"HTTP/1.1", sizes) == body
    assert parser.is_complete
    assert parser.take_rest() == b"HTTP/1.1"
    assert parser.head.status in (200, 204, 304)


@pytest.mark.parametrize("name", ["sized", "chunked", "after interim heads"])
def test_answer_cut_anywhere_is_incomplete(name):
    data, _ = ANSWERS[name]
    for cut in range(len(data)):
        parser = AnswerParser("POST")
        parser.feed(data[:cut])
        with pytest.raises(AnswerFormatError):
            parser.end()


def test_body_without_length_ends_with_the_connection():
    parser = AnswerParser("POST")
    assert parser.feed(OK + b"\r\nab") == b"ab"
    assert not parser.is_complete
    parser.end()
    assert parser.is_complete
    assert parser.head.will_close


STATUSES = [f"{number:03}" for number in range(1000)]
ODD_STATUSES = [
    "",
    "0",
    "20",
    "0200",
    "2000",
    "-01",
    "+20",
    "2x0",
    " 200",
    "200.",
    "²00",
]


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
def test_only_statuses_of_http_are_accepted(method):
    # Guards against an invalid status, such as 000 or 999, that reaches a caller.
    for status in STATUSES + ODD_STATUSES:
        parser = AnswerParser(method)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
        with contextlib.suppress(AnswerFormatError):
            parser.feed(head.encode())
        is_accepted = parser.head is not None
        assert is_accepted == (status in STATUSES[200:600]), status


@pytest.mark.parametrize(
    ("head", "will_close"),
    [
        (OK + b"Content-Length: 0\r\n\r\n", False),
        (OK + b"Content-Length: 0\r\nConnection: X, Close\r\n\r\n", True),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", True),
        (
            b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n",
            False,
        ),
        (OK + b"Connection: keep-alive\r\n\r\n", True),
        (
            OK + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            True,
        ),
        (b"HTTP/1.1 204 No\r\n\r\n", False),
    ],
)
def test_head_tells_whether_the_connection_closes(head, will_close):
    parser = AnswerParser("POST")
    parser.feed(head)
    assert parser.head.will_close == will_close


def test_answer_to_a_head_request_has_no_body():
    parser = AnswerParser("HEAD")
    parser.feed(OK + b"Content-Length: 9\r\n\r\n")
    assert parser.is_complete


def test_folded_and_repeated_headers_are_kept():
    parser = AnswerParser("POST")
    parser.feed(OK + b"A: 1\r\n  2\r\na:3 \r\nContent-Length: 0\r\n\r\n")
    assert parser.head.headers[:2] == [("A", "1 2"), ("a", "3")]


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe nonsense\r\n",
        b"HTTP/2 200 OK\r\n",
        b"HTTP/1.1 99 Low\r\n",
        b"HTTP/1.1 101 Switch\r\n\r\n",
        OK + b"no colon\r\n",
        OK + b": no name\r\n",
        OK + b" folded\r\n",
        OK + b"A: a\rb\r\n",
        OK + b"Content-Length: -1\r\n\r\n",
        OK + b"Content-Length: 5x\r\n\r\n",
        OK + b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\n",
        OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        OK + b"Transfer-Encoding: gzip\r\n\r\n",
        CHUNKED + b"-5\r\n",
        CHUNKED + b"0x1\r\n",
        CHUNKED + b"\r\n",
        CHUNKED + b"1\r\nabc",
    ],
)
def test_bytes_that_are_no_answer_are_refused(data):
    parser = AnswerParser("POST")
    with pytest.raises(AnswerFormatError):
        parser.feed(data)
        # A head is checked at its end.
        parser.feed(b"\r\n")


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"", b"x"),
        (OK, b"x"),
        (OK, b"A: b\r\n"),
        (OK + b"A: b\r\n", b" \r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED, b"0"),
        (CHUNKED + b"5;", b"x"),
        (CHUNKED + b"0\r\n", b"A: b\r\n"),
        (CHUNKED + b"0\r\n", b"x"),
    ],
)
def test_framing_without_end_is_refused_at_the_limit(start, block):
    parser = AnswerParser("POST")
    parser.feed(start)
    with pytest.raises(AnswerFormatError):
        for _ in range(MAX_HEAD_BYTES // len(block) + 1):
            parser.feed(block)


def test_bytes_before_a_fault_are_given_first():
    parser = AnswerParser("POST")
    assert parser.feed(CHUNKED + b"2\r\nab\r\nfault\r\n") == b"ab"
    for _ in range(2):
        with pytest.raises(AnswerFormatError):
            parser.feed(b"")
    with pytest.raises(AnswerFormatError):
        parser.end()


FRAGMENTS = [
    b"HTTP/1.1 ",
    b"200 OK",
    b"100",
    b"\r",
    b"\n",
    b"\r\n",
    b"Content-Length: ",
    b"Transfer-Encoding: chunked",
    b"Connection:",
    b"0",
    b"5",
    b";",
    b" ",
    b"\x00",
    b"\xff",
]


@given(st.lists(st.sampled_from(FRAGMENTS), max_size=60))
def test_foreign_bytes_only_ever_raise_the_typed_error(parts):
    parser = AnswerParser("POST")
    with contextlib.suppress(AnswerFormatError):
        for part in parts:
            parser.feed(part)
        parser.end()
