"""The server-sent events of one answer."""

import json
import time

from chestnutvale.emulator.const import FORM_CHAT
from chestnutvale.emulator.generate_request import GenerateRequest

DONE_EVENT = b"data: [DONE]\n\n"


class EventWriter:
    """Writes the chunks of one answer as events.

    Parameters
    ----------
    request : GenerateRequest
        The request.
    prompt_tokens : int
        Length of the prompt, for the usage.
    """

    def __init__(self, request: GenerateRequest, prompt_tokens: int) -> None:
        self._request = request
        self._prompt_tokens = prompt_tokens
        self._is_chat = request.form == FORM_CHAT
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        prefix = "chatcmpl" if self._is_chat else "cmpl"
        common = {
            "id": f"{prefix}-{request.request_id}",
            "object": kind,
            "created": int(time.time()),
            "model": request.service,
        }
        # The parts around a token's text are the same in every chunk, so they are
        # rendered once.
        self._common = json.dumps(common)[:-1]
        head = '{"index": 0, "delta": {"content": "'
        tail = '"}, "finish_reason": null}]}\n\n'
        if not self._is_chat:
            head = '{"index": 0, "text": "'
            tail = '", "finish_reason": null}]}\n\n'
        self._head = f'data: {self._common}, "choices": [{head}'
        self._tail = tail

    def tokens(self, first: int, following: int, text: str) -> bytes:
        """Return the event for some tokens.

        Parameters
        ----------
        first, following : int
            Offset of the first token and after the last.
        text : str
            Their text; needs no escapes.

        Returns
        -------
        bytes
            The event.
        """
        place = f"id: {self._request.attempt_id}:{first}:{following}\n"
        return f"{place}{self._head}{text}{self._tail}".encode()

    def end(self, length: int, reason: str) -> bytes:
        """Return the last chunk and the end mark.

        Parameters
        ----------
        length : int
            Tokens of the whole answer.
        reason : str
            ``"length"`` or ``"stop"``.

        Returns
        -------
        bytes
            The two events.
        """
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        if not self._is_chat:
            choice = {"index": 0, "text": "", "finish_reason": reason}
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": length,
            "total_tokens": self._prompt_tokens + length,
        }
        rest = json.dumps({"choices": [choice], "usage": usage})[1:]
        place = f"id: {self._request.attempt_id}:{length}:{length}\n"
        chunk = f"{place}data: {self._common}, {rest}\n\n".encode()
        return chunk + DONE_EVENT
