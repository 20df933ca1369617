"""A short soak: planned work and pauses of all endpoints cut no answer."""

from chestnutvale.soak.runner import SoakOptions, SoakRunner

# All groups pause for 2.6 and for 3.6 s; an entry, a control and the leader restart.
SEED = 10
LENGTH_S = 25.0


# Guards against answers that end because their endpoint fell silent for a while, or
# beside a change, a restart or a late process.
def test_planned_work_and_pauses_break_no_promise(tmp_path):
    result = SoakRunner(SoakOptions(SEED, LENGTH_S, tmp_path / "run")).run()
    assert result.violations == []
    assert result.gaps == []
