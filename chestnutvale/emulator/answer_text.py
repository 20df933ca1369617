"""Deterministic answers of emulated engines and hashes of prompt prefixes.

Every engine gives the same answer to a prompt, so that callers can check each token.
"""

from typing import Any

import xxhash

from chestnutvale.emulator.const import (
    PREFIX_BLOCK_BYTES,
    PROMPT_BYTES_PER_TOKEN,
    STOP_EARLY_MARKER,
)

Prompt = str | list[dict[str, Any]]


def render_prompt(prompt: Prompt) -> str:
    """Return the text of a prompt from which tokens and prefix hashes are derived.

    Parameters
    ----------
    prompt : str or list of dict
        Prompt of a completion, or messages of a chat.

    Returns
    -------
    str
        The text; for a chat the roles and contents, each followed by a newline.
    """
    if isinstance(prompt, str):
        return prompt
    return "".join(f"{m.get('role')}\n{m.get('content')}\n" for m in prompt)


def count_prompt_tokens(prompt: Prompt) -> int:
    """Return the length of a prompt in tokens, at least 1."""
    length_bytes = len(render_prompt(prompt).encode())
    return max(1, -(-length_bytes // PROMPT_BYTES_PER_TOKEN))


def hash_prefixes(prompt: Prompt) -> list[int]:
    """Return the prefix hashes of a prompt.

    Each hash covers a block of `PREFIX_BLOCK_BYTES` and all blocks before it.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.

    Returns
    -------
    list of int
        One 64-bit hash for each complete block.
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
    """The generated answer to one prompt, addressable by token.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.
    max_tokens : int
        Maximum length of the answer in tokens.

    Attributes
    ----------
    stops_early : bool
        Whether the answer ends after half of ``max_tokens``.
    length_tokens : int
        Length of the answer in tokens.
    """

    def __init__(self, prompt: Prompt, max_tokens: int) -> None:
        text = render_prompt(prompt)
        self._seed = xxhash.xxh64_intdigest(text.encode())
        self.stops_early = STOP_EARLY_MARKER in text
        self.length_tokens = max(1, max_tokens // 2) if self.stops_early else max_tokens

    def token_text(self, index: int) -> str:
        """Return the text of one token; ASCII that needs no escaping in JSON.

        Parameters
        ----------
        index : int
            Offset of the token in the answer.

        Returns
        -------
        str
            A space and four hexadecimal digits.
        """
        digest = xxhash.xxh64_hexdigest(index.to_bytes(8, "little"), self._seed)
        return f" {digest[:4]}"

    def join(self, first: int, following: int) -> str:
        """Return the text of the tokens from ``first`` to before ``following``."""
        return "".join(self.token_text(index) for index in range(first, following))


def expected_text(prompt: Prompt, max_tokens: int) -> str:
    """Return the complete answer that every emulated engine gives to a prompt.

    Parameters
    ----------
    prompt : str or list of dict
        The prompt.
    max_tokens : int
        Maximum length of the answer in tokens.

    Returns
    -------
    str
        The text.
    """
    answer = AnswerText(prompt, max_tokens)
    return answer.join(0, answer.length_tokens)
