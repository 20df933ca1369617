"""Measures the cost of the streaming path, from received to delivered bytes."""

import json
import time

import attrs
import defopt

from chestnutvale.attempts.events import (
    Deliver,
    EventsArrived,
    GroupChosen,
    Started,
)
from chestnutvale.attempts.model_call import ModelCall
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.sse import EventSplitter

TOKENS_PER_ANSWER = 346
# So late that no call of a run reaches it.
NO_DEADLINE_S = 1e9


@attrs.frozen
class Measurement:
    """Result of one run of one processing path.

    Attributes
    ----------
    name : str
        Label of the processing path.
    events : int
        Number of events processed.
    cpu_s : float
        CPU time in seconds.
    """

    name: str
    events: int
    cpu_s: float

    @property
    def events_per_s(self) -> float:
        """Events per second of CPU time."""
        return self.events / self.cpu_s


def make_stream(attempt_id: str, tokens: int) -> list[bytes]:
    """Generate the events of one answer as an engine sends them.

    Parameters
    ----------
    attempt_id : str
        Identifier of the attempt.
    tokens : int
        Number of tokens of the answer.

    Returns
    -------
    list of bytes
        One chunk per event.
    """
    chunks = []
    for offset in range(tokens):
        chunk = {
            "id": "chatcmpl-entry-1-0123456789abcdef01234567",
            "object": "chat.completion.chunk",
            "created": 1_790_000_000,
            "model": "chestnut-llm",
            "choices": [
                {"index": 0, "delta": {"content": " token"}, "finish_reason": None}
            ],
        }
        data = json.dumps(chunk)
        chunks.append(
            f"id: {attempt_id}:{offset}:{offset + 1}\ndata: {data}\n\n".encode()
        )
    finish_event = b'data: {"choices": [{"index": 0, "finish_reason": "stop"}]}'
    chunks.append(
        f"id: {attempt_id}:{tokens}:{tokens}\n".encode() + finish_event + b"\n\n"
    )
    chunks.append(b"data: [DONE]\n\n")
    return chunks


def measure_stream_path(answers: int, events_per_chunk: int) -> Measurement:
    """Process answers with the event splitter and the model call.

    Parameters
    ----------
    answers : int
        Number of answers.
    events_per_chunk : int
        Number of events in each received chunk.

    Returns
    -------
    Measurement
        Number of events and CPU time.
    """
    budgets = AttemptBudgets()
    stream = make_stream("r.1", TOKENS_PER_ANSWER)
    groups = [
        b"".join(stream[i : i + events_per_chunk])
        for i in range(0, len(stream), events_per_chunk)
    ]
    delivered = 0
    start_s = time.process_time()
    for _ in range(answers):
        call = ModelCall("r", NO_DEADLINE_S, budgets)
        splitter = EventSplitter()
        call.handle(Started(), 0.0)
        call.handle(GroupChosen("g", 1, "v"), 0.0)
        for chunk in groups:
            for effect in call.handle(EventsArrived("r.1", splitter.feed(chunk)), 1.0):
                if isinstance(effect, Deliver):
                    delivered += len(effect.data)
        assert call.answer.is_whole
    cpu_s = time.process_time() - start_s
    assert delivered
    name = f"id line only, {events_per_chunk} together"
    return Measurement(name, answers * len(stream), cpu_s)


def measure_json_baseline(answers: int) -> Measurement:
    """Parse and serialise the JSON of each event, as a baseline.

    Parameters
    ----------
    answers : int
        Number of answers.

    Returns
    -------
    Measurement
        Number of events and CPU time.
    """
    stream = make_stream("r.1", TOKENS_PER_ANSWER)
    start_s = time.process_time()
    for _ in range(answers):
        for chunk in stream[:-2]:
            data = chunk.partition(b"\ndata: ")[2]
            json.dumps(json.loads(data)).encode()
    cpu_s = time.process_time() - start_s
    return Measurement("JSON an event (baseline)", answers * TOKENS_PER_ANSWER, cpu_s)


def main(*, answers: int = 300, repeats: int = 5) -> None:
    """Print the range of events per second of each path over several runs.

    Parameters
    ----------
    answers : int
        Number of answers of each run.
    repeats : int
        Number of runs of each path.
    """
    measurements = [
        lambda: measure_stream_path(answers, 1),
        lambda: measure_stream_path(answers, 8),
        lambda: measure_json_baseline(answers),
    ]
    runs = [[measure() for measure in measurements] for _ in range(repeats)]
    for results in zip(*runs, strict=True):
        rates = sorted(m.events_per_s for m in results)
        print(
            f"{results[0].name:28} {rates[0]:10,.0f} to {rates[-1]:10,.0f} events/s, "
            f"{1e6 / rates[len(rates) // 2]:6.2f} us each (median)"
        )


if __name__ == "__main__":
    defopt.run(main)
