"""A deployment on loopback that loses a host in the middle of an answer."""

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
GROUPS = 2
PROMPT = "Explain how a replicated log orders concurrent changes. " * 4
ANSWER_TOKENS = 200
# Tokens that have arrived when the host is killed.
KILL_AFTER_TOKENS = 40
# Hosts of the demo do not come back by themselves, so the wait for them is short.
DEMO_CONTROL_SETTINGS = {"repair": {"member_wait_ms": 3_000}}
# Time in seconds between two looks for a signal that asks for the end.
STOP_POLL_S = 0.2
EXIT_BROKEN = 1
EXIT_STOPPED = 143


class DemoStory:
    """The steps of the demo.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.killed = ""
        self._begun_s = time.monotonic()

    def say(self, line: str) -> None:
        """Print a line with the time since the start."""
        print(f"[{time.monotonic() - self._begun_s:6.2f} s] {line}", flush=True)

    def start_serving(self) -> None:
        """Apply the text and wait until groups serve."""
        self.say("daemons are up; applying the text")
        self.deployment.apply_text(self.deployment.options.text_path)
        self.say("accepted; waiting for groups to load and serve")
        self.deployment.wait_until_groups_serve(GROUPS)
        for group, members in self.deployment.fetch_groups().items():
            domain = self.deployment.fabric_domains[members[0]]
            self.say(f"{group} serves on {', '.join(members)} in {domain}")

    def stream_whole(self) -> bool:
        """Stream an answer with nothing in its way."""
        caller = self.deployment.make_caller("entry-1")
        answer = caller.generate(MODEL_SERVICE, PROMPT, ANSWER_TOKENS)
        return self.judge("streamed answer", answer)

    def stream_through_a_loss(self) -> bool:
        """Stream an answer and kill a member of its group in the middle."""
        caller = self.deployment.make_caller("entry-2")
        answer = caller.generate(
            MODEL_SERVICE, PROMPT, ANSWER_TOKENS, on_token=self._kill_member
        )
        if not self.killed:
            self.say("no member was killed: the stream was too short")
            return False
        return self.judge("answer across the lost host", answer)

    def _kill_member(self, answer: Answer) -> bool:
        if self.killed or len(answer.text.split()) < KILL_AFTER_TOKENS:
            return True
        head = self.deployment.find_busy_head()
        if not head:
            return True
        for members in self.deployment.fetch_groups().values():
            if members[0] == head:
                self.killed = members[-1]
        self.deployment.engines[self.killed].kill()
        self.say(f"killed {self.killed}, a member of the group that answers")
        return True

    def restart_killed(self) -> None:
        """Bring the killed host back; it becomes a spare."""
        if not self.killed:
            return
        engine = self.deployment.engines[self.killed]
        engine.start()
        engine.wait_ready()
        self.say(f"{self.killed} is back as a spare")

    def judge(self, what: str, answer: Answer) -> bool:
        """Compare an answer byte for byte and say how it went."""
        wanted = expected_text(PROMPT, ANSWER_TOKENS)
        is_complete = answer.is_complete and answer.text == wanted
        verdict = "whole" if is_complete else "BROKEN"
        self.say(
            f"{what}: {verdict}, {len(answer.text)} of {len(wanted)} bytes, status "
            f"{answer.status}, first token after "
            f"{(answer.first_token_at_s - answer.sent_at_s) * 1e3:.0f} ms, longest gap "
            f"{max(answer.token_intervals_s, default=0) * 1e3:.0f} ms"
        )
        if not is_complete:
            self.say(f"problem {answer.problem} failure {answer.failure!r}")
        return is_complete

    def post_once(self) -> bool:
        """Send one call twice with one key and count its runs."""
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
        is_once = runs == {"demo-call-1": 1} and statuses == [201, 201]
        self.say(f"call sent twice with one key: answers {statuses}, runs {runs}")
        return is_once

    def wait_for_repair(self) -> bool:
        """Wait until all groups are complete again without the killed host."""

        def is_repaired() -> bool:
            groups = self.deployment.fetch_groups()
            held = [name for members in groups.values() for name in members]
            size = 3
            complete = [m for m in groups.values() if len(m) == size]
            return len(complete) >= GROUPS and self.killed not in held

        try:
            wait_until(is_repaired, 60.0, "the repair", 0.2)
            self.deployment.wait_until_groups_serve(GROUPS)
        except EmulatorError as error:
            self.say(str(error))
            return False
        self.say("the group is complete again with a spare host")
        return True


def stay_up() -> None:
    """Wait until the operator asks for the end."""
    # A second signal may interrupt the handler of the first one, and a handler that
    # takes a lock, as that of an event does, would then wait for itself.
    asked: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, _: asked.append(number))
    print(f"staying up; see {DEMO_FOLDER / 'addresses.json'}", flush=True)
    while not asked:
        time.sleep(STOP_POLL_S)


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        0 only if every answer was whole.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stay", action="store_true")
    stay = parser.parse_args().stay
    # A stop in the middle must still end the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    text_path = DEMO_FOLDER / "text.json"
    options = DeploymentOptions(
        DEMO_FOLDER, text_path, control_settings=DEMO_CONTROL_SETTINGS
    )
    with Deployment(options) as deployment:
        shutil.copy(DEMO_TEXT, text_path)
        story = DemoStory(deployment)
        story.start_serving()
        passed = story.stream_whole()
        passed = story.stream_through_a_loss() and passed
        passed = story.post_once() and passed
        passed = story.wait_for_repair() and passed
        if stay:
            story.restart_killed()
            deployment.write_addresses_file(DEMO_FOLDER / "addresses.json")
            stay_up()
    print("demo passed" if passed else "demo FAILED", flush=True)
    return 0 if passed else EXIT_BROKEN


if __name__ == "__main__":
    try:
        sys.exit(main())
    except EmulatorError as error:
        sys.exit(f"demo FAILED: {error}")
