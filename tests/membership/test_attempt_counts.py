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
    table = AttemptCounts(expiry_s=3.0)
    table.record_group_loads("e1", loads(g1=2, g2=1), 0.0)
    table.record_group_loads("e2", loads(g1=3), 1.0)
    assert table.totals(2.0) == {"g1": 5, "g2": 1}
    table.record_group_loads("e1", loads(g2=4), 2.0)
    assert table.totals(2.5) == {"g1": 3, "g2": 4}


def test_an_entry_that_fell_silent_does_not_count():
    table = AttemptCounts(expiry_s=3.0)
    table.record_group_loads("e1", loads(g1=2), 0.0)
    assert table.totals(3.5) == {}


def test_an_entry_is_told_what_all_others_run():
    table = AttemptCounts()
    table.record_counts("e1", {"g1": 2}, 0.0)
    table.record_counts("e2", {"g1": 3, "g2": 1}, 0.0)
    totals = table.totals(0.1)
    assert table.counts_excluding("e1", totals) == {"g1": 3, "g2": 1}
    assert table.counts_excluding("e2", totals) == {"g1": 2}
    assert table.counts_excluding("new", totals) == {"g1": 5, "g2": 1}


def test_the_exchange_costs_the_leader_no_more_with_many_entries():
    for entries in (1, 13, 141, 340):
        assert entries / load_exchange_interval_s(entries) <= LOAD_MESSAGES_PER_S
