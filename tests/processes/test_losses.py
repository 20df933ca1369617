"""Daemons and hosts are killed, suspended, drained and restarted under load."""

import json
import subprocess
import time

import pytest

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    WORKSPACE_KEYS,
)
from chestnutvale.emulator.processes import program_path, wait_until
from tests.processes.conftest import GROUP_COUNT

LONG_ANSWER_TOKENS = 150
POSTINGS_PATH = f"/services/{PLAIN_SERVICE}/postings"

pytestmark = pytest.mark.usefixtures("restored_deployment")


class ActionAfterTokens:
    """Token callback that runs an action once after a number of tokens."""

    def __init__(self, action, after_tokens=30):
        self.has_run = False
        self._action = action
        self._after_tokens = after_tokens

    def __call__(self, answer):
        if not self.has_run and len(answer.text.split()) >= self._after_tokens:
            self.has_run = True
            self._action()
        return True


def stream_answer(deployment, entry, prompt, on_token=None, length=LONG_ANSWER_TOKENS):
    caller = deployment.make_caller(entry)
    return caller.generate(MODEL_SERVICE, prompt, length, on_token=on_token)


def assert_complete(answer, prompt, length=LONG_ANSWER_TOKENS):
    assert (answer.problem, answer.failure) == ({}, "")
    assert answer.is_complete
    assert answer.text == expected_text(prompt, length)


def apply_next_text(deployment, tmp_path):
    """Apply the text again under the next number and return the number."""
    status = deployment.get_operator_page(deployment.wait_for_leader(), "status").json()
    number = int(status["number"]) + 1
    text = deployment.options.text_path.read_text()
    path = tmp_path / f"text-{number}.json"
    path.write_text(text.replace('"number": 1', f'"number": {number}'))
    deployment.apply_text(path)
    return number


def get_applied_number(deployment, control):
    answer = deployment.get_operator_page(control, "text")
    return int(answer.json()["number"]) if answer.status == 200 else None


def list_unreachable_controls(deployment):
    """Return the controls that are unreachable according to the leader's status."""
    status = deployment.get_operator_page(deployment.wait_for_leader(), "status").json()
    voters = status["voters"]
    return {voter["id"].split("#")[0] for voter in voters if not voter["reachable"]}


@pytest.mark.parametrize("rank", [0, -1])
def test_lost_member_does_not_break_the_answer(deployment, rank):
    killed_hosts = []

    def kill_member():
        head = deployment.find_busy_head()
        for members in deployment.fetch_groups().values():
            if members[0] == head:
                killed_hosts.append(members[rank])
                deployment.engines[members[rank]].kill()

    # Each run needs its own prompt, because a request that was running when two groups
    # failed is banned as their cause.
    prompt = f"lost member {rank}"
    answer = stream_answer(
        deployment, "entry-1", prompt, ActionAfterTokens(kill_member)
    )
    assert killed_hosts
    assert_complete(answer, prompt)


def test_killed_entry_breaks_only_its_own_streams(deployment):
    trigger = ActionAfterTokens(deployment.entries["entry-1"].kill)
    other = deployment.run_in_background(stream_answer, deployment, "entry-2", "other")
    interrupted = stream_answer(deployment, "entry-1", "mine", trigger)
    assert not interrupted.is_complete
    assert expected_text("mine", LONG_ANSWER_TOKENS).startswith(interrupted.text)
    assert_complete(other.result(), "other")
    wait_until(
        lambda: not deployment.find_busy_head(),
        20,
        "the orphaned request is cancelled",
    )


def test_stopped_entry_finishes_its_streams(deployment):
    entry = deployment.entries["entry-3"]
    answer = stream_answer(
        deployment, "entry-3", "stop", ActionAfterTokens(entry.request_stop)
    )
    assert_complete(answer, "stop")
    assert entry.wait_for_exit() == 0


def test_reloads_of_settings_cut_no_stream(deployment):
    processes = [*deployment.entries.values(), *deployment.controls.values()]

    def reload_all():
        for process in processes:
            process.request_reload()

    answer = stream_answer(
        deployment, "entry-3", "reload", ActionAfterTokens(reload_all)
    )
    assert_complete(answer, "reload")
    assert all(process.is_running for process in processes)


def test_answers_and_changes_survive_a_killed_leader(deployment, tmp_path):
    leader = deployment.wait_for_leader()
    trigger = ActionAfterTokens(deployment.controls[leader].kill)
    answer = stream_answer(deployment, "entry-2", "leader", trigger)
    assert_complete(answer, "leader")
    assert deployment.wait_for_leader() != leader
    number = apply_next_text(deployment, tmp_path)
    wait_until(
        lambda: list_unreachable_controls(deployment) == {leader},
        20,
        "the killed control is reported unreachable",
    )
    deployment.restart_daemon(leader)
    wait_until(
        lambda: not list_unreachable_controls(deployment),
        20,
        "the restarted control is reachable",
    )
    wait_until(
        lambda: json.dumps(deployment.fetch_json(leader, "/debug/state")).count(
            str(number)
        ),
        20,
        "the restarted control has the new number",
    )


def test_resumed_leader_never_returns_the_previous_text(deployment, tmp_path):
    leader = deployment.wait_for_leader()
    deployment.controls[leader].suspend()
    wait_until(
        lambda: deployment.wait_for_leader() != leader,
        30,
        "another control is elected leader",
    )
    number = apply_next_text(deployment, tmp_path)
    assert_complete(stream_answer(deployment, "entry-1", "frozen"), "frozen")
    deployment.controls[leader].resume()
    returned_numbers = {get_applied_number(deployment, leader) for _ in range(20)}
    # The resumed leader may refuse the request or return the new number, but never the
    # previous one.
    assert returned_numbers <= {None, number}


