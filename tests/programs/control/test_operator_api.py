"""Input checks of the operator API: tokens, bodies, unknown calls."""

import io
import json

import eventlet
import pytest
from eventlet import patcher
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.clock import SystemClock
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.programs.control import operator_api
from chestnutvale.programs.control.operator_api import OperatorApi
from chestnutvale.programs.control.operator_const import SMALL_TEXT_CHARACTERS
from chestnutvale.programs.native_threads import MAX_PARSING_THREADS
from chestnutvale.settings.token import hash_token
from tests.programs.operator_fakes import TOKEN, FakeBackend, FakeCluster


@pytest.fixture
def backend():
    cluster = FakeCluster()
    cluster.leader = "c1"
    return FakeBackend(cluster, "c1")


@pytest.fixture
def send_request(backend):
    """Return a function that sends a request and returns status and answer."""
    api = OperatorApi(hash_token(TOKEN), backend, SystemClock())

    def send(method, path, body=b"", authorization=f"Bearer {TOKEN}", **headers):
        statuses = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": "",
            "HTTP_AUTHORIZATION": authorization,
            "wsgi.input": io.BytesIO(body),
            **headers,
        }
        answer = api(environ, lambda status, headers: statuses.append(status))
        return int(statuses[0].split()[0]), json.loads(b"".join(answer))

    return send


CALLS = [
    ("POST", "/operator/v1/text"),
    ("GET", "/operator/v1/text"),
    ("POST", "/operator/v1/plan"),
    ("GET", "/operator/v1/status"),
    ("POST", "/operator/v1/drain"),
    ("POST", "/operator/v1/evacuation"),
    ("POST", "/operator/v1/voters"),
    ("GET", "/operator/v1/dump"),
    ("GET", "/operator/v1/none"),
]


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "authorization",
    [
        "",
        TOKEN,
        f"Basic {TOKEN}",
        f"Bearer {TOKEN}x",
        f"Bearer {TOKEN[:-1]}",
        "Bearer ",
    ],
)
def test_no_call_without_the_token(send_request, backend, call, authorization):
    status, answer = send_request(*call, b'{"number": 1}', authorization)
    assert (status, answer["outcome"]) == (401, "not_run")
    assert TOKEN not in json.dumps(answer)
    assert backend.cluster.state.number == 0


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("text", b"\xff\xfe", 400),
        ("text", b'{"number": 0}', 400),
        ("text", b" " * (1024 * 1024 + 1), 413),
        ("drain", b"{", 400),
        ("drain", b'{"host_id": ""}', 400),
        ("drain", b'{"host": "h"}', 400),
        ("drain", b'{"a":' * 3_000, 400),
        ("drain", b" " * 20_000, 413),
        ("voters", b'{"action": "mend", "id": "c4"}', 400),
        ("voters", b'{"action": "add", "id": "c4"}', 400),
        ("none", b"", 404),
    ],
)
def test_invalid_bodies_are_refused(send_request, path, body, status):
    actual_status, answer = send_request("POST", f"/operator/v1/{path}", body)
    assert (actual_status, answer["outcome"]) == (status, "not_run")


def test_text_in_force_can_be_applied_again(send_request):
    assert send_request("POST", "/operator/v1/text", b'{"number": 3}')[0] == 200
    _, text = send_request("GET", "/operator/v1/text")
    assert text["number"] == 3
    status, answer = send_request(
        "POST", "/operator/v1/text", json.dumps(text).encode()
    )
    assert (status, answer["outcome"]) == (200, "resent")


@pytest.mark.parametrize(
    ("error", "status", "outcome"),
    [
        ("before:members_change_refused", 409, "not_run"),
        ("before:outcome_unknown", 504, "unknown"),
        ("after:outcome_unknown", 504, "unknown"),
        ("before:consensus_failed", 503, "unknown"),
        ("before:not_leader", 503, "not_run"),
    ],
)
def test_errors_of_the_control_become_problems(
    send_request, backend, error, status, outcome
):
    backend.errors = [error]
    actual_status, answer = send_request("POST", "/operator/v1/text", b'{"number": 1}')
    assert (actual_status, answer["outcome"]) == (status, outcome)
    assert answer["step"]


