"""An answer whose connection has failed is never passed on as a whole one."""

import eventlet
import pytest

from tests.http_client.answer_faults import reset_connection
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    event,
    routed_entry,
)

# The answer has no length and ends with its connection.
UNDELIMITED_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n"


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    return ScriptedEndpoint()


@pytest.mark.parametrize("sent_by_second", [b"", b"id: 3\nda"], ids=["none", "a part"])
def test_reset_of_a_held_attempt_breaks_its_stream(
    endpoint, other_endpoint, sent_by_second
):
    # Guards against a stream without a length that ends as complete: its connection
    # is reset while the call waits for another group, which breaks off too.
    def send_two_events_and_reset(sock, request):
        sock.sendall(UNDELIMITED_HEAD + event(1) + event(2))
        eventlet.sleep(0.9)
        reset_connection(sock)

    def break_off(sock, request):
        eventlet.sleep(0.6)
        sock.sendall(UNDELIMITED_HEAD + sent_by_second)
        eventlet.sleep(0.2)
        reset_connection(sock)

    endpoint.default = send_two_events_and_reset
    other_endpoint.default = break_off
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert len(other_endpoint.requests) == 1
    assert (status, body) == (200, event(1) + event(2))
    assert not is_complete
