"""The client's attempts, and the control that it names after an unknown outcome."""

import pytest

from chestnutvale.programs.client.const import MIN_ATTEMPT_S
from chestnutvale.programs.client.control_client import ControlClient
from chestnutvale.programs.client.exceptions import OutcomeUnknownError
from chestnutvale.schema.settings_pb2 import ClientSettings, PeerAddress


class FakeClock:
    def __init__(self):
        self.times_s = 0.0

    def now_s(self):
        return self.times_s


@pytest.fixture
def client():
    settings = ClientSettings(
        timeout_ms=1_000,
        controls=[PeerAddress(id="c1", http_address="127.0.0.1:1")],
    )
    clock = FakeClock()
    made = ControlClient(settings, "token", clock=clock, sleep=lambda time_s: None)
    made.clock = clock
    return made


def lose_answers(client, took_s, sent):
    """Let each request take a time and lose its answer."""

    def request(method, address, path, body, timeout_s):
        sent.append((address, timeout_s))
        client.clock.times_s += took_s
        raise OSError("the answer was lost")

    client._send_request = request


def test_no_attempt_is_sent_that_cannot_be_answered_in_time(client):
    # Guards against a failure that names a control which had no time to answer.
    sent = []
    lose_answers(client, 0.999, sent)
    client._sleep = lambda time_s: setattr(client.clock, "times_s", 1.0)
    with pytest.raises(OutcomeUnknownError):
        client.call("POST", "/x", is_mutation=True)
    assert [timeout_s for _, timeout_s in sent] == [1.0]
    client.clock.times_s = 0.0
    client._addresses = ["127.0.0.1:1", "127.0.0.1:2"]
    sent.clear()
    with pytest.raises(OutcomeUnknownError) as caught:
        client.call("POST", "/x", is_mutation=True)
    assert [address for address, _ in sent] == ["127.0.0.1:1"]
    assert "127.0.0.1:2" not in str(caught.value)
    assert all(timeout_s >= MIN_ATTEMPT_S for _, timeout_s in sent)


def test_failure_names_all_controls_that_may_have_run_the_command(client):
    sent = []
    lose_answers(client, 0.3, sent)
    client._addresses = ["127.0.0.1:1", "127.0.0.1:2"]
    with pytest.raises(OutcomeUnknownError) as caught:
        client.call("POST", "/x", is_mutation=True)
    for address in client._addresses:
        assert address in str(caught.value)
