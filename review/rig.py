"""Stand-ins and process control shared by the scripts of the review.

Standard library only. All addresses are loopback addresses with free ports.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

ROOT = Path(__file__).resolve().parent.parent
CONTROL_COMMAND = "-S -W ignore::DeprecationWarning platform/control.py"
ENTRY_COMMAND = "-S -W ignore::DeprecationWarning platform/entry.py"
ZONES = ("a", "b", "c")
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
CASE_TIMEOUT_S = 110.0
KEY = "key-1"
TENANT = "t1"
# Settings of the platform that are the same on all machines.
COMMON = """\
nodeName={name}
role={role}
machineClass={machine_class}
ipAddress={address}
zone={zone}
region=r
zones.a=r
zones.b=r
zones.c=r
internalPortRange={peer_port},{last_peer_port}
seedNodes={seeds}
bootstrap={bootstrap}
limits.cpuShare=1
limits.cpuCores=1
limits.memoryMb=296
limits.fileDescriptors=2940
discovery=registration
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,gangs
faultTolerance.machines={tolerated}
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerBoundMs=5000
bounds.revokeStrict=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetExtra=223
bounds.recoveryS=12
bounds.eventDelayMs=120
bounds.retryAfterS=0
bounds.stallMs=5000
bounds.fencingEnforced=true
bounds.ceilingWindowS=5
bounds.loadRateFactor=1.1
configMode=highest
"""


class RigError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started_s

    def add(self, message: str) -> None:
        """Write a line."""
        print(f"{self.now_s():8.3f} {message}", file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Machine:
    """One process of the system, started with the command of the deploy file."""

    def __init__(
        self,
        rig: "Rig",
        name: str,
        address: str,
        command: str,
        settings_path: Path,
        log_path: Path,
    ):
        self.name = name
        self.address = address
        self._rig = rig
        self._command = command
        self._settings_path = settings_path
        self._log_path = log_path
        self.process = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHESTNUTVALE_NODE_FILE": str(self._settings_path),
        }
        log = self._log_path.open("ab")
        self.process = subprocess.Popen(
            ["python3", *self._command.split()],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._rig.record.add(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Rig:
    """A small deployment on loopback; an asynchronous context manager."""

    def __init__(
        self, folder: Path, controls: int = 5, entries: int = 2, tolerated: int = 2
    ):
        self.record = Record(Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix, ports = _find_free_ports(controls + entries + 40)
        self.control_port, self.caller_port, self.readiness_port = ports[:3]
        self.peer_port = ports[3]
        self.worker_port = ports[4]
        self._tolerated = tolerated
        self._next_worker = controls + entries + 1
        self.tasks = []
        addresses = [f"{self.prefix}.{n + 1}" for n in range(controls)]
        self.seeds = [f"{a}:{self.control_port}" for a in addresses[:3]]
        self.controls = [
            self._make_control(n, address) for n, address in enumerate(addresses)
        ]
        self.entries = [
            self._make_entry(n, f"{self.prefix}.{controls + n + 1}")
            for n in range(entries)
        ]

    async def __aenter__(self) -> Self:
        """Start all processes of the system."""
        for machine in [*self.controls, *self.entries]:
            machine.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in [*self.controls, *self.entries]:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Future[Any]:
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def new_worker_address(self) -> str:
        """Return a free address for a worker."""
        number, self._next_worker = self._next_worker, self._next_worker + 1
        return f"{self.prefix}.{number}:{self.worker_port}"

    def _write_settings(
        self,
        name: str,
        address: str,
        role: str,
        machine_class: str,
        number: int,
        rest: str,
    ):
        path = self.temporary / f"{name}.conf"
        common = COMMON.format(
            name=name,
            role=role,
            machine_class=machine_class,
            address=address,
            zone=ZONES[number % len(ZONES)],
            peer_port=self.peer_port,
            last_peer_port=self.peer_port + 15,
            seeds=",".join(self.seeds),
            bootstrap="true",
            tolerated=self._tolerated,
        )
        path.write_text(common + rest)
        return path

    def _make_control(self, number: int, address: str):
        name = f"core-{number + 1}"
        data = self.temporary / f"{name}-data"
        data.mkdir()
        rest = (
            f"listenAddresses.controlPlane={address}:{self.control_port}\n"
            f"dataDirectory={data}\nserves=control_plane\nlossCounts=true\n"
        )
        path = self._write_settings(name, address, "control", "core", number, rest)
        log = self.temporary / f"{name}.log"
        return Machine(self, name, address, CONTROL_COMMAND, path, log)

    def _make_entry(self, number: int, address: str):
        name = f"frontend-{number + 1}"
        rest = (
            f"listenAddresses.frontend={address}:{self.caller_port}\n"
            f"listenAddresses.readiness={address}:{self.readiness_port}\n"
            "serves=frontend\nlossCounts=false\n"
        )
        path = self._write_settings(name, address, "entry", "frontend", number, rest)
        log = self.temporary / f"{name}.log"
        return Machine(self, name, address, ENTRY_COMMAND, path, log)

    # The operator.

    async def call_control(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        controls: "list[Machine] | None" = None,
        tries: int = 60,
    ) -> tuple[int, bytes]:
        """Call the control plane until it answers with 2xx or a final refusal."""
        targets = [
            f"{machine.address}:{self.control_port}"
            for machine in controls or self.controls
        ]
        address = targets[0]
        for number in range(tries):
            try:
                status, headers, answer = await asyncio.wait_for(
                    request(address, method, path, {}, body), 4.0
                )
            except (TimeoutError, OSError, EOFError, ValueError):
                status, headers, answer = 0, {}, b""
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, answer
            location = headers.get("location", "")
            if status == 307 and location.startswith("http://"):
                address = location[len("http://") :].partition("/")[0]
                continue
            address = targets[(number + 1) % len(targets)]
            await asyncio.sleep(0.2)
        return 0, b""

    async def replace_configuration(self, document: dict[str, Any]) -> int:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        status, _ = await self.call_control("POST", "/api/configuration/replace", body)
        self.record.add(f"configuration {document['version']} answered {status}")
        return status

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all entries say that they are ready."""
        until_s = time.monotonic() + timeout_s
        for entry in self.entries:
            address = f"{entry.address}:{self.readiness_port}"
            while True:
                with contextlib.suppress(OSError, EOFError, ValueError):
                    status, _, _ = await request(
                        address, "GET", "/api/readiness", {}, b""
                    )
                    if status == 200:
                        break
                if time.monotonic() > until_s:
                    raise RigError(f"{entry.name} isn't ready")
                await asyncio.sleep(0.1)

    def caller_address(self, entry: int = 0) -> str:
        """Return the address at which an entry takes calls."""
        return f"{self.entries[entry].address}:{self.caller_port}"


