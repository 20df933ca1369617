"""Settings of the command-line client for operators."""

from pathlib import Path

from chestnutvale.schema.settings_pb2 import ClientSettings
from chestnutvale.settings.common import check_intervals
from chestnutvale.settings.const import DEFAULT_CLIENT_TIMEOUT_MS
from chestnutvale.settings.loader import load_settings, resolve_paths
from chestnutvale.settings.validation import (
    check_identifiers,
    check_peers,
    raise_field_error,
    require_fields,
)


def load_client_settings(path: Path) -> ClientSettings:
    """Load and validate the settings of the client.

    Parameters
    ----------
    path : Path
        Path of the settings file.

    Returns
    -------
    ClientSettings
        The validated settings, with defaults filled in and paths resolved.

    Raises
    ------
    SettingsError
        If the file can't be read, is malformed or holds an invalid field.
    """
    settings = load_settings(path, default_client_settings())
    resolve_paths(settings, ("operator_token_file",), path)
    _check(settings, str(path))
    return settings


def default_client_settings() -> ClientSettings:
    """Return the settings that apply if the file omits them.

    Returns
    -------
    ClientSettings
        The defaults; required fields are empty.
    """
    return ClientSettings(timeout_ms=DEFAULT_CLIENT_TIMEOUT_MS)


def _check(settings: ClientSettings, origin: str) -> None:
    check_identifiers(settings, ("cluster_id",), origin)
    require_fields(settings, ("controls", "operator_token_file"), origin)
    check_peers(settings.controls, "controls", origin)
    check_intervals(settings, ("timeout_ms",), origin)
    for position, control in enumerate(settings.controls):
        if not control.http_address:
            raise_field_error(
                f"controls[{position}].http_address", "is missing", origin
            )
