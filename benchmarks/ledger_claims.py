"""Measure the cost of calls that must run at most once in the replicated ledger."""

import time

import attrs
import defopt

from chestnutvale.ledger.records import LedgerBounds
from chestnutvale.ledger.state import LedgerState
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.ledger_pb2 import (
    AbandonClaims,
    Claim,
    ExpireClaims,
    LedgerSnapshot,
    RecordedAnswer,
    RecordOutcome,
)

NOW_UNIX_MS = 1_790_000_000_000
RECORDS_PER_WORKSPACE = 10


@attrs.frozen
class LedgerCosts:
    """Costs measured in one run.

    Attributes
    ----------
    claim_us, outcome_us : float
        Processor time to parse and apply one command in microseconds.
    scan_ms : float
        Processor time of `needs_expiry` over the full ledger in milliseconds.
    expire_ms : float
        Processor time of `ExpireClaims` over the full ledger in milliseconds.
    abandon_ms : float
        Processor time of `AbandonClaims` over the full ledger in milliseconds.
    snapshot_ms, restore_ms : float
        Processor time of a snapshot and of its restore in milliseconds.
    snapshot_bytes : int
        Size of the snapshot.
    """

    claim_us: float
    outcome_us: float
    scan_ms: float
    expire_ms: float
    abandon_ms: float
    snapshot_ms: float
    restore_ms: float
    snapshot_bytes: int


def make_claim(number: int) -> Command:
    """Make the command that claims one call.

    Parameters
    ----------
    number : int
        Sequence number of the call.

    Returns
    -------
    Command
        Command as proposed to the log.
    """
    claim = Claim(
        workspace=f"workspace-{number % RECORDS_PER_WORKSPACE}",
        service="ledger-app",
        key=f"018f7f2e-0000-7000-8000-{number:012x}",
        body_sha256="0" * 64,
        claim_id=f"entry-1-{number:024x}",
        entry_id="entry-1",
        entry_incarnation="0000018f7f2e0000-00000001",
        deadline_unix_ms=NOW_UNIX_MS + 60_000,
    )
    return Command(proposed_at_unix_ms=NOW_UNIX_MS, claim=claim)


def make_outcome(number: int, body_bytes: int) -> Command:
    """Make the command that records the outcome of one call.

    Parameters
    ----------
    number : int
        Sequence number of the call.
    body_bytes : int
        Size of the answer's body in bytes.

    Returns
    -------
    Command
        Command as proposed to the log.
    """
    answer = RecordedAnswer(
        status=201,
        header_names=["Content-Type"],
        header_values=["application/json"],
        body=b"x" * body_bytes,
    )
    outcome = RecordOutcome(claim_id=f"entry-1-{number:024x}", answer=answer)
    return Command(proposed_at_unix_ms=NOW_UNIX_MS, record_outcome=outcome)


def measure_costs(records: int, body_bytes: int) -> LedgerCosts:
    """Fill a ledger with claims and outcomes and measure its operations.

    Parameters
    ----------
    records : int
        Number of calls.
    body_bytes : int
        Size of each answer's body in bytes.

    Returns
    -------
    Costs
        Processor times and snapshot size.
    """
    state = LedgerState(LedgerBounds(max_bytes=1 << 40, max_workspace_share=1.0))
    claims = [make_claim(n).SerializeToString() for n in range(records)]
    outcomes = [make_outcome(n, body_bytes).SerializeToString() for n in range(records)]
    cpu_times_s = [time.process_time()]

    def record_cpu_time() -> None:
        cpu_times_s.append(time.process_time())

    for data in claims:
        state.apply_claim(Command.FromString(data).claim, NOW_UNIX_MS)
    record_cpu_time()
    for data in outcomes:
        command = Command.FromString(data)
        state.apply_record_outcome(command.record_outcome, NOW_UNIX_MS)
    record_cpu_time()
    assert not state.needs_expiry(NOW_UNIX_MS)
    record_cpu_time()
    state.apply_expire_claims(ExpireClaims(now_unix_ms=NOW_UNIX_MS), NOW_UNIX_MS)
    record_cpu_time()
    state.apply_abandon_claims(AbandonClaims(entry_id="entry-2"), NOW_UNIX_MS)
    record_cpu_time()
    snapshot = state.to_snapshot().SerializeToString()
    record_cpu_time()
    restored = LedgerState.from_snapshot(LedgerSnapshot.FromString(snapshot))
    record_cpu_time()
    assert restored.record_count == records
    durations_s = [
        after - before
        for before, after in zip(cpu_times_s, cpu_times_s[1:], strict=False)
    ]
    return LedgerCosts(
        1e6 * durations_s[0] / records,
        1e6 * durations_s[1] / records,
        *(1e3 * value for value in durations_s[2:]),
        len(snapshot),
    )


def main(*, records: int = 50_000, body_bytes: int = 200, repeats: int = 3) -> None:
    """Measure a ledger several times and print the costs of each run.

    Parameters
    ----------
    records : int
        Number of calls.
    body_bytes : int
        Size of each answer's body in bytes.
    repeats : int
        Number of runs.
    """
    claim_bytes = make_claim(1).ByteSize()
    outcome_bytes = make_outcome(1, body_bytes).ByteSize()
    print(f"log: claim {claim_bytes} bytes, outcome {outcome_bytes} bytes")
    for _ in range(repeats):
        costs = measure_costs(records, body_bytes)
        print(
            f"claim {costs.claim_us:.1f} us, outcome {costs.outcome_us:.1f} us; "
            f"with {records} records: scan {costs.scan_ms:.1f} ms, "
            f"expire {costs.expire_ms:.1f} ms, abandon {costs.abandon_ms:.1f} ms, "
            f"snapshot {costs.snapshot_ms:.0f} ms and {costs.snapshot_bytes} bytes, "
            f"restore {costs.restore_ms:.0f} ms"
        )


if __name__ == "__main__":
    defopt.run(main)
