"""Concurrent clients that record a history of responses, and checks of that history."""

import itertools
import random
import threading
import time

import urllib3

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.deployment import MODEL_SERVICE, PLAIN_SERVICE

SERVING_LEASE_S = 2.0
POSTING_TIMEOUT_S = 15.0
STREAM_TOKENS = 60
POSTINGS_PATH = f"/services/{PLAIN_SERVICE}/postings"
EXIT_ACCEPTED = 0


class HistoryRecorder:
    """Runs client threads against a deployment until stopped and records responses."""

    def __init__(self, deployment, folder, seed):
        self.deployment = deployment
        self.folder = folder
        self.seed = seed
        self.stop_event = threading.Event()
        self.responses_by_key = {}
        self.streams = []
        self.accepted_texts = []
        self.number_readings = []
        self.client_errors = []
        self._sequence = itertools.count()
        self._threads = []
        self._http = urllib3.PoolManager(maxsize=32, retries=False, timeout=20.0)

    def start_clients(self, posting_clients=4, streaming_clients=3, operator_clients=2):
        client_actions = [self.post_until_final] * posting_clients + [
            self.stream_answer
        ] * streaming_clients
        client_actions += [self.apply_next_text] * operator_clients + [
            self.poll_configuration_numbers
        ]
        for index, action in enumerate(client_actions):
            rng = random.Random(self.seed * 1_000 + index)
            thread = threading.Thread(
                target=self._repeat, args=(action, rng, index), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop_clients(self):
        self.stop_event.set()
        for thread in self._threads:
            thread.join(POSTING_TIMEOUT_S * 3)
            assert not thread.is_alive()

    def _repeat(self, action, rng, index):
        while not self.stop_event.is_set():
            try:
                action(rng, index)
            except Exception as error:
                self.client_errors.append(repr(error))
                return

    def _choose_entry(self, rng):
        return rng.choice(sorted(self.deployment.entries))

    def post_until_final(self, rng, index):
        """Send a posting to random entries until its outcome is final or time is up."""
        key = f"history-{self.seed}-{next(self._sequence)}"
        responses = self.responses_by_key.setdefault(key, [])
        deadline_s = time.monotonic() + POSTING_TIMEOUT_S
        while time.monotonic() < deadline_s:
            responses.append(self._send_posting(self._choose_entry(rng), key))
            status, outcome, _ = responses[-1]
            if status == 201 or outcome == "unknown":
                return
            time.sleep(rng.uniform(0.1, 0.6))

    def _send_posting(self, entry, key):
        caller = self.deployment.make_caller(entry)
        url = f"http://{caller.address}{POSTINGS_PATH}"
        headers = caller.headers(Idempotency_Key=key)
        try:
            answer = self._http.request("POST", url, body="{}", headers=headers)
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, "no answer", b""
        if answer.status == 201:
            return 201, "done", answer.data
        return answer.status, answer.json()["outcome"], answer.data

    def stream_answer(self, rng, index):
        prompt = f"history {self.seed} {next(self._sequence)}"
        caller = self.deployment.make_caller(self._choose_entry(rng))
        answer = caller.generate(MODEL_SERVICE, prompt, STREAM_TOKENS)
        self.streams.append((prompt, answer))
        if not answer.is_complete:
            time.sleep(0.2)

    def apply_next_text(self, rng, index):
        """Apply the next number with a text of this client; other clients compete."""
        number = max((n for n, _, _ in self.accepted_texts), default=0) + 1
        number = max(number, self._highest_polled_number() + 1)
        text = self.deployment.options.text_path.read_text()
        text = text.replace('"number": 1', f'"number": {number}')
        text = text.replace('"weight": 2', f'"weight": {10 + index}')
        path = self.folder / f"history-{index}.json"
        path.write_text(text)
        run = self.deployment.run_client("apply", str(path))
        if run.returncode == EXIT_ACCEPTED:
            self.accepted_texts.append((number, index, time.monotonic()))
        time.sleep(rng.uniform(0.1, 1.0))

    def _highest_polled_number(self):
        return max((number for _, _, number, _ in self.number_readings), default=0)

    def poll_configuration_numbers(self, rng, index):
        for entry in sorted(self.deployment.entries):
            url = f"http://{self.deployment.addresses[entry]}/debug/state"
            requested_s = time.monotonic()
            try:
                state = self._http.request("GET", url, timeout=2.0).json()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                continue
            # The remaining time is not a number before the first lease.
            lease_left_s = state["lease_left_s"]
            has_lease = isinstance(lease_left_s, float) and lease_left_s > 0
            number = state["configuration_number"]
            self.number_readings.append((requested_s, entry, number, has_lease))
        time.sleep(0.05)

    def check_history(self, run_counts):
        assert self.client_errors == []
        self.check_postings(run_counts)
        self.check_streams()
        self.check_configuration_numbers()

    def check_postings(self, run_counts):
        assert self.responses_by_key
        for key, responses in self.responses_by_key.items():
            count = run_counts.get(key, 0)
            assert count <= 1, (key, responses)
            bodies = {body for status, _, body in responses if status == 201}
            if bodies:
                assert (count, len(bodies)) == (1, 1), (key, responses)
            statuses = {(status, outcome) for status, outcome, _ in responses}
            if all(
                outcome == "not_run" and status != 409 for status, outcome in statuses
            ):
                assert count == 0, (key, responses)

    def check_streams(self):
        assert any(answer.is_complete for _, answer in self.streams)
        for prompt, answer in self.streams:
            expected = expected_text(prompt, STREAM_TOKENS)
            if answer.is_complete:
                assert answer.text == expected
                continue
            assert expected.startswith(answer.text), (prompt, answer)
            assert answer.problem or answer.failure, (prompt, answer)

    def check_configuration_numbers(self):
        assert self.accepted_texts
        accepted_numbers = [number for number, _, _ in self.accepted_texts]
        assert len(accepted_numbers) == len(set(accepted_numbers)), self.accepted_texts
        last_number_by_entry = {}
        for requested_s, entry, number, has_lease in self.number_readings:
            if not has_lease:
                continue
            expected_numbers = [
                n
                for n, _, accepted_s in self.accepted_texts
                if accepted_s < requested_s - SERVING_LEASE_S
            ]
            assert number >= max(expected_numbers, default=0), (
                entry,
                number,
                expected_numbers,
            )
            assert number >= last_number_by_entry.get(entry, 0), (entry, number)
            last_number_by_entry[entry] = number
