"""Control interface of the platform: statuses, redirects and invalid input."""

import io
import json
from types import SimpleNamespace

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.configuration.service_names import ServiceNames
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.evacuations.exceptions import (
    EvacuationNotReadyError,
    UnknownDataCentreError,
)
from chestnutvale.membership.exceptions import (
    DepartureNotRecordedError,
    OldSequenceError,
)
from chestnutvale.observability import catalog
from chestnutvale.schema.configuration_pb2 import ApplyTextResult, Text
from tests.platform.documents import CONFIGURATION, HEARTBEAT, replace_value

from adapter.control_interface import PlatformControlInterface  # isort: skip

REPLACE_PATH = "/api/configuration/replace"
READ_PATH = "/api/configuration/read"
HEARTBEAT_PATH = "/api/instances/i-1/heartbeat"


class FakeOperations:
    """Fake operations of a control that is leader, follower or raises `error`."""

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

    def set_evacuation(self, command, deadline_s):
        if self.error is not None:
            raise self.error
        self.applied.append(command)

    def text_in_force(self):
        return Text()

    def service_names(self):
        return ServiceNames()

    def read_document(self, deadline_s):
        if self.error is not None:
            raise self.error
        return self.document


class FakeHosts:
    def __init__(self):
        self.announced = []
        self.error = None
        self.left = []

    def announce(self, announcement, deadline_s):
        if self.error is not None:
            raise self.error
        self.announced.append(announcement)

    def leave(self, host_id, deadline_s):
        if self.error is not None:
            raise self.error
        self.left.append(host_id)
        return host_id == "i-1"


class FakeControl:
    def __init__(self):
        self.operations = FakeOperations()
        self.hosts = FakeHosts()
        self.readers = {}
        components = SimpleNamespace(
            operations=self.operations,
            announcement_handler=self.hosts,
            clock=SimpleNamespace(now_s=lambda: 1.0),
            metrics=SimpleNamespace(
                render=lambda: b"metrics", register_counter=self.readers.setdefault
            ),
        )
        self.app = PlatformControlInterface("10.1.0.43:8229").make_app(components)

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
    return FakeControl()


def test_valid_configuration_is_committed_unchanged(control):
    document = json.dumps(CONFIGURATION, indent=3).encode()
    assert control.call("POST", REPLACE_PATH, document)[0] == 200
    (command,) = control.operations.applied
    assert command.highest_wins
    assert command.document == document


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        json.dumps(
            replace_value(CONFIGURATION, ("routes", 1, "service"), "nobody")
        ).encode(),
        json.dumps(
            replace_value(CONFIGURATION, ("routes", 0, "timeoutMs"), 0)
        ).encode(),
        json.dumps(replace_value(CONFIGURATION, ("version",), "7")).encode(),
    ],
)
def test_invalid_configuration_is_rejected(control, body):
    assert control.call("POST", REPLACE_PATH, body)[0] == 400
    assert not control.operations.applied


def test_follower_redirects_operator_to_leader(control):
    control.operations.leads = False
    control.operations.leader = "10.2.0.32"
    status, headers, _ = control.call(
        "POST", REPLACE_PATH, json.dumps(CONFIGURATION).encode()
    )
    assert status == 307
    assert headers["Location"] == f"http://10.2.0.32:8229{REPLACE_PATH}"
    control.operations.error = NotLeaderError("10.2.0.32")
    assert control.call("GET", READ_PATH)[1]["Location"].endswith(READ_PATH)


@pytest.mark.parametrize("error", [NotLeaderError(""), OutcomeUnknownError("late")])
def test_unknown_outcome_or_leader_gets_503(control, error):
    control.operations.error = error
    body = json.dumps(CONFIGURATION).encode()
    assert control.call("POST", REPLACE_PATH, body)[0] == 503
    assert control.call("GET", READ_PATH)[0] == 503


def test_refused_read_is_logged_with_its_reason(control):
    control.operations.error = OutcomeUnknownError("no quorum answered in time")
    with logbook.TestHandler() as handler:
        control.call("GET", READ_PATH)
    assert any("no quorum answered" in item.message for item in handler.records)


def test_document_is_read_back_unchanged(control):
    assert control.call("GET", READ_PATH)[0] == 503
    control.operations.document = b'{"version": 7 }'
    assert control.call("GET", READ_PATH)[::2] == (200, b'{"version": 7 }')


