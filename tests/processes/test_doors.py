"""Complete answers, and invalid input at every network interface of the daemons."""

import json
import subprocess
from concurrent.futures import ThreadPoolExecutor

import pynng
import pytest

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.deployment import MODEL_SERVICE, PLAIN_SERVICE
from chestnutvale.emulator.processes import program_path, wait_until
from chestnutvale.schema.peer_pb2 import EntryReport, Envelope

CHAT_PATH = "/v1/chat/completions"
POSTINGS_PATH = f"/services/{PLAIN_SERVICE}/postings"
ANNOUNCEMENTS_PATH = "/endpoint/v1/announcements"


def post_request(deployment, entry, path, body, **headers):
    caller = deployment.make_caller(entry)
    url = f"http://{caller.address}{path}"
    fields = caller.headers() | headers
    return caller.http.request("POST", url, body=body, headers=fields)


def get_applied_number(deployment):
    answer = deployment.get_operator_page(deployment.wait_for_leader(), "status")
    return int(answer.json()["number"])


def capture_state(deployment):
    """Return the state that rejected input must not change."""
    wait_until(lambda: not deployment.find_busy_head(), 20, "all engines are idle")
    return (
        get_applied_number(deployment),
        deployment.fetch_run_counts(),
        deployment.fetch_attempt_counts(),
        {name: h["epoch"] for name, h in deployment.fetch_holdings().items()},
    )


@pytest.mark.parametrize("entry", ["entry-1", "entry-2", "entry-3"])
@pytest.mark.parametrize("api_form", ["chat", "completion"])
def test_streamed_answer_is_complete(deployment, entry, api_form):
    answer = deployment.make_caller(entry).generate(
        MODEL_SERVICE, "hello", 50, form=api_form
    )
    prompt = [{"role": "user", "content": "hello"}] if api_form == "chat" else "hello"
    assert (answer.status, answer.problem, answer.failure) == (200, {}, "")
    assert answer.is_complete
    assert answer.text == expected_text(prompt, 50)
    assert len(answer.chunk_ids) == 1


def test_unstreamed_answer_is_complete(deployment):
    body = {"model": MODEL_SERVICE, "prompt": "hello", "max_tokens": 20}
    answer = post_request(deployment, "entry-1", "/v1/completions", json.dumps(body))
    assert answer.status == 200
    assert answer.json()["choices"][0]["text"] == expected_text("hello", 20)


def test_concurrent_streams_do_not_mix(deployment):
    def stream_answer(number):
        caller = deployment.make_caller(f"entry-{number % 3 + 1}")
        answer = caller.generate(MODEL_SERVICE, f"question {number}", 40)
        return answer.is_complete, answer.text

    with ThreadPoolExecutor(30) as pool:
        answers = list(pool.map(stream_answer, range(30)))
    expected = [(True, expected_text(f"question {n}", 40)) for n in range(30)]
    assert answers == expected


GOOD = json.dumps({"model": MODEL_SERVICE, "messages": [], "stream": True})
CHAT_BODY = {
    "model": MODEL_SERVICE,
    "messages": [{"role": "user", "content": "x"}],
    "max_tokens": 3,
}


@pytest.mark.parametrize(
    ("path", "body", "headers", "statuses"),
    [
        (CHAT_PATH, "{", {}, {400}),
        (CHAT_PATH, "[]", {}, {400}),
        (CHAT_PATH, "[" * 100_000, {}, {400}),
        (CHAT_PATH, b"\xff\xfe", {}, {400}),
        (CHAT_PATH, json.dumps(CHAT_BODY | {"max_tokens": -1}), {}, {400}),
        (CHAT_PATH, json.dumps(CHAT_BODY | {"messages": "x"}), {}, {400}),
        (CHAT_PATH, json.dumps(CHAT_BODY | {"model": "none"}), {}, {400, 403, 404}),
        (CHAT_PATH, json.dumps(CHAT_BODY), {"Authorization": "Bearer no"}, {401}),
        (CHAT_PATH, json.dumps(CHAT_BODY), {"Authorization": ""}, {401}),
        (CHAT_PATH, json.dumps(CHAT_BODY), {"X-Priority": "soon"}, {400}),
        (CHAT_PATH, json.dumps(CHAT_BODY), {"X-Deadline-Ms": "-5"}, {400}),
        (POSTINGS_PATH, b"x" * 5_000_000, {"Idempotency-Key": "big"}, {413}),
        (POSTINGS_PATH, "{}", {"Idempotency-Key": "k" * 5_000}, {400}),
        ("/services/none/x", "{}", {}, {403, 404}),
        (ANNOUNCEMENTS_PATH, "{", {}, {400}),
        (ANNOUNCEMENTS_PATH, '{"host_id": "h"}', {}, {400}),
        (ANNOUNCEMENTS_PATH, '{"host_id": 7, "sequence": "many"}', {}, {400}),
    ],
)
def test_invalid_call_returns_a_problem_and_changes_nothing(
    deployment, path, body, headers, statuses
):
    before = capture_state(deployment)
    answer = post_request(deployment, "entry-2", path, body, **headers)
    assert answer.status in statuses, answer.data
    assert answer.headers["Content-Type"].startswith("application/problem+json")
    problem = answer.json()
    assert problem["code"]
    assert problem["outcome"] == "not_run"
    assert capture_state(deployment) == before


