"""Constants of the control."""

from typing import Final

# Interval between rounds of group decisions.
GROUP_DECISION_INTERVAL_S: Final = 0.05
# Interval of decisions while all groups serve and no input changes.
IDLE_DECISION_INTERVAL_S: Final = 1.0
# Interval between rounds of ledger maintenance.
LEDGER_MAINTENANCE_INTERVAL_S: Final = 1.0
# Timeout of a command that the control itself proposes.
PROPOSAL_TIMEOUT_S: Final = 3.0
# Time for which a group whose removal was proposed doesn't serve again: within it, the
# removal is committed or refused.
DISSOLVING_TTL_S: Final = 2 * PROPOSAL_TIMEOUT_S
# Timeout of a commit request of an entry.
COMMIT_REQUEST_TIMEOUT_S: Final = 2.0
# Commit requests handled concurrently; excess ones are dropped and the entry retries.
MAX_CONCURRENT_COMMIT_REQUESTS: Final = 2_000
# Timeouts of the connection to a host, and of the whole order and its answer.
ORDER_CONNECT_TIMEOUT_S: Final = 1.0
ORDER_READ_TIMEOUT_S: Final = 2.0
MAX_ORDER_ANSWER_BYTES: Final = 64 * 1024
MAX_CONCURRENT_ORDERS: Final = 64
# Silence of an entry after which the outcomes of its claims become unknown.
ENTRY_LOST_TIMEOUT_S: Final = 10.0
# Interval between removals of expired claims.
CLAIM_EXPIRY_INTERVAL_S: Final = 30.0

PATH_ORDERS: Final = "/v1/orders"
# Silence after which the status shows an entry as not reporting.
ENTRY_REPORT_TIMEOUT_S: Final = 3.0
# Silence after which the status shows a voter or learner as unreachable.
VOTER_SILENCE_TIMEOUT_S: Final = 3.0
INCARNATION_RANDOM_BITS: Final = 32
# Interval between a control's reports of the hosts that announced themselves to it, and
# the minimum interval after urgent changes.
HOST_REPORT_INTERVAL_S: Final = 0.4
MIN_HOST_REPORT_INTERVAL_S: Final = 0.02
# Views per second that include the demand of all entries, which makes up most of their
# bytes; with more entries, each gets it less often.
DEMAND_VIEWS_PER_S: Final = 50.0
# Time for which events of a group show that it works; entries report twice within it.
RESPONSIVE_TTL_S: Final = 1.2
# Time between checks of which commands the members of the log can read. Membership
# changes every few minutes at most, and a check costs a few comparisons.
READERS_CHECK_INTERVAL_S: Final = 0.5
# Interval between checks of how many disks hold the log.
DURABILITY_POLL_INTERVAL_S: Final = 0.05
# Interval at which the leader looks for departures that are not recorded, and the one
# after an urgent round or a failed one.
DEPARTURE_RECORD_INTERVAL_S: Final = 1.0
DEPARTURE_RECORD_RETRY_INTERVAL_S: Final = 0.05
# Departures in one command, which bounds its size in the log.
MAX_DEPARTURES_PER_COMMAND: Final = 1_024
# Time within which a host sends a departure again that was not acknowledged.
DEPARTURE_RESEND_S: Final = 60.0
