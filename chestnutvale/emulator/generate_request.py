"""Parsing and validation of generation requests."""

from typing import Any, Self

import attrs

from chestnutvale.emulator.answer_text import Prompt
from chestnutvale.emulator.const import (
    CODE_BAD_REQUEST,
    FORM_CHAT,
    FORMS,
    PRIORITY_RANKS,
)
from chestnutvale.emulator.exceptions import RefusedError


@attrs.frozen
class GenerateRequest:
    """Validated body of a call to ``/v1/generate`` of the endpoint protocol.

    Attributes
    ----------
    request_id, attempt_id : str
        Identifiers of the caller's request and of this attempt to execute it.
    group_id, epoch : str, int
        Group and epoch that the caller expects the host to hold.
    service : str
        Name of the model service.
    form : str
        ``"chat"`` or ``"completion"``.
    prompt : str or list of dict
        Prompt of a completion, or messages of a chat.
    max_tokens : int
        Maximum length of the answer in tokens.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    adapter : str
        Adapter to use; empty for none.
    resume_offset : int
        Number of tokens that an earlier attempt has already delivered.
    resume_text : str
        Text of these tokens.
    """

    request_id: str
    attempt_id: str
    group_id: str
    epoch: int
    service: str
    form: str
    prompt: Prompt
    max_tokens: int
    priority: str
    adapter: str
    resume_offset: int
    resume_text: str

    @classmethod
    def parse(cls, data: dict[str, Any]) -> Self:
        """Validate the fields of a request body.

        Parameters
        ----------
        data : dict
            The decoded JSON object.

        Returns
        -------
        GenerateRequest
            The validated request.

        Raises
        ------
        RefusedError
            If a field is missing or invalid; the message names it.
        """
        prompt = data.get("prompt")
        form = data.get("form", FORM_CHAT)
        priority = data.get("priority") or "normal"
        require_valid_field(_is_prompt(prompt, form), "prompt")
        require_valid_field(form in FORMS, "form")
        require_valid_field(priority in PRIORITY_RANKS, "priority")
        string_fields = {
            name: data.get(name) or ""
            for name in ("request_id", "attempt_id", "group_id", "service", "adapter")
        }
        for name, value in string_fields.items():
            require_valid_field(isinstance(value, str), name)
        require_valid_field(
            string_fields["attempt_id"] != ""
            and "\n" not in string_fields["attempt_id"],
            "attempt_id",
        )
        max_tokens = _read_integer(data, "max_tokens", 16)
        resume_offset = _read_integer(data, "resume_offset", 0)
        resume_text = data.get("resume_text") or ""
        require_valid_field(max_tokens > 0, "max_tokens")
        require_valid_field(isinstance(resume_text, str), "resume_text")
        return cls(
            epoch=_read_integer(data, "epoch", 0),
            form=form,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=priority,
            resume_offset=resume_offset,
            resume_text=resume_text,
            **string_fields,
        )


def require_valid_field(is_valid: bool, field: str) -> None:
    """Refuse the request unless a field is valid.

    Parameters
    ----------
    is_valid : bool
        Whether the field is valid.
    field : str
        Name of the field, for the message.

    Raises
    ------
    RefusedError
        With ``bad_request``, if the field is not valid.
    """
    if not is_valid:
        raise RefusedError(
            400, CODE_BAD_REQUEST, f"field {field!r} is missing or invalid"
        )


def _read_integer(data: dict[str, Any], field: str, default: int) -> int:
    value = data.get(field, default)
    if isinstance(value, str) and value.isdigit():
        value = int(value)
    require_valid_field(isinstance(value, int) and not isinstance(value, bool), field)
    require_valid_field(value >= 0, field)
    return value


def _is_prompt(prompt: Any, form: Any) -> bool:
    if isinstance(prompt, str):
        return True
    if form != FORM_CHAT or not isinstance(prompt, list):
        return False
    return all(isinstance(message, dict) for message in prompt)