def test_resent_posting_runs_once_when_its_entry_dies(deployment):
    def post(entry):
        caller = deployment.make_caller(entry)
        headers = caller.headers(Idempotency_Key="resent")
        url = f"http://{caller.address}{POSTINGS_PATH}"
        return caller.http.request("POST", url, body='{"a": 1}', headers=headers)

    first_call = deployment.run_in_background(post, "entry-1")
    wait_until(
        lambda: deployment.fetch_run_counts().get("resent"),
        20,
        "the posting is running",
    )
    deployment.entries["entry-1"].kill()
    with pytest.raises(Exception, match=r"aborted|closed|reset|broken"):
        first_call.result()
    statuses = set()
    deadline_s = time.monotonic() + 5
    while time.monotonic() < deadline_s:
        resent = post("entry-2")
        assert resent.status == 409, resent.data
        statuses.add(resent.json()["outcome"])
        time.sleep(0.2)
    assert statuses <= {"unknown", "not_run"}
    assert deployment.fetch_run_counts()["resent"] == 1


def test_drained_host_gets_no_new_work(deployment):
    head = next(iter(deployment.fetch_groups().values()))[0]
    assert deployment.run_client("drain", head).returncode == 0
    # New work must stop within 3 s of draining.
    time.sleep(3)
    before = deployment.fetch_attempt_counts()[head]
    for number in range(20):
        entry = f"entry-{number % 3 + 1}"
        assert_complete(
            stream_answer(deployment, entry, f"d{number}", length=3), f"d{number}", 3
        )
    assert deployment.fetch_attempt_counts()[head] == before
    assert deployment.run_client("drain", head, "--undo").returncode == 0


def test_load_across_failures_gets_only_complete_answers(deployment):
    entries = [deployment.addresses[name] for name in ("entry-2", "entry-3")]
    keys = [f"{name}={key}" for name, key in WORKSPACE_KEYS.items()]
    command = [program_path("chestnut-load"), "--format", "json", "--seed", "7"]
    command += ["--entries", *entries, "--keys", *keys]
    command += ["--rate-per-s", "10", "--duration-s", "6", "--mean-tokens", "40"]
    load_process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        time.sleep(2)
        killed_host = next(iter(deployment.fetch_groups().values()))[-1]
        deployment.engines[killed_host].kill()
        time.sleep(2)
        deployment.controls[deployment.wait_for_leader()].kill()
        output, _ = load_process.communicate(timeout=120)
    finally:
        load_process.kill()
    outcomes = json.loads(output)["outcomes"]
    refused_outcomes = {name for name in outcomes if "(not_run)" in name}
    assert set(outcomes) - refused_outcomes <= {"whole", "hung up"}, outcomes
    assert outcomes["whole"] > 40


def list_accepted_orders(deployment, host):
    orders = deployment.fetch_json(host, "/v1/history")["orders"]
    return [order for order in orders if order["code"] == "accepted"]


def test_history_of_orders_gives_each_host_to_one_group_at_a_time(deployment):
    """Runs after the fault tests above, so that it checks their whole history."""
    host_by_rank = {}
    for host in deployment.engines:
        owner_group_id = ""
        last_fence = 0
        for order in list_accepted_orders(deployment, host):
            assert order["fence"] >= last_fence
            last_fence = order["fence"]
            if order["kind"] == "release":
                owner_group_id = (
                    "" if order["group_id"] == owner_group_id else owner_group_id
                )
                continue
            assert owner_group_id in {"", order["group_id"]}, (
                f"{host} was reassigned without release by {owner_group_id}"
            )
            owner_group_id = order["group_id"]
            rank_key = (order["group_id"], order["epoch"], order["rank"])
            assert host_by_rank.setdefault(rank_key, host) == host
    assert host_by_rank


def test_calls_are_refused_at_once_without_a_quorum_and_served_again_after(deployment):
    killed_controls = sorted(deployment.controls)[:2]
    for name in killed_controls:
        deployment.controls[name].kill()
    wait_until(
        lambda: deployment.fetch_status("entry-1", "/readyz") == 503,
        20,
        "the lease of entry-1 expires",
    )
    before = deployment.fetch_attempt_counts()
    requested_s = time.monotonic()
    answer = stream_answer(deployment, "entry-1", "no quorum")
    assert time.monotonic() - requested_s < 5.0
    assert (answer.status, answer.outcome) == (503, "not_run")
    assert answer.problem["retry_after_s"] > 0
    assert deployment.fetch_attempt_counts() == before
    for name in killed_controls:
        deployment.restart_daemon(name)
    deployment.wait_until_groups_serve(GROUP_COUNT)
    assert_complete(stream_answer(deployment, "entry-1", "quorum"), "quorum")


def test_removed_voter_is_added_again(deployment, tmp_path):
    leader = deployment.wait_for_leader()
    name = next(name for name in sorted(deployment.controls) if name != leader)
    settings = json.loads((deployment.folder / f"{name}.json").read_text())
    assert deployment.run_client("voter", "remove", name).returncode == 0
    run = deployment.run_client("voter", "add", name, settings["peer_address"])
    assert run.returncode == 0, run.stdout + run.stderr
    voters = deployment.get_operator_page(
        deployment.wait_for_leader(), "status"
    ).json()["voters"]
    roles = [voter["role"] for voter in voters]
    assert (len(voters), roles.count("leader"), "learner" in roles) == (3, 1, False)
    apply_next_text(deployment, tmp_path)
