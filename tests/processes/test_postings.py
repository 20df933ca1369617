"""A posting that is resent while daemons are killed and suspended runs at most once."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3

from chestnutvale.emulator.deployment import PLAIN_SERVICE
from tests.processes.conftest import GROUP_COUNT

POSTINGS_PATH = f"/services/{PLAIN_SERVICE}/postings"
ENTRIES = ("entry-1", "entry-2", "entry-3")
CLIENT_COUNT = 6
KEYS_PER_CLIENT = 5
MAX_SENDS_PER_KEY = 4
SEED = 6


@attrs.frozen
class SendResult:
    """Response to one send; keeps its defaults if the connection failed."""

    status: int = 0
    outcome: str = ""
    body: bytes = b""


def send_posting(deployment, http_pool, entry, key):
    caller = deployment.make_caller(entry)
    url = f"http://{caller.address}{POSTINGS_PATH}"
    headers = caller.headers(Idempotency_Key=key, X_Deadline_Ms="4000")
    try:
        answer = http_pool.request("POST", url, body=f'"{key}"', headers=headers)
    except urllib3.exceptions.HTTPError:
        return SendResult()
    if answer.status == 201:
        return SendResult(201, "", answer.data)
    return SendResult(answer.status, answer.json()["outcome"])


def run_client(deployment, number):
    """Send each posting to random entries until it succeeds or sends run out."""
    rng = random.Random(f"{SEED}-{number}")
    http_pool = urllib3.PoolManager(retries=False, timeout=6.0)
    history = {}
    for index in range(KEYS_PER_CLIENT):
        results = history.setdefault(f"{number}-{index}", [])
        while len(results) < MAX_SENDS_PER_KEY and not any(
            result.status == 201 for result in results
        ):
            results.append(
                send_posting(
                    deployment, http_pool, rng.choice(ENTRIES), f"{number}-{index}"
                )
            )
            time.sleep(rng.uniform(0.05, 0.5))
    return history


def inject_faults(deployment, stop_event):
    """Kill and restart, or suspend and resume, random entries and the leader."""
    rng = random.Random(SEED)
    while not stop_event.wait(rng.uniform(0.3, 1.0)):
        fault = rng.choice(["kill", "freeze", "leader"])
        name = rng.choice(ENTRIES)
        process = deployment.entries[name]
        if fault == "leader":
            name = deployment.wait_for_leader()
            process = deployment.controls[name]
        if fault == "kill":
            process.kill()
            deployment.restart_daemon(name)
        else:
            process.suspend()
            stop_event.wait(rng.uniform(0.5, 2.5))
            process.resume()


def check_at_most_once(history, run_counts):
    for key, results in history.items():
        assert run_counts.get(key, 0) <= 1, (key, results)
        bodies = {result.body for result in results if result.status == 201}
        assert len(bodies) <= 1, (key, results)
        if bodies:
            assert run_counts[key] == 1, (key, results)
        if all(result.outcome == "not_run" for result in results):
            assert key not in run_counts, (key, results)


def test_each_posting_runs_at_most_once_while_daemons_fail(deployment):
    stop_event = threading.Event()
    fault_injection = deployment.run_in_background(
        inject_faults, deployment, stop_event
    )
    try:
        with ThreadPoolExecutor(CLIENT_COUNT) as pool:
            client_histories = list(
                pool.map(lambda n: run_client(deployment, n), range(CLIENT_COUNT))
            )
    finally:
        stop_event.set()
    fault_injection.result(60)
    history = {
        key: results
        for client_history in client_histories
        for key, results in client_history.items()
    }
    # A call may still be running after its client timed out.
    time.sleep(2)
    check_at_most_once(history, deployment.fetch_run_counts())
    statuses = [result.status for results in history.values() for result in results]
    assert 401 not in statuses, statuses
    assert statuses.count(201) > len(history) / 2, statuses
    deployment.wait_until_groups_serve(GROUP_COUNT)