def test_a_follower_names_the_leader(send_request, backend):
    backend.cluster.leader = "c2"
    backend.cluster.addresses["c2"] = "127.0.0.1:5"
    status, answer = send_request("GET", "/operator/v1/status")
    assert (status, answer["leader_http_address"]) == (421, "127.0.0.1:5")
    status, answer = send_request("GET", "/operator/v1/status", QUERY_STRING="local=1")
    assert (status, answer["confirmed"]) == (200, False)


@pytest.mark.parametrize("deadline", ["-1", "soon", "9" * 30, "\u0664"])
def test_an_invalid_deadline_is_refused(send_request, deadline):
    assert (
        send_request("GET", "/operator/v1/status", HTTP_X_DEADLINE_MS=deadline)[0]
        == 400
    )


def test_evacuation_orders_are_answered_truthfully(send_request, backend):
    # Guards against a wrong status, by which a client gives up or repeats in vain.
    path = "/operator/v1/evacuation"
    body = json.dumps({"data_centre": "a"}).encode()
    for changed in (True, False):
        status, answer = send_request("POST", path, body, HTTP_X_OPERATOR="Ann")
        assert (status, answer.get("changed", False)) == (200, changed)
    assert backend.cluster.evacuations.in_force["a"].operator == "Ann"
    status, answer = send_request("POST", path, b'{"data_centre": "nowhere"}')
    assert (status, answer["code"]) == (422, "unknown_data_centre")
    for wrong in (b"", b"{}", b'{"data_centre": 5}', b'{"zone": "a"}', b"\xff"):
        assert send_request("POST", path, wrong)[0] == 400
    backend.errors = ["before:evacuation_not_ready"]
    assert send_request("POST", path, body)[0] == 503
    finish = json.dumps({"data_centre": "a", "finish": True}).encode()
    backend.errors = ["after:outcome_unknown"]
    assert send_request("POST", path, finish)[0] == 504
    assert not backend.cluster.evacuations.evacuated


JSON_VALUES = st.none() | st.booleans() | st.integers() | st.text(max_size=20)


@given(
    st.binary(max_size=40)
    | st.dictionaries(
        st.sampled_from(["data_centre", "finish", "dataCentre", "x"]), JSON_VALUES
    ).map(lambda data: json.dumps(data).encode())
)
def test_no_evacuation_order_fails_the_control(body):
    # Guards against a 500, after which a client repeats an order that can't be read.
    cluster = FakeCluster()
    cluster.leader = "c1"
    backend = FakeBackend(cluster, "c1")
    api = OperatorApi(hash_token(TOKEN), backend, SystemClock())
    statuses = []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/operator/v1/evacuation",
        "HTTP_AUTHORIZATION": f"Bearer {TOKEN}",
        "wsgi.input": io.BytesIO(body),
    }
    api(environ, lambda status, headers: statuses.append(int(status.split()[0])))
    assert statuses[0] in (200, 400)
    assert (statuses[0] == 200) or not cluster.evacuations.data_centres


def test_many_large_texts_leave_native_threads_for_writes(send_request, monkeypatch):
    running, most_running = [], []

    def parse(raw, domain_hosts):
        running.append(raw)
        most_running.append(len(running))
        patcher.original("time").sleep(0.02)
        running.pop()
        raise TextError([TextProblem(1, "path", "not valid")])

    monkeypatch.setattr(operator_api, "parse_text", parse)
    body = b" " * (SMALL_TEXT_CHARACTERS + 1)
    calls = [
        eventlet.spawn(send_request, "POST", "/operator/v1/plan", body)
        for _ in range(3 * MAX_PARSING_THREADS)
    ]
    assert [call.wait()[0] for call in calls] == [400] * len(calls)
    assert max(most_running) <= MAX_PARSING_THREADS
