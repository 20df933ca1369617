"""Serves generations over a batch engine: pacing and event streams."""

import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Any, Self

import attrs
import eventlet
import logbook
from eventlet.event import Event

from chestnutvale.emulator.answer_text import (
    AnswerText,
    count_prompt_tokens,
    hash_prefixes,
    render_prompt,
)
from chestnutvale.emulator.batch_engine import BatchEngine, EngineModel, Generation
from chestnutvale.emulator.const import (
    CODE_OVERLOADED,
    CODE_RESUME_MISMATCH,
    CRASH_MARKER,
    FINISH_LENGTH,
    FINISH_STOP,
)
from chestnutvale.emulator.event_writer import EventWriter
from chestnutvale.emulator.exceptions import EmulatorError, RefusedError
from chestnutvale.emulator.generate_request import GenerateRequest, require_valid_field

_LOGGER = logbook.Logger(__name__)

# How often a stream that waits for tokens looks whether its caller has gone.
DISCONNECT_CHECK_INTERVAL_S = 0.2
# How often a paused engine looks whether it goes on.
PAUSE_CHECK_INTERVAL_S = 0.02


@attrs.define
class AnswerStream:
    """One running answer and the tokens that wait to be written."""

    request: GenerateRequest
    answer: AnswerText
    generation: Generation
    connection: Any
    written_token: int
    ready_token: int
    break_reason: str = ""
    finished: bool = False
    changed: Event = attrs.field(factory=Event)

    def wake_writer(self) -> None:
        """Wake the task that writes the stream."""
        if not self.changed.ready():
            self.changed.send()

    def wait_for_progress(self) -> None:
        """Block the writing task until there is something to do."""
        if self.has_pending_work:
            return
        self.changed = Event()
        self.changed.wait()

    @property
    def has_pending_work(self) -> bool:
        """Whether the writer has something to do."""
        return bool(
            self.break_reason or self.finished or self.ready_token > self.written_token
        )


