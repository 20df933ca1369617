"""Server-sent events of a streamed answer."""

import json
import time

from chestnutvale.emulator.const import FORM_CHAT
from chestnutvale.emulator.generate_request import GenerateRequest

DONE_EVENT = b"data: [DONE]\n\n"


class EventWriter:
    """Formats the chunks of one answer as server-sent events.

    Parameters
    ----------
    request : GenerateRequest
        The request to answer.
    prompt_tokens : int
        Length of the prompt in tokens, for the usage statistics.
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
        # The JSON around the text is the same in every chunk, so it is serialised once.
        self._common_json = json.dumps(common)[:-1]
        choice_prefix = '{"index": 0, "delta": {"content": "'
        choice_suffix = '"}, "finish_reason": null}]}\n\n'
        if not self._is_chat:
            choice_prefix = '{"index": 0, "text": "'
            choice_suffix = '", "finish_reason": null}]}\n\n'
        self._event_prefix = f'data: {self._common_json}, "choices": [{choice_prefix}'
        self._event_suffix = choice_suffix

    def format_token_event(self, first: int, following: int, text: str) -> bytes:
        """Return the event for a range of tokens.

        Parameters
        ----------
        first, following : int
            Offset of the first token and offset after the last token.
        text : str
            Text of the tokens; must need no JSON escaping.

        Returns
        -------
        bytes
            The encoded event.
        """
        id_line = f"id: {self._request.attempt_id}:{first}:{following}\n"
        return f"{id_line}{self._event_prefix}{text}{self._event_suffix}".encode()

    def format_end_events(self, length: int, reason: str) -> bytes:
        """Return the last chunk, with the usage, and the ``[DONE]`` event.

        Parameters
        ----------
        length : int
            Length of the complete answer in tokens.
        reason : str
            Finish reason, ``"length"`` or ``"stop"``.

        Returns
        -------
        bytes
            Both encoded events.
        """
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        if not self._is_chat:
            choice = {"index": 0, "text": "", "finish_reason": reason}
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": length,
            "total_tokens": self._prompt_tokens + length,
        }
        choice_and_usage_json = json.dumps({"choices": [choice], "usage": usage})[1:]
        id_line = f"id: {self._request.attempt_id}:{length}:{length}\n"
        chunk = (
            f"{id_line}data: {self._common_json}, {choice_and_usage_json}\n\n".encode()
        )
        return chunk + DONE_EVENT
