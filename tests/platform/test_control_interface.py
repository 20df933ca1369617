"""A control's calls on the platform's wire: statuses, and what bad input changes."""

import io
import json
from types import SimpleNamespace

import pytest

from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.membership.exceptions import OldSequenceError
from chestnutvale.schema.configuration_pb2 import ApplyTextResult
from tests.platform.documents import CONFIGURATION, HEARTBEAT, changed

from adapter.control_interface import PlatformControlInterface  # isort: skip

REPLACE = "/api/configuration/replace"
READ = "/api/configuration/read"
BEAT = "/api/instances/i-1/heartbeat"


class Operations:
    """A control that leads, follows, or can't tell."""

    def __init__(self):
        self.leads = True
        self.leader = "10.1.0.43"
        self.error = None
        self.applied = []
        self.document = b""

    def is_leader(self):
        return self.leads

    def leader_id(self):
        return self.leader

    def apply_text(self, command, deadline_s):
        if self.error is not None:
            raise self.error
        self.applied.append(command)
        return ApplyTextResult(outcome="accepted", number_in_force=command.text.number)

    def read_document(self, deadline_s):
        if self.error is not None:
            raise self.error
        return self.document


class Hosts:
    def __init__(self):
        self.announced = []
        self.error = None
        self.left = []

    def announce(self, announcement):
        if self.error is not None:
            raise self.error
        self.announced.append(announcement)

    def leave(self, host_id):
        self.left.append(host_id)
        return host_id == "i-1"


class Control:
    def __init__(self):
        self.operations = Operations()
        self.hosts = Hosts()
        parts = SimpleNamespace(
            operations=self.operations,
            announcement_handler=self.hosts,
            clock=SimpleNamespace(now_s=lambda: 1.0),
            metrics=SimpleNamespace(render=lambda: b"metrics"),
        )
        self.app = PlatformControlInterface("10.1.0.43:8229").make_app(parts)

    def call(self, method, path, body=b""):
        seen = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
        }
        data = b"".join(self.app(environ, lambda *head: seen.extend(head)))
        status, headers = seen
        return int(status.split()[0]), dict(headers), data


@pytest.fixture
def control():
    return Control()


def test_a_valid_configuration_is_committed_as_it_was_sent(control):
    document = json.dumps(CONFIGURATION, indent=3).encode()
    assert control.call("POST", REPLACE, document)[0] == 200
    (command,) = control.operations.applied
    assert command.highest_wins
    assert command.document == document


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        json.dumps(changed(CONFIGURATION, ("routes", 1, "service"), "nobody")).encode(),
        json.dumps(changed(CONFIGURATION, ("routes", 0, "timeoutMs"), 0)).encode(),
        json.dumps(changed(CONFIGURATION, ("version",), "7")).encode(),
    ],
)
def test_an_invalid_configuration_is_refused_and_changes_nothing(control, body):
    assert control.call("POST", REPLACE, body)[0] == 400
    assert not control.operations.applied


def test_a_follower_sends_the_operator_to_the_leader(control):
    control.operations.leads = False
    control.operations.leader = "10.2.0.32"
    status, headers, _ = control.call(
        "POST", REPLACE, json.dumps(CONFIGURATION).encode()
    )
    assert status == 307
    assert headers["Location"] == f"http://10.2.0.32:8229{REPLACE}"
    control.operations.error = NotLeaderError("10.2.0.32")
    assert control.call("GET", READ)[1]["Location"].endswith(READ)


@pytest.mark.parametrize("error", [NotLeaderError(""), OutcomeUnknownError("late")])
def test_without_certainty_nothing_is_acknowledged_or_read(control, error):
    control.operations.error = error
    body = json.dumps(CONFIGURATION).encode()
    assert control.call("POST", REPLACE, body)[0] == 503
    assert control.call("GET", READ)[0] == 503


def test_the_document_is_read_back_unchanged(control):
    assert control.call("GET", READ)[0] == 503
    control.operations.document = b'{"version": 7 }'
    assert control.call("GET", READ)[::2] == (200, b'{"version": 7 }')


def test_heartbeats_are_taken(control):
    status, _, body = control.call("POST", BEAT, json.dumps(HEARTBEAT).encode())
    assert (status, json.loads(body)) == (200, {})
    assert control.hosts.announced[0].host_id == "i-1"


def test_an_old_heartbeat_is_acknowledged_and_a_foreign_one_refused(control):
    control.hosts.error = OldSequenceError("old", peer="i-1")
    assert control.call("POST", BEAT, json.dumps(HEARTBEAT).encode())[0] == 200
    assert control.call("POST", BEAT, b"\x00")[0] == 400
    assert not control.hosts.announced


def test_a_worker_that_leaves_is_noted(control):
    assert control.call("POST", "/api/instances/i-1/deregister")[0] == 200
    assert control.call("POST", "/api/instances/i-2/deregister")[0] == 503


@pytest.mark.parametrize(
    "method, path",
    [("GET", REPLACE), ("POST", READ), ("POST", "/api/instances/i-1"), ("GET", "/")],
)
def test_other_calls_are_unknown(control, method, path):
    assert control.call(method, path)[0] == 404
