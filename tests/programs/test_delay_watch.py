"""A process that stood still says so, and why."""

import math

import eventlet
import logbook
import pytest
from eventlet import patcher

from chestnutvale.observability.metrics import NoMetrics
from chestnutvale.programs import delay_watch
from chestnutvale.programs.delay_watch import DelayWatch

WATCH_INTERVAL_S = 0.05
DELAY_S = 0.6


def compute(duration_s):
    clock = patcher.original("time")
    until_s = clock.thread_time() + duration_s
    while clock.thread_time() < until_s:
        pass


@pytest.mark.parametrize(
    ("stand_still", "min_cpu_s", "max_cpu_s"),
    [
        (patcher.original("time").sleep, 0.0, DELAY_S / 2),
        (compute, DELAY_S, math.inf),
    ],
)
def test_process_that_stands_still_logs_how_long_and_what_it_did(
    monkeypatch, stand_still, min_cpu_s, max_cpu_s
):
    monkeypatch.setattr(delay_watch, "WATCH_INTERVAL_S", WATCH_INTERVAL_S)
    watch = DelayWatch(NoMetrics())
    with logbook.TestHandler().applicationbound() as handler:
        task = eventlet.spawn(watch.run)
        eventlet.sleep(WATCH_INTERVAL_S / 2)
        stand_still(DELAY_S)
        eventlet.sleep(2 * WATCH_INTERVAL_S)
        task.kill()

    delays = [line.extra for line in handler.records if line.msg == "process_delayed"]
    longest = max(delays, key=lambda delay: delay["delay_s"])
    assert longest["delay_s"] > DELAY_S / 2
    assert min_cpu_s <= longest["main_cpu_s"] < max_cpu_s
