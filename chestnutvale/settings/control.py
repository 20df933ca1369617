"""Settings of a control, a replica of the control plane."""

from pathlib import Path

from chestnutvale.evacuations.const import MAX_NAME_CHARACTERS
from chestnutvale.schema.settings_pb2 import ControlSettings, RepairSettings
from chestnutvale.settings.common import (
    check_http_limits,
    check_intervals,
    check_log_settings,
    default_http_limits,
    default_log_settings,
)
from chestnutvale.settings.const import (
    DEFAULT_COLD_BURST_REQUESTS,
    DEFAULT_COLD_RATE_FACTOR,
    DEFAULT_CONTROL_SHUTDOWN_TIMEOUT_MS,
    DEFAULT_DETECTION_TIMEOUT_MS,
    DEFAULT_ELECTION_TIMEOUT_MS,
    DEFAULT_GROUP_DOWNTIME_WEIGHT,
    DEFAULT_HEARTBEAT_INTERVAL_MS,
    DEFAULT_MAX_LOADING_HOSTS,
    DEFAULT_MEMBER_WAIT_MS,
    DEFAULT_STRANDED_HOSTS_WEIGHT,
    DEFAULT_VOTER_LOST_MS,
    MAX_COLD_BURST_REQUESTS,
    MAX_COLD_RATE_FACTOR,
    MAX_COST_WEIGHT,
    MAX_ELECTION_TIMEOUT_MS,
    MAX_INTERVAL_MS,
    MAX_LOADING_HOSTS,
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


def load_control_settings(path: Path) -> ControlSettings:
    """Load and validate the settings of a control.

    Parameters
    ----------
    path : Path
        Path of the settings file.

    Returns
    -------
    ControlSettings
        The validated settings, with defaults filled in and paths resolved.

    Raises
    ------
    SettingsError
        If the file can't be read, is malformed or holds an invalid field.
    """
    settings = load_settings(path, default_control_settings())
    resolve_paths(settings, ("operator_token_file", "data_folder"), path)
    resolve_paths(settings.log, ("file",), path)
    _check(settings, str(path))
    return settings


def default_control_settings() -> ControlSettings:
    """Return the settings that apply if the file omits them.

    Returns
    -------
    ControlSettings
        The defaults; required fields are empty.
    """
    return ControlSettings(
        http_limits=default_http_limits(),
        log=default_log_settings(),
        election_timeout_ms=DEFAULT_ELECTION_TIMEOUT_MS,
        heartbeat_interval_ms=DEFAULT_HEARTBEAT_INTERVAL_MS,
        detection_timeout_ms=DEFAULT_DETECTION_TIMEOUT_MS,
        shutdown_timeout_ms=DEFAULT_CONTROL_SHUTDOWN_TIMEOUT_MS,
        repair=RepairSettings(
            group_downtime_weight=DEFAULT_GROUP_DOWNTIME_WEIGHT,
            stranded_hosts_weight=DEFAULT_STRANDED_HOSTS_WEIGHT,
            member_wait_ms=DEFAULT_MEMBER_WAIT_MS,
        ),
        max_loading_hosts=DEFAULT_MAX_LOADING_HOSTS,
        voter_lost_ms=DEFAULT_VOTER_LOST_MS,
        cold_rate_factor=DEFAULT_COLD_RATE_FACTOR,
        cold_burst_requests=DEFAULT_COLD_BURST_REQUESTS,
    )


def _check(settings: ControlSettings, origin: str) -> None:
    names = ("cluster_id", "control_id", "region", "data_centre")
    check_identifiers(settings, names, origin)
    required = ("controls", "data_folder", "operator_token_file")
    require_fields(settings, required, origin)
    for field in ("http_address", "peer_address"):
        split_address(getattr(settings, field), field, origin)
    if settings.weight_store_address:
        field = "weight_store_address"
        split_address(settings.weight_store_address, field, origin)
    check_peers(settings.controls, "controls", origin)
    check_http_limits(settings.http_limits, origin)
    check_log_settings(settings.log, origin)
    for name in settings.data_centres:
        if not name or len(name) > MAX_NAME_CHARACTERS or not name.isprintable():
            reason = "must hold printable names of at most 128 characters"
            raise_field_error("data_centres", reason, origin)
    _check_times(settings, origin)
    _check_repair(settings.repair, origin)
    check_range(settings, "cold_rate_factor", 0.0, MAX_COLD_RATE_FACTOR, origin)
    check_range(settings, "cold_burst_requests", 0.0, MAX_COLD_BURST_REQUESTS, origin)


def _check_times(settings: ControlSettings, origin: str) -> None:
    intervals = (
        "election_timeout_ms",
        "heartbeat_interval_ms",
        "detection_timeout_ms",
        "shutdown_timeout_ms",
        "voter_lost_ms",
    )
    check_intervals(settings, intervals, origin)
    field = "election_timeout_ms"
    check_range(settings, field, 1, MAX_ELECTION_TIMEOUT_MS, origin)
    check_range(settings, "max_loading_hosts", 1, MAX_LOADING_HOSTS, origin)
    # A single lost heartbeat must not trigger an election.
    if settings.election_timeout_ms < 3 * settings.heartbeat_interval_ms:
        reason = "must be at least three times heartbeat_interval_ms"
        raise_field_error("election_timeout_ms", reason, origin)


def _check_repair(repair: RepairSettings, origin: str) -> None:
    for field in ("group_downtime_weight", "stranded_hosts_weight"):
        check_range(repair, field, 0.0, MAX_COST_WEIGHT, origin, prefix="repair.")
    check_range(repair, "member_wait_ms", 0, MAX_INTERVAL_MS, origin, prefix="repair.")
