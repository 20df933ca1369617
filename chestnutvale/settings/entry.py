"""Settings of an entry, a proxy for requests from clients."""

from pathlib import Path

from chestnutvale.routing.const import POLICY_EVEN_LOAD, POLICY_LEAST_LOADED
from chestnutvale.schema.settings_pb2 import EntrySettings
from chestnutvale.settings.common import (
    check_http_limits,
    check_intervals,
    check_log_settings,
    default_http_limits,
    default_log_settings,
)
from chestnutvale.settings.const import (
    DEFAULT_ANNOUNCE_INTERVAL_MS,
    DEFAULT_ENTRY_SHUTDOWN_TIMEOUT_MS,
    DEFAULT_LEASE_MS,
    DEFAULT_MAX_BUFFERED_BYTES,
    DEFAULT_REPORT_INTERVAL_MS,
    MAX_LEASE_MS,
)
from chestnutvale.settings.loader import load_settings, resolve_paths
from chestnutvale.settings.validation import (
    check_identifiers,
    check_peers,
    check_range,
    raise_field_error,
    require_fields,
    split_address,
)


def load_entry_settings(path: Path) -> EntrySettings:
    """Load and validate the settings of an entry.

    Parameters
    ----------
    path : Path
        Path of the settings file.

    Returns
    -------
    EntrySettings
        The validated settings, with defaults filled in and paths resolved.

    Raises
    ------
    SettingsError
        If the file can't be read, is malformed or holds an invalid field.
    """
    settings = load_settings(path, default_entry_settings())
    resolve_paths(settings, ("operator_token_file",), path)
    resolve_paths(settings.log, ("file",), path)
    _check(settings, str(path))
    return settings


def default_entry_settings() -> EntrySettings:
    """Return the settings that apply if the file omits them.

    Returns
    -------
    EntrySettings
        The defaults; required fields are empty.
    """
    return EntrySettings(
        http_limits=default_http_limits(),
        log=default_log_settings(),
        report_interval_ms=DEFAULT_REPORT_INTERVAL_MS,
        lease_ms=DEFAULT_LEASE_MS,
        announce_interval_ms=DEFAULT_ANNOUNCE_INTERVAL_MS,
        shutdown_timeout_ms=DEFAULT_ENTRY_SHUTDOWN_TIMEOUT_MS,
        max_buffered_bytes=DEFAULT_MAX_BUFFERED_BYTES,
    )


def check_load_balancing(settings: EntrySettings, origin: str) -> None:
    """Reject an unknown load-balancing policy.

    Parameters
    ----------
    settings : EntrySettings
        The settings; an empty name selects the default.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If there is no policy of that name.
    """
    known = (POLICY_LEAST_LOADED, POLICY_EVEN_LOAD)
    if settings.load_balancing and settings.load_balancing not in known:
        reason = f"must be one of {', '.join(known)}, not {settings.load_balancing!r}"
        raise_field_error("load_balancing", reason, origin)


def _check(settings: EntrySettings, origin: str) -> None:
    names = ("cluster_id", "entry_id", "region", "data_centre")
    check_identifiers(settings, names, origin)
    require_fields(settings, ("controls", "operator_token_file"), origin)
    for field in ("http_address", "peer_address"):
        split_address(getattr(settings, field), field, origin)
    check_peers(settings.controls, "controls", origin)
    check_http_limits(settings.http_limits, origin)
    check_log_settings(settings.log, origin)
    intervals = ("report_interval_ms", "announce_interval_ms", "shutdown_timeout_ms")
    check_intervals(settings, intervals, origin)
    check_load_balancing(settings, origin)
    check_range(settings, "lease_ms", 1, MAX_LEASE_MS, origin)
    # A single lost report must not let the lease expire.
    if settings.lease_ms < 2 * settings.report_interval_ms:
        raise_field_error(
            "lease_ms", "must be at least twice report_interval_ms", origin
        )
