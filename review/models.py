"""A stand-in for model workers, which serve in groups."""

import asyncio
import contextlib
import json
import time
from typing import Any, Self

import rig

LOAD_S = 1.0
JOIN_S = 0.2
OPEN_DELAY_S = 0.3
STALL_S = 5.0
EVENT_PAUSE_S = 0.1
EVENTS = 60
POLL_S = 0.02


class Fabric:
    """All model workers of a deployment, and the joins that broke the rule TWO."""

    def __init__(self) -> None:
        self.workers: dict[str, ModelWorker] = {}
        self.broken_rules: list[str] = []

    def find_obstacle(self, worker: "ModelWorker") -> str:
        """Return why a worker must not join another group now; empty if it may."""
        group = worker.group
        if group is None:
            return ""
        head = self.workers[group["members"][0]]
        if head.group is None or head.group_key() != worker.group_key():
            return ""
        if head.state_of_group in ("open", "closing"):
            return f"its head {head.identity} is {head.state_of_group}"
        return ""

    def is_complete(self, head: "ModelWorker") -> bool:
        """Return whether all members of a head's group hold it."""
        key = head.group_key()
        members = [self.workers[name] for name in head.group["members"]]
        return all(m.is_up and m.group_key() == key for m in members)


class ModelWorker(rig.Worker):
    """A model worker as the platform's pages describe it."""

    def __init__(
        self, deployment: rig.Rig, service: str, fabric: Fabric, domain: str = "d0"
    ) -> None:
        super().__init__(deployment, service)
        self.fabric = fabric
        self.domain = domain
        self.staged: list[str] = []
        self.is_up = False
        fabric.workers[self.identity] = self
        self._forget()

    def _forget(self) -> None:
        """Lose everything that a life knows; the host keeps its staged weights."""
        self.group: dict[str, Any] | None = None
        self.state_of_group = ""
        self.model = ""
        self._last_model = ""
        self._seen_epoch = 0
        self._seen_fence = 0
        self._orders = 0
        self._busy: asyncio.Future[Any] | None = None
        self._stalled_since_s = 0.0

    async def start(self, beats: bool = True) -> Self:
        """Start a life."""
        self._forget()
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.is_up = True
        await super().start(beats)
        return self

    async def crash(self) -> None:
        """End a life without a word."""
        self.is_up = False
        if self._busy is not None:
            self._busy.cancel()
        await self.stop()
        self.rig.record.add(f"{self.identity} crashes")

    def group_key(self) -> tuple[str, int] | None:
        """Return name and epoch of the group that the worker holds."""
        if self.group is None:
            return None
        return self.group["group"], self.group["epoch"]

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        body = super().make_heartbeat()
        body |= {"stage": "mixed", "domain": self.domain, "staged": list(self.staged)}
        body["models"] = []
        if self.group is None:
            return body
        if self.state_of_group != "joining":
            body["models"] = [{"name": self.model, "version": 1, "adapters": []}]
        body["group"] = {
            "name": self.group["group"],
            "epoch": self.group["epoch"],
            "rank": self.group["members"].index(self.identity),
            "state": self.state_of_group,
        }
        return body

    async def _handle(
        self, head: rig.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        expected = head.get("chestnutvale-expected-instance", self.identity)
        if head.path == "/api/order" and expected == self.identity:
            status = self._obey(json.loads(body))
            rig.write_answer(writer, f"{status} Order", {}, b"{}")
            self.rig.record.add(f"{self.identity} answers {status} to {body.decode()}")
            return True
        if head.path != "/health" and not self._serves():
            attempt = head.get("chestnutvale-attempt-id", "")
            headers = {
                "Chestnutvale-Attempt-Id": attempt,
                "Chestnutvale-Not-Executed": "1",
            }
            rig.write_answer(writer, "421 Misdirected Request", headers)
            return True
        return await super()._handle(head, body, writer)

    def _serves(self) -> bool:
        return self.group is not None and self.state_of_group == "open"

    # Orders.

    def _obey(self, order: dict[str, Any]) -> int:
        fence = order.get("fencingToken", 0)
        if fence < self._seen_fence:
            return 412
        self._seen_fence = fence
        operations = {
            "join": self._join,
            "open": self._open,
            "leave": self._leave,
            "stage": self._stage,
        }
        operation = operations.get(order["operation"])
        return operation(order) if operation else 400

    def _join(self, order: dict[str, Any]) -> int:
        if order["epoch"] < self._seen_epoch:
            return 412
        key = order["group"], order["epoch"]
        if key == self.group_key():
            is_same = order["members"] == self.group["members"]
            return 200 if is_same else 412
        obstacle = self.fabric.find_obstacle(self)
        if obstacle:
            message = f"{self.identity} joins {key} from {self.group_key()}: {obstacle}"
            self.fabric.broken_rules.append(message)
            self.rig.record.add(f"TWO: {message}")
        self._seen_epoch = order["epoch"]
        self.group = order
        self.state_of_group = "joining"
        self._begin(self._become_ready(order["model"]))
        return 202

    async def _become_ready(self, model: str) -> None:
        self.announce()
        is_warm = model == self._last_model or model in self.staged
        await asyncio.sleep(JOIN_S if is_warm else LOAD_S)
        self.staged = [model]
        self.model = self._last_model = model
        self.state_of_group = "ready"
        self.announce()

    def _open(self, order: dict[str, Any]) -> int:
        if (order["group"], order["epoch"]) != self.group_key():
            return 409
        if self.group["members"][0] != self.identity:
            return 409
        if self.state_of_group == "open":
            return 200
        if self.state_of_group != "ready":
            return 409
        self._begin(self._become_open())
        return 202

    async def _become_open(self) -> None:
        await asyncio.sleep(OPEN_DELAY_S)
        self.state_of_group = "open"
        self.announce()

    def _leave(self, order: dict[str, Any]) -> int:
        if (order["group"], order["epoch"]) != self.group_key():
            return 409
        if self._busy is not None:
            self._busy.cancel()
        self.group = None
        self.state_of_group = ""
        self.announce()
        return 200

    def _stage(self, order: dict[str, Any]) -> int:
        if order["model"] in self.staged:
            return 200
        self.rig.spawn(self._become_staged(order["model"]))
        return 202

    async def _become_staged(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.staged = [model]
        self.announce()

    def _begin(self, work: Any) -> None:
        if self._busy is not None:
            self._busy.cancel()
        self._busy = self.rig.spawn(work)

    def announce(self) -> None:
        """Send a heartbeat at once."""
        self.rig.spawn(self.beat())

    # Requests.

    async def answer(
        self,
        head: rig.Head,
        body: bytes,
        writer: asyncio.StreamWriter,
        attempt: str,
    ) -> bool:
        """Stream events while the whole group holds; stall and break otherwise."""
        key = self.group_key()
        headers = self.make_headers(attempt) | {"Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        first = int(head.get("last-event-id", "0")) + 1
        with contextlib.suppress(ConnectionError):
            for number in range(first, EVENTS + 1):
                if not await self._wait_for_group(key):
                    self.rig.record.add(f"{self.identity} cuts off {attempt}")
                    return False
                await asyncio.sleep(EVENT_PAUSE_S)
                if number == first:
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        return False

    async def _wait_for_group(self, key: tuple[str, int]) -> bool:
        """Wait while the group stands still; return whether it works again."""
        until_s = time.monotonic() + STALL_S
        while self.group_key() == key and self.is_up:
            if self.fabric.is_complete(self):
                return True
            if time.monotonic() > until_s:
                self.state_of_group = "broken"
                self.announce()
                return False
            await asyncio.sleep(POLL_S)
        return False


def make_model_service(name: str, model: str, size: int) -> dict[str, Any]:
    """Return a service with one model, for a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 927,
        "protocol": "h1",
        "tls": False,
        "inferenceEngine": {
            "slots": 9,
            "kvCapacityTokens": 984705,
            "kvTokenBytes": 181816,
            "linkMbps": 400000.0,
            "stride": 5,
            "models": [
                {
                    "name": model,
                    "size": size,
                    "share": 1.0,
                    "pace": 1.0,
                    "loadTimeS": LOAD_S,
                    "warmupS": JOIN_S,
                }
            ],
            "step_ms": 7.8,
            "per_seq_ms": 0.17,
            "context_per_k": 0.018,
            "read_per_s": 45900.0,
            "pairs_per_m": 0.433,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "loadsPerS": 5.0,
            "loads_at_once": 7,
            "usual": {"prompt": 979, "answer": 154},
            "retentionCount": 1,
            "far_x": 3.0,
            "openDelayMs": 300.0,
        },
    }
