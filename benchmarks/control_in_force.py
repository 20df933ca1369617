"""Measures the time from the acceptance of a text until all entries use it.

Runs real processes on loopback. A text is accepted when the operator client gets the
response, and in force on an entry at the time in the log of that entry. All processes
run on one machine and read the same clock. A negative time means that an entry used
the text before the operator got the response.
"""

import contextlib
import json
import random
import re
import threading
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import Any

import attrs
import defopt
from tabulate import tabulate

from benchmarks.control_common import (
    BUILD_FOLDER,
    find_leader,
    make_text,
    percentile,
    read_state,
    wait_ready_entries,
)
from benchmarks.control_relay import Relay
from chestnutvale.emulator.deployment import (
    OPERATOR_TOKEN,
    PLAIN_SERVICE,
    WORKSPACE_KEYS,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.processes import find_free_addresses, wait_until
from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.client.control_client import ControlClient
from chestnutvale.programs.control.operator_const import PATH_TEXT
from chestnutvale.settings.client import load_client_settings

FOLDER = BUILD_FOLDER / "control_in_force"
IN_FORCE_LINE = re.compile(r"^(\S+)Z info \S+: Text (\d+) is in force", re.I | re.M)
BOUND_S = 5.0
IN_FORCE_TIMEOUT_S = 30.0
# Ten times the target rate of 3,800 changes per day.
TENFOLD_INTERVAL_S = 86_400 / 38_000
LEADER_PAUSE_S = 6.0
PROBE_INTERVAL_S = 0.02
CODE_NO_LEASE = "no_lease"


@attrs.frozen
class Change:
    """One accepted text.

    Attributes
    ----------
    number : int
        Number of the text.
    requested_s, accepted_s : float
        Wall-clock times of the request and of its response in seconds.
    """

    number: int
    requested_s: float
    accepted_s: float


class InForceMeasurement:
    """Runs the scenarios against one deployment.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    rng : random.Random
        Random source of the times of faults.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._number = 0
        settings = load_client_settings(deployment.folder / "client.json")
        self._client = ControlClient(settings, OPERATOR_TOKEN)

    def run(self, name: str, rounds: int) -> dict[str, Any]:
        """Run one scenario and return its metrics."""
        scenarios: dict[str, Callable[[], Change]] = {
            "quiet": self._change_when_idle,
            "leader_killed": self._change_while_killing,
            "leader_frozen": self._change_while_freezing,
            "tenfold": self._change_at_tenfold_rate,
            "burst": self._change,
        }
        changes = [scenarios[name]() for _ in range(rounds)]
        self.wait_in_force(changes[-1].number)
        return self._summarise(name, changes)

    def run_cut(self, rounds: int, relay: Relay, entry: str) -> dict[str, Any]:
        """Partition one entry from the leader during each change."""
        results = [self._change_while_cut(relay, entry) for _ in range(rounds)]
        stopped_s = [result[1] for result in results]
        changes = [result[0] for result in results]
        others = [name for name in self._deployment.entries if name != entry]
        summary = self._summarise("entry_cut_off (the others)", changes, others)
        summary["entry_stops_worst_s"] = max(stopped_s)
        summary["calls_taken_after_stop"] = sum(result[2] for result in results)
        return summary

    def _change(self) -> Change:
        self._number += 1
        body = make_text(self._number).encode()
        requested_s = time.time()
        while True:
            try:
                self._client.call("POST", PATH_TEXT, body, is_mutation=True)
            except ChestnutError as error:
                # A retry gets the response to the first request, so it is safe.
                print(f"retrying text {self._number}: {error}", flush=True)
                continue
            return Change(self._number, requested_s, time.time())

    def _change_when_idle(self) -> Change:
        time.sleep(self._rng.uniform(0.1, 0.6))
        return self._change()

    def _change_at_tenfold_rate(self) -> Change:
        time.sleep(TENFOLD_INTERVAL_S)
        return self._change()

    def _change_while_killing(self) -> Change:
        process = self._deployment.controls[find_leader(self._deployment)]
        change = self._change_during_fault(process.kill)
        self.wait_in_force(change.number)
        process.start()
        self._deployment.wait_until_healthy(process.name, process)
        self._wait_until_stable()
        return change

    def _change_while_freezing(self) -> Change:
        process = self._deployment.controls[find_leader(self._deployment)]
        resume_timer = threading.Timer(LEADER_PAUSE_S, process.resume)
        resume_timer.start()
        change = self._change_during_fault(process.suspend)
        resume_timer.join()
        self.wait_in_force(change.number)
        self._wait_until_stable()
        return change

    def _change_during_fault(self, fault: Callable[[], None]) -> Change:
        timer = threading.Timer(self._rng.uniform(0.0, 0.3), fault)
        timer.start()
        time.sleep(self._rng.uniform(0.0, 0.3))
        change = self._change()
        timer.join()
        return change

    def _change_while_cut(self, relay: Relay, entry: str) -> tuple[Change, float, int]:
        leader = find_leader(self._deployment)
        probe = CallProbe(self._deployment, entry)
        relay.set_cut(leader, True)
        cut_s = time.time()
        time.sleep(self._rng.uniform(0.0, 0.3))
        change = self._change()
        probe.probe_until(cut_s + 2 * BOUND_S)
        relay.set_cut(leader, False)
        self.wait_in_force(change.number)
        self._wait_until_stable()
        in_force_s = self._read_in_force_times(entry).get(
            change.number, change.accepted_s
        )
        if in_force_s < cut_s + 2 * BOUND_S:
            return change, in_force_s - change.accepted_s, 0
        return (
            change,
            probe.last_accepted_s - change.accepted_s,
            probe.late_accepted_calls,
        )

    def _wait_until_stable(self) -> None:
        wait_ready_entries(self._deployment)
        find_leader(self._deployment)
        time.sleep(1.0)

    def wait_in_force(self, number: int) -> None:
        """Wait until every entry uses a text or a later one."""

        def is_in_force() -> bool:
            return all(
                read_state(self._deployment, entry).get("configuration_number", 0)
                >= number
                for entry in self._deployment.entries
            )

        wait_until(is_in_force, IN_FORCE_TIMEOUT_S, f"text {number} in force", 0.1)

    def _read_in_force_times(self, entry: str) -> dict[int, float]:
        log = self._deployment.entries[entry].log_path.read_text()
        return {
            int(number): datetime.fromisoformat(at).replace(tzinfo=UTC).timestamp()
            for at, number in IN_FORCE_LINE.findall(log)
        }

    def _summarise(
        self, name: str, changes: Sequence[Change], entries: Sequence[str] = ()
    ) -> dict[str, Any]:
        delays, worst_delays = [], []
        in_force_times = {
            e: self._read_in_force_times(e) for e in entries or self._deployment.entries
        }
        for change in changes:
            # If an entry skipped a number, the next text that it used counts.
            change_delays = [
                min(at for number, at in times.items() if number >= change.number)
                - change.accepted_s
                for times in in_force_times.values()
            ]
            delays += change_delays
            worst_delays.append(max(change_delays))
        answer_delays = [change.accepted_s - change.requested_s for change in changes]
        return {
            "scenario": name,
            "changes": len(changes),
            "p50_ms": 1e3 * percentile(delays, 0.5),
            "p99_ms": 1e3 * percentile(delays, 0.99),
            "worst_ms": 1e3 * max(delays),
            "everywhere_p50_ms": 1e3 * percentile(worst_delays, 0.5),
            "over_bound": sum(worst > BOUND_S for worst in worst_delays),
            "answer_p50_ms": 1e3 * percentile(answer_delays, 0.5),
            "answer_worst_ms": 1e3 * max(answer_delays),
        }


class CallProbe:
    """Calls one entry repeatedly to detect whether it accepts calls.

    Attributes
    ----------
    last_accepted_s : float
        Wall-clock time of the last call that was not refused for lack of a lease.
    late_accepted_calls : int
        Number of calls accepted after the first such refusal.
    """

    def __init__(self, deployment: Deployment, entry: str) -> None:
        self.last_accepted_s = time.time()
        self.late_accepted_calls = 0
        self._caller = deployment.make_caller(entry, next(iter(WORKSPACE_KEYS)))

    def probe_until(self, end_s: float) -> None:
        """Call until a wall-clock time in seconds."""
        has_refused = False
        while time.time() < end_s:
            sent_s = time.time()
            if self._is_refused():
                has_refused = True
            else:
                self.last_accepted_s = sent_s
                self.late_accepted_calls += has_refused
            time.sleep(PROBE_INTERVAL_S)

    def _is_refused(self) -> bool:
        url = f"http://{self._caller.address}/services/{PLAIN_SERVICE}/probe"
        answer = self._caller.http.request("GET", url, headers=self._caller.headers())
        return json.loads(answer.data).get("code") == CODE_NO_LEASE


def connect_through_relay(deployment: Deployment, entry: str) -> Relay:
    """Restart an entry with its connections to the controls through a relay."""
    process = deployment.entries[entry]
    path = deployment.folder / f"{entry}.json"
    settings = json.loads(path.read_text())
    controls = {peer["id"]: peer["address"] for peer in settings["controls"]}
    free_addresses = find_free_addresses(process.pid)
    relay = Relay(controls, settings["peer_address"], free_addresses)
    for peer in settings["controls"]:
        peer["address"] = relay.to_control[peer["id"]].listen
    path.write_text(json.dumps(settings))
    process.kill()
    process.start()
    return relay


def run(
    *,
    entries: int = 12,
    controls: int = 3,
    quiet: int = 60,
    killed: int = 8,
    frozen: int = 8,
    cut: int = 4,
    tenfold: int = 30,
    burst: int = 60,
    seed: int = 1,
    format: str = "table",
) -> None:
    """Measure the time from the acceptance of a text until all entries use it.

    Parameters
    ----------
    entries : int
        Number of entry processes.
    controls : int
        Number of control processes.
    quiet : int
        Changes on an idle deployment; 0 skips a scenario.
    killed : int
        Changes during which the leader is killed.
    frozen : int
        Changes during which the leader is suspended.
    cut : int
        Changes during which one entry is partitioned from the leader.
    tenfold : int
        Changes at ten times the target rate.
    burst : int
        Consecutive changes without a pause.
    seed : int
        Seed of the times of faults.
    format : str
        ``table`` or ``json``.
    """
    options = DeploymentOptions(
        folder=FOLDER,
        entries=entries,
        controls=controls,
        fabric_domains={},
        services=0,
    )
    rounds_by_scenario = {
        "quiet": quiet,
        "burst": burst,
        "tenfold": tenfold,
        "leader_killed": killed,
        "leader_frozen": frozen,
    }
    FOLDER.parent.mkdir(parents=True, exist_ok=True)
    results = []
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(Deployment(options))
        wait_ready_entries(deployment)
        measurement = InForceMeasurement(deployment, random.Random(seed))
        results = [
            measurement.run(name, count)
            for name, count in rounds_by_scenario.items()
            if count
        ]
        if cut:
            entry = list(deployment.entries)[-1]
            relay = stack.enter_context(connect_through_relay(deployment, entry))
            wait_ready_entries(deployment)
            results.append(measurement.run_cut(cut, relay, entry))
    if format == "json":
        print(json.dumps(results, indent=2))
        return
    rows = [
        [key, *(_format(row.get(key, "")) for row in results)] for key in _keys(results)
    ]
    print(tabulate(rows, tablefmt="plain"))


def _format(value: Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


def _keys(results: Sequence[dict[str, Any]]) -> list[str]:
    return list(dict.fromkeys(key for row in results for key in row))


if __name__ == "__main__":
    defopt.run(run)