class Worker:
    """A plain service's worker: announces itself and answers calls.

    Subclasses override `answer`, which gets one request and writes the answer.
    """

    def __init__(self, rig: "Rig", service: str, zone: str = "a", identity: str = ""):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.identity = identity or f"i-{random.getrandbits(40):010x}"
        self.address = rig.new_worker_address()
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self._server = None
        self._beats = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, beats: bool = True) -> None:
        """Listen and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        if beats:
            self.continue_beats()

    def continue_beats(self) -> None:
        """Send heartbeats from now on."""
        self._beats = self.rig.spawn(self.send_beats())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        self.stop_beats()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self, controls: "list[Machine] | None" = None) -> "Machine | None":
        """Send a heartbeat; the next control is tried after a failure."""
        body = json.dumps(self.make_heartbeat()).encode()
        path = f"/api/instances/{self.identity}/heartbeat"
        targets = list(controls or self.rig.controls)
        if controls is None:
            random.shuffle(targets)
        for machine in targets:
            address = f"{machine.address}:{self.rig.control_port}"
            with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
                status, _, _ = await asyncio.wait_for(
                    request(address, "POST", path, {}, body), 1.0
                )
                if 200 <= status < 300:
                    return machine
        return None

    async def send_beats(self) -> None:
        """Send heartbeats until the task is cancelled."""
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                head, body = await read_request(reader)
                if not await self._handle(head, body, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, head: "Head", body: bytes, writer: asyncio.StreamWriter):
        attempt = head.get("chestnutvale-attempt-id", "")
        expected = head.get("chestnutvale-expected-instance", self.identity)
        if head.path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Unavailable"
            write_answer(writer, status, {"Chestnutvale-Instance-Id": self.identity})
            return True
        if expected != self.identity:
            write_answer(
                writer,
                "421 Misdirected Request",
                {"Chestnutvale-Attempt-Id": attempt},
            )
            return True
        self.runs.append((self.rig.record.now_s(), attempt))
        self.rig.record.add(
            f"{self.identity} ({self.service}) runs {attempt or '(no id)'}: "
            f"{head.method} {head.target} with {len(body)} bytes"
        )
        return await self.answer(head, body, writer, attempt)

    async def answer(
        self, head: "Head", body: bytes, writer: asyncio.StreamWriter, attempt: str
    ) -> bool:
        """Answer a request; return whether to keep the connection."""
        write_answer(
            writer, "200 OK", self.make_headers(attempt), b"result of " + body[:64]
        )
        return True

    def make_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            "Chestnutvale-Attempt-Id": attempt,
            "Chestnutvale-Server-Signature": f"sig-{self.identity}-{attempt}",
        }


class Head(dict):
    """Headers of a message, by lower-case name, with its first line."""

    method = path = target = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head]:
    """Read the first line and the headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    head = Head()
    for line in lines:
        name, _, value = line.partition(":")
        head[name.strip().lower()] = value.strip()
    return first, head


