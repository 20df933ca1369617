"""Runs one seed: deployment, callers, planned work, collection of all records."""

import random
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import attrs

from chestnutvale.emulator.deployment import Deployment, DeploymentOptions
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.processes import ManagedProcess
from chestnutvale.soak.callers import SoakCaller
from chestnutvale.soak.checks import Violation, find_all_violations
from chestnutvale.soak.const import (
    HOSTS_PER_PAIR_GROUP,
    POSTING_MS,
    SPARE_HOSTS,
    STEP_MS,
)
from chestnutvale.soak.host_work import collect_runs, list_ended_hosts
from chestnutvale.soak.idle_clients import IdleClients
from chestnutvale.soak.machines import MachineLimits, Machines
from chestnutvale.soak.observers import KeyObserver, StandstillObserver
from chestnutvale.soak.plan import draw_plan
from chestnutvale.soak.records import SoakRecords
from chestnutvale.soak.text import Sizes, TextChange
from chestnutvale.soak.work import PlannedWork

MIN_ENGINES = SPARE_HOSTS + 2 * HOSTS_PER_PAIR_GROUP
DETECTION_TIMEOUT_MS = 2_000
CALLER_END_TIMEOUT_S = 60.0
PROGRESS_INTERVAL_S = 10.0
JSON_LOG = {"format": "json"}
BUSY_COMMAND = ["-c", "while True: pass"]


@attrs.frozen
class SoakOptions:
    """Size and length of a run.

    Attributes
    ----------
    busy : int
        Number of processes that keep a processor busy each.
    limits : MachineLimits
        What the machines of the daemons are like.
    has_faults : bool
        Whether daemons are killed and connections reset, too.
    idle_connections : int
        Number of idle connections to each entry.
    """

    seed: int
    length_s: float
    folder: Path
    entries: int = 3
    controls: int = 3
    engines: int = 10
    callers: int = 24
    busy: int = 0
    limits: MachineLimits = MachineLimits()
    has_faults: bool = False
    idle_connections: int = 0

    @property
    def sizes(self) -> Sizes:
        """Numbers of groups that the hosts allow, some hosts being spare."""
        held = self.engines - SPARE_HOSTS
        pair_groups = held // (2 * HOSTS_PER_PAIR_GROUP)
        return Sizes(held - pair_groups * HOSTS_PER_PAIR_GROUP, pair_groups)


@attrs.frozen
class SoakResult:
    """What a run showed; a standstill is of the runner itself: its end and length."""

    seed: int
    records: SoakRecords
    violations: list[Violation]
    steps: dict[str, int]
    failures: list[str]
    standstills: list[tuple[float, float]]

    @property
    def gaps(self) -> list[str]:
        """Why the run shows less than it should; empty if it was a full one."""
        records = self.records
        seen = {
            "whole answers": any(request.is_whole for request in records.requests),
            "runs at endpoints": records.runs,
            "texts": records.texts,
            "readings of keys": records.readings,
        }
        missing = [f"no {name} recorded" for name, value in seen.items() if not value]
        return [f"step failed: {failure}" for failure in self.failures] + missing


class SoakRunner:
    """Runs one seed on a deployment of its own."""

    def __init__(self, options: SoakOptions) -> None:
        self._options = options
        self._records = SoakRecords()
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def run(self) -> SoakResult:
        """Run the seed and check what was seen.

        Raises
        ------
        EmulatorError
            If the deployment does not start, or a step or caller does not end.
        """
        options = self._options
        if options.engines < MIN_ENGINES:
            message = f"at least {MIN_ENGINES} engines are needed"
            raise EmulatorError(message, step="arguments")
        sizes = options.sizes
        with ExitStack() as stack:
            deployment = stack.enter_context(Deployment(self._make_deployment()))
            machines = Machines(deployment, options.limits, options.seed)
            work = PlannedWork(deployment, sizes, self._records, machines)
            work.texts.apply_text(TextChange(options.seed))
            deployment.wait_until_groups_serve(sizes.solo_groups + sizes.pair_groups)
            stack.enter_context(machines)
            self._start_busy_processes(stack)
            stack.callback(self._stop.set)
            standstills = StandstillObserver()
            self._start_thread(standstills.run, self._stop)
            for entry in deployment.entries:
                observer = KeyObserver(
                    deployment, entry, work.texts.submitted, self._records
                )
                self._start_thread(observer.run, self._stop)
            self._start_thread(self._print_progress)
            self._start_callers(machines.caller_addresses)
            idle = IdleClients(machines.caller_addresses, options.idle_connections)
            self._start_thread(idle.run, self._stop)
            started_s = time.monotonic()
            plan = draw_plan(options.seed, options.length_s, options.has_faults)
            work.execute(plan, self._stop)
            time.sleep(max(0.0, started_s + options.length_s - time.monotonic()))
            self._stop.set()
            self._join_threads()
            ended = list_ended_hosts(deployment)
            work.failures += [f"{host} has ended by itself" for host in ended]
            self._records.runs.extend(collect_runs(deployment))
        return SoakResult(
            options.seed,
            self._records,
            find_all_violations(self._records),
            dict(work.counts),
            work.failures,
            standstills.standstills,
        )

    def _make_deployment(self) -> DeploymentOptions:
        options = self._options
        half = options.engines // 2
        return DeploymentOptions(
            options.folder,
            controls=options.controls,
            entries=options.entries,
            fabric_domains={"fabric-a": half, "fabric-b": options.engines - half},
            services=2,
            engine_arguments=["--weights-bytes", "200000", "--step-ms", str(STEP_MS)],
            service_arguments=["--work-ms", str(POSTING_MS)],
            entry_settings={"log": JSON_LOG},
            control_settings={
                "log": JSON_LOG,
                "detection_timeout_ms": DETECTION_TIMEOUT_MS,
                "repair": {"member_wait_ms": 500},
            },
        )

    def _start_busy_processes(self, stack: ExitStack) -> None:
        for number in range(self._options.busy):
            name, command = f"busy-{number}", [sys.executable, *BUSY_COMMAND]
            stack.enter_context(ManagedProcess(name, command, self._options.folder))

    def _start_callers(self, entries: dict[str, str]) -> None:
        for number in range(self._options.callers):
            rng = random.Random(f"{self._options.seed} caller {number}")
            caller = SoakCaller(f"c{number}", entries, self._records, rng, self._stop)
            self._start_thread(caller.run)

    def _start_thread(self, action: Callable[..., None], *arguments: Any) -> None:
        thread = threading.Thread(target=action, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _join_threads(self) -> None:
        deadline_s = time.monotonic() + CALLER_END_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0.0, deadline_s - time.monotonic()))
            if thread.is_alive():
                raise EmulatorError("a caller did not end", step="soak")

    def _print_progress(self) -> None:
        started_s = time.monotonic()
        while not self._stop.wait(PROGRESS_INTERVAL_S):
            print(
                f"seed {self._options.seed}, {time.monotonic() - started_s:.0f} s: "
                f"{len(self._records.requests)} requests, "
                f"{len(self._records.texts)} texts, {len(self._records.stops)} stops",
                flush=True,
            )
