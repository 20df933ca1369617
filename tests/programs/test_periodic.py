"""Periodic work goes on after an error and asks for its pause each time."""

import eventlet

from chestnutvale.programs.periodic import run_periodically


def test_pause_is_asked_after_each_round_and_errors_do_not_end_the_task():
    rounds, pauses = [], []

    def run_round():
        rounds.append(len(rounds))
        if len(rounds) == 1:
            raise ValueError("the first round fails")

    def find_pause_s():
        pauses.append(len(rounds))
        return 0.001

    task = eventlet.spawn(run_periodically, "test work", run_round, find_pause_s)
    eventlet.sleep(0.05)
    task.kill()
    assert len(rounds) > 2
    assert pauses[:2] == [1, 2]
