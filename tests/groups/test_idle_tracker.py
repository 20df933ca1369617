"""Tests when a draining group counts as idle."""

import pytest

from chestnutvale.configuration.const import MAX_ROUTED_CALL_S
from chestnutvale.groups.members import group_head
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Route
from tests.groups.test_pools import Pool, all_hosts, make_serving_pool

POLICY = GroupsPolicy(engine_stall_s=5.0, serving_lease_s=2.0, drain_timeout_s=8.0)
STOPPED_AT_S = 2.5


class DrainingPool:
    """A pool with a group that drains since `STOPPED_AT_S` while requests run there."""

    def __init__(self, timeout_ms):
        self.pool: Pool = make_serving_pool()
        self.pool.idle_tracker.policy = POLICY
        self.set_timeout(timeout_ms)
        self.group = next(iter(self.pool.state.groups.values()))
        self.running = 1
        self.is_complete = True
        self.observe(2.0)
        self.group.phase = "draining"
        self.observe(STOPPED_AT_S)

    def set_timeout(self, timeout_ms):
        del self.pool.text.routes[:]
        self.pool.text.number += 1
        self.pool.text.routes.append(Route(timeout_ms=timeout_ms))

    def observe(self, now_s):
        pool = self.pool
        for host_id in all_hosts():
            pool.announce(host_id, now_s)
        for group in pool.state.groups.values():
            head_id = group.members[0].host_id
            pool.table.record_running_attempts(head_id, self.running, self.is_complete)
        pool.idle_tracker.observe(pool.state, pool.table, pool.text, now_s)

    def is_idle(self, now_s):
        self.observe(now_s)
        return self.pool.idle_tracker.is_idle(self.group, self.pool.table, now_s)


@pytest.mark.parametrize(
    ("timeout_ms", "limit_s"),
    [
        (1_000, 8.0),
        (20_000, 2.0 + 20.0),
        (3_600_000, 2.0 + MAX_ROUTED_CALL_S),
    ],
)
def test_drain_ends_no_request_before_its_time_limit(timeout_ms, limit_s):
    drain = DrainingPool(timeout_ms)
    assert not drain.is_idle(STOPPED_AT_S + limit_s - 0.1)
    assert drain.is_idle(STOPPED_AT_S + limit_s + 0.1)


def test_drain_ends_as_soon_as_no_request_runs():
    drain = DrainingPool(20_000)
    drain.running = 0
    assert drain.is_idle(STOPPED_AT_S + 1.0)


def test_drain_waits_for_the_counts_of_late_entries():
    drain = DrainingPool(20_000)
    drain.running = 0
    drain.is_complete = False
    assert not drain.is_idle(STOPPED_AT_S + 21.9)
    drain.is_complete = True
    assert drain.is_idle(STOPPED_AT_S + 21.9)


def test_shorter_time_limit_does_not_cut_requests_of_the_previous_text():
    drain = DrainingPool(30_000)
    for timeout_ms in (20_000, 1_000):
        drain.set_timeout(timeout_ms)
        drain.observe(3.0)
    # Entries may accept calls under a previous text until their leases end.
    assert not drain.is_idle(STOPPED_AT_S + 2.0 + 30.0 - 0.1)
    assert drain.is_idle(STOPPED_AT_S + 2.0 + 30.0 + 0.1)


def test_new_leader_does_not_cut_requests_of_texts_that_it_has_not_seen():
    drain = DrainingPool(1_000)
    drain.pool.idle_tracker.reset()
    drain.observe(10.0)
    assert not drain.is_idle(10.0 + 2.0 + MAX_ROUTED_CALL_S - 0.1)
    assert drain.is_idle(10.0 + 2.0 + MAX_ROUTED_CALL_S + 0.1)


def test_new_leader_releases_nothing_by_what_a_head_said_before_its_term():
    # Guards against a release by an announcement from before the head joined.
    drain = DrainingPool(20_000)
    pool = drain.pool
    head_id = group_head(drain.group).host_id
    del pool.holdings[head_id]
    pool.announce(head_id, 9.5)
    pool.table.extend_detection_timeout(13.0, 10.0)
    pool.idle_tracker.reset()
    for now_s in (11.0, 12.0):
        pool.idle_tracker.observe(pool.state, pool.table, pool.text, now_s)
    assert not pool.idle_tracker.is_idle(drain.group, pool.table, 12.0)


def test_first_announcement_of_a_head_does_not_hide_the_counts_of_entries():
    # Guards against a release between that announcement and the next report.
    drain = DrainingPool(20_000)
    pool = drain.pool
    head_id = group_head(drain.group).host_id
    pool.table = MembershipTable(3.0)
    pool.table.extend_detection_timeout(13.0, 10.0)
    pool.idle_tracker.reset()
    pool.report_attempts(1)
    pool.idle_tracker.observe(pool.state, pool.table, pool.text, 11.0)
    pool.announce(head_id, 12.0)
    assert pool.table.host(head_id).load.running == 0
    assert not pool.idle_tracker.is_idle(drain.group, pool.table, 12.0)
    pool.report_attempts(0)
    assert pool.idle_tracker.is_idle(drain.group, pool.table, 12.0)


def test_silent_head_whose_streams_go_on_is_not_idle():
    drain = DrainingPool(20_000)
    pool = drain.pool
    pool.table.mark_responsive([drain.group.group_id], 9.0)
    pool.idle_tracker.observe(pool.state, pool.table, pool.text, 8.0)
    assert not pool.idle_tracker.is_idle(drain.group, pool.table, 8.0)
    # Entries still report attempts there, which a head that only pauses goes on with.
    assert not pool.idle_tracker.is_idle(drain.group, pool.table, 9.1)
    pool.table.record_running_attempts(group_head(drain.group).host_id, 0)
    assert pool.idle_tracker.is_idle(drain.group, pool.table, 9.1)


def test_silent_head_is_not_idle_while_counts_of_late_entries_are_missing():
    drain = DrainingPool(20_000)
    pool = drain.pool
    pool.idle_tracker.observe(pool.state, pool.table, pool.text, 8.0)
    head_id = group_head(drain.group).host_id
    pool.table.record_running_attempts(head_id, 0, is_complete=False)
    assert not pool.table.is_fresh(head_id, 8.0)
    assert not pool.idle_tracker.is_idle(drain.group, pool.table, 8.0)


def test_drain_ends_no_call_of_the_own_interface_before_its_time_limit():
    drain = DrainingPool(1_000)
    del drain.pool.text.routes[:]
    for service in drain.pool.text.services.values():
        service.limits.default_deadline_ms = 30_000
    drain.pool.text.number += 1
    drain.observe(STOPPED_AT_S)
    assert not drain.is_idle(STOPPED_AT_S + 8.1)


def test_new_leader_does_not_cut_requests_of_routes_that_have_left_before():
    # Guards against calls that end with their route, if the leader changes meanwhile.
    drain = DrainingPool(1_000)
    del drain.pool.text.routes[:]
    drain.pool.text.number += 1
    drain.pool.idle_tracker.reset()
    drain.observe(10.0)
    assert not drain.is_idle(10.0 + 2.0 + MAX_ROUTED_CALL_S - 0.1)
    assert drain.is_idle(10.0 + 2.0 + MAX_ROUTED_CALL_S + 0.1)
