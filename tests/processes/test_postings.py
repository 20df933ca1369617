"""A history of postings that are sent again while daemons die and freeze."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3

from chestnutvale.emulator.deployment import PLAIN_SERVICE
from tests.processes.conftest import GROUPS

POSTINGS = f"/services/{PLAIN_SERVICE}/postings"
ENTRIES = ("entry-1", "entry-2", "entry-3")
CLIENTS = 6
KEYS_PER_CLIENT = 5
SENDS_PER_KEY = 4
SEED = 6


@attrs.frozen
class Told:
    """What a client was told of one send; nothing if the connection failed."""

    status: int = 0
    outcome: str = ""
    body: bytes = b""


def send(deployment, http, entry, key):
    caller = deployment.make_caller(entry)
    url = f"http://{caller.address}{POSTINGS}"
    headers = caller.headers(Idempotency_Key=key, X_Deadline_Ms="4000")
    try:
        answer = http.request("POST", url, body=f'"{key}"', headers=headers)
    except urllib3.exceptions.HTTPError:
        return Told()
    if answer.status == 201:
        return Told(201, "", answer.data)
    return Told(answer.status, answer.json()["outcome"])


def run_client(deployment, number):
    """Send each key until it is answered, at any entry."""
    rng = random.Random(f"{SEED}-{number}")
    http = urllib3.PoolManager(retries=False, timeout=6.0)
    history = {}
    for index in range(KEYS_PER_CLIENT):
        told = history.setdefault(f"{number}-{index}", [])
        while len(told) < SENDS_PER_KEY and not any(t.status == 201 for t in told):
            told.append(
                send(deployment, http, rng.choice(ENTRIES), f"{number}-{index}")
            )
            time.sleep(rng.uniform(0.05, 0.5))
    return history


def disturb(deployment, ended):
    """Kill, freeze and restart entries and the leading control by turns."""
    rng = random.Random(SEED)
    while not ended.wait(rng.uniform(0.3, 1.0)):
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
            ended.wait(rng.uniform(0.5, 2.5))
            process.resume()


def check(history, runs):
    for key, told in history.items():
        assert runs.get(key, 0) <= 1, (key, told)
        bodies = {t.body for t in told if t.status == 201}
        assert len(bodies) <= 1, (key, told)
        if bodies:
            assert runs[key] == 1, (key, told)
        if all(t.outcome == "not_run" for t in told):
            assert key not in runs, (key, told)


def test_each_posting_runs_at_most_once_while_daemons_die(deployment):
    ended = threading.Event()
    chaos = deployment.run_in_background(disturb, deployment, ended)
    try:
        with ThreadPoolExecutor(CLIENTS) as pool:
            parts = list(pool.map(lambda n: run_client(deployment, n), range(CLIENTS)))
    finally:
        ended.set()
    chaos.result(60)
    history = {key: told for part in parts for key, told in part.items()}
    # A call whose client gave up may still be running.
    time.sleep(2)
    check(history, deployment.fetch_run_counts())
    statuses = [t.status for told in history.values() for t in told]
    assert 401 not in statuses, statuses
    assert statuses.count(201) > len(history) / 2, statuses
    deployment.wait_until_groups_serve(GROUPS)
