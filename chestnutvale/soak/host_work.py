"""Engine hosts that crash, leave, arrive, or whose announcements are lost."""

import threading
import time

import logbook
import urllib3

from chestnutvale.emulator.deployment import Deployment
from chestnutvale.soak.const import OUTCOME_FINISHED
from chestnutvale.soak.plan import AddHost, CrashHost, LoseAnnouncements, ReleaseHost
from chestnutvale.soak.records import Disruption, HostRelease, RunRecord, SoakRecords

_LOGGER = logbook.Logger(__name__)

FAULT_PATH = "/fault"
MAX_ADDED_HOSTS = 3
# Time in which a host that leaves is replaced and has ended its requests.
RELEASE_TIMEOUT_S = 45.0
RELEASE_POLL_INTERVAL_S = 0.2


class HostWork:
    """Changes the engine hosts of a deployment while they are called."""

    def __init__(self, deployment: Deployment, records: SoakRecords) -> None:
        self._deployment = deployment
        self._records = records
        self._added_count = 0
        # One host at a time is down, so that the others can hold all groups.
        self._down_lock = threading.Lock()

    def lose_announcements(self, action: LoseAnnouncements) -> None:
        """Let some hosts, or all, serve on without an announcement for a time."""
        hosts = sorted(self._deployment.engines)
        if action.indices:
            hosts = [hosts[i % len(hosts)] for i in sorted(set(action.indices))]
        _LOGGER.info("Losing announcements of {}", ", ".join(hosts))
        for host in hosts:
            self._set_fault(host, "cut")
        time.sleep(action.duration_s)
        for host in hosts:
            self._set_fault(host, "none")

    def release(self, action: ReleaseHost) -> None:
        """Let a host leave, stop it once it has ended its requests, and start it."""
        with self._down_lock:
            host = self._choose(action.index)
            _LOGGER.info("Releasing {}", host)
            self._set_fault(host, "leave")
            released_by_s = time.monotonic() + RELEASE_TIMEOUT_S
            while time.monotonic() < released_by_s:
                held_by = self._describe_use(host)
                if not held_by:
                    break
                time.sleep(RELEASE_POLL_INTERVAL_S)
            self._records.releases.append(HostRelease(host, held_by))
            if held_by:
                self._records.disruptions.append(Disruption(time.monotonic()))
            self._restart(host, action.duration_s)

    def crash(self, action: CrashHost) -> None:
        """Kill a host and start it again."""
        with self._down_lock:
            host = self._choose(action.index)
            _LOGGER.info("Crashing {}", host)
            self._records.disruptions.append(Disruption(time.monotonic()))
            self._restart(host, action.duration_s)

    def add(self, action: AddHost) -> None:
        """Start another host, unless there are enough."""
        with self._down_lock:
            if self._added_count == MAX_ADDED_HOSTS:
                return
            self._added_count += 1
            domains = sorted(set(self._deployment.fabric_domains.values()))
            domain = domains[self._added_count % len(domains)]
            name = f"host-added-{self._added_count}"
            self._deployment.start_engine(name, domain).wait_ready()

    def _restart(self, host: str, down_s: float) -> None:
        process = self._deployment.engines[host]
        # Its records end with the process.
        self._records.runs.extend(collect_engine_runs(self._deployment, host))
        process.kill()
        time.sleep(down_s)
        process.start()
        process.wait_ready()

    def _choose(self, index: int) -> str:
        hosts = sorted(self._deployment.engines)
        return hosts[index % len(hosts)]

    def _set_fault(self, host: str, kind: str) -> None:
        try:
            self._deployment.post_json(host, FAULT_PATH, {"kind": kind})
        except (urllib3.exceptions.HTTPError, OSError) as error:
            # It may be down now; a process that starts has no fault.
            _LOGGER.info("Fault {} was not set at {}: {}", kind, host, error)

    def _describe_use(self, host: str) -> str:
        """Return what a host is used for; empty if it may be stopped."""
        history = self._deployment.fetch_json(host, "/v1/history")
        holding = self._deployment.fetch_json(host, "/v1/membership")["holding"]
        running, waiting = history["running"], history["waiting"]
        if not (holding or running or waiting):
            return ""
        group = (holding or {}).get("group_id", "no group")
        return f"{group}, {running} requests run, {waiting} wait"


def collect_engine_runs(deployment: Deployment, host: str) -> list[RunRecord]:
    """Return all attempts that an engine host, which must run, accepted."""
    history = deployment.fetch_json(host, "/v1/history")
    return [
        RunRecord(a["prompt_start"].partition("\n")[0], host, a["outcome"])
        for a in history["attempts"]
    ]


def list_ended_hosts(deployment: Deployment) -> list[str]:
    """Return the engine hosts that do not run, although no step keeps them down."""
    engines = deployment.engines.items()
    return [host for host, process in engines if not process.is_running]


def collect_runs(deployment: Deployment) -> list[RunRecord]:
    """Return all attempts that the endpoints which run accepted."""
    runs: list[RunRecord] = []
    for host in sorted(set(deployment.engines) - set(list_ended_hosts(deployment))):
        runs += collect_engine_runs(deployment, host)
    for host in deployment.services:
        counts = deployment.fetch_json(host, "/runs")
        reads = {
            path.removeprefix("/postings/"): count
            for path, count in counts["reads"].items()
        }
        for call_id, count in (counts["runs"] | reads).items():
            runs += [RunRecord(call_id, host, OUTCOME_FINISHED)] * count
    return runs
