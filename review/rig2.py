"""Processes, workers and clients on loopback for the scripts of review 2."""

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT = 8229
CALLER_PORT = 8227
READINESS_PORT = 8220
START = time.monotonic()


def now() -> float:
    """Return the seconds since this script started."""
    return time.monotonic() - START


class Record:
    """Writes lines with the time to record.txt."""

    def __init__(self, folder: Path | str) -> None:
        self.file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self.file.write(f"TROUBLE={os.environ.get('TROUBLE', '1')}\n")

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_base() -> str:
    """Return the first three numbers of addresses whose ports nobody uses."""
    while True:
        base = f"127.{secrets.randbelow(100) + 100}.{secrets.randbelow(250) + 1}"
        try:
            for number in (1, 2, 3, 11, 12, 20):
                for port in (
                    CONTROL_PORT,
                    CALLER_PORT,
                    READINESS_PORT,
                    7340,
                    7341,
                    8080,
                ):
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f"{base}.{number}", port))
        except OSError:
            continue
        return base


class Fleet:
    """The project's programs, started with the commands of the deploy file."""

    def __init__(
        self, folder: Path | str, record: Record, base: str | None = None
    ) -> None:
        self.folder = Path(folder)
        self.record = record
        # Addresses that nobody uses, so that two scripts may run at once.
        self.base = base or find_free_base()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        self.processes = {}
        self.files = {}
        self.roles = {}

    def address(self, number: int) -> str:
        """Return an IP address of this fleet."""
        return f"{self.base}.{number}"

    def write_file(
        self, name: str, role: str, number: int, controls: list[int], **fields: str
    ) -> None:
        """Write the settings file of a process."""
        address = self.address(number)
        values = {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if role == "control" else "frontend",
            "ipAddress": address,
            "zone": "a",
            "region": "r",
            "zones.a": "r",
            "internalPortRange": "7340,7355",
            "seedNodes": ",".join(
                f"{self.address(n)}:{CONTROL_PORT}" for n in controls[:3]
            ),
            "bootstrap": "true",
            "limits.memoryMb": "296" if role == "control" else "222",
            "limits.fileDescriptors": "1570",
            "faultTolerance.machines": str((len(controls) - 1) // 2),
            "heartbeatIntervalMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "gangs",
            "bounds.contactMs": "3000",
            "bounds.ackTimeoutMs": "4000",
            "bounds.drainTimeoutMs": "2000",
            "bounds.gracePeriodS": "8",
            "bounds.configApplyMs": "2000",
            "bounds.revokeStrict": "true",
            "bounds.revokeMs": "5000",
            "bounds.stallMs": "5000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.retryBudgetExtra": "223",
            "bounds.budgetWindowS": "10",
            "bounds.fencingEnforced": "true",
        }
        if role == "control":
            data = self.folder / f"{name}-data"
            data.mkdir(parents=True, exist_ok=True)
            values["dataDirectory"] = str(data)
            values["listenAddresses.controlPlane"] = f"{address}:{CONTROL_PORT}"
            values["serves"] = "control_plane"
        else:
            values["listenAddresses.frontend"] = f"{address}:{CALLER_PORT}"
            values["listenAddresses.readiness"] = f"{address}:{READINESS_PORT}"
            values["serves"] = "frontend"
        values |= {key.replace("__", "."): value for key, value in fields.items()}
        path = self.folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        self.files[name] = path
        self.roles[name] = role

    def start(self, name: str) -> None:
        """Start a process by the command of the deploy file."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CHESTNUTVALE_NODE_FILE"] = str(self.files[name])
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            self.commands[self.roles[name]],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.line(f"start {name}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this script started."""
        self.record.line(f"signal {number.name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop_all(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()


class Answer:
    """An answer to a request."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_answer(reader: asyncio.StreamReader, method: str = "GET") -> Answer:
    """Read one answer; raise EOFError or ValueError if it is incomplete or none."""
    line = await reader.readline()
    if not line:
        raise EOFError("closed")
    match = re.fullmatch(rb"HTTP/1\.[01] (\d{3})[^\r\n]*\r?\n", line)
    if not match:
        raise ValueError(f"not an answer: {line!r}")
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            raise EOFError("closed in a head")
        line = line.strip()
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(match[1])
    if status < 200:
        return await read_answer(reader, method)
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"")
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise EOFError("closed in a body")
            size = int(line, 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return Answer(status, headers, body)
            body += part[:-2]
    if "content-length" in headers:
        return Answer(
            status, headers, await reader.readexactly(int(headers["content-length"]))
        )
    return Answer(status, headers, await reader.read())


def encode(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
    source: Any = None,
) -> Answer:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")

    async def run() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(method, target, {"Host": address, **headers}, body))
            await writer.drain()
            return await read_answer(reader, method)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


async def send_configuration(
    fleet: Fleet, controls: list[int], document: dict[str, Any], seconds: float = 30.0
) -> bool:
    """Send a configuration to one control after the other until it is acknowledged."""
    body = json.dumps(document).encode()
    until = time.monotonic() + seconds
    position = 0
    while time.monotonic() < until:
        address = f"{fleet.address(controls[position % len(controls)])}:{CONTROL_PORT}"
        position += 1
        for _ in range(3):
            try:
                answer = await call(
                    address,
                    "POST",
                    "/api/configuration/replace",
                    {"Content-Type": "application/json"},
                    body,
                    timeout=2.0,
                )
            except (OSError, EOFError, ValueError, TimeoutError):
                answer = None
                break
            if answer.status != 307:
                break
            address = answer.get("location").split("/")[2]
        if answer is not None and answer.status == 200:
            fleet.record.line(f"configuration {document['version']} acknowledged")
            return True
        await asyncio.sleep(0.2)
    return False


class Worker:
    """A worker of a plain service; runs one request at a time on a connection."""

    def __init__(
        self,
        fleet: Fleet,
        worker_id: str,
        number: int,
        service: str,
        controls: list[int],
        slots: int = 6,
        queue: int = 24,
        port: int = 8080,
    ) -> None:
        self.fleet = fleet
        self.id = worker_id
        self.host = fleet.address(number)
        self.port = port
        self.service = service
        self.controls = controls
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.arrivals = []
        self.runs = []
        self.work_s = 0.02
        self.server = None
        self.tasks = []
        self.handle = self.run_request
        self.paths = [f"{fleet.address(n)}:{CONTROL_PORT}" for n in controls]
        self.freed = asyncio.Event()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.tasks.append(asyncio.create_task(self.beat()))

    def stop(self) -> None:
        """End without a word."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self) -> None:
        """Send heartbeats."""
        position = 0
        while True:
            for _ in self.paths:
                address = self.paths[position % len(self.paths)]
                try:
                    answer = await call(
                        address,
                        "POST",
                        f"/api/instances/{self.id}/heartbeat",
                        {"Content-Type": "application/json"},
                        json.dumps(self.heartbeat()).encode(),
                        timeout=1.0,
                    )
                    if answer.status // 100 == 2:
                        break
                except (OSError, EOFError, ValueError, TimeoutError):
                    pass
                position += 1
            await asyncio.sleep(1.2)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await self.read_request(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader: asyncio.StreamReader) -> dict[str, Any] | None:
        """Return the next request, or None."""
        line = await reader.readline()
        if not line:
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := await reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return {"method": method, "target": target, "headers": headers, "body": body}

    def write(
        self,
        writer: asyncio.StreamWriter,
        request: dict[str, Any],
        status: int,
        body: bytes = b"",
        **headers: dict[str, str],
    ) -> None:
        """Write an answer."""
        lines = [f"HTTP/1.1 {status} X"]
        attempt = request["headers"].get("chestnutvale-attempt-id")
        if attempt:
            lines.append(f"Chestnutvale-Attempt-Id: {attempt}")
        if status != 503 or "not_executed" not in headers:
            lines.append(f"Chestnutvale-Server-Signature: sig.{self.id}.{attempt}")
        if headers.pop("not_executed", False):
            lines.append("Chestnutvale-Not-Executed: 1")
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode()
        writer.write(data + (b"" if request["method"] == "HEAD" else body))

    async def run_request(
        self,
        request: dict[str, Any],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handle one request as a sound worker does."""
        attempt = request["headers"].get("chestnutvale-attempt-id", "")
        expected = request["headers"].get("chestnutvale-expected-instance")
        if request["target"] == "/health":
            self.write(writer, request, 200, b"", Chestnutvale_Instance_Id=self.id)
            return True
        self.arrivals.append((now(), attempt))
        if expected and expected != self.id:
            self.write(writer, request, 421, b"", not_executed=True)
            return True
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                self.fleet.record.line(f"{self.id} rejects {attempt}")
                self.write(writer, request, 503, b"", not_executed=True)
                return True
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    self.freed.clear()
                    await self.freed.wait()
            finally:
                self.waiting -= 1
        self.running += 1
        self.runs.append((now(), attempt, request))
        self.fleet.record.line(
            f"{self.id} runs {attempt} {request['method']} {request['target']}"
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.freed.set()
        self.write(writer, request, 200, f"answer to {attempt}".encode())
        return True


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    attempts: int,
    timeout: float = 8000,
    public: bool = True,
    **more: Any,
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "lab.example",
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": public,
        **more,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: Sequence[dict[str, Any]] = (),
) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": list(tenants),
    }


def plain(name: str, connections: int = 208) -> dict[str, Any]:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": connections,
        "protocol": "h1",
        "tls": False,
    }


async def wait_ready(fleet: Fleet, number: int, seconds: float = 30.0) -> bool:
    """Wait until an entry says that it is ready."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            answer = await call(
                f"{fleet.address(number)}:{READINESS_PORT}",
                "GET",
                "/api/readiness",
                {},
                timeout=1.0,
            )
            if answer.status == 200:
                return True
        except (OSError, EOFError, ValueError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False


def run_case(main: Any, folder: Path | str) -> None:
    """Run a case with a temporary folder; exit with 0, 1 or 2."""
    import shutil
    import tempfile

    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review2-"))
    fleet = Fleet(temporary, record)
    try:
        code = asyncio.run(asyncio.wait_for(main(fleet, record), 110.0))
    except Exception as error:  # noqa: BLE001
        record.line(f"the case could not run: {error!r}")
        code = 2
    finally:
        fleet.stop_all()
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[code])
    sys.exit(code)
