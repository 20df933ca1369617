"""Program that emulates a plain service and counts what it ran."""

import random
import time
from collections import Counter
from contextlib import ExitStack
from typing import Any

import defopt
import eventlet

from chestnutvale.emulator.announcer import Announcer
from chestnutvale.emulator.const import CODE_NOT_FOUND, KIND_SERVICE
from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.emulator.http import HttpServer, Request, Response, json_response
from chestnutvale.emulator.runtime import run_until_stopped, setup_eventlet
from chestnutvale.schema.membership_pb2 import Announcement

POSTINGS_PATH = "/postings"
RUNS_PATH = "/runs"
MISSING_KEY = ""
# A body that holds this text makes the service run the call and answer nothing.
DROP_ANSWER_MARKER = b"drop-answer"


class PlainService:
    """Runs calls and counts each run by its idempotency key.

    The service itself does not recognise a key that it has seen: that each call
    runs at most once is the business of what stands before it.

    Parameters
    ----------
    service : str
        Its name.
    processing_s : float
        Time in seconds that a call which adds a record takes.
    """

    def __init__(self, service: str, processing_s: float) -> None:
        self.service = service
        self.is_leaving = False
        self.runs: Counter[str] = Counter()
        self.reads_count = 0
        self._processing_s = processing_s

    def handle(self, request: Request) -> Response:
        """Answer a request."""
        if request.path == RUNS_PATH and request.method == "GET":
            return json_response(
                {"runs": dict(self.runs), "reads_count": self.reads_count}
            )
        if request.path == "/leave" and request.method == "POST":
            self.is_leaving = True
            return json_response({"leaving": True})
        if request.path.startswith(POSTINGS_PATH):
            if request.method == "GET":
                return self._read_postings(request)
            if request.method == "POST":
                return self._create_posting(request)
        raise RefusedError(404, CODE_NOT_FOUND, f"no {request.path} here")

    def _read_postings(self, request: Request) -> Response:
        self.reads_count += 1
        return json_response(
            {"service": self.service, "path": request.path, "runs": self.runs.total()}
        )

    def _create_posting(self, request: Request) -> Response:
        key = request.headers.get("idempotency-key", MISSING_KEY)
        # The run counts from its first moment, also if no answer ever leaves.
        self.runs[key] += 1
        number = self.runs.total()
        eventlet.sleep(self._processing_s)
        if DROP_ANSWER_MARKER in request.body:
            request.socket.shutdown(2)
        answer: dict[str, Any] = {
            "service": self.service,
            "record": number,
            "key": key,
            "request_id": request.headers.get("x-request-id", ""),
            "workspace": request.headers.get("x-workspace", ""),
        }
        return json_response(answer, 201)


def run(
    *,
    host_id: str,
    entries: list[str],
    service: str,
    address: str = "127.0.0.1:0",
    data_centre: str = "dc-1",
    fabric_domain: str = "fabric-a",
    work_ms: int = 20,
    seed: int = 1,
) -> None:
    """Run an emulated plain service until SIGTERM.

    Parameters
    ----------
    host_id : str
        Identity of the host.
    entries : list[str]
        IP number and port of each entry.
    service : str
        Name of the service.
    address : str
        IP number and port; port 0 takes a free one.
    data_centre : str
        Data centre that is announced.
    fabric_domain : str
        Fabric domain that is announced.
    work_ms : int
        Time that a call which adds a record takes.
    seed : int
        Seed of all random choices.
    """
    setup_eventlet()
    plain_service = PlainService(service, work_ms / 1e3)
    boot_id = f"{time.time_ns():016x}-{host_id}"
    with ExitStack() as stack:
        server = stack.enter_context(HttpServer(address, plain_service.handle))

        def make_announcement() -> Announcement:
            return Announcement(
                host_id=host_id,
                boot_id=boot_id,
                address=server.address,
                data_centre=data_centre,
                fabric_domain=fabric_domain,
                kind=KIND_SERVICE,
                service=service,
                leaving=plain_service.is_leaving,
            )

        random_source = random.Random(f"{seed} {host_id}")
        announcer = Announcer(entries, make_announcement, lambda: None, random_source)
        stack.enter_context(announcer)
        run_until_stopped(
            {"address": server.address, "hosts": {host_id: server.address}}
        )


def main() -> None:
    """Run the console script."""
    defopt.run(run)
