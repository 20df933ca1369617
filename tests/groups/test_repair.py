"""Tests repairs, draining and roll-out on simulated groups."""

import pytest

from benchmarks.groups_fakes import HostStatus
from chestnutvale.groups import failure_detector
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import DrainHost, GroupResult, PutRepair, Repair
from tests.groups.history import History


@pytest.fixture
def history():
    made = History(lossy=False)
    made.run(25.0)
    assert made.serving_count("llm") == 2
    return made


def find_group(history, service="llm", index=0):
    groups = history.world.state.groups.values()
    return [group for group in groups if group.service == service][index]


def find_member_host(history, group, rank=1):
    member = next(item for item in group.members if item.rank == rank)
    return history.world.hosts[member.host_id]


def new_commands(history, count):
    return [item.WhichOneof("body") for item in history.world.log[count:]]


def test_a_steady_state_plans_nothing(history):
    before = len(history.world.log)
    history.run(20.0)
    assert len(history.world.log) == before
    assert history.world.conflicts == 0


def test_a_spare_replaces_a_dead_member(history):
    group = find_group(history, index=1)
    host = find_member_host(history, group)
    host.status = HostStatus.DEAD
    history.run(15.0)
    changed = history.world.state.groups[group.group_id]
    assert host.host_id not in {member.host_id for member in changed.members}
    assert {member.host_id for member in changed.members} <= history.world.hosts.keys()
    assert len({item.host_id.split("-")[0] for item in changed.members}) == 1
    assert history.serving_count("llm") == 2


def test_a_member_that_returns_before_its_spare_is_ready_is_restored(history):
    history.world.load_s = 30.0
    group = find_group(history, index=1)
    host = find_member_host(history, group)
    host.status = HostStatus.PAUSED
    history.run(8.0)
    assert host.host_id in history.world.state.releases
    host.wake(30.0)
    history.run(5.0)
    assert history.world.state.owners[host.host_id] == group.group_id
    assert history.serving_count("llm") == 2


def test_a_second_loss_during_and_after_a_repair(history):
    group = find_group(history, index=1)
    find_member_host(history, group, 1).status = HostStatus.DEAD
    history.run(7.0)
    forming = history.world.state.groups[group.group_id]
    assert forming.phase == "forming"
    find_member_host(history, forming, 2).status = HostStatus.DEAD
    history.run(20.0)
    assert group.group_id in history.world.state.groups
    assert history.serving_count("llm") == 2
    # Each loss was repaired by one change of members.
    puts = [
        item.put_group
        for item in history.world.log
        if item.put_group.group.group_id == group.group_id
        and item.put_group.group.phase == "forming"
    ]
    assert len(puts) == 3


def make_shortage(options):
    """Break both groups of a domain without spares."""
    text = Text(
        number=1,
        services={
            "llm": Service(kind="model", groups=2, hosts_per_group=3, version="1")
        },
    )
    made = History(lossy=False, text=text, **options)
    for host in made.hosts():
        if host.fabric_domain == "f001":
            host.status = HostStatus.DEAD
    made.run(25.0)
    assert made.serving_count("llm") == 2
    for index in (0, 1):
        find_member_host(
            made, find_group(made, index=index), 2
        ).status = HostStatus.DEAD
    return made


def run_until_merge(history):
    for _ in range(240):
        history.run(0.5)
        if history.world.state.repairs:
            return next(iter(history.world.state.repairs.values()))
    raise AssertionError("no merge was decided")


def test_one_broken_group_is_completed_from_another():
    history = make_shortage({})
    repair = run_until_merge(history)
    assert repair.action == "merge"
    history.run(25.0)
    assert history.serving_count("llm") == 1
    assert repair.donor_group_id not in history.world.state.groups


def test_a_group_moves_to_another_domain_and_the_old_one_is_released():
    text = Text(
        number=1,
        services={
            "llm": Service(kind="model", groups=1, hosts_per_group=6, version="1")
        },
    )
    history = History(lossy=False, text=text)
    history.run(25.0)
    group = find_group(history)
    find_member_host(history, group).status = HostStatus.DEAD
    history.run(500.0)
    moved = find_group(history)
    assert moved.fabric_domain != group.fabric_domain
    assert history.serving_count("llm") == 1
    assert len(history.world.state.groups) == 1
    assert list(history.world.state.releases) == [
        find_member_host(history, group).host_id
    ]
    assert new_commands(history, 0).count("put_repair") == 1


def test_a_move_that_can_not_begin_uses_a_spare_that_appears():
    history = History(lossy=False)
    history.run(25.0)
    group = find_group(history, index=1)
    repair = Repair(
        repair_id="r", group_id=group.group_id, epoch=group.epoch, action="move"
    )
    history.world.submit("put_repair", PutRepair(repair=repair))
    find_member_host(history, group).status = HostStatus.DEAD
    history.run(25.0)
    assert history.serving_count("llm") == 2
    assert history.world.state.repairs == {}


def change_leader_during_merge(history):
    repair = run_until_merge(history)
    history.freeze_leader(0)
    assert dict(history.world.state.repairs) == {repair.group_id: repair}
    history.run(30.0)
    puts = new_commands(history, 0).count("put_repair")
    assert puts == 1
    assert history.serving_count("llm") == 1


def test_another_leader_continues_a_merge():
    change_leader_during_merge(make_shortage({}))


class ForgetfulState(GroupsState):
    """Accepts repairs but does not store them."""

    def put_repair(self, command, at_unix_ms):
        return GroupResult(outcome="done")


