"""Timeouts and limits of a Raft member."""

import attrs

from chestnutvale.consensus.const import (
    DEFAULT_ELECTION_TIMEOUT_S,
    DEFAULT_HEARTBEAT_INTERVAL_S,
    DEFAULT_SNAPSHOT_BYTES,
    DEFAULT_SNAPSHOT_ENTRIES,
    DEFAULT_WRITE_STALL_TIMEOUT_S,
)
from chestnutvale.schema.settings_pb2 import ControlSettings

MS_PER_S = 1000


@attrs.frozen
class RaftConfig:
    """Timeouts and limits of a Raft member.

    Parameters
    ----------
    election_timeout_s : float
        Minimum time in seconds without contact from the leader before a member
        may vote for another one.
    heartbeat_interval_s : float
        Time in seconds between two heartbeat rounds of a leader.
    snapshot_entries, snapshot_bytes : int
        Log size that triggers a snapshot.
    write_stall_timeout_s : float
        Time in seconds without progress after which a pending write counts as stalled;
        a member with a stalled write does not lead.
    """

    election_timeout_s: float = DEFAULT_ELECTION_TIMEOUT_S
    heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES
    snapshot_bytes: int = DEFAULT_SNAPSHOT_BYTES
    write_stall_timeout_s: float = DEFAULT_WRITE_STALL_TIMEOUT_S


def make_raft_config(settings: ControlSettings) -> RaftConfig:
    """Return the configuration from the settings; zero selects the default.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this control.

    Returns
    -------
    RaftConfig
        Timeouts and limits.
    """
    election_s = settings.election_timeout_ms / MS_PER_S
    heartbeat_s = settings.heartbeat_interval_ms / MS_PER_S
    return RaftConfig(
        election_timeout_s=election_s or DEFAULT_ELECTION_TIMEOUT_S,
        heartbeat_interval_s=heartbeat_s or DEFAULT_HEARTBEAT_INTERVAL_S,
    )
