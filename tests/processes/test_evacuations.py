"""A data centre is evacuated under load, across a change of the leader."""

import time

import pytest

from chestnutvale.emulator.deployment import MODEL_SERVICE, PLAIN_SERVICE
from chestnutvale.emulator.processes import wait_until
from tests.processes.conftest import GROUP_COUNT
from tests.processes.test_losses import assert_complete, stream_answer

# All endpoints of the deployment are in this one.
DATA_CENTRE = "dc-1"
# Bound for the order to be in force everywhere.
IN_FORCE_S = 5.0
LONG_STREAM_TOKENS = 400

pytestmark = pytest.mark.usefixtures("restored_deployment", "finished_evacuation")


@pytest.fixture
def finished_evacuation(deployment, restored_deployment):
    """Finish the evacuation after a failed test, for the tests that follow."""
    yield
    deployment.run_client("evacuate", DATA_CENTRE, "--finish")


def count_requests(deployment):
    return deployment.fetch_attempt_counts(), deployment.fetch_run_counts()


def check_refusals(deployment):
    for entry in deployment.entries:
        caller = deployment.make_caller(entry)
        started_s = time.monotonic()
        answer = caller.generate(MODEL_SERVICE, "refused", 3)
        assert answer.problem["outcome"] == "not_run"
        assert answer.problem["retry_after_s"] > 0
        url = f"http://{caller.address}/services/{PLAIN_SERVICE}/postings"
        posted = deployment.http.request(
            "POST", url, body=b"1", headers=caller.headers()
        )
        assert (posted.status, posted.json()["outcome"]) == (503, "not_run")
        assert "Retry-After" in posted.headers
        assert time.monotonic() - started_s < 1.0


def test_evacuation_keeps_streams_and_groups_and_stops_requests(deployment):
    # Guards against cut streams, requests after the bound, and a lost order.
    groups = deployment.fetch_groups()
    prompt = "long stream"
    stream = deployment.run_in_background(
        stream_answer, deployment, "entry-1", prompt, None, LONG_STREAM_TOKENS
    )
    wait_until(deployment.find_busy_head, 10.0, "the stream to begin", 0.05)
    ordered = deployment.run_client("evacuate", DATA_CENTRE)
    assert (ordered.returncode, ordered.stdout) == (0, "done\n")
    acknowledged_s = time.monotonic()
    deployment.controls[deployment.wait_for_leader()].kill()
    assert_complete(stream.result(60.0), prompt, LONG_STREAM_TOKENS)
    deployment.wait_for_leader()
    for entry in deployment.entries:
        wait_until(
            lambda name=entry: deployment.fetch_status(name, "/readyz") == 200,
            10.0,
            f"{entry} to hold a lease",
            0.1,
        )
    time.sleep(max(0.0, acknowledged_s + IN_FORCE_S - time.monotonic()))
    before = count_requests(deployment)
    check_refusals(deployment)
    assert count_requests(deployment) == before
    assert f"the data centre {DATA_CENTRE} is evacuated" in (
        deployment.run_client("status").stdout
    )
    assert deployment.run_client("evacuate", "dc-9").returncode == 5
    finished = deployment.run_client("evacuate", DATA_CENTRE, "--finish")
    assert finished.returncode == 0
    deployment.wait_until_groups_serve(GROUP_COUNT, 10.0)
    assert deployment.fetch_groups() == groups