def test_without_committed_repairs_merges_start_repeatedly():
    history = make_shortage({"make_state": ForgetfulState})
    with pytest.raises(AssertionError, match="no merge"):
        run_until_merge(history)
    assert new_commands(history, 0).count("put_repair") > 1


def test_a_silent_domain_that_returns_causes_no_change(history):
    before = len(history.world.log)
    history.pause_domain(1)
    history.run(25.0)
    assert history.serving_count("llm") == 1
    history.wake_domain(1)
    history.run(5.0)
    assert history.serving_count("llm") == 2
    assert new_commands(history, before) == []


def partition_most_entries(history):
    """Partition the leader from two of three entries, which still hear the hosts."""
    before = len(history.world.log)
    for name in ("e1", "e2"):
        history.world.network.cuts.add((name, history.world.leader.name))
    history.run(30.0)
    history.restore_network(0)
    history.run(5.0)
    return new_commands(history, before)


def test_no_host_is_missing_while_most_entries_are_silent(history):
    assert partition_most_entries(history) == []
    assert history.serving_count("llm") == 2


def test_without_the_check_for_silent_entries_groups_are_changed(history, monkeypatch):
    monkeypatch.setattr(
        failure_detector, "lacks_live_entries", lambda table, now_s: False
    )
    assert "put_group" in partition_most_entries(history)


def test_losing_and_regaining_the_quorum_changes_no_group(history):
    before = len(history.world.log)
    history.lose_quorum(0)
    history.run(6.0)
    assert history.serving_count("llm") == 0
    history.regain_quorum(0)
    history.run(2.0)
    assert history.serving_count("llm") == 2
    assert new_commands(history, before) == []


@pytest.mark.parametrize("way", ["drain", "leave"])
def test_a_leaving_host_gets_no_new_requests_and_finishes_running_ones(history, way):
    group = find_group(history, index=1)
    head = find_member_host(history, group, 0)
    leaving = find_member_host(history, group, 1)
    head.running = 1
    history.run(2.0)
    getattr(history, way)(history.hosts().index(leaving))
    history.run(3.0)
    for entry in history.world.entries.values():
        served = {view.group.group_id for view in history.world.serving_at(entry)}
        assert group.group_id not in served
    history.run(4.0)
    assert leaving.holding.group_id == group.group_id
    head.running = 0
    history.run(20.0)
    assert leaving.holding is None
    assert history.serving_count("llm") == 2


def test_a_drain_ends_at_its_deadline(history):
    group = find_group(history, index=1)
    find_member_host(history, group, 0).running = 1
    leaving = find_member_host(history, group, 1)
    history.drain(history.hosts().index(leaving))
    history.run(30.0)
    assert leaving.holding is None


def roll_out(history, version="2"):
    fewest = history.serving_count("llm")
    history.world.text.services["llm"].version = version
    for _ in range(240):
        history.run(0.5)
        fewest = min(fewest, history.serving_count("llm"))
    versions = {
        view.group.version
        for view in history.world.entries["e0"].view.serving_groups(
            "llm", history.world.now_s
        )
    }
    assert versions == {version}
    assert history.serving_count("llm") == 2
    return fewest


def test_a_version_is_rolled_out_one_group_at_a_time(history):
    assert roll_out(history) == 1


def test_with_spares_a_roll_out_keeps_the_wanted_groups():
    text = Text(
        number=1,
        services={
            "llm": Service(kind="model", groups=2, hosts_per_group=2, version="1")
        },
    )
    history = History(lossy=False, text=text)
    history.run(25.0)
    assert roll_out(history) == 2


def test_services_form_after_those_that_they_depend_on():
    history = History(lossy=False)
    history.run(25.0)
    kinds = [
        item.put_group.group
        for item in history.world.log
        if item.WhichOneof("body") == "put_group"
    ]
    first_aux = next(i for i, item in enumerate(kinds) if item.service == "aux")
    before = [item.phase for item in kinds[:first_aux] if item.service == "llm"]
    assert before.count("serving") == 2


def test_fewer_groups_and_a_removed_service_free_their_hosts(history):
    history.world.text.services["llm"].groups = 1
    del history.world.text.services["aux"]
    history.run(25.0)
    assert len(history.world.state.groups) == 1
    assert history.world.state.releases == {}
    held = [host for host in history.hosts() if host.holding is not None]
    assert len(held) == 4


def test_a_host_that_announces_itself_but_gets_no_orders_is_replaced():
    history = History(lossy=False)
    history.block_orders(0)
    history.run(80.0)
    assert history.serving_count("llm") == 2
    assert history.hosts()[0].host_id not in history.world.state.owners


def test_a_member_that_waits_for_the_load_budget_is_not_stuck():
    history = History(lossy=False)
    history.world.load_s = 50.0
    planner = history.world.leader.coordinator.planner
    orders = history.world.leader.coordinator.orders
    planner.policy = orders.policy = GroupsPolicy(max_loading_hosts=2)
    history.run(130.0)
    changed = [
        item.put_group.group.group_id
        for item in history.world.log
        if item.put_group.group.phase == "forming"
    ]
    assert len(changed) == len(set(changed))


def test_drained_hosts_are_used_again_after_the_drain(history):
    for host in history.hosts():
        history.world.submit(
            "drain_host", DrainHost(host_id=host.host_id, draining=True)
        )
    history.run(20.0)
    assert history.world.state.groups == {}
    history.undrain(0)
    history.run(25.0)
    assert history.serving_count("llm") == 2
