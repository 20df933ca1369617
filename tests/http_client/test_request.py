"""Requests are encoded with a length and can't be split by their parts."""

import pytest

from chestnutvale.http_client.request import encode_request


def test_body_gets_a_length():
    assert encode_request("POST", "/a", [("Host", "x")], b"ab") == (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
    )
    assert encode_request("GET", "/a", [], b"") == b"GET /a HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize(
    ("target", "name", "value"),
    [
        ("/a b", "X", "y"),
        ("/a\r\nX: y", "X", "y"),
        ("/a", "X\r\nA", "y"),
        ("/a", "X", "y\nz"),
    ],
)
def test_parts_that_would_split_the_request_are_refused(target, name, value):
    with pytest.raises(ValueError):
        encode_request("POST", target, [(name, value)], b"")
