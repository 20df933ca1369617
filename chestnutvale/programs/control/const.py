"""Constants of the control."""

from typing import Final

# Time in seconds between two rounds of decisions about groups.
GROUP_DECISION_INTERVAL_S: Final = 0.05
# While all groups serve and nothing changes, decisions are repeated this often.
IDLE_DECISION_INTERVAL_S: Final = 1.0
# Time in seconds between two rounds of housekeeping.
LEDGER_MAINTENANCE_INTERVAL_S: Final = 1.0
# Longest time in seconds that a proposal of the control itself may take.
PROPOSAL_TIMEOUT_S: Final = 3.0
# Longest time in seconds that an entry's commit request is worked on.
COMMIT_REQUEST_TIMEOUT_S: Final = 2.0
# Commit requests worked on at once; more are not taken and are asked again.
MAX_CONCURRENT_COMMIT_REQUESTS: Final = 2_000
# Longest time in seconds that a host may take to answer an order.
ORDER_CONNECT_TIMEOUT_S: Final = 1.0
ORDER_READ_TIMEOUT_S: Final = 2.0
MAX_CONCURRENT_ORDERS: Final = 64
# Time in seconds after which the claims of a silent entry become unknown.
ENTRY_LOST_TIMEOUT_S: Final = 10.0
# Time in seconds between two removals of expired claims.
CLAIM_EXPIRY_INTERVAL_S: Final = 30.0

PATH_ORDERS: Final = "/v1/orders"
# Time in seconds after which an entry that does not report counts as silent.
ENTRY_REPORT_TIMEOUT_S: Final = 3.0
# Silence in seconds after which a voter or learner is shown as unreachable.
VOTER_SILENCE_TIMEOUT_S: Final = 3.0
INCARNATION_RANDOM_BITS: Final = 32
# Time in seconds between two reports of a control on hosts that it heard, and the
# shortest one if something changed.
HOST_REPORT_INTERVAL_S: Final = 0.4
MIN_HOST_REPORT_INTERVAL_S: Final = 0.02
# Views a second that carry the demand of all entries, which is most of their bytes;
# with more entries each of them gets it less often.
DEMAND_VIEWS_PER_S: Final = 50.0
# Time in seconds for which the events of a group show that it works; entries report
# twice within it.
RESPONSIVE_TTL_S: Final = 1.2
