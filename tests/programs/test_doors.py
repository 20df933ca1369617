"""Access checks and secrecy, tested on a control and an entry as real processes."""

import json
import os
import signal

import pytest

from chestnutvale.emulator.deployment import (
    DEMO_TEXT,
    OPERATOR_TOKEN,
    WORKSPACE_KEYS,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.processes import wait_until

TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    debug_log = {"log": {"format": "json", "level": "debug"}}
    options = DeploymentOptions(
        tmp_path_factory.mktemp("doors") / "run",
        controls=1,
        entries=1,
        fabric_domains={},
        services=0,
        entry_settings=debug_log | {"http_limits": {"max_body_bytes": 100_000}},
        control_settings=debug_log,
    )
    with Deployment(options) as running:
        running.apply_text(DEMO_TEXT)
        wait_until(lambda: has_applied_text(running), TIMEOUT_S, "the text is in force")
        yield running


def has_applied_text(deployment):
    return deployment.fetch_json("entry-1", "/debug/state")["configuration_number"] == 1


def send_request(deployment, name, method, path, key="", body=None):
    url = f"http://{deployment.addresses[name]}{path}"
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    return deployment.http.request(method, url, headers=headers, body=body)


def dump_state_and_read_log(process):
    """Make a process write its state dump to its log, and return the log."""
    os.kill(process.pid, signal.SIGUSR1)
    wait_until(
        lambda: "State: " in process.log_path.read_text(),
        TIMEOUT_S,
        "the state is dumped",
    )
    return process.log_path.read_text()


def test_calls_require_a_workspace_key(deployment):
    body = json.dumps({"model": "chestnut-llm", "messages": []}).encode()
    path = "/v1/chat/completions"
    for key in ("", "wrong", OPERATOR_TOKEN):
        assert (
            send_request(deployment, "entry-1", "POST", path, key, body).status == 401
        )
    for key in WORKSPACE_KEYS.values():
        assert (
            send_request(deployment, "entry-1", "POST", path, key, body).status != 401
        )


def test_operator_calls_require_the_operator_token(deployment):
    for key in ("", OPERATOR_TOKEN + "x", *WORKSPACE_KEYS.values()):
        answer = send_request(
            deployment, "control-1", "GET", "/operator/v1/status", key
        )
        assert answer.status == 401
    # The entry does not serve the operator API.
    path = "/operator/v1/status"
    assert (
        send_request(deployment, "entry-1", "GET", path, OPERATOR_TOKEN).status == 404
    )


def test_body_above_the_size_limit_is_refused(deployment):
    key = next(iter(WORKSPACE_KEYS.values()))
    path = "/v1/completions"
    answer = send_request(deployment, "entry-1", "POST", path, key, b"x" * 100_001)
    assert (answer.status, answer.json()["outcome"]) == (413, "not_run")


def test_metrics_include_the_measures_with_units(deployment):
    control = send_request(deployment, "control-1", "GET", "/metrics").data.decode()
    for name in (
        "chestnutvale_group_downtime_seconds_total{",
        "chestnutvale_stranded_accelerators ",
        "chestnutvale_stranded_accelerator_time_seconds_total ",
    ):
        assert name in control
    entry = send_request(deployment, "entry-1", "GET", "/metrics").data.decode()
    assert "chestnutvale_entry_lease_left_seconds " in entry


def test_logs_dumps_and_metrics_contain_no_secrets(deployment):
    key = next(iter(WORKSPACE_KEYS.values()))
    for name in ("entry-1", "control-1"):
        for path in ("/v1/chat/completions", "/services/x/y", f"/{OPERATOR_TOKEN}"):
            send_request(deployment, name, "POST", path, key, b"{}")
            send_request(deployment, name, "POST", path, OPERATOR_TOKEN, b"{}")
    outputs = []
    for name, process in (deployment.controls | deployment.entries).items():
        for path in ("/debug/state", "/metrics"):
            outputs.append(send_request(deployment, name, "GET", path).data.decode())
        outputs.append(dump_state_and_read_log(process))
    outputs.append(deployment.run_client("dump").stdout)
    for secret in (OPERATOR_TOKEN, *WORKSPACE_KEYS.values()):
        assert not any(secret in text for text in outputs)
