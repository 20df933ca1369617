"""Run a deployment on loopback that loses a host during a streamed answer."""

import argparse
import json
import shutil
import signal
import sys
import time
from pathlib import Path

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.caller import Answer
from chestnutvale.emulator.deployment import (
    DEMO_TEXT,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.processes import wait_until

ROOT = Path(__file__).resolve().parent.parent
DEMO_FOLDER = ROOT / "build" / "demo"
GROUP_COUNT = 2
PROMPT = "Explain how a replicated log orders concurrent changes. " * 4
ANSWER_TOKENS = 200
# Number of tokens received before the host is killed.
KILL_AFTER_TOKENS = 40
# Killed hosts of the demo do not restart by themselves, so a long wait is pointless.
DEMO_CONTROL_SETTINGS = {"repair": {"member_wait_ms": 3_000}}
STOP_POLL_INTERVAL_S = 0.2
EXIT_FAILED = 1
EXIT_TERMINATED = 143


class DemoRunner:
    """Runs the steps of the demo and prints their results.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.killed_host = ""
        self._started_s = time.monotonic()

    def print_progress(self, message: str) -> None:
        """Print a message with the time in seconds since the start."""
        print(f"[{time.monotonic() - self._started_s:6.2f} s] {message}", flush=True)

    def start_serving(self) -> None:
        """Apply the configuration text and wait until all groups serve."""
        self.print_progress("daemons are up; applying the configuration text")
        self.deployment.apply_text(self.deployment.options.text_path)
        self.print_progress("accepted; waiting for groups to load and serve")
        self.deployment.wait_until_groups_serve(GROUP_COUNT)
        for group, members in self.deployment.fetch_groups().items():
            domain = self.deployment.fabric_domains[members[0]]
            self.print_progress(f"{group} serves on {', '.join(members)} in {domain}")

    def stream_undisturbed(self) -> bool:
        """Stream an answer without faults; return whether it is complete."""
        caller = self.deployment.make_caller("entry-1")
        answer = caller.generate(MODEL_SERVICE, PROMPT, ANSWER_TOKENS)
        return self.check_answer("streamed answer", answer)

    def stream_across_host_loss(self) -> bool:
        """Stream an answer while a member of its group is killed.

        Returns whether a member was killed and the answer is complete.
        """
        caller = self.deployment.make_caller("entry-2")
        answer = caller.generate(
            MODEL_SERVICE, PROMPT, ANSWER_TOKENS, on_token=self._kill_group_member
        )
        if not self.killed_host:
            self.print_progress("no member was killed: the stream was too short")
            return False
        return self.check_answer("answer across the lost host", answer)

    def _kill_group_member(self, answer: Answer) -> bool:
        if self.killed_host or len(answer.text.split()) < KILL_AFTER_TOKENS:
            return True
        head_host = self.deployment.find_busy_head()
        if not head_host:
            return True
        for members in self.deployment.fetch_groups().values():
            if members[0] == head_host:
                self.killed_host = members[-1]
        self.deployment.engines[self.killed_host].kill()
        self.print_progress(
            f"killed {self.killed_host}, a member of the group that serves the answer"
        )
        return True

    def restart_killed_host(self) -> None:
        """Restart the killed host, which becomes a spare."""
        if not self.killed_host:
            return
        engine = self.deployment.engines[self.killed_host]
        engine.start()
        engine.wait_ready()
        self.print_progress(f"{self.killed_host} is back as a spare")

    def check_answer(self, label: str, answer: Answer) -> bool:
        """Compare an answer byte for byte with the expected text; print the result."""
        expected = expected_text(PROMPT, ANSWER_TOKENS)
        is_complete = answer.is_complete and answer.text == expected
        verdict = "whole" if is_complete else "BROKEN"
        self.print_progress(
            f"{label}: {verdict}, {len(answer.text)} of {len(expected)} bytes, status "
            f"{answer.status}, first token after "
            f"{(answer.first_token_at_s - answer.sent_at_s) * 1e3:.0f} ms, longest gap "
            f"{max(answer.token_intervals_s, default=0) * 1e3:.0f} ms"
        )
        if not is_complete:
            self.print_progress(f"problem {answer.problem}, failure {answer.failure!r}")
        return is_complete

    def check_idempotency_key(self) -> bool:
        """Send a call twice with the same key and check that it ran once."""
        caller = self.deployment.make_caller("entry-3")
        url = f"http://{caller.address}/services/{PLAIN_SERVICE}/postings"
        headers = caller.headers(Idempotency_Key="demo-call-1")
        body = json.dumps({"amount": 1}).encode()
        answers = [
            caller.http.request("POST", url, body=body, headers=headers)
            for _ in range(2)
        ]
        service = next(iter(self.deployment.services))
        runs = self.deployment.fetch_json(service, "/runs")["runs"]
        statuses = [answer.status for answer in answers]
        ran_once = runs == {"demo-call-1": 1} and statuses == [201, 201]
        self.print_progress(
            f"call sent twice with one key: answers {statuses}, runs {runs}"
        )
        return ran_once

    def wait_for_repair(self) -> bool:
        """Wait until all groups are complete without the killed host."""

        def is_repaired() -> bool:
            groups = self.deployment.fetch_groups()
            assigned_hosts = [name for members in groups.values() for name in members]
            hosts_per_group = 3
            complete_groups = [
                members
                for members in groups.values()
                if len(members) == hosts_per_group
            ]
            return (
                len(complete_groups) >= GROUP_COUNT
                and self.killed_host not in assigned_hosts
            )

        try:
            wait_until(
                is_repaired,
                60.0,
                "all groups are complete without the killed host",
                0.2,
            )
            self.deployment.wait_until_groups_serve(GROUP_COUNT)
        except EmulatorError as error:
            self.print_progress(str(error))
            return False
        self.print_progress("the group is complete again with a spare host")
        return True


def stay_up() -> None:
    """Wait until SIGINT or SIGTERM is received."""
    # A second signal may interrupt the handler of the first one. A handler that takes
    # a lock, such as that of an event, would then deadlock.
    received_signals: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, _: received_signals.append(number))
    print(f"staying up; addresses are in {DEMO_FOLDER / 'addresses.json'}", flush=True)
    while not received_signals:
        time.sleep(STOP_POLL_INTERVAL_S)


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        0 only if every answer was complete and every other step succeeded.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stay", action="store_true")
    stay = parser.parse_args().stay
    # Terminating the demo must also terminate the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    text_path = DEMO_FOLDER / "text.json"
    options = DeploymentOptions(
        DEMO_FOLDER, text_path, control_settings=DEMO_CONTROL_SETTINGS
    )
    with Deployment(options) as deployment:
        shutil.copy(DEMO_TEXT, text_path)
        runner = DemoRunner(deployment)
        runner.start_serving()
        passed = runner.stream_undisturbed()
        passed = runner.stream_across_host_loss() and passed
        passed = runner.check_idempotency_key() and passed
        passed = runner.wait_for_repair() and passed
        if stay:
            runner.restart_killed_host()
            deployment.write_addresses_file(DEMO_FOLDER / "addresses.json")
            stay_up()
    print("demo passed" if passed else "demo FAILED", flush=True)
    return 0 if passed else EXIT_FAILED


if __name__ == "__main__":
    try:
        sys.exit(main())
    except EmulatorError as error:
        sys.exit(f"demo FAILED: {error}")
