"""A deregistered worker gets calls again after the controls were killed."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

DRAIN_TIMEOUT_S = 2.0
CONTACT_S = 3.0
WORK_S = 0.05


class SlowWorker(rig.Worker):
    """A worker whose calls take some time, so that calls spread over the workers."""

    async def answer(
        self, head: rig.Head, body: bytes, writer: asyncio.StreamWriter, attempt: str
    ) -> bool:
        """Answer after the work is done."""
        await asyncio.sleep(WORK_S)
        return await super().answer(head, body, writer, attempt)


async def deregister(deployment: rig.Rig, worker: rig.Worker) -> float:
    """Send the deregistration of a worker until it is acknowledged."""
    path = f"/api/instances/{worker.identity}/deregister"
    status, _ = await deployment.call_control("POST", path)
    deployment.record.add(f"deregister of {worker.identity} answered {status}")
    if status != 200:
        raise rig.RigError("the deregistration wasn't acknowledged")
    return deployment.record.now_s()


async def send_calls(deployment: rig.Rig, count: int, pause_s: float) -> None:
    """Send postings, several at a time."""
    calls = []
    for number in range(count):
        entry = number % len(deployment.entries)
        call = rig.call(deployment, "POST", "/pay/x", b"posting", entry)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*calls)


async def run_case() -> bool:
    """Run the case; return whether the rule was broken."""
    async with rig.Rig(FOLDER) as deployment:
        workers = [SlowWorker(deployment, "ledger") for _ in range(3)]
        for worker in workers:
            await worker.start()
        route = rig.make_route("r-1", "/pay/", "non_idempotent", "ledger")
        await deployment.replace_configuration(
            rig.make_configuration(1, [route | {"maxAttempts": 1}], ["ledger"])
        )
        await deployment.wait_until_ready()
        # All machines are in touch, and all workers take calls.
        await asyncio.sleep(CONTACT_S + 1.0)
        await send_calls(deployment, 60, 0.02)
        leaving = workers[0]
        if not leaving.runs:
            raise rig.RigError("the worker takes no calls")
        leaving.stop_beats()
        # This heartbeat was sent before the deregistration and arrives late.
        late_heartbeat = json.dumps(leaving.make_heartbeat()).encode()
        acknowledged_s = await deregister(deployment, leaving)
        await asyncio.sleep(0.4)
        if deployment.trouble:
            for control in deployment.controls:
                control.kill()
            await asyncio.sleep(0.3)
            for control in deployment.controls:
                control.start()
        restarted_s = deployment.record.now_s()
        await asyncio.sleep(4.0)
        deployment.record.add(f"late heartbeat of {leaving.identity} arrives")
        path = f"/api/instances/{leaving.identity}/heartbeat"
        status, _ = await deployment.call_control("POST", path, late_heartbeat)
        deployment.record.add(f"it is answered {status}")
        await send_calls(deployment, 150, 0.02)
        return check(deployment, leaving, acknowledged_s, restarted_s)


def check(
    deployment: rig.Rig, leaving: rig.Worker, acknowledged_s: float, restarted_s: float
) -> bool:
    """Return whether calls reached the worker too late, from machines in touch."""
    from_s = max(acknowledged_s + DRAIN_TIMEOUT_S, restarted_s + CONTACT_S)
    late = [attempt for at_s, attempt in leaving.runs if at_s > from_s]
    deployment.record.add(
        f"{len(late)} calls ran at {leaving.identity} later than "
        f"{from_s - acknowledged_s:.1f} s after its deregistration was acknowledged"
    )
    return bool(late)


if __name__ == "__main__":
    rig.main(run_case)
