"""Clients of running daemons that record what they saw, and the checks of it."""

import itertools
import random
import threading
import time

import urllib3

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.deployment import MODEL_SERVICE, PLAIN_SERVICE

LEASE_S = 2.0
GIVE_UP_S = 15.0
STREAM_TOKENS = 60
POSTINGS = f"/services/{PLAIN_SERVICE}/postings"
EXIT_ACCEPTED = 0


class Recorder:
    """Runs client threads against a deployment until it is told to stop."""

    def __init__(self, deployment, folder, seed):
        self.deployment = deployment
        self.folder = folder
        self.seed = seed
        self.stopping = threading.Event()
        self.calls = {}
        self.streams = []
        self.accepted = []
        self.numbers = []
        self.errors = []
        self._count = itertools.count()
        self._threads = []
        self._http = urllib3.PoolManager(maxsize=32, retries=False, timeout=20.0)

    def start(self, posters=4, streamers=3, operators=2):
        runs = [self.post_once] * posters + [self.stream_once] * streamers
        runs += [self.apply_once] * operators + [self.poll_numbers]
        for index, run in enumerate(runs):
            rng = random.Random(self.seed * 1_000 + index)
            thread = threading.Thread(
                target=self._repeat, args=(run, rng, index), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def finish(self):
        self.stopping.set()
        for thread in self._threads:
            thread.join(GIVE_UP_S * 3)
            assert not thread.is_alive()

    def _repeat(self, run, rng, index):
        while not self.stopping.is_set():
            try:
                run(rng, index)
            except Exception as error:
                self.errors.append(repr(error))
                return

    def _entry(self, rng):
        return rng.choice(sorted(self.deployment.entries))

    def post_once(self, rng, index):
        """Send one call until its outcome is final, each time to any entry."""
        key = f"history-{self.seed}-{next(self._count)}"
        seen = self.calls.setdefault(key, [])
        deadline_s = time.monotonic() + GIVE_UP_S
        while time.monotonic() < deadline_s:
            seen.append(self._post(self._entry(rng), key))
            status, outcome, _ = seen[-1]
            if status == 201 or outcome == "unknown":
                return
            time.sleep(rng.uniform(0.1, 0.6))

    def _post(self, entry, key):
        caller = self.deployment.make_caller(entry)
        url = f"http://{caller.address}{POSTINGS}"
        headers = caller.headers(Idempotency_Key=key)
        try:
            answer = self._http.request("POST", url, body="{}", headers=headers)
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, "no answer", b""
        if answer.status == 201:
            return 201, "done", answer.data
        return answer.status, answer.json()["outcome"], answer.data

    def stream_once(self, rng, index):
        prompt = f"history {self.seed} {next(self._count)}"
        caller = self.deployment.make_caller(self._entry(rng))
        answer = caller.generate(MODEL_SERVICE, prompt, STREAM_TOKENS)
        self.streams.append((prompt, answer))
        if not answer.is_complete:
            time.sleep(0.2)

    def apply_once(self, rng, index):
        """Apply the next number with an own text; both operators race."""
        number = max((n for n, _, _ in self.accepted), default=0) + 1
        number = max(number, self._number_in_force() + 1)
        text = self.deployment.options.text_path.read_text()
        text = text.replace('"number": 1', f'"number": {number}')
        text = text.replace('"weight": 2', f'"weight": {10 + index}')
        path = self.folder / f"history-{index}.json"
        path.write_text(text)
        run = self.deployment.run_client("apply", str(path))
        if run.returncode == EXIT_ACCEPTED:
            self.accepted.append((number, index, time.monotonic()))
        time.sleep(rng.uniform(0.1, 1.0))

    def _number_in_force(self):
        return max((number for _, _, number, _ in self.numbers), default=0)

    def poll_numbers(self, rng, index):
        for entry in sorted(self.deployment.entries):
            url = f"http://{self.deployment.addresses[entry]}/debug/state"
            asked_s = time.monotonic()
            try:
                state = self._http.request("GET", url, timeout=2.0).json()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                continue
            # Without any lease yet the time left is no number.
            left_s = state["lease_left_s"]
            has_lease = isinstance(left_s, float) and left_s > 0
            number = state["configuration_number"]
            self.numbers.append((asked_s, entry, number, has_lease))
        time.sleep(0.05)

    def check(self, runs):
        assert self.errors == []
        self.check_calls(runs)
        self.check_streams()
        self.check_numbers()

    def check_calls(self, runs):
        assert self.calls
        for key, seen in self.calls.items():
            count = runs.get(key, 0)
            assert count <= 1, (key, seen)
            bodies = {body for status, _, body in seen if status == 201}
            if bodies:
                assert (count, len(bodies)) == (1, 1), (key, seen)
            codes = {(status, outcome) for status, outcome, _ in seen}
            if all(outcome == "not_run" and status != 409 for status, outcome in codes):
                assert count == 0, (key, seen)

    def check_streams(self):
        assert any(answer.is_complete for _, answer in self.streams)
        for prompt, answer in self.streams:
            wanted = expected_text(prompt, STREAM_TOKENS)
            if answer.is_complete:
                assert answer.text == wanted
                continue
            assert wanted.startswith(answer.text), (prompt, answer)
            assert answer.problem or answer.failure, (prompt, answer)

    def check_numbers(self):
        assert self.accepted
        numbers = [number for number, _, _ in self.accepted]
        assert len(numbers) == len(set(numbers)), self.accepted
        newest = {}
        for asked_s, entry, number, has_lease in self.numbers:
            if not has_lease:
                continue
            due = [n for n, _, seen_s in self.accepted if seen_s < asked_s - LEASE_S]
            assert number >= max(due, default=0), (entry, number, due)
            assert number >= newest.get(entry, 0), (entry, number)
            newest[entry] = number
