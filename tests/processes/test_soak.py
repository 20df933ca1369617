"""A short soak: planned work and pauses of all endpoints break no promise."""

import pytest

from chestnutvale.soak.machines import MachineLimits
from chestnutvale.soak.runner import SoakOptions, SoakRunner

# With both seeds all groups pause twice, for 2.6 and 3.6 s, while entries, a control
# and the leader restart.
SEEDS = [52, 268]
LENGTH_S = 22.0


# Guards against answers that end because their endpoint fell silent for a while, or
# beside a change, a restart or a late process.
@pytest.mark.parametrize("seed", SEEDS)
def test_planned_work_and_pauses_break_no_promise(seed, tmp_path):
    result = SoakRunner(SoakOptions(seed, LENGTH_S, tmp_path / "run")).run()
    assert result.violations == []
    assert result.gaps == []


# Guards against signals that end a starting process, and against requests that a stop
# leaves unread, on machines with a quota and links with a delay.
def test_planned_work_on_small_machines_breaks_no_promise(tmp_path):
    options = SoakOptions(
        5004,
        LENGTH_S,
        tmp_path / "run",
        limits=MachineLimits(share=0.73, delay_ms=1.0),
        idle_connections=10,
    )
    result = SoakRunner(options).run()
    assert result.violations == []
    assert result.gaps == []
