"""Create initial settings, a configuration text and an operator token."""

import json
import os
import secrets
from collections.abc import Mapping
from pathlib import Path

from chestnutvale.configuration.lookup import hash_key
from chestnutvale.configuration.parser import parse_text
from chestnutvale.programs.client.const import (
    KEY_BYTES,
    KEY_PREFIX,
    STEP_WRITE,
    TOKEN_BYTES,
)
from chestnutvale.programs.client.exceptions import ClientError, FileExistsAlreadyError
from chestnutvale.programs.client.templates import (
    CLIENT_TEMPLATE,
    CONTROL_TEMPLATE,
    ENTRY_TEMPLATE,
    TEXT_TEMPLATE,
    WORKSPACE_TEMPLATE,
)
from chestnutvale.settings.token import TOKEN_FILE_MODE

SETTINGS_FILE_MODE = 0o644
TOKEN_FILE = "operator-token"


def make_workspace_key() -> str:
    """Return a new random workspace key.

    Returns
    -------
    str
        The key with ``KEY_PREFIX``, by which log redaction recognises it.
    """
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def write_initial_files(
    folder: Path, cluster_id: str, workspace_keys: Mapping[str, str]
) -> list[Path]:
    """Write settings, configuration text and operator token into a folder.

    Parameters
    ----------
    folder : Path
        Target folder; created if it does not exist.
    cluster_id : str
        Identity of the cluster.
    workspace_keys : mapping of str to str
        Key by workspace name; only the digests of the keys are written.

    Returns
    -------
    list of Path
        Paths of the files written.

    Raises
    ------
    ClientError
        If a file cannot be written.
    FileExistsAlreadyError
        If one of the files exists; none is written then.
    TextError
        If the name of a workspace is invalid.
    """
    values = {
        "cluster_id": json.dumps(cluster_id)[1:-1],
        "workspaces": "\n".join(
            WORKSPACE_TEMPLATE % {"name": name, "digest": hash_key(key)}
            for name, key in workspace_keys.items()
        ),
    }
    contents = {
        TOKEN_FILE: secrets.token_urlsafe(TOKEN_BYTES) + "\n",
        "client.json": CLIENT_TEMPLATE % values,
        "entry.json": ENTRY_TEMPLATE % values,
        "control.json": CONTROL_TEMPLATE % values,
        "text.json": TEXT_TEMPLATE % values,
    }
    # Rejects invalid workspace names before any file is written.
    parse_text(contents["text.json"])
    paths = [folder / name for name in contents]
    for path in paths:
        if path.exists():
            raise FileExistsAlreadyError(
                "file exists already; nothing was written",
                step=STEP_WRITE,
                peer=str(path),
            )
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, content in contents.items():
            mode = TOKEN_FILE_MODE if name == TOKEN_FILE else SETTINGS_FILE_MODE
            _create_file(folder / name, content, mode)
    except OSError as error:
        reason = f"cannot write: {error.strerror}"
        raise ClientError(reason, step=STEP_WRITE, peer=str(folder)) from error
    return paths


def _create_file(path: Path, content: str, mode: int) -> None:
    # The mode is set on creation, so that a secret is never readable by others.
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(content)
