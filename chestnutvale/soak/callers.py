"""Callers that keep their connections and record each request."""

import random
import threading
import time
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.caller import Answer, Caller, parse_json_object
from chestnutvale.emulator.deployment import PLAIN_SERVICE, WORKSPACE_KEYS
from chestnutvale.soak.const import (
    CALL_DEADLINE_MS,
    GUEST_KEY,
    GUEST_WORKSPACE,
    KIND_POSTING,
    KIND_READ,
    KIND_STREAM,
    PAIR_SERVICE,
    SOLO_SERVICE,
    STREAM_DEADLINE_MS,
    STREAM_TOKENS,
    SUCCESS_STATUSES,
    TEXT_PART,
    TEXT_WHOLE,
    TEXT_WRONG,
)
from chestnutvale.soak.records import RequestRecord, SoakRecords

POSTINGS_PATH = f"/services/{PLAIN_SERVICE}/postings"
SOCKET_TIMEOUT_S = 45.0
KIND_WEIGHTS = {KIND_STREAM: 6, KIND_READ: 2, KIND_POSTING: 2}
HANG_UP_SHARE = 0.05
MAX_PAUSE_BETWEEN_CALLS_S = 0.2
RETRY_DELAY_S = 0.3
MAX_POSTINGS = 5
SLOW_BODY_SHARE = 0.2
MAX_BODY_PAUSE_S = 0.4
# Class of the error of a connection that was not made.
NEVER_SENT = urllib3.exceptions.NewConnectionError.__name__


def compare_text(text: str, expected: str) -> str:
    """Return whether a text is the expected one, its beginning, or a wrong one."""
    if text == expected:
        return TEXT_WHOLE
    return TEXT_PART if expected.startswith(text) else TEXT_WRONG


