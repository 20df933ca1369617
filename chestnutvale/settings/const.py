"""Default values and upper bounds of the settings."""

from typing import Final

from chestnutvale.groups.const import DEFAULT_LEADER_LEASE_S
from chestnutvale.membership.const import DEFAULT_DETECTION_TIMEOUT_S, DEFAULT_LEASE_S

MS_PER_S: Final = 1_000

DEFAULT_LOG_FORMAT: Final = "text"
DEFAULT_LOG_LEVEL: Final = "info"
LOG_FORMATS: Final = ("text", "json")
LOG_LEVELS: Final = ("debug", "info", "warning", "error")

DEFAULT_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES: Final = 32 * 1024
DEFAULT_MAX_CONNECTIONS: Final = 10_000
DEFAULT_IDLE_TIMEOUT_MS: Final = 30_000

# An entry of 152 MB takes 49 MB without calls; the rest is for the calls themselves.
DEFAULT_MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024
DEFAULT_REPORT_INTERVAL_MS: Final = 500
DEFAULT_LEASE_MS: Final = round(DEFAULT_LEASE_S * MS_PER_S)
DEFAULT_ANNOUNCE_INTERVAL_MS: Final = 1_000
DEFAULT_ENTRY_SHUTDOWN_TIMEOUT_MS: Final = 300_000

DEFAULT_ELECTION_TIMEOUT_MS: Final = 1_000
DEFAULT_HEARTBEAT_INTERVAL_MS: Final = 200
DEFAULT_DETECTION_TIMEOUT_MS: Final = round(DEFAULT_DETECTION_TIMEOUT_S * MS_PER_S)
DEFAULT_CONTROL_SHUTDOWN_TIMEOUT_MS: Final = 10_000
DEFAULT_GROUP_DOWNTIME_WEIGHT: Final = 1.0
DEFAULT_STRANDED_HOSTS_WEIGHT: Final = 1.0
DEFAULT_MEMBER_WAIT_MS: Final = 2_000
DEFAULT_MAX_LOADING_HOSTS: Final = 16
DEFAULT_VOTER_LOST_MS: Final = 30_000

# The bound of a cold host is what its service takes, unless an operator knows better.
DEFAULT_COLD_RATE_FACTOR: Final = 1.0
DEFAULT_COLD_BURST_REQUESTS: Final = 0.0
MAX_COLD_RATE_FACTOR: Final = 1_000.0
MAX_COLD_BURST_REQUESTS: Final = 1_000_000.0

DEFAULT_CLIENT_TIMEOUT_MS: Final = 10_000

# Controls wait this long before they assume that no entry serves from an outdated view,
# so an entry may have a shorter lease but never a longer one.
MAX_LEASE_MS: Final = DEFAULT_LEASE_MS
# A new leader waits this long, until its predecessor's lease has certainly expired.
MAX_ELECTION_TIMEOUT_MS: Final = round(DEFAULT_LEADER_LEASE_S * MS_PER_S)
MAX_LOADING_HOSTS: Final = 100_000
MAX_INTERVAL_MS: Final = 60 * 60 * 1000
MAX_BODY_BYTES: Final = 1024 * 1024 * 1024
MAX_HEADER_BYTES: Final = 1024 * 1024
MAX_CONNECTIONS: Final = 1_000_000
MAX_COST_WEIGHT: Final = 1_000_000.0
