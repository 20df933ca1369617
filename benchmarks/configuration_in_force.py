"""Measures the time from an operator's apply until every entry uses the text.

Starts real controls and entries on loopback. The times at which a text comes into
force are read from the logs of the entries, on the same wall clock as the applies.
The scenarios are an idle deployment, ten times the target rate of 3,800 changes per
day, and changes made just after the leader was killed.
"""

import json
import statistics
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import attrs
import defopt
from tabulate import tabulate

from chestnutvale.emulator.deployment import Deployment, DeploymentOptions
from chestnutvale.emulator.processes import wait_until
from chestnutvale.programs.client.control_client import ControlClient
from chestnutvale.programs.control.operator_const import PATH_TEXT
from chestnutvale.settings.client import load_client_settings
from chestnutvale.settings.token import load_operator_token

TARGET_CHANGES_A_DAY = 3_800
DAY_S = 86_400.0
TARGET_S = 5.0
IN_FORCE_TIMEOUT_S = 30.0
QUIET_PAUSE_S = 3.0
FAST_PAUSE_S = DAY_S / (10 * TARGET_CHANGES_A_DAY)
RECOVERY_PAUSE_S = 4.0


@attrs.define
class PropagationTimes:
    """Times of one scenario in seconds.

    Attributes
    ----------
    answered : list of float
        From sending an apply to its response.
    from_sending, from_answer : list of float
        From sending, and from the response, until an entry used the text; one value
        per change and entry.
    """

    answered: list[float] = attrs.field(factory=list)
    from_sending: list[float] = attrs.field(factory=list)
    from_answer: list[float] = attrs.field(factory=list)


class PropagationBenchmark:
    """Applies texts to a running deployment.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._text_number = 0
        settings = load_client_settings(deployment.folder / "client.json")
        settings.timeout_ms = round(IN_FORCE_TIMEOUT_S * 1_000)
        token = load_operator_token(Path(settings.operator_token_file))
        self._client = ControlClient(settings, token, operator="bench")

    def run(
        self,
        changes: int,
        pause_s: float,
        before: Callable[[], None] | None = None,
    ) -> PropagationTimes:
        """Apply changes and measure each one.

        Parameters
        ----------
        changes : int
            Number of changes.
        pause_s : float
            Minimum interval in seconds between the starts of two changes.
        before : callable, optional
            Called just before each change.

        Returns
        -------
        Times
            Times of all changes.
        """
        times = PropagationTimes()
        for _ in range(changes):
            started_s = time.monotonic()
            if before is not None:
                before()
            self._measure_change(times)
            time.sleep(max(0.0, started_s + pause_s - time.monotonic()))
        return times

    def kill_leader(self) -> None:
        """Kill the control that is the leader."""
        for name in self._deployment.controls:
            if self._is_leader(name):
                self._deployment.controls[name].kill()
                return
        raise RuntimeError("no control is the leader")

    def restart_controls(self) -> None:
        """Restart the controls that were killed."""
        for name, process in self._deployment.controls.items():
            if not process.is_running:
                self._deployment.restart_daemon(name)
        time.sleep(RECOVERY_PAUSE_S)

    def _is_leader(self, name: str) -> bool:
        state = self._deployment.fetch_json(name, "/debug/state")
        return state["consensus"]["role"] == "leader"

    def _measure_change(self, times: PropagationTimes) -> None:
        self._text_number += 1
        text = {
            "number": self._text_number,
            "workspaces": {f"w-{self._text_number}": {}},
        }
        sent_s = time.time()
        body = json.dumps(text).encode()
        self._client.call("POST", PATH_TEXT, body, is_mutation=True)
        answered_s = time.time()
        times.answered.append(answered_s - sent_s)
        wait_until(
            self._is_in_force_everywhere, IN_FORCE_TIMEOUT_S, "in force everywhere"
        )
        for name in self._deployment.entries:
            in_force_s = self._read_in_force_time_s(name)
            times.from_sending.append(in_force_s - sent_s)
            times.from_answer.append(max(0.0, in_force_s - answered_s))

    def _is_in_force_everywhere(self) -> bool:
        return all(
            self._read_in_force_time_s(name) for name in self._deployment.entries
        )

    def _read_in_force_time_s(self, name: str) -> float:
        """Return the wall-clock time at which the newest text took effect, or 0."""
        message = f"Text {self._text_number} is in force"
        for line in self._deployment.entries[name].log_path.read_text().splitlines():
            record = json.loads(line) if line.startswith("{") else {}
            if record.get("message") == message:
                in_force_at = datetime.fromisoformat(record["time"].removesuffix("Z"))
                return in_force_at.replace(tzinfo=UTC).timestamp()
        return 0.0


def summarize(name: str, values: list[float]) -> list[object]:
    """Return one row of the report.

    Parameters
    ----------
    name : str
        Label of the row.
    values : list of float
        Times in seconds.

    Returns
    -------
    list
        Label, count, and p50, p99 and maximum in milliseconds.
    """
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    statistics_s = (statistics.median(ordered), p99, ordered[-1])
    return [name, len(ordered), *(round(value * 1_000, 1) for value in statistics_s)]


def main(
    *,
    folder: Path = Path("build/in-force"),
    entries: int = 12,
    quiet_changes: int = 8,
    fast_changes: int = 25,
    kills: int = 5,
) -> None:
    """Run all scenarios and print their times.

    Parameters
    ----------
    folder : Path
        Directory for settings, data and logs.
    entries : int
        Number of entries.
    quiet_changes, fast_changes, kills : int
        Number of changes of each scenario.
    """
    log = {"log": {"format": "json", "level": "info"}}
    options = DeploymentOptions(
        folder.absolute(),
        entries=entries,
        fabric_domains={},
        services=0,
        entry_settings=log,
    )
    results: dict[str, PropagationTimes] = {}
    with Deployment(options) as deployment:
        benchmark = PropagationBenchmark(deployment)
        time.sleep(RECOVERY_PAUSE_S)
        results["quiet"] = benchmark.run(quiet_changes, QUIET_PAUSE_S)
        results["ten times the changes"] = benchmark.run(fast_changes, FAST_PAUSE_S)
        leader_killed = PropagationTimes()
        for _ in range(kills):
            change_times = benchmark.run(1, 0.0, benchmark.kill_leader)
            leader_killed.answered += change_times.answered
            leader_killed.from_sending += change_times.from_sending
            leader_killed.from_answer += change_times.from_answer
            benchmark.restart_controls()
        results["leader killed"] = leader_killed
    rows = []
    for name, times in results.items():
        rows.append(summarize(f"{name}: sent to answered", times.answered))
        rows.append(summarize(f"{name}: sent to in force", times.from_sending))
        rows.append(summarize(f"{name}: answered to in force", times.from_answer))
    headers = ("times in ms", "count", "p50", "p99", "worst")
    print(tabulate(rows, headers=headers))
    worst_s = max(max(times.from_sending) for times in results.values())
    print(f"worst {worst_s:.2f} s against a bound of {TARGET_S} s")


if __name__ == "__main__":
    defopt.run(main)
