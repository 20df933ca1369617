"""Settings of the operators' client."""

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
    """Load and check the settings of the client.

    Parameters
    ----------
    path : Path
        The settings file.

    Returns
    -------
    ClientSettings
        The settings with all defaults filled in.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is wrong.
    """
    settings = load_settings(path, default_client_settings())
    resolve_paths(settings, ("operator_token_file",), path)
    _check(settings, str(path))
    return settings


def default_client_settings() -> ClientSettings:
    """Return the settings that apply where the file says nothing.

    Returns
    -------
    ClientSettings
        The defaults.
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
