"""Event streams of generations, paced by the steps of a batch engine."""

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

# Interval at which streams that wait for tokens check whether the caller disconnected.
DISCONNECT_CHECK_INTERVAL_S = 0.2
# Interval at which a paused engine checks whether it may continue.
PAUSE_CHECK_INTERVAL_S = 0.02
RECORDED_PROMPT_LENGTH = 64


@attrs.define
class AnswerStream:
    """A running answer and the tokens that are ready to be written.

    Attributes
    ----------
    request : GenerateRequest
        The request.
    answer : AnswerText
        Text of the answer.
    generation : Generation
        The request as the engine schedules it.
    connection : socket
        Connection of the caller.
    written_token, ready_token : int
        Offsets after the last token written and after the last one generated.
    break_reason : str
        Why the stream must be broken off; empty if it must not.
    is_finished : bool
        Whether all tokens have been generated.
    changed : Event
        Event that the writing green thread waits for; replaced before each wait.
    """

    request: GenerateRequest
    answer: AnswerText
    generation: Generation
    connection: Any
    written_token: int
    ready_token: int
    break_reason: str = ""
    is_finished: bool = False
    changed: Event = attrs.field(factory=Event)

    def wake_writer(self) -> None:
        """Wake the green thread that writes the stream, if it waits."""
        if not self.changed.ready():
            self.changed.send()

    def wait_for_progress(self) -> None:
        """Block until tokens are ready to write, or the stream finishes or breaks."""
        if self.has_pending_work:
            return
        self.changed = Event()
        self.changed.wait()

    @property
    def has_pending_work(self) -> bool:
        """Whether tokens are ready to write, or the stream finished or broke off."""
        return bool(
            self.break_reason
            or self.is_finished
            or self.ready_token > self.written_token
        )


@attrs.frozen
class AttemptOutcome:
    """How an accepted attempt ended, for checks of the history.

    Attributes
    ----------
    attempt_id : str
        Identifier of the attempt.
    prompt_start : str
        First `RECORDED_PROMPT_LENGTH` characters of the prompt.
    outcome : str
        ``"finished"``, ``"hung up"``, ``"cancelled"`` or why the host broke it off.
    written_token : int
        Offset after the last token that was written.
    """

    attempt_id: str
    prompt_start: str
    outcome: str
    written_token: int

    @classmethod
    def of(cls, stream: AnswerStream, outcome: str) -> Self:
        """Return the outcome of the attempt of a stream."""
        prompt = render_prompt(stream.request.prompt)
        return cls(
            stream.request.attempt_id,
            prompt[:RECORDED_PROMPT_LENGTH],
            outcome,
            stream.written_token,
        )


class GenerationService:
    """Runs generations on one engine; a context manager that owns the engine's task.

    Parameters
    ----------
    model : EngineModel
        Speed and capacity of the engine.
    on_crash : callable
        Called when a request whose prompt contains `CRASH_MARKER` starts to run.

    Attributes
    ----------
    engine : BatchEngine
        Scheduler of the requests.
    is_paused : callable
        Returns whether the engine makes no progress.
    slow_factor : callable
        Returns the factor by which steps take longer than the model states.
    outcomes : deque of AttemptOutcome
        The most recent attempts that have ended.
    tokens_count : int
        Number of generated tokens.
    """

    def __init__(self, model: EngineModel, on_crash: Callable[[], None]) -> None:
        self.engine = BatchEngine(model)
        self.is_paused: Callable[[], bool] = lambda: False
        self.slow_factor: Callable[[], float] = lambda: 1.0
        self.outcomes: deque[AttemptOutcome] = deque(maxlen=10_000)
        self.tokens_count = 0
        self._on_crash = on_crash
        self._streams: dict[str, AnswerStream] = {}
        self._work_available = Event()
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> Self:
        """Start the engine and the checks for disconnected callers."""
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
        """Break off all streams and stop the tasks."""
        self.break_all_streams("the engine stops")
        for task in self._tasks:
            task.kill()

    @property
    def is_busy(self) -> bool:
        """Whether any request is running or waiting."""
        return not self.engine.is_idle

    def open_stream(self, request: GenerateRequest, connection: Any) -> Iterator[bytes]:
        """Queue a request and return its event stream.

        Parameters
        ----------
        request : GenerateRequest
            The request.
        connection : socket
            Connection of the caller, to notice when it disconnects.

        Returns
        -------
        iterator of bytes
            The events; the iterator raises `EmulatorError` if the stream is broken
            off.

        Raises
        ------
        RefusedError
            If the request is invalid or the engine is overloaded. The request has
            not been executed then.
        """
        answer = AnswerText(request.prompt, request.max_tokens)
        require_valid_field(
            request.resume_offset <= answer.length_tokens, "resume_offset"
        )
        if answer.join(0, request.resume_offset) != request.resume_text:
            raise RefusedError(
                400,
                CODE_RESUME_MISMATCH,
                "resume_text differs from the first resume_offset tokens of the answer",
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
            raise RefusedError(
                429,
                CODE_OVERLOADED,
                "request exceeds the memory of the engine, or its queue is full "
                f"({self.engine.waiting_count} requests wait)",
            )
        offset = request.resume_offset
        stream = AnswerStream(request, answer, generation, connection, offset, offset)
        self._streams[request.attempt_id] = stream
        if offset == answer.length_tokens:
            stream.is_finished = True
        else:
            self.engine.submit(generation)
            self._wake_engine_task()
        return self._write_events(stream)

    def cancel(self, attempt_id: str) -> bool:
        """Break off a stream and remove its request from the engine.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.

        Returns
        -------
        bool
            False if the attempt is unknown or has generated all its tokens.
        """
        stream = self._streams.get(attempt_id)
        if stream is None or stream.is_finished:
            return False
        self.engine.cancel(attempt_id)
        stream.break_reason = "cancelled"
        stream.wake_writer()
        return True

    def break_all_streams(self, reason: str) -> None:
        """Break off all unfinished streams.

        Parameters
        ----------
        reason : str
            Outcome of the attempts, as the history reports it.
        """
        for attempt_id, stream in list(self._streams.items()):
            if not stream.is_finished:
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
            while self.is_paused():
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
        while self.is_paused():
            eventlet.sleep(PAUSE_CHECK_INTERVAL_S)
        self.tokens_count += len(step.decoded)
        for generation in step.decoded:
            stream = self._streams.get(generation.attempt_id)
            if stream is None or stream.generation is not generation:
                continue
            stream.ready_token = generation.next_token
            stream.is_finished = generation.is_finished
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
                if stream.is_finished and stream.written_token == stream.ready_token:
                    stops_early = stream.answer.stops_early
                    outcome = "finished"
                    yield writer.format_end_events(
                        ready, FINISH_STOP if stops_early else FINISH_LENGTH
                    )
                    return
        finally:
            self.engine.cancel(stream.request.attempt_id)
            self._streams.pop(stream.request.attempt_id, None)
            self.outcomes.append(AttemptOutcome.of(stream, outcome))

    def _run_disconnect_checks(self) -> None:
        while True:
            eventlet.sleep(DISCONNECT_CHECK_INTERVAL_S)
            for stream in list(self._streams.values()):
                if not stream.has_pending_work and _has_disconnected(stream.connection):
                    stream.break_reason = "hung up"
                    stream.wake_writer()


def _has_disconnected(connection: Any) -> bool:
    """Return whether the caller closed its connection, without consuming data."""
    raw_socket = getattr(connection, "fd", connection)
    try:
        return raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
