"""Running attempts per group, summed over the entries."""

from chestnutvale.membership.attempt_counts import (
    AttemptCounts,
    load_exchange_interval_s,
)
from chestnutvale.membership.const import LOAD_MESSAGES_PER_S
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import GroupLoad


def loads(**counts):
    return [GroupLoad(group_id=k, load=Load(running=v)) for k, v in counts.items()]


def test_counts_of_live_entries_add_up():
    attempt_counts = AttemptCounts(expiry_s=3.0)
    attempt_counts.record_group_loads("e1", loads(g1=2, g2=1), 0.0)
    attempt_counts.record_group_loads("e2", loads(g1=3), 1.0)
    assert attempt_counts.totals(2.0) == {"g1": 5, "g2": 1}
    attempt_counts.record_group_loads("e1", loads(g2=4), 2.0)
    assert attempt_counts.totals(2.5) == {"g1": 3, "g2": 4}


def test_a_silent_entry_is_not_counted():
    attempt_counts = AttemptCounts(expiry_s=3.0)
    attempt_counts.record_group_loads("e1", loads(g1=2), 0.0)
    assert attempt_counts.totals(3.5) == {}


def test_counts_of_a_silent_entry_are_remembered_for_a_while():
    attempt_counts = AttemptCounts(expiry_s=3.0, retention_s=15.0)
    attempt_counts.record_group_loads("e1", loads(g1=2), 0.0)
    attempt_counts.record_group_loads("e2", loads(g1=1), 14.0)
    assert attempt_counts.totals(14.9) == {"g1": 1}
    assert attempt_counts.remembered_totals(14.9) == {"g1": 3}
    assert attempt_counts.remembered_totals(15.1) == {"g1": 1}


def test_counts_excluding_an_entry_sum_all_others():
    attempt_counts = AttemptCounts()
    attempt_counts.record_counts("e1", {"g1": 2}, 0.0)
    attempt_counts.record_counts("e2", {"g1": 3, "g2": 1}, 0.0)
    totals = attempt_counts.totals(0.1)
    assert attempt_counts.counts_excluding("e1", totals) == {"g1": 3, "g2": 1}
    assert attempt_counts.counts_excluding("e2", totals) == {"g1": 2}
    assert attempt_counts.counts_excluding("new", totals) == {"g1": 5, "g2": 1}


def test_message_rate_at_the_leader_is_bounded():
    for entries in (1, 13, 141, 340):
        assert entries / load_exchange_interval_s(entries) <= LOAD_MESSAGES_PER_S