async def read_request(reader: asyncio.StreamReader) -> tuple[Head, bytes]:
    """Read a request with a length or in chunks."""
    first, head = await read_head(reader)
    head.method, head.target, _ = first.split(" ", 2)
    head.path = head.target.partition("?")[0]
    return head, await _read_body(reader, head)


async def _read_body(
    reader: asyncio.StreamReader, head: "Head", until_end: bool = False
):
    if "chunked" in head.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readuntil(b"\r\n")
            if not size:
                return b"".join(parts)
    if "content-length" in head:
        return await reader.readexactly(int(head["content-length"]))
    return await reader.read() if until_end else b""


def write_answer(
    writer: asyncio.StreamWriter,
    status: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


def encode_request(
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    host: str = "shop.example",
) -> bytes:
    """Return a request with a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Head, bytes]:
    """Read an answer; return its status, headers and body."""
    first, head = await read_head(reader)
    status = int(first.split(" ")[1])
    if status == 100:
        return await read_response(reader)
    return status, head, await _read_body(reader, head, until_end=True)


async def request(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, Head, bytes]:
    """Send one request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        headers = {"Connection": "close", **headers}
        writer.write(encode_request(method, path, headers, body, address))
        return await read_response(reader)
    finally:
        writer.close()


def new_attempt_id() -> str:
    """Return an id for a client's attempt."""
    return f"{random.getrandbits(64):016x}"


def make_caller_headers(attempt: str, deadline_ms: int = 1500) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Chestnutvale-Attempt-Id": attempt,
        "Chestnutvale-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


async def call(
    rig: "Rig",
    method: str,
    path: str,
    body: bytes = b"",
    entry: int = 0,
    deadline_ms: int = 1500,
    headers: dict[str, str] | None = None,
) -> tuple[str, int, dict[str, str], bytes]:
    """Send a client's request on a new connection; return id, status, headers, body."""
    attempt = new_attempt_id()
    rig.record.add(f"client sends {attempt}: {method} {path}")
    host, _, port = rig.caller_address(entry).rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        rig.record.add(f"client of {attempt} can't connect: {error}")
        return attempt, 0, {}, b""
    try:
        all_headers = make_caller_headers(attempt, deadline_ms) | (headers or {})
        writer.write(encode_request(method, path, all_headers, body))
        status, head, answer = await asyncio.wait_for(
            read_response(reader), deadline_ms / 1_000 + 1.0
        )
    except (TimeoutError, OSError, EOFError, ValueError) as error:
        rig.record.add(f"client of {attempt} gets {type(error).__name__}")
        return attempt, 0, {}, b""
    finally:
        writer.close()
    rig.record.add(f"client of {attempt} gets {status} with {len(answer)} bytes")
    return attempt, status, head, answer


def make_route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    **fields: Any,
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 125,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **fields,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    keys: Iterable[str] = (KEY,),
) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 208,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}],
    }


def _find_free_ports(address_count: int):
    """Return a loopback prefix and five ports that are free at all its addresses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        base = random.randint(20_000, 31_000)
        ports = [base, base + 1, base + 2, base + 10, base + 40]
        wanted = [*ports, *range(base + 10, base + 26)]
        if all(_is_free(f"{prefix}.1", port) for port in wanted):
            return prefix, ports
    raise RigError("no free ports")


def _is_free(host: str, port: int):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


async def _run_limited(run_case: Callable[[], Coroutine[Any, Any, bool]]):
    """Run a case for a limited time; a SIGTERM ends it and its processes."""
    task = asyncio.ensure_future(run_case())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, CASE_TIMEOUT_S)


def main(run_case: Callable[[], Coroutine[Any, Any, bool]]) -> None:
    """Run a case and exit with 0, 1 or 2."""
    try:
        is_broken = asyncio.run(_run_limited(run_case))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
