"""Tests that a call that may have run waits for a group and a new one does not."""

from types import SimpleNamespace

import pytest

from chestnutvale.attempts.events import ChooseGroup, GroupChosen, NoGroupAvailable
from chestnutvale.attempts.suspicion import Clear
from chestnutvale.programs.entry.context import CallRequest
from chestnutvale.programs.entry.group_chooser import RESUME_WAIT_S, GroupChooser
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import GroupView


class ChooserHarness:
    """A chooser whose entry gets its lease back at a given time, over one group."""

    def __init__(self, serves_again_at_s, deadline_s=100.0, **options):
        self.now_s = 0.0
        self.excluded = []
        self.epoch = 1
        member = GroupMember(host_id="h", address="10.0.0.1:1", rank=0)
        group = Group(group_id="g", epoch=1, version="1", members=[member])
        context = SimpleNamespace(
            clock=SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1),
            suspicions=SimpleNamespace(judge=lambda *arguments: Clear()),
            serving_groups=lambda service, version: ["g"],
            has_lease=lambda now_s: now_s >= serves_again_at_s,
            choose_group=self.choose_group,
            earliest_return_s=lambda service: None,
            next_send_s=lambda service: None,
            is_isolated=False,
            group_epoch=lambda group_id: self.epoch,
        )
        self.group = group
        request = CallRequest("r", "w", "llm", "normal", b"", 10, "", deadline_s)
        self.chooser = GroupChooser(context, request, 1, self.wait, **options)

    def choose_group(self, request, excluded, version):
        self.excluded.append(excluded)
        self.group.epoch = self.epoch
        found = self.group.group_id not in excluded
        return GroupView(group=self.group, serving=True) if found else None

    def wait(self, timeout_s):
        self.now_s += timeout_s
        return False


@pytest.mark.parametrize("version", ["1", ""])
@pytest.mark.parametrize(
    ("is_unsent", "serves_again_at_s", "deadline_s", "found"),
    [
        (False, 2.5, 100.0, True),
        (True, 2.5, 100.0, False),
        (False, RESUME_WAIT_S + 1.0, 100.0, False),
        (False, 2.5, 1.0, False),
    ],
)
def test_only_resumed_answer_waits_for_group(
    is_unsent, serves_again_at_s, deadline_s, found, version
):
    harness = ChooserHarness(serves_again_at_s, deadline_s)
    effect = ChooseGroup(frozenset(), version, is_unsent=is_unsent)
    event = harness.chooser.choose(effect)
    assert isinstance(event, GroupChosen if found else NoGroupAvailable)
    assert harness.now_s <= min(deadline_s, RESUME_WAIT_S) + 0.1
    assert harness.now_s == 0.0 or not is_unsent


def test_call_to_a_plain_service_waits_for_no_group():
    harness = ChooserHarness(2.5, resume_wait_s=0.0)
    event = harness.chooser.choose(ChooseGroup(frozenset(), ""))
    assert isinstance(event, NoGroupAvailable)
    assert harness.now_s == 0.0


def test_excluded_group_is_chosen_again_under_new_epoch():
    harness = ChooserHarness(0.0)
    assert isinstance(harness.chooser.choose(ChooseGroup(frozenset(), "")), GroupChosen)
    same_effect = ChooseGroup(frozenset({"g"}), "1")
    assert isinstance(harness.chooser.choose(same_effect), NoGroupAvailable)
    harness.epoch = 2
    assert isinstance(harness.chooser.choose(same_effect), GroupChosen)
    # Under an epoch that the call has used, the group may still be broken.
    assert isinstance(harness.chooser.choose(same_effect), NoGroupAvailable)


def test_group_that_was_rebuilt_does_not_count_as_the_endpoint_to_return_to():
    harness = ChooserHarness(0.0)
    harness.chooser.choose(ChooseGroup(frozenset(), ""))
    effect = ChooseGroup(frozenset(), "1", frozenset({"g"}))
    assert isinstance(harness.chooser.choose(effect), GroupChosen)
    harness.epoch = 2
    assert isinstance(harness.chooser.choose(effect), NoGroupAvailable)


def test_only_an_allowed_group_is_chosen_even_if_another_was_rebuilt():
    harness = ChooserHarness(0.0)
    harness.chooser.choose(ChooseGroup(frozenset(), ""))
    harness.epoch = 2
    effect = ChooseGroup(frozenset(), "1", frozenset({"other"}))
    assert isinstance(harness.chooser.choose(effect), NoGroupAvailable)


def test_call_does_not_wait_for_an_endpoint_that_is_gone_for_good():
    harness = ChooserHarness(0.0)
    harness.chooser.choose(ChooseGroup(frozenset(), ""))
    harness.epoch = 2
    # No other group is allowed, and this one never gets its earlier epoch back.
    effect = ChooseGroup(frozenset(), "", frozenset({"g"}))
    assert isinstance(harness.chooser.choose(effect), NoGroupAvailable)
    assert harness.now_s == 0.0
