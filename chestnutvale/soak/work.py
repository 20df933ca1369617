"""Executes the steps of a plan on a deployment."""

import contextlib
import threading
import time
from collections import Counter
from collections.abc import Callable

import logbook
import urllib3

from chestnutvale.emulator.deployment import Deployment
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.processes import ManagedProcess
from chestnutvale.soak.host_work import HostWork
from chestnutvale.soak.machines import Machines
from chestnutvale.soak.plan import (
    ROLE_ENTRY,
    ROLE_LEADER,
    Action,
    AddHost,
    ApplyFaultyText,
    ApplyTexts,
    CrashHost,
    KillDaemon,
    LoseAnnouncements,
    PauseGroups,
    PlannedStep,
    ReleaseEntries,
    ReleaseHost,
    ReloadDaemons,
    ResendText,
    ResetLinks,
    RestartDaemon,
    SuspendDaemon,
)
from chestnutvale.soak.records import (
    Disruption,
    PlannedStop,
    SoakRecords,
)
from chestnutvale.soak.text import Sizes
from chestnutvale.soak.text_work import TextWork

_LOGGER = logbook.Logger(__name__)

# A stopping entry waits for its requests, and these for paused endpoints.
STOP_TIMEOUT_S = 90.0
FINISH_TIMEOUT_S = 120.0
LINK_RESET_S = 0.5


class PlannedWork:
    """Executes planned work, each step in a thread of its own."""

    def __init__(
        self,
        deployment: Deployment,
        sizes: Sizes,
        records: SoakRecords,
        machines: Machines,
    ) -> None:
        self.texts = TextWork(deployment, sizes, records)
        self.counts: Counter[str] = Counter()
        self.failures: list[str] = []
        self._deployment = deployment
        self._records = records
        self._machines = machines
        self._control_lock = threading.Lock()
        daemons = deployment.controls | deployment.entries
        self._locks = {name: threading.Lock() for name in daemons}
        hosts = HostWork(deployment, records)
        self._run_by_type: dict[type, Callable[..., None]] = {
            ApplyTexts: self.texts.apply_texts,
            ApplyFaultyText: self.texts.apply_faulty_text,
            ResendText: self.texts.resend,
            LoseAnnouncements: hosts.lose_announcements,
            ReleaseHost: hosts.release,
            AddHost: hosts.add,
            CrashHost: hosts.crash,
            RestartDaemon: self._restart_daemon,
            PauseGroups: self._pause_groups,
            SuspendDaemon: self._suspend_daemon,
            ReloadDaemons: self._reload_daemons,
            ReleaseEntries: self._release_entries,
            KillDaemon: self._kill_daemon,
            ResetLinks: self._reset_links,
        }

    def execute(self, steps: list[PlannedStep], stop: threading.Event) -> None:
        """Start each step at its time, until stopped, and wait for their end.

        Raises
        ------
        EmulatorError
            If a step does not end.
        """
        started_s = time.monotonic()
        threads: list[threading.Thread] = []
        for step in steps:
            if stop.wait(max(0.0, started_s + step.at_s - time.monotonic())):
                break
            thread = threading.Thread(
                target=self._run_step, args=(step.action,), daemon=True
            )
            thread.start()
            threads.append(thread)
        deadline_s = time.monotonic() + FINISH_TIMEOUT_S
        for thread in threads:
            thread.join(max(0.0, deadline_s - time.monotonic()))
            if thread.is_alive():
                raise EmulatorError("a planned step did not end", step="soak")

    def _run_step(self, action: Action) -> None:
        kind = type(action).__name__
        self.counts[kind] += 1
        try:
            self._run_by_type[type(action)](action)
        except (EmulatorError, urllib3.exceptions.HTTPError, OSError) as error:
            _LOGGER.warning("Step {} failed: {}", kind, error)
            self.failures.append(f"{kind}: {error}")

    def _restart_daemon(self, action: RestartDaemon) -> None:
        if action.role == ROLE_ENTRY:
            self._restart(self._choose_daemon(action.index, action.role))
            return
        # One control at a time, so that a quorum of them always runs.
        with self._control_lock:
            self._restart(self._choose_daemon(action.index, action.role))

    def _restart(self, name: str) -> None:
        process = self._find_daemon(name)
        with self._locks[name]:
            _LOGGER.info("Stopping {}", name)
            requested_s = time.monotonic()
            process.request_stop()
            exit_code = process.wait_for_exit(STOP_TIMEOUT_S)
            self._records.stops.append(
                PlannedStop(name, requested_s, time.monotonic(), exit_code)
            )
            self._start(name)

    def _start(self, name: str) -> None:
        self._deployment.restart_daemon(name)
        self._machines.update_quota()

    def _reload_daemons(self, action: ReloadDaemons) -> None:
        daemons = self._deployment.controls | self._deployment.entries
        names = sorted(daemons)
        for index in action.indices:
            process = daemons[names[index % len(names)]]
            if process.is_running:
                process.request_reload()

    def _release_entries(self, action: ReleaseEntries) -> None:
        names = sorted(self._deployment.entries)
        count = max(1, int(action.share * len(names)))
        first = action.index % len(names)
        threads = [
            threading.Thread(target=self._restart, args=(name,), daemon=True)
            for name in (names + names)[first : first + count]
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _kill_daemon(self, action: KillDaemon) -> None:
        name = self._choose_daemon(action.index, action.role)
        # One control at a time, so that a quorum of them always runs.
        is_entry = action.role == ROLE_ENTRY
        control_lock = contextlib.nullcontext() if is_entry else self._control_lock
        with control_lock, self._locks[name]:
            entry = name if is_entry else ""
            _LOGGER.info("Killing {}", name)
            self._records.disruptions.append(Disruption(time.monotonic(), entry))
            self._find_daemon(name).kill()
            self._start(name)
            self._records.disruptions.append(Disruption(time.monotonic(), entry))

    def _reset_links(self, action: ResetLinks) -> None:
        self._records.disruptions.append(Disruption(time.monotonic()))
        self._machines.reset_links()
        # The reset reaches the callers with the delay of the links.
        self._records.disruptions.append(Disruption(time.monotonic() + LINK_RESET_S))

    def _suspend_daemon(self, action: SuspendDaemon) -> None:
        name = self._choose_daemon(action.index, action.role)
        with self._locks[name], self._machines.without_quota(name):
            process = self._find_daemon(name)
            process.suspend()
            time.sleep(action.duration_s)
            process.resume()

    def _choose_daemon(self, index: int, role: str) -> str:
        if role == ROLE_LEADER:
            return self._deployment.wait_for_leader()
        is_entry = role == ROLE_ENTRY
        daemons = self._deployment.entries if is_entry else self._deployment.controls
        return sorted(daemons)[index % len(daemons)]

    def _find_daemon(self, name: str) -> ManagedProcess:
        return (self._deployment.controls | self._deployment.entries)[name]

    def _pause_groups(self, action: PauseGroups) -> None:
        groups = sorted(self._deployment.fetch_groups().items())
        if action.indices and groups:
            groups = [groups[i % len(groups)] for i in sorted(set(action.indices))]
        for group_id, hosts in groups:
            _LOGGER.info(
                "Pausing group {} ({}) for {} s", group_id, hosts, action.duration_s
            )
            if action.by_signal and len(hosts) == 1:
                process = self._deployment.engines[hosts[0]]
                process.suspend()
                threading.Timer(action.duration_s, process.resume).start()
                continue
            fault = {"kind": "pause", "for_ms": round(1e3 * action.duration_s)}
            for host in hosts:
                self._deployment.post_json(host, "/fault", fault)
