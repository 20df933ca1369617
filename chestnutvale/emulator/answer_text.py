"""Deterministic answers and the hashes of prompt prefixes."""

from typing import Any

import xxhash

from chestnutvale.emulator.const import (
    PREFIX_BLOCK_BYTES,
    PROMPT_BYTES_PER_TOKEN,
    STOP_EARLY_MARKER,
)

Prompt = str | list[dict[str, Any]]


def render_prompt(prompt: Prompt) -> str:
    """Return the text of a prompt, as the prefix hashes see it.

    Parameters
    ----------
    prompt : str or list of dict
        A completion's prompt or a chat's messages.

    Returns
    -------
    str
        The text.
    """
    if isinstance(prompt, str):
        return prompt
    return "".join(f"{m.get('role')}\n{m.get('content')}\n" for m in prompt)


def count_prompt_tokens(prompt: Prompt) -> int:
    """Return the length of a prompt in tokens, at least 1."""
    length_bytes = len(render_prompt(prompt).encode())
    return max(1, -(-length_bytes // PROMPT_BYTES_PER_TOKEN))


def hash_prefixes(prompt: Prompt) -> list[int]:
    """Hash each whole block of a prompt together with all blocks before it.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.

    Returns
    -------
    list of int
        One 64-bit hash for each whole block.
    """
    data = render_prompt(prompt).encode()
    hashes: list[int] = []
    previous = 0
    for start in range(0, len(data) - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        block = data[start : start + PREFIX_BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return hashes


class AnswerText:
    """The answer to one prompt, token by token.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.
    max_tokens : int
        Length at which the answer is cut.
    """

    def __init__(self, prompt: Prompt, max_tokens: int) -> None:
        text = render_prompt(prompt)
        self._seed = xxhash.xxh64_intdigest(text.encode())
        self.stops_early = STOP_EARLY_MARKER in text
        self.length_tokens = max(1, max_tokens // 2) if self.stops_early else max_tokens

    def token_text(self, index: int) -> str:
        """Return the text of one token; ASCII that JSON needs not escape.

        Parameters
        ----------
        index : int
            Offset of the token in the answer.

        Returns
        -------
        str
            A space and a word of four characters.
        """
        digest = xxhash.xxh64_hexdigest(index.to_bytes(8, "little"), self._seed)
        return f" {digest[:4]}"

    def join(self, first: int, following: int) -> str:
        """Return the text of the tokens from one offset up to another."""
        return "".join(self.token_text(index) for index in range(first, following))


def expected_text(prompt: Prompt, max_tokens: int) -> str:
    """Return the whole answer that every emulated engine gives to a prompt.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.
    max_tokens : int
        Length at which the answer is cut.

    Returns
    -------
    str
        The text.
    """
    answer = AnswerText(prompt, max_tokens)
    return answer.join(0, answer.length_tokens)
