"""A failure of a worker that ran a posting reaches the client as a promise."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    CALLER_PORT,
    Fleet,
    Record,
    Worker,
    call,
    configuration,
    has_trouble,
    plain,
    route,
    run_case,
    send_configuration,
    wait_ready,
)

CONTROL, ENTRY = 1, 11
POSTINGS = 120
PROMISES = (408, 421, 429, 503)
# Of eight workers, one fails 45 in 100 of the requests that it runs.
WORKERS, FAILED_SHARE = 8, 0.45


class FailingWorker(Worker):
    """Runs each request, and answers a part of them with a failure of its own."""

    failed: float = 0.0

    async def run_request(
        self,
        request: dict[str, Any],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; its health check stays good."""
        attempt = request["headers"].get("chestnutvale-attempt-id", "")
        if request["target"] == "/health" or not attempt:
            return await super().run_request(request, reader, writer)
        self.failed += FAILED_SHARE
        if self.failed < 1.0:
            return await super().run_request(request, reader, writer)
        self.failed -= 1.0
        self.runs.append((0.0, attempt, request))
        self.fleet.record.line(f"{self.id} runs {attempt} and books it")
        await asyncio.sleep(self.work_s)
        self.fleet.record.line(f"{self.id} fails after it: 503, not Not-Executed")
        self.write(writer, request, 503, b'{"error":"the confirmation failed"}')
        return True


async def post(fleet: Fleet, record: Record, attempt: str, posting: int) -> int:
    """Send one attempt on a new connection; return its status, 0 for none."""
    headers = {
        "Host": "lab.example",
        "Chestnutvale-Attempt-Id": attempt,
        "Chestnutvale-Deadline-Ms": "1500",
    }
    address = f"{fleet.address(ENTRY)}:{CALLER_PORT}"
    body = f"posting {posting}".encode()
    try:
        answer = await call(address, "POST", "/pay/x", headers, body, timeout=3.0)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        record.line(f"client {attempt}: {error!r}")
        return 0
    record.line(f"client {attempt} (posting {posting}) gets {answer.status}")
    return answer.status


async def main(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    fleet.write_file("control-1", "control", CONTROL, [CONTROL])
    fleet.write_file("entry-1", "entry", ENTRY, [CONTROL])
    fleet.start("control-1")
    fleet.start("entry-1")
    routes = [route("pay", "/pay/", "non_idempotent", "ledger-app", 1)]
    document = configuration(5, routes, [plain("ledger-app")])
    if not await send_configuration(fleet, [CONTROL], document):
        return 2
    kinds = [FailingWorker if has_trouble() else Worker] + [Worker] * (WORKERS - 1)
    workers = [
        kind(fleet, f"i-{n}", 20 + n, "ledger-app", [CONTROL])
        for n, kind in enumerate(kinds)
    ]
    for worker in workers:
        await worker.start()
    if not await wait_ready(fleet, ENTRY):
        return 2
    await asyncio.sleep(2.0)
    statuses: dict[str, int] = {}
    for posting in range(POSTINGS):
        attempt = f"p{posting}-1"
        statuses[attempt] = await post(fleet, record, attempt, posting)
        if statuses[attempt] in PROMISES:
            # As the pages say: clients retry such a request after a promise only.
            again = f"p{posting}-2"
            statuses[again] = await post(fleet, record, again, posting)
    runs = [(attempt, request) for w in workers for _, attempt, request in w.runs]
    for worker in workers:
        worker.stop()
    ran = {attempt for attempt, _ in runs}
    broken = [a for a, status in statuses.items() if status in PROMISES and a in ran]
    for attempt in broken:
        record.line(f"REFUSED: {attempt} was answered {statuses[attempt]} and has run")
    bodies = [request["body"] for _, request in runs]
    twice = sorted({body.decode() for body in bodies if bodies.count(body) > 1})
    record.line(f"booked twice, as the client believed the answer: {twice}")
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
