"""Constants of the replicated log."""

from typing import Final

DEFAULT_ELECTION_TIMEOUT_S: Final = 1.0
DEFAULT_HEARTBEAT_INTERVAL_S: Final = 0.1
# Share of the election timeout that a leader lease lasts; the rest covers clocks
# that run at different rates.
LEASE_TIMEOUT_FRACTION: Final = 0.9
# Entries behind which a follower gets a snapshot in place of a replay.
MAX_REPLAY_ENTRIES: Final = 256
# Entries behind which a learner may still be promoted.
MAX_PROMOTE_LAG_ENTRIES: Final = 64
# Limits of one append message.
MAX_APPEND_ENTRIES: Final = 512
MAX_APPEND_BYTES: Final = 512 * 1024
# Append messages that a follower may have unanswered.
MAX_IN_FLIGHT_APPENDS: Final = 32
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024
# Heartbeats after which an unanswered snapshot chunk is sent again.
CHUNK_RETRY_HEARTBEATS: Final = 5
# Size of the log that starts a snapshot.
DEFAULT_SNAPSHOT_ENTRIES: Final = 4_096
DEFAULT_SNAPSHOT_BYTES: Final = 8 * 1024 * 1024

# Silence in seconds after which a voter counts as lost.
DEFAULT_VOTER_LOST_S: Final = 30.0
# The same if its control has come back under a new identity.
DEFAULT_REPLACED_VOTER_LOST_S: Final = 3.0
# Silence in seconds up to which a learner counts as alive.
LEARNER_ALIVE_TIMEOUT_S: Final = 5.0
# Silence in seconds after which a learner is forgotten.
LEARNER_REMOVAL_TIMEOUT_S: Final = 3_600.0
JOIN_INTERVAL_S: Final = 0.5
# Age in seconds up to which a join request counts for the first start.
JOIN_REQUEST_MAX_AGE_S: Final = 5.0
REPLACEMENT_INTERVAL_S: Final = 0.25

BODY_RAFT: Final = "raft"
STEP_PROPOSE: Final = "propose"
STEP_READ: Final = "read"
STEP_MEMBERS: Final = "members"
IDENTITY_SEPARATOR: Final = "#"
