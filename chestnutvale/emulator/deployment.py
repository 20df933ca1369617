"""A complete deployment of real processes on loopback, for scripts and tests.

The system itself never starts processes; only this tool does.
"""

import contextlib
import json
import os
import shutil
import subprocess
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import attrs
import urllib3

from chestnutvale.emulator.background_call import BackgroundCall
from chestnutvale.emulator.caller import Caller
from chestnutvale.emulator.deployment_settings import (
    DATA_CENTRES,
    OPERATOR_TOKEN,
    SettingsFiles,
)
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.process_guard import ProcessGuard
from chestnutvale.emulator.processes import (
    ManagedProcess,
    find_free_addresses,
    program_path,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent.parent
DEMO_TEXT = ROOT / "examples" / "demo" / "text.json"
WORKSPACE_KEYS = {"accounts": "demo-key-accounts", "reports": "demo-key-reports"}
MODEL_SERVICE = "chestnut-llm"
PLAIN_SERVICE = "ledger-app"
CALL_TIMEOUT_S = 30.0
START_TIMEOUT_S = 60.0
CLIENT_TIMEOUT_S = 30.0


@attrs.frozen
class DeploymentOptions:
    """Size and settings of a deployment.

    Attributes
    ----------
    folder : Path
        Folder for settings, data and logs; deleted and created anew at the start.
    text_path : Path
        File of the configuration text that operators apply.
    controls, entries : int
        Number of control and entry processes.
    fabric_domains : dict of str to int
        Number of engine hosts in each fabric domain.
    services : int
        Number of hosts of the plain service.
    fencing : bool
        Whether engines refuse orders with an old fencing token.
    engine_arguments, service_arguments : list of str
        Additional arguments of each engine and of each plain service.
    entry_settings, control_settings : dict
        Settings of the daemons that override the defaults.
    """

    folder: Path
    text_path: Path = DEMO_TEXT
    controls: int = 3
    entries: int = 3
    fabric_domains: dict[str, int] = attrs.field(
        factory=lambda: {"fabric-a": 4, "fabric-b": 4}
    )
    services: int = 1
    fencing: bool = True
    engine_arguments: list[str] = attrs.field(factory=list)
    service_arguments: list[str] = attrs.field(factory=list)
    entry_settings: dict[str, Any] = attrs.field(factory=dict)
    control_settings: dict[str, Any] = attrs.field(factory=dict)


class Deployment:
    """Starts all processes of a deployment and kills them; a context manager.

    Parameters
    ----------
    options : DeploymentOptions
        Size and settings.

    Attributes
    ----------
    controls, entries, engines, services : dict of str to ManagedProcess
        The processes by name.
    addresses : dict of str to str
        IP address and port of each process's HTTP server, by name.
    http : urllib3.PoolManager
        Connection pool for calls.
    """

    def __init__(self, options: DeploymentOptions) -> None:
        self.options = options
        self.folder = options.folder
        self.controls: dict[str, ManagedProcess] = {}
        self.entries: dict[str, ManagedProcess] = {}
        self.engines: dict[str, ManagedProcess] = {}
        self.services: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}
        self.fabric_domains: dict[str, str] = {}
        self.http = urllib3.PoolManager(
            maxsize=64, retries=False, timeout=CALL_TIMEOUT_S
        )
        self._peer_addresses: dict[str, str] = {}
        self._settings_files = SettingsFiles(
            self.folder, self.addresses, self._peer_addresses
        )
        self._free_addresses = find_free_addresses(os.getpid())
        self._stack = ExitStack()
        self._guard = ProcessGuard()
        self._weight_store_address = ""

    def __enter__(self) -> Self:
        """Start all processes and wait until every daemon is healthy."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self._settings_files.write_operator_token()
        with self._stack:
            self._stack.enter_context(self._guard)
            self._reserve_addresses()
            self._start_endpoints()
            self._start_daemons()
            self._settings_files.write_client()
            self._wait_for_http_servers()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and close the connections to them."""
        self._stack.close()
        self.http.clear()

    def _reserve_addresses(self) -> None:
        for number in range(1, self.options.controls + 1):
            self._reserve_daemon_addresses(f"control-{number}")
        for number in range(1, self.options.entries + 1):
            self._reserve_daemon_addresses(f"entry-{number}")

    def _reserve_daemon_addresses(self, name: str) -> None:
        self.addresses[name] = next(self._free_addresses)
        self._peer_addresses[name] = next(self._free_addresses)

    def _start_process(
        self, name: str, program: str, arguments: list[str]
    ) -> ManagedProcess:
        command = [program_path(program), *arguments]
        process = ManagedProcess(name, command, self.folder, self._guard)
        return self._stack.enter_context(process)

    def _start_endpoints(self) -> None:
        store = self._start_process("weights", "chestnut-emulated-weights", [])
        self._weight_store_address = store.wait_ready()["address"]
        number = 0
        for domain, count in self.options.fabric_domains.items():
            for _ in range(count):
                number += 1
                self.start_engine(f"host-{number}", domain)
        for number in range(1, self.options.services + 1):
            self._start_service(f"app-{number}")
        for process in (self.engines | self.services).values():
            process.wait_ready()

    def start_engine(self, name: str, domain: str) -> ManagedProcess:
        """Start an engine host that announces itself to the entries."""
        self.addresses[name] = next(self._free_addresses)
        arguments = [*self._endpoint_arguments(name, domain)]
        arguments += ["--fencing" if self.options.fencing else "--no-fencing"]
        arguments += self.options.engine_arguments
        process = self._start_process(name, "chestnut-emulated-engine", arguments)
        self.engines[name] = process
        self.fabric_domains[name] = domain
        return process

    def _start_service(self, name: str) -> None:
        domain = next(iter(self.options.fabric_domains), "fabric-a")
        self.addresses[name] = next(self._free_addresses)
        arguments = [*self._endpoint_arguments(name, domain), "--service"]
        arguments += [PLAIN_SERVICE, *self.options.service_arguments]
        process = self._start_process(name, "chestnut-emulated-service", arguments)
        self.services[name] = process

    def _endpoint_arguments(self, name: str, domain: str) -> list[str]:
        entries = [a for n, a in self.addresses.items() if n.startswith("entry-")]
        location_arguments = [
            "--fabric-domain",
            domain,
            "--data-centre",
            DATA_CENTRES[0],
        ]
        identity_arguments = ["--host-id", name, "--address", self.addresses[name]]
        return [*identity_arguments, "--entries", *entries, *location_arguments]

    def _start_daemons(self) -> None:
        files = self._settings_files
        for number in range(1, self.options.controls + 1):
            name = f"control-{number}"
            overrides = self.options.control_settings
            path = files.write_control(
                name, number, self._weight_store_address, overrides
            )
            self.controls[name] = self._start_daemon(name, "chestnut-control", path)
        for number in range(1, self.options.entries + 1):
            name = f"entry-{number}"
            path = files.write_entry(name, number, self.options.entry_settings)
            self.entries[name] = self._start_daemon(name, "chestnut-entry", path)

    def _start_daemon(self, name: str, program: str, settings: Path) -> ManagedProcess:
        return self._start_process(name, program, [str(settings)])

    def _wait_for_http_servers(self) -> None:
        for name, process in (self.controls | self.entries).items():
            self.wait_until_healthy(name, process)

    def wait_until_healthy(self, name: str, process: ManagedProcess) -> None:
        """Wait until a daemon answers its health check.

        Raises
        ------
        EmulatorError
            If the daemon exits, or is not healthy in time.
        """

        def is_healthy() -> bool:
            if not process.is_running:
                raise EmulatorError(
                    f"process exited with code {process.exit_code} before it was "
                    f"healthy; end of its log: {process.read_log_tail()}",
                    step="start",
                    peer=name,
                )
            return self.fetch_status(name, "/healthz") == 200

        wait_until(is_healthy, START_TIMEOUT_S, f"{name} to be healthy")

    def fetch_status(self, name: str, path: str) -> int:
        """Return the HTTP status of a GET request, or 0 if the connection fails."""
        try:
            url = f"http://{self.addresses[name]}{path}"
            return self.http.request("GET", url, timeout=2.0).status
        except urllib3.exceptions.HTTPError:
            return 0

    def fetch_json(self, name: str, path: str, **headers: str) -> Any:
        """Return the JSON body that a process answers to a GET request."""
        url = f"http://{self.addresses[name]}{path}"
        return self.http.request("GET", url, headers=headers).json()

    def post_json(self, name: str, path: str, data: Any) -> urllib3.BaseHTTPResponse:
        """Send a JSON value to a process in a POST request and return the response."""
        url = f"http://{self.addresses[name]}{path}"
        return self.http.request("POST", url, body=json.dumps(data).encode())

    @property
    def client_command(self) -> list[str]:
        """Command line of the operator client, with the settings of this deployment."""
        settings = f"CHESTNUT_SETTINGS={self.folder / 'client.json'}"
        return ["env", settings, program_path("chestnut")]

    def run_client(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operator client and return its exit code and output."""
        return subprocess.run(
            [*self.client_command, *arguments],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=CLIENT_TIMEOUT_S,
            check=False,
        )

    def apply_text(self, text_path: Path) -> None:
        """Apply a configuration text with the operator client.

        Raises
        ------
        EmulatorError
            If the client does not exit with 0.
        """
        run = self.run_client("apply", str(text_path))
        if run.returncode != 0:
            raise EmulatorError(
                f"chestnut apply {text_path} exited with {run.returncode}: "
                f"{run.stdout}{run.stderr}",
                step="apply",
            )

    def make_caller(self, entry: str, workspace: str = "accounts") -> Caller:
        """Return a caller of one entry that uses the key of a workspace."""
        return Caller(self.addresses[entry], WORKSPACE_KEYS[workspace], self.http)

    def fetch_holdings(self) -> dict[str, dict[str, Any]]:
        """Return the holding of each reachable engine that has one, by host."""
        found: dict[str, dict[str, Any]] = {}
        for name, process in self.engines.items():
            if not process.is_running:
                continue
            try:
                holding = self.fetch_json(name, "/v1/membership")["holding"]
            except urllib3.exceptions.HTTPError:
                continue
            if holding:
                found[name] = holding
        return found

    def fetch_groups(self) -> dict[str, list[str]]:
        """Return the hosts of each engine group in order of rank, the head first."""
        holdings = self.fetch_holdings()
        members: dict[str, list[str]] = {}
        for name in sorted(holdings, key=lambda n: int(holdings[n].get("rank", 0))):
            members.setdefault(holdings[name]["group_id"], []).append(name)
        return members

    def wait_until_groups_serve(
        self, groups: int, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a number of groups is ready and every entry serves requests.

        Parameters
        ----------
        groups : int
            Minimum number of groups.
        timeout_s : float, optional
            Maximum wait in seconds, for the groups and again for each entry.

        Raises
        ------
        EmulatorError
            If a wait times out.
        """

        def are_ready() -> bool:
            phases = [h.get("phase") for h in self.fetch_holdings().values()]
            return len(self.fetch_groups()) >= groups and set(phases) == {"ready"}

        wait_until(are_ready, timeout_s, f"{groups} groups to be ready", 0.2)
        for entry in self.entries:
            self.wait_until_entry_serves(entry, timeout_s)

    def wait_until_entry_serves(
        self, entry: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until an entry gives a complete answer to a probe request."""
        caller = self.make_caller(entry)
        wait_until(
            lambda: caller.generate(MODEL_SERVICE, "probe", 1).is_complete,
            timeout_s,
            f"{entry} to serve",
            0.2,
        )

    def get_operator_page(self, name: str, path: str) -> urllib3.BaseHTTPResponse:
        """Return the response of a control to a GET below ``/operator/v1/``."""
        return self.http.request(
            "GET",
            f"http://{self.addresses[name]}/operator/v1/{path}",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=2.0,
        )

    def wait_for_leader(self, timeout_s: float = START_TIMEOUT_S) -> str:
        """Wait for a control that a quorum confirms as leader; return its name."""

        def find() -> str:
            for name, process in self.controls.items():
                if not process.is_running:
                    continue
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    answer = self.get_operator_page(name, "status")
                    if answer.status == 200 and answer.json().get("confirmed"):
                        return name
            return ""

        return wait_until(find, timeout_s, "a confirmed leader", 0.1)

    def restart_daemon(self, name: str) -> None:
        """Start a daemon that has exited and wait until it is healthy."""
        process = (self.controls | self.entries)[name]
        process.start()
        self.wait_until_healthy(name, process)

    def fetch_run_counts(self) -> dict[str, int]:
        """Return how often all hosts of the plain service together ran each key."""
        total: Counter[str] = Counter()
        for name in self.services:
            total.update(self.fetch_json(name, "/runs")["runs"])
        return dict(total)

    def fetch_attempt_counts(self) -> dict[str, int]:
        """Return the number of ended attempts of each running engine, by host."""
        return {
            name: len(self.fetch_json(name, "/v1/history")["attempts"])
            for name, process in self.engines.items()
            if process.is_running
        }

    def find_busy_head(self) -> str:
        """Return a group head whose engine runs a request; empty if there is none."""
        for members in self.fetch_groups().values():
            if self.fetch_json(members[0], "/v1/history")["running"]:
                return members[0]
        return ""

    def run_in_background(self, action: Any, *arguments: Any) -> BackgroundCall:
        """Start a call in a background thread."""
        return BackgroundCall(action, arguments)

    def write_addresses_file(self, path: Path) -> None:
        """Write addresses, process ids and keys as JSON, for tools that use them."""
        holdings = self.fetch_holdings()
        engines = [
            {
                "host": name,
                "process_id": process.pid,
                "group": holdings.get(name, {}).get("group_id", ""),
                "fabric_domain": self.fabric_domains[name],
                "address": self.addresses[name],
            }
            for name, process in self.engines.items()
        ]
        processes = self.controls | self.entries | self.services
        data = {
            "entries": [self.addresses[name] for name in self.entries],
            "controls": [self.addresses[name] for name in self.controls],
            "engines": engines,
            "services": {
                PLAIN_SERVICE: [self.addresses[name] for name in self.services]
            },
            "operator_token": OPERATOR_TOKEN,
            "workspaces": {n: {"key": key} for n, key in WORKSPACE_KEYS.items()},
            "chestnut": " ".join(self.client_command),
            "text": str(self.options.text_path),
            "process_ids": {name: p.pid for name, p in processes.items()},
        }
        path.write_text(json.dumps(data, indent=2) + "\n")
