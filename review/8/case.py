"""A late heartbeat of an earlier life takes back that a worker drains."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    CALLER_PORT,
    Fleet,
    HeldLink,
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

CONTROL, ENTRY, LINK = 1, 11, 15
DRAIN_TIMEOUT_S = 2.0


async def post(fleet: Fleet, record: Record, number: int) -> None:
    """Send a posting as a client does."""
    headers = {
        "Host": "lab.example",
        "Chestnutvale-Attempt-Id": f"c{number}",
        "Chestnutvale-Deadline-Ms": "1500",
    }
    address = f"{fleet.address(ENTRY)}:{CALLER_PORT}"
    try:
        answer = await call(address, "POST", "/pay/x", headers, b"p", timeout=3.0)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        record.line(f"client c{number}: {error!r}")
        return
    record.line(f"client c{number}: {answer.status}")


async def main(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    fleet.write_file("control-1", "control", CONTROL, [CONTROL])
    fleet.write_file("entry-1", "entry", ENTRY, [CONTROL])
    fleet.start("control-1")
    fleet.start("entry-1")
    routes = [route("pay", "/pay/", "non_idempotent", "app", 1)]
    document = configuration(5, routes, [plain("app")])
    if not await send_configuration(fleet, [CONTROL], document):
        return 2
    if not await wait_ready(fleet, ENTRY):
        return 2

    # Life 1 of i-0: its link to the control is cut, so its heartbeat is held up.
    link = HeldLink(fleet, LINK, CONTROL)
    await link.start()
    life_1 = Worker(fleet, "i-0", 20, "app", [CONTROL])
    life_1.paths = [f"{fleet.address(LINK)}:8229"]
    await life_1.start()
    record.line(f"life 1 of i-0 starts, born {life_1.born}; its link is cut")
    await asyncio.sleep(0.7)
    life_1.stop()
    record.line("life 1 of i-0 crashes; one heartbeat is under way")
    await asyncio.sleep(0.5)
    workers = [Worker(fleet, f"i-{n}", 20 + n, "app", [CONTROL]) for n in range(3)]
    draining = workers[0]
    record.line(f"life 2 of i-0 starts, born {draining.born}")
    for worker in workers:
        await worker.start()
    await asyncio.sleep(1.5)

    clients = []

    async def send_postings() -> None:
        number = 0
        while True:
            number += 1
            clients.append(asyncio.create_task(post(fleet, record, number)))
            await asyncio.sleep(0.05)

    traffic = asyncio.create_task(send_postings())
    await asyncio.sleep(1.0)
    if not draining.arrivals:
        record.line("i-0 got no request before")
        return 2
    draining.state = "draining"
    acked = await draining.announce()
    if not acked:
        return 2
    record.line("i-0 says that it drains, and that is acknowledged")
    await asyncio.sleep(1.0)
    if has_trouble():
        record.line("the heartbeat of life 1 arrives")
        record.line(f"the control answers: {await link.deliver()}")
    await asyncio.sleep(5.0)
    traffic.cancel()
    await asyncio.gather(*clients)
    late = [
        (at - acked, attempt)
        for at, attempt in draining.arrivals
        if at > acked + DRAIN_TIMEOUT_S
    ]
    for after, attempt in late:
        record.line(f"DRAIN: {attempt} reached i-0 {after:.3f} s after the ack")
    for worker in workers:
        worker.stop()
    return 1 if late else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
