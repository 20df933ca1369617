"""A plain service that restarts cold under load, with real processes."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count

import pytest

from chestnutvale.emulator.deployment import (
    PLAIN_SERVICE,
    WORKSPACE_KEYS,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.processes import wait_until

COLD_START_S = 6.0
COLD_PER_S, FACTOR, BURST = 6.0, 1.5, 5.0
ALLOWED = COLD_PER_S * FACTOR + BURST
CALLERS = 9


@pytest.fixture(scope="module")
def cold_deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cold")
    text_path = folder / "text.json"
    demo = DeploymentOptions(folder=folder / "run").text_path.read_text()
    field = f'"cold_requests_per_s": {COLD_PER_S}, "cold_start_ms": 6000,'
    marker = f'"{PLAIN_SERVICE}": {{'
    assert marker in demo
    text_path.write_text(demo.replace(marker, f"{marker} {field}"))
    options = DeploymentOptions(
        folder=folder / "run",
        text_path=text_path,
        fabric_domains={},
        service_arguments=["--work-ms", "5", "--cold-start-ms", "6000"],
        control_settings={"cold_rate_factor": FACTOR, "cold_burst_requests": BURST},
    )
    with Deployment(options) as running:
        running.apply_text(text_path)
        yield running


def post(deployment, number):
    """Send one posting and return whether it ran."""
    entry = f"entry-{number % 3 + 1}"
    url = f"http://{deployment.addresses[entry]}/services/{PLAIN_SERVICE}/postings"
    headers = {
        "Authorization": f"Bearer {WORKSPACE_KEYS['accounts']}",
        "Idempotency-Key": f"cold-{number}",
        "Content-Type": "application/json",
    }
    body = json.dumps({"amount": number})
    answer = deployment.http.request("POST", url, body=body, headers=headers)
    return answer.status == 201


def test_a_cold_service_gets_no_more_than_its_bound(cold_deployment):
    # Guards against wiring that the simulation of the shares leaves out: decoding,
    # views, and the path of a call.
    numbers = count()
    wait_until(
        lambda: post(cold_deployment, next(numbers)), 60.0, "the service to serve"
    )
    time.sleep(COLD_START_S)
    service = cold_deployment.services["app-1"]
    service.kill()
    service.start()
    service.wait_ready()
    warm_at_s = time.monotonic() + COLD_START_S
    until_s = warm_at_s + 3.0

    def call():
        ran_at_s = []
        while time.monotonic() < until_s:
            if post(cold_deployment, next(numbers)):
                ran_at_s.append(time.monotonic())
            time.sleep(0.02)
        return ran_at_s

    with ThreadPoolExecutor(CALLERS) as pool:
        lists = [task.result() for task in [pool.submit(call) for _ in range(CALLERS)]]
    times_s = sorted(time_s for found in lists for time_s in found)
    # The process was started a moment before it was ready.
    cold_s = [time_s for time_s in times_s if time_s < warm_at_s - 1.0]
    most = max(sum(0 <= t - b < 1.0 for t in cold_s) for b in cold_s)
    assert most <= ALLOWED
    served_from_s = cold_s[0]
    used_per_s = len(cold_s) / (warm_at_s - 1.0 - served_from_s)
    assert used_per_s >= 0.6 * COLD_PER_S
    # Afterwards it gets its ordinary load again.
    warm_s = [time_s for time_s in times_s if time_s >= warm_at_s + 1.0]
    assert len(warm_s) / 2.0 > 2.0 * COLD_PER_S
