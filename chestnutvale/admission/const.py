"""Constants of admission control."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

PRIORITY_URGENT: Final = "urgent"
PRIORITY_NORMAL: Final = "normal"
PRIORITY_BATCH: Final = "batch"
# Highest priority first.
PRIORITIES: Final = (PRIORITY_URGENT, PRIORITY_NORMAL, PRIORITY_BATCH)

CODE_NO_CAPACITY: Final = "no_capacity"
CODE_QUEUE_FULL: Final = "queue_full"
CODE_DEADLINE: Final = "deadline_unreachable"
CODE_EXPIRED: Final = "deadline_exceeded"
CODE_TOO_LARGE: Final = "request_too_large"
CODE_DUPLICATE: Final = "duplicate_request"

DEFAULT_WEIGHT: Final = 1.0
# Weights while a text has no workspaces: all calls share what there is.
WEIGHTS_WITHOUT_WORKSPACES: Final[Mapping[str, float]] = MappingProxyType(
    {"": DEFAULT_WEIGHT}
)
DEFAULT_URGENT_SHARE: Final = 0.9
DEFAULT_QUEUE_REQUESTS: Final = 2048
DEFAULT_WORKSPACE_QUEUE_REQUESTS: Final = 1024
DEFAULT_SLOTS_PER_GROUP: Final = 32

DEFAULT_OUTPUT_TOKENS: Final = 256
PREDICTION_QUANTILE: Final = 0.7
PREDICTION_DECAY: Final = 0.99
PREDICTION_BUCKET_GROWTH: Final = 1.25
PREDICTION_MIN_WEIGHT: Final = 5.0
# Quantile of the durations of answers for which a stopping entry takes a call.
EXPECTED_DURATION_QUANTILE: Final = 0.95

# Fraction of a service's capacity that is divided evenly, regardless of demand.
EVEN_SHARE: Final = 0.15

DEMAND_EXPIRY_S: Final = 3.0
# Fraction of a service's slots that any entry may fill beyond its own share. The rest
# absorbs requests that entries admit before they learn of each other's load.
SHARED_SLOTS_RATIO: Final = 0.9
# Time for which an entry keeps its rounding offset. Longer than answers take, because
# a slot can't be revoked once a request runs in it.
ROUNDING_INTERVAL_S: Final = 5.0
# Window over which refusals are counted. Long enough to contain several refusals even
# in a small service; short enough that a burst expires before a new group starts to
# load weights for it.
REFUSED_WINDOW_S: Final = 2.0
# Window over which the calls that ask for a place are counted. A second follows a burst
# quickly, and holds some hundred calls of a fleet.
ARRIVAL_WINDOW_S: Final = 1.0
# Fraction of a service's slots, with its overcommit, that lending aims to fill.
LENT_SLOTS_RATIO: Final = 0.95
# Time over which lending fills free places or frees overfilled ones, as a multiple of
# the interval of counts, and at least.
LENDING_HORIZON_FACTOR: Final = 2.0
LENDING_MIN_HORIZON_S: Final = 0.2
# Time for which lending continues by the last counts, and the multiple of the interval
# of counts after which new ones are overdue.
LENDING_VALIDITY_S: Final = 1.2
COUNTS_OVERDUE_FACTOR: Final = 1.5
# Chance from which a call that got no place waits for the next counts, if they arrive
# by this margin before the call must start; and the draws that are foreseen at most.
MIN_WAIT_CHANCE: Final = 0.7
MAX_DRAWS: Final = 100
LENDING_MARGIN_S: Final = 0.005
# Weight of a new sample in the predicted time to the first event; about the last ten
# calls count, since the queues inside the engines change within a second.
FIRST_EVENT_SMOOTHING: Final = 0.1
# Rate by which returns are spread at least, so that no caller is sent away for a minute
# because no place was free at one moment.
MIN_PACING_PER_S: Final = 0.1
# Window over which entries count the calls of a service, and the time for which the
# leader counts them as current.
FLOW_WINDOW_S: Final = 0.5
FLOW_EXPIRY_S: Final = 1.2
# Time constant of the estimated time for which calls of all entries take a place.
FLEET_HOLD_SMOOTHING_S: Final = 5.0
# Admissions per second below which that time is not estimated.
MIN_MEASURED_FLOW_PER_S: Final = 2.0
MAX_REPORTED_DEMANDS: Final = 64

DEFAULT_HOLD_S: Final = 5.0
DEFAULT_OUTPUT_TOKEN_S: Final = 0.02
HOLD_TIME_SMOOTHING: Final = 0.02

# Fraction by which urgent requests may exceed the limit, using the KV cache headroom.
URGENT_OVERDRAFT: Final = 0.15

# KV cache utilisation up to which the overcommit factor is raised while requests queue.
KV_TARGET: Final = 0.85
KV_HIGH: Final = 0.92
# Fraction of requests queued inside the engines above which the limit is lowered.
ENGINE_WAITING_HIGH: Final = 0.1
KV_OVERCOMMIT_MIN: Final = 0.3
KV_OVERCOMMIT_MAX: Final = 2.5
# Change of the overcommit factor per second.
KV_OVERCOMMIT_RISE_PER_S: Final = 0.03
KV_OVERCOMMIT_FALL_PER_S: Final = 0.1
KV_OVERCOMMIT_MAX_STEP_S: Final = 2.0

TICK_INTERVAL_S: Final = 0.25
RETRY_AFTER_MIN_S: Final = 1.0
RETRY_AFTER_MAX_S: Final = 60.0
# Retry-After is drawn between the estimate and the estimate times this factor.
RETRY_AFTER_JITTER: Final = 1.5
NO_CAPACITY_RETRY_S: Final = 5.0
# The same if only entries with a share in a rate limit may send requests.
NO_SHARE_RETRY_S: Final = 0.2
