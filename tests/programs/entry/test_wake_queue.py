"""Tests that queued readers are resumed once each, in slices, despite failures."""

import eventlet
import pytest
from eventlet import hubs

from chestnutvale.programs.entry import wake_queue
from chestnutvale.programs.entry.wake_queue import WakeQueue


class FakeReader:
    def __init__(self, woken, name, fails=False):
        self.woken = woken
        self.name = name
        self.fails = fails

    def resume(self):
        self.woken.append(self.name)
        if self.fails:
            raise ValueError(self.name)


def test_other_work_runs_between_slices(monkeypatch):
    monkeypatch.setattr(wake_queue, "SLICE_S", 0.0)
    woken = []
    queue = WakeQueue(hubs.get_hub())
    for name in range(4):
        queue.add(FakeReader(woken, name))

    def run_other_work():
        for _ in range(3):
            woken.append("other")
            eventlet.sleep(0)

    task = eventlet.spawn(run_other_work)
    task.wait()
    eventlet.sleep(0.05)
    assert [name for name in woken if name != "other"] == [0, 1, 2, 3]
    assert woken.index("other") < woken.index(3)


@pytest.mark.filterwarnings("ignore")
def test_failing_reader_does_not_block_others(capsys):
    woken = []
    queue = WakeQueue(hubs.get_hub())
    for name in range(3):
        queue.add(FakeReader(woken, name, fails=name == 0))
    eventlet.sleep(0.05)
    assert woken == [0, 1, 2]
