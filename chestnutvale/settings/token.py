"""Operator token: a shared secret in a file that only its owner may access."""

import hashlib
import hmac
import os
import stat
from pathlib import Path

from chestnutvale.settings.exceptions import SettingsError

STEP_TOKEN = "operator_token"
TOKEN_FILE_MODE = 0o600
MIN_TOKEN_LENGTH = 16
MAX_TOKEN_LENGTH = 1_024
_FORBIDDEN_MODE = stat.S_IRWXG | stat.S_IRWXO


def load_operator_token(path: Path) -> str:
    """Read the operator token from its file.

    Parameters
    ----------
    path : Path
        The token file; group and others must have no permissions on it.

    Returns
    -------
    str
        The token, without surrounding white space.

    Raises
    ------
    SettingsError
        If the file can't be read, has too wide permissions or holds no valid token.
    """
    try:
        with path.open(encoding="ascii") as file:
            mode = os.fstat(file.fileno()).st_mode
            token = file.read(MAX_TOKEN_LENGTH + 2).strip()
    except (OSError, UnicodeDecodeError) as error:
        # The message of a decoding error contains part of the secret.
        reason = error.strerror if isinstance(error, OSError) else "is not ASCII"
        raise _token_error(f"the token file: {reason}", path) from None
    if mode & _FORBIDDEN_MODE:
        raise _token_error("the token file is open to others; use mode 600", path)
    if not MIN_TOKEN_LENGTH <= len(token) <= MAX_TOKEN_LENGTH or " " in token:
        raise _token_error(
            f"a token has {MIN_TOKEN_LENGTH} to {MAX_TOKEN_LENGTH} characters "
            "without spaces",
            path,
        )
    return token


def hash_token(token: str) -> bytes:
    """Compute the digest of a token for `has_operator_token`.

    Parameters
    ----------
    token : str
        The token.

    Returns
    -------
    bytes
        SHA-256 digest, 32 bytes.
    """
    return hashlib.sha256(token.encode(errors="replace")).digest()


def has_operator_token(authorization: str, token_digest: bytes) -> bool:
    """Return whether a request is authorised by the operator token.

    Parameters
    ----------
    authorization : str
        Value of the ``Authorization`` header.
    token_digest : bytes
        Digest of the operator token, from `hash_token`.

    Returns
    -------
    bool
        True for the bearer scheme with this token; compared in constant time.
    """
    scheme, _, token = authorization.partition(" ")
    matches = hmac.compare_digest(hash_token(token.strip()), token_digest)
    return matches and scheme.lower() == "bearer"


def _token_error(message: str, path: Path) -> SettingsError:
    return SettingsError(message, step=STEP_TOKEN, peer=str(path))
