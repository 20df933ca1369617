"""Identifies the parts of prompts that requests share."""

from collections.abc import Sequence

import xxhash


def hash_shared_parts(service: str, part_ids: Sequence[str]) -> tuple[int, ...]:
    """Return hashes of the parts of a prompt that other requests may share.

    The last part belongs to the request or its session and is left out.

    Parameters
    ----------
    service : str
        Name of the service; a part may only affect the endpoints of one service.
    part_ids : sequence of str
        IDs of the parts in the order of the prompt.

    Returns
    -------
    tuple of int
        64-bit hashes in the order of the prompt, without duplicates.
    """
    hashes = (
        xxhash.xxh64_intdigest(f"{service}\n{part_id}".encode())
        for part_id in part_ids[:-1]
    )
    return tuple(dict.fromkeys(hashes))


def format_parts(part_hashes: Sequence[int]) -> list[str]:
    """Return hashes of parts as they appear in logs, in hexadecimal.

    Parameters
    ----------
    part_hashes : sequence of int
        Hashes of parts.

    Returns
    -------
    list of str
        The hashes with 16 digits each.
    """
    return [f"{part_hash:016x}" for part_hash in part_hashes]


def describe_part_ban(part_hashes: Sequence[int]) -> str:
    """Return the reason for a refusal because of a prompt's parts.

    Parameters
    ----------
    part_hashes : sequence of int
        Hashes of the parts that are banned.

    Returns
    -------
    str
        The reason; `suspect_banned` log lines name the same parts.
    """
    parts = ", ".join(format_parts(part_hashes))
    return f"groups crashed under other requests with the prompt parts {parts}"
