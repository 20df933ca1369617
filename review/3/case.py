"""A change of the configuration lets two services share one internal name."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import models  # noqa: E402
import rig  # noqa: E402

PLAIN_SERVICE = "ledger-app"
MODEL_SERVICE = "ledger"
# The model whose name, behind that of its service, is the plain service's name.
CLASHING_MODEL = "app"
HARMLESS_MODEL = "draft"
GROUP_SIZE = 2
CONFIG_APPLY_S = 2.0


async def send_generations(deployment: rig.Rig, model: str, count: int) -> list[str]:
    """Send requests on the model's route; return their ids."""
    headers = {
        "Chestnutvale-Model": model,
        "Chestnutvale-Token-Usage": "100,10",
        "Chestnutvale-Prompt-Prefix": "5c1e07a2:100",
    }
    attempts = []
    for number in range(count):
        entry = number % len(deployment.entries)
        attempt, _, _, _ = await rig.call(
            deployment, "POST", "/gen/x", b"prompt", entry, headers=headers
        )
        attempts.append(attempt)
        await asyncio.sleep(0.1)
    return attempts


async def run_case() -> bool:
    """Run the case; return whether the rule was broken."""
    model = CLASHING_MODEL
    async with rig.Rig(FOLDER) as deployment:
        if not deployment.trouble:
            model = HARMLESS_MODEL
        worker = rig.Worker(deployment, PLAIN_SERVICE)
        await worker.start()
        routes = [
            rig.make_route(
                "r-1", "/pay/", "non_idempotent", PLAIN_SERVICE, maxAttempts=1
            )
        ]
        await deployment.replace_configuration(
            rig.make_configuration(1, routes, [PLAIN_SERVICE])
        )
        await deployment.wait_until_ready()
        await asyncio.sleep(2.0)
        before = [await send_posting(deployment) for _ in range(10)]
        routes.append(
            rig.make_route(
                "r-2",
                "/gen/",
                "streaming",
                MODEL_SERVICE,
                sticky=True,
                resumable=True,
                targetGapMs=300,
            )
        )
        document = rig.make_configuration(2, routes, [PLAIN_SERVICE])
        document["services"].append(
            models.make_model_service(MODEL_SERVICE, model, GROUP_SIZE)
        )
        if await deployment.replace_configuration(document) != 200:
            raise rig.RigError("the valid configuration was refused")
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        generations = set(await send_generations(deployment, model, 20))
        after = [await send_posting(deployment) for _ in range(10)]
        foreign = [a for _, a in worker.runs if a in generations]
        deployment.record.add(
            f"{len(foreign)} requests of the route to {MODEL_SERVICE} ran at a worker "
            f"of {PLAIN_SERVICE}; postings answered with 200: {before.count(200)} of "
            f"{len(before)} before the change, {after.count(200)} of {len(after)} after"
        )
        if before.count(200) < len(before):
            raise rig.RigError("postings failed before the change")
        return bool(foreign)


async def send_posting(deployment: rig.Rig) -> int:
    """Send a posting and return the status of its answer."""
    _, status, _, _ = await rig.call(deployment, "POST", "/pay/x", b"posting")
    await asyncio.sleep(0.05)
    return status


if __name__ == "__main__":
    rig.main(run_case)
