"""A write stalls by the time in which this process could have seen it finish."""

import math

from chestnutvale.consensus.write_watch import NO_WRITE, WriteWatch

TIMEOUT_S = 1.0


def make_watch():
    return WriteWatch(TIMEOUT_S, interval_s=0.1, max_step_s=0.2)


def test_slow_disk_that_makes_progress_is_not_stalled():
    watch = make_watch()
    for tenth in range(100):
        watch.check(1 + tenth // 9, tenth / 10)
        assert not watch.is_stalled


def test_write_that_does_not_finish_is_stalled_until_it_does():
    watch = make_watch()
    for tenth in range(12):
        watch.check(1, tenth / 10)
    assert watch.is_stalled
    watch.check(NO_WRITE, 1.2)
    assert not watch.is_stalled
    assert (watch.waited_s, watch.next_check_s) == (0.0, math.inf)


def test_time_in_which_the_process_did_not_run_is_not_the_disk_s():
    watch = make_watch()
    watch.check(1, 0.0)
    watch.check(1, 60.0)
    assert not watch.is_stalled
