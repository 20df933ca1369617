"""A stream whose worker resets its connection while the entry waits for another one."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig3 import CannotRunError, Deployment, Message, Record, Worker, exchange, run  # noqa: E402

EVENTS = 10
EVENTS_BEFORE_TROUBLE = 5
WORKERS = 4
# Half of the workers break off two in a hundred of their answers: the largest dose of
# `garble` in the pages.
GARBLING = 2
GARBLED_SHARE = 0.02
CALM_AT_ONCE = 8
LONG_AT_ONCE = 3
PLAY_S = 75.0

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "pathPrefix": "/brief/",
            "routeKind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "app",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 300,
        }
    ],
    "services": [
        {
            "name": "app",
            "healthPath": "/health",
            "maxConnections": 96,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "t1", "apiKeys": ["key-1"], "priority": 1}],
}


def make_event(number: int) -> bytes:
    """Return an event of the stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Service:
    """How the workers answer; some break off a share of their answers."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.garbling = set()
        self.runs = {}
        self.answers = {}
        self.garbled = {}

    def _may_garble(self, worker: Worker, target: str) -> bool:
        """Tell whether a worker breaks this answer off, within its share."""
        answers = self.answers[worker.id] = self.answers.get(worker.id, 0) + 1
        garbled = self.garbled.get(worker.id, 0)
        return (
            self.trouble
            and worker.id in self.garbling
            and target == "/brief/long"
            and garbled + 1 <= GARBLED_SHARE * answers
        )

    async def handle(
        self,
        worker: Worker,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        attempt = headers.get("chestnutvale-attempt-id", "")
        after = int(headers.get("last-event-id", "0"))
        run_number = self.runs[attempt] = self.runs.get(attempt, 0) + 1
        is_garbled = self._may_garble(worker, target)
        if target == "/brief/long":
            self.record(
                "request runs",
                worker=worker.id,
                attempt=attempt,
                run=run_number,
                after=after,
                garbled=is_garbled,
            )
        if is_garbled:
            self.garbled[worker.id] = self.garbled.get(worker.id, 0) + 1
        # The answer has no length and ends with its connection.
        writer.write(self._make_head(attempt))
        for number in range(after + 1, EVENTS + 1):
            if is_garbled and run_number > 1:
                await asyncio.sleep(0.7)
                return self._break_off(worker, attempt, writer)
            writer.write(make_event(number))
            await writer.drain()
            if target == "/brief/long":
                await asyncio.sleep(0.05)
            if is_garbled and number == EVENTS_BEFORE_TROUBLE:
                await asyncio.sleep(1.05)
                return self._break_off(worker, attempt, writer)
        return False

    def _break_off(
        self, worker: Worker, attempt: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Reset the connection within the answer."""
        self.record("worker resets", worker=worker.id, attempt=attempt)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False

    @staticmethod
    def _make_head(attempt: str) -> bytes:
        head = [
            "HTTP/1.1 200 OK",
            f"Chestnutvale-Attempt-Id: {attempt}",
            f"Chestnutvale-Server-Signature: sig.{attempt}",
            "Content-Type: text/event-stream",
            "Connection: close",
        ]
        return ("\r\n".join(head) + "\r\n\r\n").encode()


async def call(
    deployment: Deployment, record: Record, attempt: str, path: str
) -> Message | None:
    """Send a request to the entry; return its answer."""
    headers = {
        "Host": "desk.example",
        "Chestnutvale-Attempt-Id": attempt,
        "Chestnutvale-Deadline-Ms": "8000",
        "Authorization": "Token key-1",
    }
    answer = await exchange(deployment.entries[0], "POST", path, headers)
    if path == "/brief/long":
        record(
            "client got",
            attempt=attempt,
            status=answer.status if answer else None,
            whole=answer.whole if answer else None,
            events=answer.body.count(b"\n\n") if answer else None,
        )
    return answer


async def keep_calling(deployment: Deployment, record: Record, name: str) -> None:
    """Send short requests, whose answers are never broken off."""
    number = 0
    while True:
        number += 1
        await call(deployment, record, f"{name}-{number}", "/brief/short")


async def check_streams(
    deployment: Deployment,
    record: Record,
    name: str,
    until: float,
    faults: list[str],
    trouble: bool,
) -> None:
    """Send long requests one after the other until a fault is found."""
    expected = b"".join(make_event(n) for n in range(1, EVENTS + 1))
    number = 0
    while record.now() < until and not faults:
        number += 1
        attempt = f"{name}-{number}"
        answer = await call(deployment, record, attempt, "/brief/long")
        if answer is None or answer.status != 200 or not answer.whole:
            if not trouble:
                faults.append(f"{attempt}: not served without trouble")
        elif answer.body != expected:
            faults.append(f"{attempt}: an incomplete stream ended as complete")
        await asyncio.sleep(0.2)


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the test; return what broke the rule."""
    service = Service(record, trouble)
    with Deployment(record) as deployment:
        workers = [Worker(deployment, n + 1, "app") for n in range(WORKERS)]
        for worker in workers:
            worker.handle_request = service.handle
            await worker.start()
        await deployment.replace_configuration(CONFIGURATION)
        await deployment.wait_until_ready()
        for number in range(40):
            answer = await call(deployment, record, f"first-{number}", "/brief/short")
            if answer is not None and answer.status == 200:
                break
            await asyncio.sleep(0.5)
        else:
            raise CannotRunError("no request was served")
        calm = [
            asyncio.ensure_future(keep_calling(deployment, record, f"calm{n}"))
            for n in range(CALM_AT_ONCE)
        ]
        await asyncio.sleep(6.0)
        by_answers = sorted(service.answers, key=service.answers.get, reverse=True)
        service.garbling = set(by_answers[:GARBLING])
        record("trouble begins", garbling=sorted(service.garbling))
        until = record.now() + (PLAY_S if trouble else 10.0)
        faults: list[str] = []
        await asyncio.gather(
            *(
                check_streams(deployment, record, f"a{n}", until, faults, trouble)
                for n in range(LONG_AT_ONCE)
            )
        )
        for task in calm:
            task.cancel()
        record("answers", answers=service.answers, broken_off=service.garbled)
        for worker in workers:
            worker.stop()
    return faults


run(Path(__file__).resolve().parent, play)
