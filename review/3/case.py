"""A late heartbeat of an earlier life hides that a worker drains."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

DRAIN_TIMEOUT_S = 2.0
# How much longer than that the worker serves.
EXTRA_S = 0.3
CONTACT_S = 3.0
WORK_S = 0.05
# Time between the starts of the two lives.
EARLIER_LIFE_MS = 3_000


class SlowWorker(rig.Worker):
    """A worker whose calls take some time, so that calls spread over the workers."""

    async def answer(
        self,
        head: rig.Head,
        body: bytes,
        writer: asyncio.StreamWriter,
        attempt: str,
    ) -> bool:
        """Answer after the work is done."""
        await asyncio.sleep(WORK_S)
        return await super().answer(head, body, writer, attempt)


async def send_postings(deployment: rig.Rig, count: int) -> list[int]:
    """Send postings, several at a time; return the statuses of the answers."""
    calls = []
    for number in range(count):
        entry = number % len(deployment.entries)
        call = rig.call(deployment, "POST", "/pay/x", b"posting", entry)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(0.02)
    return [status for _, status, _, _ in await asyncio.gather(*calls)]


async def run_case() -> bool:
    """Run the case; return whether the rule was broken."""
    async with rig.Rig(FOLDER) as deployment:
        workers = [SlowWorker(deployment, "ledger") for _ in range(3)]
        for worker in workers[1:]:
            await worker.start()
        route = rig.make_route("r-1", "/pay/", "non_idempotent", "ledger")
        await deployment.replace_configuration(
            rig.make_configuration(1, [route | {"maxAttempts": 1}], ["ledger"])
        )
        await deployment.wait_until_ready()
        worker = workers[0]
        late_heartbeat = start_earlier_life(deployment, worker)
        await worker.start()
        # All machines are in touch, and all workers take calls.
        await asyncio.sleep(CONTACT_S + 1.0)
        await send_postings(deployment, 60)
        if not worker.runs:
            raise rig.RigError("the worker takes no calls")
        if deployment.trouble:
            deployment.record.add(f"late heartbeat arrives: {late_heartbeat}")
            path = f"/api/instances/{worker.identity}/heartbeat"
            body = late_heartbeat.encode()
            status, _ = await deployment.call_control("POST", path, body)
            deployment.record.add(f"it is answered {status}")
        await asyncio.sleep(0.3)
        acknowledged_s = await drain(deployment, worker)
        postings = asyncio.ensure_future(send_postings(deployment, 200))
        await asyncio.sleep(DRAIN_TIMEOUT_S + EXTRA_S)
        await worker.stop()
        deployment.record.add(f"{worker.identity} exits")
        statuses = await postings
        return check(deployment, worker, acknowledged_s, statuses)


def start_earlier_life(deployment: rig.Rig, worker: rig.Worker) -> str:
    """Let a life of a worker end before a heartbeat arrives; return a late one."""
    worker.born = int(time.time() * 1_000) - EARLIER_LIFE_MS
    late_heartbeat = json.dumps(worker.make_heartbeat())
    worker.born = int(time.time() * 1_000)
    worker.sequence = 0
    deployment.record.add(f"{worker.identity} crashed and starts again under its id")
    return late_heartbeat


async def drain(deployment: rig.Rig, worker: rig.Worker) -> float:
    """Report draining until it is acknowledged, and go on reporting it."""
    worker.state = "draining"
    worker.stop_beats()
    control = await worker.beat()
    if control is None:
        raise rig.RigError("draining wasn't acknowledged")
    acknowledged_s = deployment.record.now_s()
    deployment.record.add(
        f"draining of {worker.identity} acknowledged by {control.name}"
    )
    worker.continue_beats()
    return acknowledged_s


def check(
    deployment: rig.Rig,
    worker: rig.Worker,
    acknowledged_s: float,
    statuses: list[int],
) -> bool:
    """Return whether calls reached the worker too late."""
    from_s = acknowledged_s + DRAIN_TIMEOUT_S
    late = [attempt for at_s, attempt in worker.runs if at_s > from_s]
    lost = len(statuses) - statuses.count(200)
    deployment.record.add(
        f"{len(late)} postings reached {worker.identity} later than {DRAIN_TIMEOUT_S} "
        f"s after draining was acknowledged; {lost} of {len(statuses)} postings failed"
    )
    return bool(late)


if __name__ == "__main__":
    rig.main(run_case)
