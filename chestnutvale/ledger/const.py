"""Constants of the call ledger."""

from typing import Final

# Milliseconds after which a key is forgotten, so that its call may run again.
KEY_RETENTION_MS: Final = 24 * 60 * 60 * 1_000
# Milliseconds after a claim's deadline until its outcome becomes unknown.
CLAIM_GRACE_MS: Final = 30_000
# Longest time in milliseconds until the deadline of a claim.
MAX_CLAIM_DURATION_MS: Final = 60 * 60 * 1_000
# Milliseconds for which a late duplicate of a released claim is rejected.
RELEASED_RETENTION_MS: Final = 10 * 60 * 1_000

MAX_KEY_BYTES: Final = 256
MAX_ANSWER_BYTES: Final = 16 * 1024
MAX_ANSWER_HEADERS_BYTES: Final = 2 * 1024
MAX_RECORDS: Final = 100_000
MAX_LEDGER_BYTES: Final = 64 * 1024 * 1024
MAX_RELEASED_CLAIMS: Final = 20_000
# Fraction of the records and bytes that one workspace may hold.
MAX_WORKSPACE_SHARE: Final = 0.5
# Fixed part of the size of one record in bytes.
RECORD_OVERHEAD_BYTES: Final = 256

PHASE_RUNNING: Final = "running"
PHASE_RECORDED: Final = "recorded"
PHASE_UNKNOWN: Final = "unknown"

CLAIM_CLAIMED: Final = "claimed"
CLAIM_RECORDED: Final = "recorded"
CLAIM_RUNNING: Final = "running"
CLAIM_UNKNOWN: Final = "unknown"
CLAIM_MISMATCH: Final = "mismatch"
CLAIM_FULL: Final = "full"
CLAIM_RELEASED: Final = "released"
CLAIM_INVALID: Final = "invalid"
CLAIM_DONE: Final = "done"
