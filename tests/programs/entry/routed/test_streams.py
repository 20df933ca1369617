"""Routed streams: each event arrives once and in order, or the answer is cut off."""

import eventlet
import pytest

from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    event,
    open_call,
    routed_entry,
    stream_head,
)

LAST = 6
WHOLE = b"".join(event(n) for n in range(1, LAST + 1))


def stream(until=LAST, tail=b"0\r\n\r\n", pause_s=0.0, cut=0):
    """Make a step that sends the events after the request's X-Last.

    Parameters
    ----------
    until : int
        Number of the last complete event.
    tail : bytes or None
        Bytes that end the answer; None closes the connection instead.
    pause_s : float
        Pause after each event in seconds.
    cut : int
        Number of bytes of the following event to send.
    """

    def step(sock, request):
        head = request.partition(b"\r\n\r\n")[0].decode().lower()
        last = int(head.partition("x-last: ")[2].partition("\r\n")[0])
        sock.sendall(stream_head())
        for number in range(last + 1, until + 1):
            sock.sendall(chunk(event(number)))
            eventlet.sleep(pause_s)
        if cut:
            sock.sendall(chunk(event(until + 1)[:cut]))
        if tail is None:
            sock.close()
            return
        sock.sendall(tail)

    return step


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    return ScriptedEndpoint()


def test_a_whole_stream_is_passed_on_and_its_connection_kept(endpoint):
    endpoint.default = stream()
    with routed_entry(endpoint) as entry:
        for _ in range(2):
            status, headers, body, is_whole = call(
                entry.address, "/gen/x", b"p", X_Model="m"
            )
            assert (status, body, is_whole) == (200, WHOLE, True)
            assert headers["x-made-by"] == "e1"
    assert endpoint.connections == 1


@pytest.mark.parametrize("cut", [0, 3, 9])
def test_a_stream_that_breaks_goes_on_at_another_group(endpoint, other_endpoint, cut):
    endpoint.default = stream(until=3, tail=None, cut=cut)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_whole = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert body == WHOLE
    assert is_whole
    assert other_endpoint.header("x-last") == "3"


def test_a_stream_that_falls_silent_goes_on_at_another_group(endpoint, other_endpoint):
    def stand_still(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        eventlet.sleep(5.0)

    endpoint.default = stand_still
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_whole = call(entry.address, "/gen/x", b"p", X_Model="m")
        assert ("gpu1", "broken") in entry.context.reports
    assert (body, is_whole) == (WHOLE, True)


def test_a_caller_that_has_some_events_gets_the_rest(endpoint):
    endpoint.default = stream()
    with routed_entry(endpoint) as entry:
        _, _, body, is_whole = call(
            entry.address, "/gen/x", b"p", X_Model="m", X_Last="4"
        )
    assert (body, is_whole) == (event(5) + event(6), True)


@pytest.mark.parametrize("path", ["/gen/x", "/fixed/x"])
def test_a_stream_that_can_t_go_on_looks_broken(endpoint, path):
    endpoint.default = stream(until=3, tail=None)
    with routed_entry(endpoint) as entry:
        status, _, body, is_whole = call(entry.address, path, b"p", X_Model="m")
    assert (status, body) == (200, event(1) + event(2) + event(3))
    assert not is_whole


def test_a_stream_that_may_not_be_resumed_runs_once(endpoint, other_endpoint):
    endpoint.default = ScriptedEndpoint.CLOSE
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/fixed/x", b"p", X_Model="m")[0] == 502
    assert not other_endpoint.requests


def test_an_event_is_never_given_twice(endpoint, other_endpoint):
    endpoint.default = stream(until=3, tail=None)

    def repeat(sock, request):
        sock.sendall(stream_head() + chunk(event(2)) + chunk(event(3)))
        sock.sendall(b"0\r\n\r\n")

    other_endpoint.default = repeat
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_whole = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert body == event(1) + event(2) + event(3)
    assert not is_whole


def test_an_endpoint_s_failure_is_passed_on(endpoint):
    answer = b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\nContent-Length: 3\r\n\r\nbad"
    endpoint.default = answer
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/fixed/x", b"p", X_Model="m")[::2] == (500, b"bad")


def test_a_caller_that_leaves_ends_the_work_at_the_endpoint(endpoint):
    ended = []

    def endless(sock, request):
        sock.sendall(stream_head())
        try:
            for number in range(1, 400):
                sock.sendall(chunk(event(number)))
                eventlet.sleep(0.02)
        except OSError:
            ended.append(number)

    endpoint.default = endless
    with routed_entry(endpoint) as entry:
        sock = open_call(entry.address, "/gen/x", b"p", X_Model="m")
        assert sock.recv(100)
        sock.close()
        wait_until(lambda: ended, timeout_s=2.0)
        assert ended[0] < 50


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
    ids=["status only", "before the blank line", "unsigned", "empty and unsigned"],
)
def test_a_stream_whose_head_is_not_the_endpoint_s_goes_on_elsewhere(
    endpoint, other_endpoint, head
):
    def step(sock, request):
        sock.sendall(head)
        sock.close()

    endpoint.default = step
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        for _ in range(4):
            status, headers, body, is_whole = call(
                entry.address, "/gen/x", b"p", X_Model="m"
            )
            assert (status, body, is_whole) == (200, WHOLE, True)
            assert headers["x-made-by"] == "e1"
