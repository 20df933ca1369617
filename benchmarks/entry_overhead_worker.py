"""Worker of the entry benchmark: sends requests and measures the answers."""

import contextlib
import json
import random
import sys
import time
from typing import Any

import attrs
import eventlet
from hdrh.histogram import HdrHistogram

from chestnutvale.emulator.deployment import MODEL_SERVICE, WORKSPACE_KEYS

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 600_000_000, 3
PROMPT_BYTES = 400
READ_BYTES = 65_536
# Received bytes to keep, to find the end of the stream or the code of a refusal.
TAIL_BYTES = 1_024
EVENT_START = b"data: {"
END_OF_STREAM = b"data: [DONE]"
REQUEST_HEAD = (
    "POST {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
    f"Authorization: Bearer {WORKSPACE_KEYS['accounts']}\r\n"
    "Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.frozen
class WorkerPlan:
    """The part of the load that one worker process generates.

    Attributes
    ----------
    side : str
        ``"engine"`` to call the group heads directly, ``"entry"`` to call the entry.
    targets : list of dict
        For ``"engine"`` address, group and epoch of each head; for ``"entry"``
        its address.
    rate_per_s, duration_s : float
        Arrivals per second of this worker, and duration of the load in seconds.
    tokens : int
        Number of tokens of each answer.
    seed : int
        Seed of the arrivals.
    begin_s : float
        Start of the load in monotonic time, in seconds.
    """

    side: str
    targets: list[dict[str, Any]]
    rate_per_s: float
    duration_s: float
    tokens: int
    seed: int
    begin_s: float


class Worker:
    """Sends requests and measures answers, with minimal work for each event.

    Parameters
    ----------
    plan : WorkerPlan
        The load to generate.
    """

    def __init__(self, plan: WorkerPlan) -> None:
        self._plan = plan
        self._first = make_histogram()
        self._gaps = make_histogram()
        self._completed_count = 0
        self._failures: dict[str, int] = {}
        self._event_count = 0
        self._late_s = 0.0

    def run(self) -> dict[str, Any]:
        """Generate the load and return the measurements."""
        rng = random.Random(self._plan.seed)
        pool = eventlet.GreenPool(100_000)
        at_s = 0.0
        number = 0
        while True:
            at_s += rng.expovariate(self._plan.rate_per_s)
            if at_s > self._plan.duration_s:
                break
            number += 1
            due_s = self._plan.begin_s + at_s
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            self._late_s = max(self._late_s, time.monotonic() - due_s)
            target = rng.choice(self._plan.targets)
            pool.spawn_n(self._send_request, number, target)
        pool.waitall()
        return {
            "first": self._first.encode().decode(),
            "gaps": self._gaps.encode().decode(),
            "whole": self._completed_count,
            "failures": self._failures,
            "events": self._event_count,
            "late_s": self._late_s,
            "ended_s": time.monotonic(),
        }

    def _send_request(self, number: int, target: dict[str, Any]) -> None:
        name = f"{self._plan.seed}-{number}"
        prompt = f"{name} ".ljust(PROMPT_BYTES, "x")
        body: dict[str, Any] = {"prompt": prompt, "max_tokens": self._plan.tokens}
        if self._plan.side == "engine":
            path = "/v1/generate"
            body |= {"request_id": name, "attempt_id": name, "form": "completion"}
            body |= {"group_id": target["group_id"], "epoch": target["epoch"]}
            body |= {"service": MODEL_SERVICE}
        else:
            path = "/v1/completions"
            body |= {"model": MODEL_SERVICE, "stream": True}
        try:
            failure = self._stream(target["address"], path, json.dumps(body).encode())
        except OSError as error:
            failure = type(error).__name__
        if failure:
            self._failures[failure] = self._failures.get(failure, 0) + 1
        else:
            self._completed_count += 1

    def _stream(self, address: str, path: str, body: bytes) -> str:
        """Send one request over its own socket and measure the events of its answer.

        A client library would spend more work on each event than the entry does, so
        the bytes are only searched for the start of events.
        """
        host, _, port = address.rpartition(":")
        head = REQUEST_HEAD.format(path=path, host=address, length=len(body))
        start_s = time.monotonic()
        last_s = 0.0
        tail = b""
        with contextlib.closing(eventlet.connect((host, int(port)))) as connection:
            connection.sendall(head.encode() + body)
            while END_OF_STREAM not in tail[-TAIL_BYTES:]:
                data = connection.recv(READ_BYTES)
                if not data:
                    return _describe_failure(tail)
                tail = tail[-TAIL_BYTES:] + data
                now_s = time.monotonic()
                events = data.count(EVENT_START)
                if not events:
                    continue
                if last_s:
                    self._gaps.record_value(max(1, round((now_s - last_s) * 1e6)))
                else:
                    self._first.record_value(max(1, round((now_s - start_s) * 1e6)))
                self._event_count += events
                last_s = now_s
        return ""


def _describe_failure(answer: bytes) -> str:
    """Return the code of a problem response, or the first bytes of the answer."""
    _, mark, rest = answer.partition(b'"code": "')
    return rest.split(b'"')[0].decode() if mark else f"closed after {answer[:80]!r}"


def run_worker(plan_text: str) -> None:
    """Run the plan in this process and print the result as one JSON line.

    Parameters
    ----------
    plan_text : str
        The plan as JSON.
    """
    eventlet.monkey_patch()
    print(json.dumps(Worker(WorkerPlan(**json.loads(plan_text))).run()))


if __name__ == "__main__":
    run_worker(sys.argv[1])