class GenerationService:
    """Runs generations on one engine; a context manager that owns its task.

    Parameters
    ----------
    model : EngineModel
        Speed and size of the engine.
    on_crash : callable
        Called when a request with the crash mark starts to run.

    Attributes
    ----------
    engine : BatchEngine
        The engine.
    is_paused : bool
        Set to stop all progress.
    slow_factor : callable
        Returns by how much a step takes longer than the model says.
    outcomes : deque of (str, str)
        The last attempts with how they ended.
    tokens_count : int
        Tokens generated.
    """

    def __init__(self, model: EngineModel, on_crash: Callable[[], None]) -> None:
        self.engine = BatchEngine(model)
        self.is_paused = False
        self.slow_factor: Callable[[], float] = lambda: 1.0
        self.outcomes: deque[tuple[str, str]] = deque(maxlen=10_000)
        self.tokens_count = 0
        self._on_crash = on_crash
        self._streams: dict[str, AnswerStream] = {}
        self._work_available = Event()
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> Self:
        """Start the engine's task and the watch over callers."""
        self._tasks = [
            eventlet.spawn(self._run_engine),
            eventlet.spawn(self._run_disconnect_checks),
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Break all streams and stop the task."""
        self.break_all_streams("the engine stops")
        for task in self._tasks:
            task.kill()

    @property
    def is_busy(self) -> bool:
        """Whether any request runs or waits."""
        return not self.engine.is_idle

    def open_stream(self, request: GenerateRequest, connection: Any) -> Iterator[bytes]:
        """Queue a request and return its event stream.

        Parameters
        ----------
        request : GenerateRequest
            The request.
        connection : socket
            The caller's connection.

        Returns
        -------
        iterator of bytes
            The events; raises when the stream breaks.

        Raises
        ------
        RefusedError
            If the request can't be taken; it has not run.
        """
        answer = AnswerText(request.prompt, request.max_tokens)
        require_valid_field(
            request.resume_offset <= answer.length_tokens, "resume_offset"
        )
        if answer.join(0, request.resume_offset) != request.resume_text:
            raise RefusedError(
                400, CODE_RESUME_MISMATCH, "resume_text is not this answer's start"
            )
        require_valid_field(request.attempt_id not in self._streams, "attempt_id")
        generation = Generation(
            request.attempt_id,
            request.priority,
            count_prompt_tokens(request.prompt),
            hash_prefixes(request.prompt),
            request.resume_offset,
            answer.length_tokens,
        )
        if not self.engine.can_accept(generation):
            raise RefusedError(429, CODE_OVERLOADED, "the engine's queue is full")
        offset = request.resume_offset
        stream = AnswerStream(request, answer, generation, connection, offset, offset)
        self._streams[request.attempt_id] = stream
        if offset == answer.length_tokens:
            stream.finished = True
        else:
            self.engine.submit(generation)
            self._wake_engine_task()
        return self._write_events(stream)

    def cancel(self, attempt_id: str) -> bool:
        """Break one stream and drop its work.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.

        Returns
        -------
        bool
            False if it was not running.
        """
        stream = self._streams.get(attempt_id)
        if stream is None or stream.finished:
            return False
        self.engine.cancel(attempt_id)
        stream.break_reason = "cancelled"
        stream.wake_writer()
        return True

    def break_all_streams(self, reason: str) -> None:
        """Break all running streams."""
        for attempt_id, stream in list(self._streams.items()):
            if not stream.finished:
                self.cancel(attempt_id)
                stream.break_reason = reason

    def _wake_engine_task(self) -> None:
        if not self._work_available.ready():
            self._work_available.send()

    def _run_engine(self) -> None:
        while True:
            if self.engine.is_idle:
                self._work_available.wait()
                self._work_available = Event()
                continue
            while self.is_paused:
                eventlet.sleep(PAUSE_CHECK_INTERVAL_S)
            self._run_step()

    def _run_step(self) -> None:
        started_at_s = time.monotonic()
        step = self.engine.step()
        for generation in step.started:
            stream = self._streams.get(generation.attempt_id)
            if stream and CRASH_MARKER in render_prompt(stream.request.prompt):
                self._on_crash()
        due_s = started_at_s + step.duration_s * self.slow_factor()
        eventlet.sleep(max(0.0, due_s - time.monotonic()))
        while self.is_paused:
            eventlet.sleep(PAUSE_CHECK_INTERVAL_S)
        self.tokens_count += len(step.decoded)
        for generation in step.decoded:
            stream = self._streams.get(generation.attempt_id)
            if stream is None or stream.generation is not generation:
                continue
            stream.ready_token = generation.next_token
            stream.finished = generation.is_finished
            stream.wake_writer()

    def _write_events(self, stream: AnswerStream) -> Iterator[bytes]:
        writer = EventWriter(stream.request, stream.generation.prompt_tokens)
        outcome = "hung up"
        try:
            while True:
                stream.wait_for_progress()
                if stream.break_reason:
                    outcome = stream.break_reason
                    raise EmulatorError(stream.break_reason, step="stream")
                ready = stream.ready_token
                if ready > stream.written_token:
                    text = stream.answer.join(stream.written_token, ready)
                    yield writer.format_token_event(stream.written_token, ready, text)
                    stream.written_token = ready
                if stream.finished and stream.written_token == stream.ready_token:
                    early = stream.answer.stops_early
                    outcome = "finished"
                    yield writer.format_end_events(
                        ready, FINISH_STOP if early else FINISH_LENGTH
                    )
                    return
        finally:
            self.engine.cancel(stream.request.attempt_id)
            self._streams.pop(stream.request.attempt_id, None)
            self.outcomes.append((stream.request.attempt_id, outcome))

    def _run_disconnect_checks(self) -> None:
        while True:
            eventlet.sleep(DISCONNECT_CHECK_INTERVAL_S)
            for stream in list(self._streams.values()):
                if not stream.has_pending_work and _has_disconnected(stream.connection):
                    stream.break_reason = "hung up"
                    stream.wake_writer()


def _has_disconnected(connection: Any) -> bool:
    """Look for the end of a caller's connection without reading from it."""
    raw_socket = getattr(connection, "fd", connection)
    try:
        return raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
