"""HTTP client of the entries that records answers and their timing."""

import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import urllib3

PATH_BY_FORM = {"chat": "/v1/chat/completions", "completion": "/v1/completions"}
STATUS_OK = 200
DONE_DATA = "[DONE]"


@attrs.define
class Answer:
    """Result of one request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection failed.
    text : str
        Text received so far.
    is_complete : bool
        Whether the stream ended with the ``[DONE]`` event.
    finish_reason : str
        Finish reason of the last chunk that has one.
    problem : dict
        Body of the error response or of the error event; empty if there was none.
    failure : str
        Class name of the connection error; empty if there was none.
    sent_at_s, first_token_at_s, ended_at_s : float
        Monotonic times in seconds at which the request was sent, the first token
        arrived and the answer ended.
    token_intervals_s : list of float
        Times between consecutive events with text, in seconds.
    chunk_ids : set of str
        Distinct ``id`` values of the chunks; a correct answer has only one.
    """

    status: int = 0
    text: str = ""
    is_complete: bool = False
    finish_reason: str = ""
    problem: dict[str, Any] = attrs.field(factory=dict)
    failure: str = ""
    sent_at_s: float = 0.0
    first_token_at_s: float = 0.0
    ended_at_s: float = 0.0
    token_intervals_s: list[float] = attrs.field(factory=list)
    chunk_ids: set[str] = attrs.field(factory=set)

    @property
    def outcome(self) -> str:
        """Outcome stated by the problem, else ``"whole"`` or ``"broken"``."""
        if self.problem:
            return str(self.problem.get("outcome", "unknown"))
        return "whole" if self.is_complete else "broken"


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    """Yield the server-sent events of a response.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        A response whose body has not been read.

    Yields
    ------
    tuple of (str, str)
        Name and data of an event; the name is empty if the event states none.
    """
    buffered = b""
    for data in response.stream(amt=None):
        buffered += data.replace(b"\r\n", b"\n")
        *events, buffered = buffered.split(b"\n\n")
        for event in events:
            fields = dict(
                line.split(": ", 1)
                for line in event.decode().split("\n")
                if ": " in line and not line.startswith(":")
            )
            if "data" in fields:
                yield fields.get("event", ""), fields["data"]


@attrs.frozen
class Caller:
    """Client of one entry that authenticates as one workspace.

    Attributes
    ----------
    address : str
        IP address and port of the entry.
    key : str
        API key of the workspace.
    http : urllib3.PoolManager
        Connection pool.
    """

    address: str
    key: str
    http: urllib3.PoolManager

    def headers(self, **additional: str) -> dict[str, str]:
        """Return the headers of a call; underscores in keyword names become hyphens."""
        own_headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        return own_headers | {
            name.replace("_", "-"): value for name, value in additional.items()
        }

    def generate(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        *,
        form: str = "completion",
        headers: dict[str, str] | None = None,
        on_token: Callable[[Answer], bool] | None = None,
    ) -> Answer:
        """Request a generation and read its event stream.

        Parameters
        ----------
        model : str
            Name of the model service.
        prompt : str
            The prompt; in a chat it is the only message.
        max_tokens : int
            Maximum length of the answer in tokens.
        form : str, optional
            ``"chat"`` or ``"completion"``.
        headers : dict, optional
            Additional headers.
        on_token : callable, optional
            Called after each chunk with text; returning False closes the
            connection.

        Returns
        -------
        Answer
            The result, also if the entry refused or the connection failed.
        """
        body: dict[str, Any] = {"model": model, "max_tokens": max_tokens}
        body["stream"] = True
        if form == "chat":
            body["messages"] = [{"role": "user", "content": prompt}]
        else:
            body["prompt"] = prompt
        answer = Answer(sent_at_s=time.monotonic())
        try:
            response = self.http.request(
                "POST",
                f"http://{self.address}{PATH_BY_FORM[form]}",
                body=json.dumps(body).encode(),
                headers=self.headers() | (headers or {}),
                preload_content=False,
            )
            answer.status = response.status
            if response.status == STATUS_OK:
                self._read_stream(response, answer, on_token)
            else:
                answer.problem = parse_json_object(response.data)
            if answer.is_complete or answer.problem:
                response.drain_conn()
                response.release_conn()
            else:
                response.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.failure = type(error).__name__
        answer.ended_at_s = time.monotonic()
        return answer

    def _read_stream(
        self,
        response: urllib3.BaseHTTPResponse,
        answer: Answer,
        on_token: Callable[[Answer], bool] | None,
    ) -> None:
        last_s = 0.0
        for name, data in read_events(response):
            if data == DONE_DATA:
                answer.is_complete = True
                return
            chunk = parse_json_object(data)
            if name == "error" or "error" in chunk or "outcome" in chunk:
                answer.problem = chunk.get("error", chunk)
                continue
            text = append_chunk_text(chunk, answer)
            if not text:
                continue
            now_s = time.monotonic()
            if last_s:
                answer.token_intervals_s.append(now_s - last_s)
            else:
                answer.first_token_at_s = now_s
            last_s = now_s
            if on_token is not None and not on_token(answer):
                return


def append_chunk_text(chunk: dict[str, Any], answer: Answer) -> str:
    """Append the text of a chunk to an answer and return the text of the chunk."""
    answer.chunk_ids.add(str(chunk.get("id")))
    text = ""
    for choice in chunk.get("choices", []):
        text += choice.get("text") or choice.get("delta", {}).get("content") or ""
        answer.finish_reason = choice.get("finish_reason") or answer.finish_reason
    answer.text += text
    return text


def parse_json_object(data: bytes | str) -> dict[str, Any]:
    """Parse a JSON object; return an empty one if the input is anything else."""
    try:
        parsed = json.loads(data)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
