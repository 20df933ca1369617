"""Constants of attempts."""

from typing import Final

# Largest single event of a stream in bytes.
MAX_EVENT_BYTES: Final = 256 * 1024
# Events buffered while an earlier one is missing.
MAX_HELD_EVENTS: Final = 64
# Attempts per call, including the first one.
MAX_ATTEMPTS: Final = 4
# Unreachable or unavailable groups that one call may skip. Nothing was sent to them, so
# they count neither as attempts nor as retries.
MAX_UNREACHABLE_GROUPS: Final = 4
# Refusals that don't count as attempts while an earlier attempt is held. The endpoint
# didn't run the request, and the held attempt may be dead.
MAX_REPLACED_REFUSALS: Final = 1
# Delivered bytes kept for a resume; a longer answer can't be resumed.
MAX_RESUME_BYTES: Final = 4 * 1024 * 1024

# Time without an event after which a running stream is treated as broken.
STREAM_IDLE_TIMEOUT_S: Final = 20.0
# The same at a group that was reported as lost; longer than the steps of an engine.
LOST_GROUP_SILENCE_S: Final = 0.4
# Retry-After used when neither admission control nor the endpoint gives one.
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
# An answer whose status says that the request has not run, without a proof of it.
CODE_UNPROVEN_REFUSAL: Final = "unproven_refusal"
# Why a silent attempt is kept, besides the codes above.
CODE_NOT_RESUMABLE: Final = "not_resumable"

# Reasons for abandoning an attempt whose connection is still open.
REASON_SILENT: Final = "the stream fell silent"
REASON_STALLED: Final = "the group stalled"
REASON_LOST: Final = "the group was reported as lost"
REASON_RESTARTED: Final = "a member of the group was restarted"
# Reasons that are no sign of a crash.
SILENCE_REASONS: Final = frozenset({REASON_SILENT, REASON_STALLED, REASON_LOST})

# Refusal codes by which an engine states that it did not run the request.
REFUSAL_WRONG_EPOCH: Final = "wrong_epoch"
REFUSAL_OVERLOADED: Final = "overloaded"
REFUSAL_MEMBER_MISSING: Final = "member_missing"
REFUSAL_UNREACHABLE: Final = "unreachable"
# Nothing was sent, because the endpoint said in an earlier answer that it leaves, or
# wants no request for a time.
REFUSAL_UNAVAILABLE: Final = "unavailable"
# Refusals before anything was sent.
UNSENT_REFUSALS: Final = frozenset({REFUSAL_UNREACHABLE, REFUSAL_UNAVAILABLE})
RETRIED_REFUSALS: Final = frozenset(
    {
        REFUSAL_WRONG_EPOCH,
        REFUSAL_OVERLOADED,
        REFUSAL_MEMBER_MISSING,
        REFUSAL_UNREACHABLE,
        REFUSAL_UNAVAILABLE,
    }
)

# Reads after the deadline of a call, by which it takes what had arrived before. They
# are counted since a fast endpoint may always have more ready.
MAX_LATE_READS: Final = 16

# Time for which a crash counts as evidence.
EVIDENCE_RETENTION_MS: Final = 10 * 60 * 1_000
# Time to wait after a crash for the evidence of other entries to arrive.
EVIDENCE_SETTLE_MS: Final = 300
# Interval between two suspects of one crash that run on the same group.
SUSPECT_ROUND_MS: Final = 1_500
# Maximum number of rounds over which the suspects of one crash are spread.
MAX_SUSPECT_ROUNDS: Final = 3
# Time for which a request that crashes groups is refused.
BAN_MS: Final = 10 * 60 * 1_000
# Crashes on different groups after which a request is refused.
BAN_CRASHES: Final = 2
# Longest run time before a crash that is typical of a request that causes crashes.
QUICK_CRASH_MS: Final = 5_000
# `BAN_CRASHES` for a request that ran longer than `QUICK_CRASH_MS` before a crash.
BAN_CRASHES_SLOW: Final = 3
# `BAN_CRASHES` if the evidence is ambiguous: other requests ran in all crashes too.
BAN_CRASHES_AMBIGUOUS: Final = 4
# Successive crashes after which requests with a prompt part are refused.
BAN_PART_CRASHES: Final = 3
# The same if all crashes were of one group, which may have a fault of its own.
BAN_CRASHES_ONE_GROUP: Final = 5
# Time after which a further crash is not an effect of the same fault.
SEPARATE_CRASH_MS: Final = 1_000
# Time to wait after a crash for the evidence of other entries about prompt parts.
PART_EVIDENCE_SETTLE_MS: Final = 150
# Shortest time from the first to the last of these crashes, if the part was known to be
# harmless. Groups that crash together for another reason do so within less.
MIN_CRASH_SPAN_MS: Final = 500
# Number of crashes by which a part that was known to be harmless must exceed another
# one to be the likelier cause.
HARMLESS_PART_MARGIN: Final = 2
# Crashes up to which requests with some of the parts that ran in all of them may run,
# as they tell the parts apart.
MAX_AMBIGUOUS_CRASHES: Final = 4
# Time from the last crash for which requests with a prompt part are refused. Each entry
# then tries one request at a random time.
PART_BAN_MS: Final = 5 * 60 * 1_000
# The same for a ban that may be in error, as long as no crash came long after another:
# it rests on few crashes, or answers to its parts were written without a crash before.
DOUBTFUL_PART_BAN_MS: Final = 1_000
# Time over which the tries of the entries are spread, so that they seldom coincide.
PART_TRIAL_SPREAD_MS: Final = 20_000
# Time for which a crash counts as evidence against a prompt part.
PART_EVIDENCE_RETENTION_MS: Final = 15 * 60 * 1_000
# Time from the first event of an answer after which its prompt is not the cause of a
# crash; parts that crash groups do so as the answer begins.
HARMLESS_WRITING_MS: Final = 200
# Maximum time between crashes in one fabric domain that count as a single fault.
DOMAIN_FAULT_MS: Final = 3_000
# Time for which evidence is repeated in reports, in case one is lost.
EVIDENCE_REPEAT_MS: Final = 3_000
# Crashes and requests kept in memory; the oldest are dropped first.
MAX_CRASHES: Final = 256
MAX_SUSPECTS: Final = 4_096
# Suspected parts of one crash.
MAX_PARTS_PER_CRASH: Final = 1_024
# Parts whose last harmless answer is remembered; the oldest are dropped first.
MAX_CLEARED_PARTS: Final = 4_096
# Pieces of evidence that are repeated; the oldest are dropped first.
MAX_REPEATED_PIECES: Final = 2_048

CODE_CRASHING: Final = "crashing_request"
CODE_CRASHING_PART: Final = "crashing_prompt_part"

# Retry-After for a key whose call is still running.
RUNNING_RETRY_AFTER_S: Final = 1.0
# Retry-After for a full ledger; by then old keys may have expired.
LEDGER_FULL_RETRY_AFTER_S: Final = 60.0
# Time after its deadline for which a sent call still waits for its answer. Must be
# shorter than the ledger's grace period for overdue claims.
SERVICE_LINGER_S: Final = 20.0