@pytest.mark.parametrize(
    ("text", "code", "expected_detail"),
    [
        ("{", 2, "1"),
        ('{"number": 2,\n "servces": {}}', 2, "2"),
        ('{"number": 0}', 2, "number"),
        ('{"number": 1, "services": {}}', 3, ""),
    ],
)
def test_refused_text_reports_the_reason_and_changes_nothing(
    deployment, tmp_path, text, code, expected_detail
):
    before = capture_state(deployment)
    path = tmp_path / "text.json"
    path.write_text(text)
    run = deployment.run_client("apply", str(path))
    assert run.returncode == code, run.stdout + run.stderr
    assert expected_detail in run.stdout + run.stderr
    assert capture_state(deployment) == before


def test_operator_without_token_is_refused(deployment):
    url = (
        f"http://{deployment.addresses[deployment.wait_for_leader()]}/operator/v1/text"
    )
    for headers in ({}, {"Authorization": "Bearer wrong"}):
        answer = deployment.http.request("POST", url, body="{}", headers=headers)
        assert answer.status == 401
        assert answer.json()["code"]


@pytest.mark.parametrize("program", ["chestnut-entry", "chestnut-control"])
@pytest.mark.parametrize(
    ("change", "expected_detail"),
    [
        ({"lease_msec": 3}, "lease_msec"),
        ({"http_address": "example.org:80"}, "http_address"),
        ({"peer_address": 5}, "peer_address"),
    ],
)
def test_wrong_settings_name_the_field(
    deployment, tmp_path, program, change, expected_detail
):
    name = "entry-1" if program == "chestnut-entry" else "control-1"
    settings = json.loads((deployment.folder / f"{name}.json").read_text()) | change
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    run = subprocess.run(
        [program_path(program), str(path)], capture_output=True, text=True, timeout=30
    )
    assert run.returncode != 0
    assert expected_detail in run.stderr
    assert "Traceback" not in run.stderr


def peer_address(deployment, name):
    settings = json.loads((deployment.folder / f"{name}.json").read_text())
    return settings["peer_address"]


@pytest.mark.parametrize("name", ["control-1", "entry-1"])
def test_foreign_and_truncated_peer_messages_change_nothing(deployment, name):
    before = capture_state(deployment)
    report = EntryReport(nonce=1, configuration_number=99, view_version=1)
    fields = {"cluster_id": "demo", "sender_id": "entry-9", "recipient_id": name}
    expired = Envelope(**fields, expires_at_unix_ms=1, entry_report=report)
    foreign = Envelope(cluster_id="x", recipient_id=name, entry_report=report)
    complete = expired.SerializeToString()
    messages = [b"", b"\xff" * 100, foreign.SerializeToString()]
    messages += [complete[:length] for length in range(0, len(complete) + 1, 3)]
    with pynng.Push0(send_timeout=5_000) as outbox:
        outbox.dial(f"tcp://{peer_address(deployment, name)}", block=True)
        for message in messages:
            outbox.send(message)
    assert deployment.make_caller("entry-1").generate(MODEL_SERVICE, "x", 3).is_complete
    after = capture_state(deployment)
    assert (after[0], after[1], after[3]) == (before[0], before[1], before[3])


def test_posting_sent_repeatedly_with_one_key_runs_once(deployment):
    def post(number):
        entry = f"entry-{number % 3 + 1}"
        headers = {"Idempotency-Key": "once"}
        return post_request(
            deployment, entry, POSTINGS_PATH, '{"amount": 1}', **headers
        )

    with ThreadPoolExecutor(9) as pool:
        answers = list(pool.map(post, range(9)))
    assert {answer.status for answer in answers} <= {201, 409}
    assert any(answer.status == 201 for answer in answers)
    for answer in answers:
        if answer.status == 409:
            assert answer.headers["Retry-After"]
    again = post(1)
    first = next(answer for answer in answers if answer.status == 201)
    assert (again.status, again.json()) == (201, first.json())
    assert deployment.fetch_run_counts()["once"] == 1
    headers = {"Idempotency-Key": "once"}
    other = post_request(
        deployment, "entry-1", POSTINGS_PATH, '{"amount": 2}', **headers
    )
    assert other.status in {409, 422}
    assert other.json()["outcome"] == "not_run"
    assert deployment.fetch_run_counts()["once"] == 1


def test_two_operators_race_and_one_text_is_in_force(deployment, tmp_path):
    number = get_applied_number(deployment) + 1
    original = deployment.options.text_path.read_text()
    paths = []
    for weight in (3, 4):
        text = original.replace('"number": 1', f'"number": {number}')
        text = text.replace('"weight": 2', f'"weight": {weight}')
        path = tmp_path / f"text-{weight}.json"
        path.write_text(text)
        paths.append(path)
    with ThreadPoolExecutor(2) as pool:
        runs = list(pool.map(lambda p: deployment.run_client("apply", str(p)), paths))
    codes = [run.returncode for run in runs]
    assert sorted(codes) == [0, 3], [run.stdout + run.stderr for run in runs]
    winner = paths[codes.index(0)]
    assert deployment.run_client("apply", str(winner)).returncode == 0
    assert deployment.run_client("apply", str(paths[codes.index(3)])).returncode == 3
    assert get_applied_number(deployment) == number
