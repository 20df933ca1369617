"""Starts controls and entries on loopback and plays workers, clients and the operator.

The programs are started with the commands of the deploy file, each with a settings
file like those of a small deployment. All stand-ins run in the process of the test.
"""

import asyncio
import contextlib
import itertools
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
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT = 8229
CALLER_PORT = 8227
READINESS_PORT = 8220
WORKER_PORT = 8080
HEARTBEAT_S = 1.2
LIMIT_S = 112.0

_SETTINGS = """\
nodeName={name}
role={role}
machineClass={machine_class}
serves={serves}
ipAddress={address}
zone={zone}
region=r
zones.a=r
zones.b=r
zones.c=r
internalPortRange=7340,7355
seedNodes={seeds}
bootstrap={bootstrap}
lossCounts={counts}
limits.cpuShare=1.0
limits.cpuCores=1
limits.memoryMb=296
limits.fileDescriptors=1570
limits.linkMbps=350.0
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


class CannotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """Writes what happened to ``record.txt``, one JSON object per line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the time since the begin of the test, in seconds."""
        return round(time.monotonic() - self._started, 4)

    def __call__(self, what: str, **fields: Any) -> None:
        """Write one line."""
        self._file.write(json.dumps({"t": self.now(), "what": what, **fields}) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """Head and body of an HTTP message."""

    def __init__(
        self, first: str, headers: dict[str, str], body: bytes, whole: bool = True
    ) -> None:
        self.first = first
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head; None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_pieces(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    """Yield the pieces of a body; raise if it is cut."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return
            yield piece[:-2]
    elif "content-length" in headers:
        size = int(headers["content-length"])
        if size:
            yield await reader.readexactly(size)
    else:
        while piece := await reader.read(65536):
            yield piece


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
    gap_s: float = 10.0,
) -> Message | None:
    """Send one request on a connection of its own; return the answer or None.

    An answer that ends early has ``whole`` False. The client leaves after ``gap_s``
    without a byte, also before the first one.
    """
    host, _, port = address.rpartition(":")
    writer = None
    answer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(gap_s):
                head = await read_head(reader)
            if head is None:
                return None
            answer = Message(*head, b"", whole=False)
            if answer.status in (204, 304):
                answer.whole = True
                return answer
            pieces = read_pieces(reader, answer.headers)
            while True:
                async with asyncio.timeout(gap_s):
                    piece = await anext(pieces, None)
                if piece is None:
                    break
                answer.body += piece
            answer.whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Deployment:
    """Controls and entries as processes; a context manager."""

    def __init__(self, record: Record, *, controls: int = 3, entries: int = 1) -> None:
        self.record = record
        self.controls = []
        self.entries = []
        self.processes = {}
        self._counts = (controls, entries)
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._files = {}
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.prefix = self._find_free_prefix()

    @staticmethod
    def _find_free_prefix() -> str:
        for _ in range(100):
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in (1, 31, 101):
                    with socket.socket() as sock:
                        sock.bind((f"{prefix}.{last}", CONTROL_PORT))
            except OSError:
                continue
            return prefix
        raise CannotRunError("no free loopback addresses")

    def __enter__(self) -> Self:
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing; run the build first")
        controls, entries = self._counts
        self.controls = [
            f"{self.prefix}.{n + 1}:{CONTROL_PORT}" for n in range(controls)
        ]
        self.entries = [f"{self.prefix}.{n + 31}:{CALLER_PORT}" for n in range(entries)]
        for number, address in enumerate(self.controls):
            self._write_file(f"control-{number}", "control", address, controls)
            self.start(f"control-{number}")
        for number, address in enumerate(self.entries):
            self._write_file(f"entry-{number}", "entry", address, controls)
            self.start(f"entry-{number}")
        return self

    def _write_file(self, name: str, role: str, address: str, controls: int) -> None:
        ip = address.rpartition(":")[0]
        is_control = role == "control"
        number = int(name.rpartition("-")[2])
        text = _SETTINGS.format(
            name=name,
            role=role,
            machine_class="core" if is_control else "frontend",
            serves="control_plane" if is_control else "frontend",
            address=ip,
            zone="abc"[number % 3],
            seeds=",".join(self.controls[:3]),
            bootstrap="true",
            counts="true" if is_control else "false",
            tolerated=(controls - 1) // 2,
        )
        if is_control:
            data = self._folder / f"{name}-data"
            data.mkdir()
            text += f"listenAddresses.controlPlane={address}\n"
            text += f"limits.diskMb=128\ndataDirectory={data}\n"
        else:
            text += f"listenAddresses.frontend={address}\n"
            text += f"listenAddresses.readiness={ip}:{READINESS_PORT}\n"
            text += "limits.diskMb=0\n"
        path = self._folder / f"{name}.conf"
        path.write_text(text)
        self._files[name] = (role, path)

    def start(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        role, path = self._files[name]
        words = self._roles[role]["run"].split(" ")
        environ = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environ["PYTHONPATH"] = "target/deps"
        environ["CHESTNUTVALE_NODE_FILE"] = str(path)
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                words, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record("process started", name=name, pid=self.processes[name].pid)

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + 2.0
        for process in self.processes.values():
            try:
                process.wait(max(0.05, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    async def call_control(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        start: int = 0,
        timeout_s: float = 3.0,
    ) -> Message | None:
        """Call the controls in turn, following two redirects; return an answer."""
        address = self.controls[start % len(self.controls)]
        for _ in range(3):
            answer = await exchange(
                address,
                method,
                path,
                {"Host": address, "Content-Type": "application/json"},
                body,
                timeout_s,
            )
            if answer is None or answer.status != 307:
                return answer
            place = answer.headers["location"].removeprefix("http://")
            address, _, path = place.partition("/")
            path = "/" + path
        return None

    async def replace_configuration(
        self, document: dict[str, Any], within_s: float = 30.0
    ) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + within_s
        for number in itertools.count():
            answer = await self.call_control(
                "POST", "/api/configuration/replace", body, start=number
            )
            status = answer.status if answer else None
            if status == 200:
                self.record("configuration acknowledged", version=document["version"])
                return
            if status is not None and 400 <= status < 500:
                raise CannotRunError(f"configuration refused: {answer.body!r}")
            if time.monotonic() > until:
                raise CannotRunError("no acknowledgement of the configuration")
            await asyncio.sleep(0.2)

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Wait until all entries say that they are ready."""
        until = time.monotonic() + within_s
        for address in self.entries:
            ip = address.rpartition(":")[0]
            while True:
                answer = await exchange(
                    f"{ip}:{READINESS_PORT}", "GET", "/api/readiness", {"Host": "x"}
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRunError("an entry does not get ready")
                await asyncio.sleep(0.2)


class Worker:
    """A worker: heartbeats to the controls, requests and orders at its address."""

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        service: str,
        *,
        domain: str | None = None,
        load_s: float = 1.6,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.id = f"i-{number:08x}"
        self.service = service
        self.address = f"{deployment.prefix}.{100 + number}:{WORKER_PORT}"
        self.domain = domain
        self.state = "ready"
        self.zone = "abc"[number % 3]
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.staged = []
        self.group = None
        self.is_cut_off = False
        self.handle_request = None
        self.load_s = load_s
        self._fence = 0
        self._epoch = 0
        self._last_model = None
        self._server = None
        self._tasks = set()
        self._writers = set()
        self._changed = asyncio.Event()
        self._start_control = random.randrange(8)

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._spawn(self._send_heartbeats())

    def stop(self) -> None:
        """Stop listening and end all tasks."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End the process: its connections close, and it forgets all but its disk."""
        self.record("worker crashes", worker=self.id)
        self.stop()
        self.group = None
        self._fence = self._epoch = 0
        self._last_model = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """Start the process again under its former id."""
        self.born = max(self.born + 1, int(time.time() * 1_000))
        self.sequence = 0
        self._changed = asyncio.Event()
        self.record("worker starts again", worker=self.id, born=self.born)
        await self.start()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Service discovery.

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "mixed",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.domain is not None:
            group = self.group
            model = group["model"] if group else None
            beat["models"] = (
                [{"name": model, "version": 1, "adapters": []}] if model else []
            )
            beat["domain"] = self.domain
            beat["staged"] = list(self.staged)
            if group is not None:
                names = ("name", "epoch", "rank", "state")
                beat["group"] = {name: group[name] for name in names}
        return beat

    async def _send_heartbeats(self) -> None:
        for number in itertools.count(self._start_control):
            self._changed.clear()
            if not self.is_cut_off:
                beat = self.make_heartbeat()
                body = json.dumps(beat).encode()
                path = f"/api/instances/{self.id}/heartbeat"
                for turn in range(len(self.deployment.controls)):
                    answer = await self.deployment.call_control(
                        "POST", path, body, number + turn, 1.0
                    )
                    if answer is not None and answer.status == 200:
                        if self.state == "draining":
                            self.record("drain acknowledged", worker=self.id)
                        break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), HEARTBEAT_S)

    def say(self) -> None:
        """Send a heartbeat at once, because something has changed."""
        self._changed.set()

    # Requests and orders.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve_connection(reader, writer)
        self._writers.discard(writer)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = b""
                async for piece in read_pieces(
                    reader, {"content-length": "0"} | headers
                ):
                    body += piece
                if target == "/api/order":
                    if self.is_cut_off:
                        # Bytes from the core don't arrive.
                        await asyncio.sleep(3600)
                    self._answer(writer, *self._take_order(json.loads(body)))
                elif target == "/health":
                    self._answer(writer, 200)
                elif headers.get("chestnutvale-expected-instance", self.id) != self.id:
                    self._answer(writer, 421, request=headers)
                elif self.handle_request is not None:
                    if not await self.handle_request(
                        self, method, target, headers, body, writer
                    ):
                        return
                else:
                    self._answer(writer, 404, request=headers)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request: dict[str, str] | None = None,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", "Content-Length: 0"]
        lines.append(f"Chestnutvale-Instance-Id: {self.id}")
        if request is not None:
            name = "chestnutvale-attempt-id"
            lines.append(f"Chestnutvale-Attempt-Id: {request.get(name, '')}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def _take_order(self, order: dict[str, Any]) -> tuple[int]:
        status = self._carry_out(order)
        self.record("order", worker=self.id, status=status, order=order)
        return (status,)

    def _carry_out(self, order: dict[str, Any]) -> int:
        fence = order.get("fencingToken", 0)
        if fence < self._fence:
            return 412
        self._fence = fence
        operation = order["operation"]
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            self._spawn(self._stage(order["model"]))
            return 202
        if operation == "join":
            return self._join(order)
        group = self.group
        is_held = group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )
        if not is_held:
            return 409
        if operation == "leave":
            self.on_leave(group)
            self.group = None
            self.say()
            return 200
        if operation == "open":
            if group["state"] == "open" or group.get("opens"):
                return 200
            if group["rank"] != 0 or group["state"] != "ready":
                return 409
            group["opens"] = True
            self._spawn(self._open(group))
            return 202
        return 400

    def _join(self, order: dict[str, Any]) -> int:
        group = self.group
        if order["epoch"] < self._epoch:
            return 412
        known = (group["name"], group["epoch"]) if group is not None else None
        if known == (order["group"], order["epoch"]):
            return 200 if group["members"] == order["members"] else 412
        self._epoch = order["epoch"]
        self.on_join(order)
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.id),
            "state": "joining",
            "model": order["model"],
            "members": order["members"],
        }
        self._spawn(self._become_ready(self.group))
        self.say()
        return 202

    def on_join(self, order: dict[str, Any]) -> None:
        """Hook of a test, called when a join is taken."""

    def on_leave(self, group: dict[str, Any]) -> None:
        """Hook of a test, called when the worker leaves its group."""

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(self.load_s)
        if model not in self.staged:
            self.staged = [model]
        self.say()

    async def _become_ready(self, group: dict[str, Any]) -> None:
        model = group["model"]
        if self._last_model == model:
            await asyncio.sleep(0.2)
        elif model in self.staged:
            await asyncio.sleep(1.1)
        else:
            await self._stage(model)
        if self.group is group:
            self._last_model = model
            group["state"] = "ready"
            self.say()

    async def _open(self, group: dict[str, Any]) -> None:
        await asyncio.sleep(0.3)
        if self.group is group:
            group["state"] = "open"
            self.record("head open", worker=self.id, group=group["name"])
            self.say()


def run(folder: Path, play: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Run a test and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("begin", trouble=trouble)

    async def limited() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            return await play(record, trouble)

    try:
        faults = asyncio.run(limited())
    except CannotRunError as error:
        record("could not run", reason=str(error))
        code = 2
    except TimeoutError:
        record("could not run", reason="time limit")
        code = 2
    else:
        record("end", faults=faults)
        code = 1 if faults else 0
    record.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