class SoakCaller:
    """One caller in a thread of its own, with one connection to an entry at a time.

    Its name, unique in the run, begins the identifiers of its calls.
    """

    def __init__(
        self,
        name: str,
        entries: dict[str, str],
        records: SoakRecords,
        rng: random.Random,
        stop: threading.Event,
    ) -> None:
        self._name = name
        self._entries = entries
        self._records = records
        self._rng = rng
        self._stop = stop
        self._count = 0
        # Time of the last byte of the last body that was sent in parts.
        self._body_sent_s = 0.0
        self._entry = ""
        keys = WORKSPACE_KEYS | {GUEST_WORKSPACE: GUEST_KEY}
        self._workspace = rng.choice(sorted(keys))
        self._key = keys[self._workspace]
        self._http = urllib3.PoolManager(
            maxsize=1, retries=False, timeout=SOCKET_TIMEOUT_S
        )

    def run(self) -> None:
        """Send calls until stopped, each to the same entry while it answers."""
        while not self._stop.is_set():
            self._count += 1
            kinds, weights = zip(*KIND_WEIGHTS.items(), strict=True)
            kind = self._rng.choices(kinds, weights)[0]
            call_id = f"{self._name}-{self._count}"
            if kind == KIND_STREAM:
                self._stream(call_id)
            elif kind == KIND_READ:
                self._send_plain(call_id, kind, "GET", f"{POSTINGS_PATH}/{call_id}")
            else:
                self._post(call_id)
            self._stop.wait(self._rng.uniform(0.0, MAX_PAUSE_BETWEEN_CALLS_S))
        self._http.clear()

    def _make_body(self) -> bytes | Iterator[bytes]:
        if self._rng.random() < SLOW_BODY_SHARE:
            return self._send_slowly(self._rng.uniform(0.0, MAX_BODY_PAUSE_S))
        return b"{}"

    def _send_slowly(self, pause_s: float) -> Iterator[bytes]:
        yield b"{"
        time.sleep(pause_s)
        self._body_sent_s = time.monotonic()
        yield b"}"

    def _choose_caller(self) -> Caller:
        self._entry = self._entry or self._rng.choice(sorted(self._entries))
        return Caller(self._entries[self._entry], self._key, self._http)

    def _record(self, request: RequestRecord) -> None:
        self._records.requests.append(request)
        if not request.is_complete and not request.hung_up:
            self._entry = ""
            self._stop.wait(RETRY_DELAY_S)

    def _stream(self, call_id: str) -> None:
        prompt = f"{call_id}\n" + "words to read " * self._rng.randint(1, 30)
        service = self._rng.choice([SOLO_SERVICE, PAIR_SERVICE])
        limit = (
            self._rng.randint(1, STREAM_TOKENS - 1)
            if self._rng.random() < HANG_UP_SHARE
            else STREAM_TOKENS + 1
        )
        answer = self._choose_caller().generate(
            service,
            prompt,
            STREAM_TOKENS,
            headers={"X-Deadline-Ms": str(STREAM_DEADLINE_MS)},
            on_token=lambda answer: len(answer.text.split()) < limit,
        )
        request = _make_stream_record(call_id, self._entry, prompt, limit, answer)
        self._record(attrs.evolve(request, service=service, workspace=self._workspace))

    def _post(self, call_id: str) -> None:
        """Send a call with the same key until it is answered, or given up."""
        for _ in range(MAX_POSTINGS):
            request = self._send_plain(call_id, KIND_POSTING, "POST", POSTINGS_PATH)
            if request.is_complete or self._stop.is_set():
                return

    def _send_plain(
        self, call_id: str, kind: str, method: str, path: str
    ) -> RequestRecord:
        caller = self._choose_caller()
        headers = caller.headers(X_Deadline_Ms=str(CALL_DEADLINE_MS))
        if kind == KIND_POSTING:
            headers["Idempotency-Key"] = call_id
        sent_s = time.monotonic()
        try:
            response = self._http.request(
                method,
                f"http://{caller.address}{path}",
                body=self._make_body() if method == "POST" else None,
                headers=headers,
            )
            result = _read_plain_answer(call_id, response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            name = type(error).__name__
            result = {"detail": name, "was_sent": name != NEVER_SENT}
        request = RequestRecord(
            call_id,
            kind,
            self._entry,
            max(sent_s, self._body_sent_s),
            time.monotonic(),
            sent_s + CALL_DEADLINE_MS / 1e3,
            service=PLAIN_SERVICE,
            workspace=self._workspace,
            **result,
        )
        self._record(request)
        return request


def _make_stream_record(
    call_id: str, entry: str, prompt: str, limit: int, answer: Answer
) -> RequestRecord:
    return RequestRecord(
        call_id,
        KIND_STREAM,
        entry,
        answer.sent_at_s,
        answer.ended_at_s,
        answer.sent_at_s + STREAM_DEADLINE_MS / 1e3,
        answer.status,
        compare_text(answer.text, expected_text(prompt, STREAM_TOKENS)),
        answer.is_complete,
        str(answer.problem.get("outcome", "")),
        _describe_failure(answer),
        hung_up=len(answer.text.split()) >= limit,
        was_sent=answer.failure != NEVER_SENT,
    )


def _describe_failure(answer: Answer) -> str:
    """Return the code of a failed stream and the identifier that the logs name."""
    if answer.is_complete:
        return ""
    ids = answer.chunk_ids or {str(answer.problem.get("request_id", ""))}
    reason = str(answer.problem.get("code", "")) or answer.failure
    return f"{reason} {' '.join(sorted(ids))}".strip()


def _read_plain_answer(
    call_id: str, response: urllib3.BaseHTTPResponse
) -> dict[str, Any]:
    """Return the fields of a request's record that its answer decides."""
    data = parse_json_object(response.data)
    fields: dict[str, Any] = {"status": response.status}
    if response.status not in SUCCESS_STATUSES:
        fields["outcome"] = str(data.get("outcome", ""))
        fields["detail"] = str(data.get("code", ""))
        return fields
    is_own = call_id in (data.get("key"), str(data.get("path")).rpartition("/")[2])
    fields["text_state"] = TEXT_WHOLE if is_own else TEXT_WRONG
    fields["is_complete"] = True
    fields["is_replayed"] = "Idempotent-Replayed" in response.headers
    return fields
