"""Parses model calls of the OpenAI API and builds their answers."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from chestnutvale.attempts.suspicion import fingerprint_of
from chestnutvale.programs.entry.exceptions import BadCallError, UnreadableAnswerError

FORM_CHAT = "chat"
FORM_COMPLETION = "completion"
DEFAULT_MAX_TOKENS = 1_024
MAX_TOKENS_LIMIT = 1_048_576
# Separates the names of the service and the adapter in ``model``.
ADAPTER_SEPARATOR = ":"

_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"


@attrs.frozen
class GenerationRequest:
    """A parsed model call.

    Attributes
    ----------
    form : str
        ``chat`` or ``completion``.
    service : str
        Name of the service, from ``model``.
    adapter : str
        Name of the adapter, from ``model``; empty for none.
    prompt : str or list
        The prompt, or the messages of a chat.
    max_tokens : int
        Maximum number of tokens of the answer.
    stream : bool
        Whether the caller asks for a stream.
    fingerprint : int
        64-bit fingerprint, equal for calls that ask for the same computation.
    """

    form: str
    service: str
    adapter: str
    prompt: str | list[dict[str, str]]
    max_tokens: int
    stream: bool
    fingerprint: int

    def prompt_bytes(self) -> bytes:
        """Return the text of the prompt, as input for the prefix hashes."""
        if isinstance(self.prompt, str):
            return self.prompt.encode()
        parts = [f"{m['role']}\n{m['content']}\n" for m in self.prompt]
        return "".join(parts).encode()


def parse_generation(form: str, data: bytes) -> GenerationRequest:
    """Parse the body of a model call.

    Parameters
    ----------
    form : str
        ``chat`` or ``completion``.
    data : bytes
        JSON body of the call.

    Returns
    -------
    GenerationRequest
        The call.

    Raises
    ------
    BadCallError
        If the body is not JSON, or a field is missing or invalid.
    """
    body = _parse_object(data)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise BadCallError("model must be a string that is not empty")
    if body.get("n", 1) not in (1, None):
        raise BadCallError("n must be 1")
    stream = body.get("stream") or False
    if not isinstance(stream, bool):
        raise BadCallError("stream must be true or false")
    service, _, adapter = _check_unicode(model).partition(ADAPTER_SEPARATOR)
    return GenerationRequest(
        form=form,
        service=service,
        adapter=adapter,
        prompt=_parse_prompt(form, body),
        max_tokens=_parse_max_tokens(body),
        stream=stream,
        fingerprint=fingerprint_of(f"{form} {service}", body),
    )


def read_text(form: str, events: bytes) -> str:
    """Return the text of delivered events, from which another group resumes.

    Parameters
    ----------
    form : str
        ``chat`` or ``completion``.
    events : bytes
        Events that the caller has received.

    Returns
    -------
    str
        The text of the answer so far.

    Raises
    ------
    UnreadableAnswerError
        If an event is not a chunk of the protocol.
    """
    return "".join(_read_chunk_text(form, chunk) for chunk in _iterate_chunks(events))


def build_answer(form: str, events: bytes) -> bytes:
    """Build the answer of a call without a stream from the events of a stream.

    Parameters
    ----------
    form : str
        ``chat`` or ``completion``.
    events : bytes
        All events of the completed stream.

    Returns
    -------
    bytes
        The answer as JSON.

    Raises
    ------
    UnreadableAnswerError
        If an event is not a chunk of the protocol.
    """
    chunks = list(_iterate_chunks(events))
    text = "".join(_read_chunk_text(form, chunk) for chunk in chunks)
    last = chunks[-1]
    finish_reason = _first_choice(last).get("finish_reason")
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if form == FORM_CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    answer = {
        "id": last.get("id"),
        "object": "chat.completion" if form == FORM_CHAT else "text_completion",
        "created": chunks[0].get("created"),
        "model": last.get("model"),
        "choices": [choice],
        "usage": last.get("usage"),
    }
    return json.dumps(answer).encode()


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadCallError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadCallError("the body must be a JSON object")
    return body


def _parse_max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_completion_tokens") or body.get("max_tokens")
    if value is None:
        return DEFAULT_MAX_TOKENS
    if isinstance(value, bool) or not isinstance(value, int):
        raise BadCallError("max_tokens must be an integer")
    if not 0 < value <= MAX_TOKENS_LIMIT:
        raise BadCallError(f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")
    return value


def _parse_prompt(form: str, body: dict[str, Any]) -> str | list[dict[str, str]]:
    if form == FORM_COMPLETION:
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            raise BadCallError("prompt must be a string")
        return _check_unicode(prompt)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadCallError("messages must be a list that is not empty")
    return [_parse_message(message) for message in messages]


def _parse_message(message: Any) -> dict[str, str]:
    if not isinstance(message, dict):
        raise BadCallError("each message must be a JSON object")
    role = message.get("role")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_parse_part(part) for part in content)
    if not isinstance(role, str) or not isinstance(content, str):
        raise BadCallError("each message must have a role and text content")
    return {"role": _check_unicode(role), "content": _check_unicode(content)}


def _parse_part(part: Any) -> str:
    text = part.get("text") if isinstance(part, dict) else None
    if not isinstance(text, str):
        raise BadCallError("content parts must be text; other types are not supported")
    return text


def _iterate_chunks(events: bytes) -> Iterator[dict[str, Any]]:
    for block in events.split(b"\n\n"):
        lines = [
            line.removeprefix(_DATA_PREFIX)
            for line in block.split(b"\n")
            if line.startswith(_DATA_PREFIX)
        ]
        data = b"\n".join(lines)
        if data and data != _DONE:
            yield _parse_chunk(data)


def _parse_chunk(data: bytes) -> dict[str, Any]:
    try:
        chunk = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise UnreadableAnswerError(
            "a chunk of the stream is not JSON", step="generate"
        ) from error
    choices = chunk.get("choices") if isinstance(chunk, dict) else None
    if not isinstance(choices, list) or not all(isinstance(c, dict) for c in choices):
        raise UnreadableAnswerError(
            "a chunk of the stream has no choices", step="generate"
        )
    return chunk


def _first_choice(chunk: dict[str, Any]) -> dict[str, Any]:
    choices = chunk["choices"]
    return choices[0] if choices else {}


def _read_chunk_text(form: str, chunk: dict[str, Any]) -> str:
    choice = _first_choice(chunk)
    text = choice.get("text")
    if form == FORM_CHAT:
        delta = choice.get("delta")
        text = delta.get("content") if isinstance(delta, dict) else None
    return text if isinstance(text, str) else ""


def _check_unicode(text: str) -> str:
    # JSON escapes can contain half of a surrogate pair, which UTF-8 can't encode.
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise BadCallError(
            "a string has an unpaired surrogate, which is not valid Unicode"
        ) from error
    return text