@pytest.mark.parametrize("action", ["begin", "finish"])
def test_evacuation_is_ordered_for_the_zone_of_the_path(control, action):
    # Guards against the wrong zone or the opposite order.
    path = f"/api/evacuations/z%C3%BCrich/{action}".replace("%C3%BC", "\u00c3\u00bc")
    assert control.call("POST", path)[0] == 200
    (command,) = control.operations.applied
    assert command.data_centre == "zürich"
    assert command.finish == (action == "finish")


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (NotLeaderError("10.2.0.32"), 307),
        (NotLeaderError(""), 503),
        (OutcomeUnknownError("late"), 503),
        (EvacuationNotReadyError("an old build"), 503),
        (UnknownDataCentreError("unknown"), 422),
    ],
)
def test_evacuation_that_is_not_done_is_answered_truthfully(control, error, status):
    # Guards against a 4xx for a fault that passes: it would end the operator's order.
    control.operations.error = error
    path = "/api/evacuations/a%20b/begin"
    found, headers, _ = control.call("POST", path.replace("%20", " "))
    assert found == status
    if status == 307:
        assert headers["Location"] == f"http://10.2.0.32:8229{path}"
    assert ("Retry-After" in headers) == (status == 503)


@given(st.text(st.characters(max_codepoint=255), max_size=40))
def test_no_path_of_an_evacuation_order_fails_the_control(name):
    # Guards against a 500 for a path that a client or a scanner made up.
    control = FakeControl()
    control.operations.error = NotLeaderError("10.2.0.32")
    status, headers, _ = control.call("POST", f"/api/evacuations/{name}/begin")
    assert status == (307 if name else 404)
    if name:
        assert headers["Location"].isascii()
        assert headers["Location"].isprintable()


def test_heartbeat_is_announced(control):
    status, _, body = control.call(
        "POST", HEARTBEAT_PATH, json.dumps(HEARTBEAT).encode()
    )
    assert (status, json.loads(body)) == (200, {})
    assert control.hosts.announced[0].host_id == "i-1"


def test_stale_heartbeat_gets_200_and_malformed_one_400(control):
    control.hosts.error = OldSequenceError("old", peer="i-1")
    assert (
        control.call("POST", HEARTBEAT_PATH, json.dumps(HEARTBEAT).encode())[0] == 200
    )
    assert control.call("POST", HEARTBEAT_PATH, b"\x00")[0] == 400
    assert not control.hosts.announced


@pytest.mark.parametrize("missing", ["slots", "version", "born", "coldRemainingMs"])
def test_heartbeat_of_another_writer_changes_nothing_of_an_engine(control, missing):
    """It would look like a host that has left its group, and end its streams."""
    document = {
        key: HEARTBEAT[key]
        for key in HEARTBEAT
        if key not in ("group", "domain", missing)
    }
    status, _, body = control.call(
        "POST", HEARTBEAT_PATH, json.dumps(document).encode()
    )
    assert status == 400
    assert "missing" in json.loads(body)["error"]
    ((_, malformed),) = control.readers[catalog.ANNOUNCEMENTS_MALFORMED]()
    assert malformed == 1
    assert not control.hosts.announced


@pytest.mark.parametrize(
    "error", [DepartureNotRecordedError("no leader"), OutcomeUnknownError("late")]
)
def test_departure_that_is_not_recorded_gets_503(control, error):
    # Guards against an acknowledgement that the controls can forget.
    control.hosts.error = error
    body = json.dumps(HEARTBEAT | {"state": "draining"}).encode()
    for path, content in [
        (HEARTBEAT_PATH, body),
        ("/api/instances/i-1/deregister", b""),
    ]:
        status, headers, _ = control.call("POST", path, content)
        assert status == 503
        assert float(headers["Retry-After"]) < 1


def test_deregister_of_known_and_unknown_worker(control):
    assert control.call("POST", "/api/instances/i-1/deregister")[0] == 200
    assert control.call("POST", "/api/instances/i-2/deregister")[0] == 503


@pytest.mark.parametrize(
    "method, path",
    [
        ("GET", REPLACE_PATH),
        ("POST", READ_PATH),
        ("POST", "/api/instances/i-1"),
        ("GET", "/api/evacuations/a/begin"),
        ("POST", "/api/evacuations/a/pause"),
        ("POST", "/api/evacuations//begin"),
        ("POST", "/api/evacuations/begin"),
        ("GET", "/"),
    ],
)
def test_other_calls_get_404(control, method, path):
    assert control.call(method, path)[0] == 404
