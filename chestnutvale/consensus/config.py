"""Times and limits of a member."""

import attrs

from chestnutvale.consensus.const import (
    DEFAULT_ELECTION_TIMEOUT_S,
    DEFAULT_HEARTBEAT_INTERVAL_S,
    DEFAULT_SNAPSHOT_BYTES,
    DEFAULT_SNAPSHOT_ENTRIES,
)
from chestnutvale.schema.settings_pb2 import ControlSettings

MS_PER_S = 1000


@attrs.frozen
class RaftConfig:
    """Times and limits of a member.

    Parameters
    ----------
    election_timeout_s : float
        Shortest silence of a leader after which a member may vote for another.
    heartbeat_interval_s : float
        Time between two rounds of a leader.
    snapshot_entries, snapshot_bytes : int
        Log size that starts a snapshot.
    """

    election_timeout_s: float = DEFAULT_ELECTION_TIMEOUT_S
    heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES
    snapshot_bytes: int = DEFAULT_SNAPSHOT_BYTES


def make_raft_config(settings: ControlSettings) -> RaftConfig:
    """Return times from the settings; zero means the default.

    Parameters
    ----------
    settings : ControlSettings
        The settings.

    Returns
    -------
    RaftConfig
        The times and limits.
    """
    election_s = settings.election_timeout_ms / MS_PER_S
    heartbeat_s = settings.heartbeat_interval_ms / MS_PER_S
    return RaftConfig(
        election_timeout_s=election_s or DEFAULT_ELECTION_TIMEOUT_S,
        heartbeat_interval_s=heartbeat_s or DEFAULT_HEARTBEAT_INTERVAL_S,
    )
