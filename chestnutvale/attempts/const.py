"""Constants of attempts."""

from typing import Final

# Largest single event of a stream in bytes.
MAX_EVENT_BYTES: Final = 256 * 1024
# Events that wait for an earlier one to arrive.
MAX_HELD_EVENTS: Final = 64
# Attempts that one call may make, the first one included.
MAX_ATTEMPTS: Final = 4
# Groups that one call may find unreachable; nothing was sent to them, so they count
# neither as attempts nor as retries.
MAX_UNREACHABLE_GROUPS: Final = 4
# Delivered bytes that are kept for a resume; a longer answer can't be resumed.
MAX_RESUME_BYTES: Final = 4 * 1024 * 1024

# Time in seconds without any byte of a running stream after which it is broken.
STREAM_IDLE_TIMEOUT_S: Final = 20.0
# Time in seconds after which a caller is told to come back, if nobody knows better.
DEFAULT_RETRY_AFTER_S: Final = 2.0

OUTCOME_NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "unknown"
OUTCOME_FAILED: Final = "failed"

CODE_NONE_AVAILABLE: Final = "no_group_available"
CODE_DEADLINE: Final = "deadline_exceeded"
CODE_ATTEMPTS: Final = "attempts_exhausted"
CODE_RETRY_BUDGET: Final = "retry_budget_exhausted"
CODE_BROKEN: Final = "stream_broken"
CODE_REFUSED: Final = "endpoint_refused"
CODE_BAD_REQUEST: Final = "bad_request"
CODE_CALLER_GONE: Final = "caller_gone"

# Why an attempt was given up although its connection stands.
REASON_SILENT: Final = "the stream fell silent"

# Answers of an engine that say that it did not run the request.
REFUSAL_WRONG_EPOCH: Final = "wrong_epoch"
REFUSAL_OVERLOADED: Final = "overloaded"
REFUSAL_MEMBER_MISSING: Final = "member_missing"
REFUSAL_UNREACHABLE: Final = "unreachable"
RETRIED_REFUSALS: Final = frozenset(
    {
        REFUSAL_WRONG_EPOCH,
        REFUSAL_OVERLOADED,
        REFUSAL_MEMBER_MISSING,
        REFUSAL_UNREACHABLE,
    }
)

# Time in milliseconds for which a crash counts as evidence.
EVIDENCE_RETENTION_MS: Final = 10 * 60 * 1_000
# Time in milliseconds after a crash in which other entries' evidence may arrive.
EVIDENCE_SETTLE_MS: Final = 300
# Time in milliseconds between two suspects of one crash on the same group.
SUSPECT_ROUND_MS: Final = 1_500
# Rounds over which the suspects of one crash are spread.
MAX_SUSPECT_ROUNDS: Final = 3
# Time in milliseconds for which a request that crashes groups is refused.
BAN_MS: Final = 10 * 60 * 1_000
# Crashes on different groups after which a request is refused.
BAN_CRASHES: Final = 2
# Time in milliseconds within which a request that crashes groups does so.
QUICK_CRASH_MS: Final = 5_000
# Crashes on different groups after which a request that ran for longer is refused.
BAN_CRASHES_SLOW: Final = 3
# Crashes on different groups after which evidence need not be unambiguous.
BAN_CRASHES_AMBIGUOUS: Final = 4
# Time in milliseconds between crashes in a fabric domain that count as one fault.
DOMAIN_FAULT_MS: Final = 3_000
# Time in milliseconds for which evidence is repeated in reports.
EVIDENCE_REPEAT_MS: Final = 3_000
# Crashes and requests that are remembered; the oldest are forgotten first.
MAX_CRASHES: Final = 256
MAX_SUSPECTS: Final = 4_096

CODE_CRASHING: Final = "crashing_request"

# Time in seconds after which to ask again about a call that runs.
RUNNING_RETRY_AFTER_S: Final = 1.0
# Time in seconds after which a full ledger may have forgotten old keys.
LEDGER_FULL_RETRY_AFTER_S: Final = 60.0
# Time in seconds after its deadline for which a sent call waits for its answer;
# shorter than the ledger's grace for an overdue claim.
SERVICE_LINGER_S: Final = 20.0
