"""Tests groups of models that share a pool of hosts."""

from collections import Counter

from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import count_prospects
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.members import group_head
from chestnutvale.groups.placement import PoolPlacement
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.groups.pools import PoolPlanner
from chestnutvale.groups.serving import find_serving_fault
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, PutGroup, RemoveGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Holding

BIG, SMALL = "gpu-big", "gpu-small"
HOSTS_PER_DOMAIN = 10


def make_text():
    text = Text(number=1)
    for name, size, pace in ((BIG, 4, 1.0), (SMALL, 2, 0.6)):
        service = Service(
            kind="model", hosts_per_group=size, pool="gpu", work_share=0.5, pace=pace
        )
        text.services[name].CopyFrom(service)
    return text


class Pool:
    """The hosts of a pool and the groups that the planner forms from them."""

    def __init__(self):
        self.state = GroupsState()
        self.table = MembershipTable(3.0)
        self.policy = GroupsPolicy(engine_stall_s=5.0)
        self.idle_tracker = IdleTracker(self.policy)
        self.planner = PoolPlanner(self.idle_tracker)
        self.sequence = 0
        self.holdings = {}
        # Data centre of each fabric domain that is not in ``a``, and evacuated ones.
        self.data_centres = {}
        self.evacuated = frozenset()
        self.text = make_text()
        # Hosts available in the last round.
        self.fleet = None

    def announce(self, host_id, now_s, staged=(), leaving=False, cold_remaining_ms=0):
        self.sequence += 1
        announcement = Announcement(
            host_id=host_id,
            boot_id="b",
            sequence=self.sequence,
            address=f"10.0.0.1:{1000 + int(host_id.partition('-')[2])}",
            data_centre=self.data_centres.get(host_id.partition("-")[0], "a"),
            fabric_domain=f"gpu.{host_id.partition('-')[0]}",
            kind="engine",
            pool="gpu",
            fencing=True,
            opens=True,
            leaving=leaving,
            staged=staged,
            cold_remaining_ms=cold_remaining_ms,
        )
        if host_id in self.holdings:
            announcement.holding.CopyFrom(self.holdings[host_id])
        heard = Heard(
            host_id=host_id,
            boot_id="b",
            sequence=self.sequence,
            changed=announcement,
            content_digest=content_digest(announcement),
        )
        self.table.merge_control_report("control-1", [heard], now_s)

    def plan_idle_rounds(self, *times_s):
        """Run the rounds in between; after a longer gap, the control counts as late."""
        for now_s in times_s:
            assert self.plan(now_s) == []

    def plan(self, now_s, may_load=True):
        self.fleet = Fleet.collect(self.state, self.table, now_s, self.evacuated)
        self.idle_tracker.observe(self.state, self.table, self.text, now_s)
        commands = list(
            self.planner.plan(
                self.state, self.table, self.text, self.fleet, now_s, may_load=may_load
            )
        )
        for command in commands:
            if isinstance(command, PutGroup):
                result = self.state.put_group(command, 1)
            else:
                result = self.state.remove_group(command, 1)
            assert result.outcome == "done"
        return commands

    def counts(self):
        return Counter(group.service for group in self.state.groups.values())

    def apply_assignments(self):
        """Make all hosts hold the parts of the groups assigned to them."""
        self.holdings = {
            member.host_id: Holding(
                group_id=group.group_id,
                epoch=group.epoch,
                rank=member.rank,
                service=group.service,
                phase="open" if member.rank == 0 else "ready",
            )
            for group in self.state.groups.values()
            for member in group.members
        }

    def promote_groups(self):
        for group in list(self.state.groups.values()):
            changed = PutGroup(group=group, expected_epoch=group.epoch)
            changed.group.phase = "serving"
            self.state.put_group(changed, 1)

    def report_attempts(self, running=0):
        """Let all entries report the same number of running attempts at each group."""
        for group in self.state.groups.values():
            head_id = group_head(group).host_id
            self.table.record_running_attempts(head_id, running)


def all_hosts(domains=6):
    return [f"d{d}-{d * 10 + i}" for d in range(domains) for i in range(10)]


def make_serving_pool():
    pool = Pool()
    for host_id in all_hosts():
        pool.announce(host_id, 0.0)
    pool.plan(2.0)
    pool.apply_assignments()
    pool.promote_groups()
    pool.report_attempts()
    return pool


def lowest_capacity(counts):
    return min(4 * counts[BIG], 2 * counts[SMALL])


def test_hosts_that_appear_one_by_one_serve_nearly_as_much_as_all_at_once():
    expected = make_serving_pool().counts()
    pool = Pool()
    now_s = 0.0
    # Ordered so that no domain is complete before the last hosts appear.
    for host_id in sorted(all_hosts(), key=lambda name: name[-1]):
        now_s += 0.05
        pool.announce(host_id, now_s)
        pool.plan(now_s)
    for host_id in all_hosts():
        pool.announce(host_id, now_s)
    pool.plan(now_s + 2.0)
    counts = pool.counts()
    assert_free_hosts_are_spares_of_large_groups(pool)
    assert lowest_capacity(counts) >= 0.85 * lowest_capacity(expected)


def assert_free_hosts_are_spares_of_large_groups(pool):
    """Assert that hosts are free only beside large groups, too few for another one."""
    owned = set(pool.state.owners)
    for domain in range(6):
        hosts = [name for name in all_hosts() if name.startswith(f"d{domain}-")]
        free = [name for name in hosts if name not in owned]
        services = {
            group.service
            for group in pool.state.groups.values()
            if group.fabric_domain == f"gpu.d{domain}"
        }
        assert len(free) < 4
        assert not free or services == {BIG}


def test_capacity_follows_the_shares_and_free_hosts_are_spares_of_large_groups():
    pool = make_serving_pool()
    counts = pool.counts()
    assert_free_hosts_are_spares_of_large_groups(pool)
    # Both have half of the work; the duration of answers is not known yet.
    assert abs(4 * counts[BIG] - 2 * counts[SMALL]) <= HOSTS_PER_DOMAIN


def test_a_domain_beyond_the_limits_of_all_models_is_used():
    services = {name: make_text().services[name] for name in (BIG, SMALL)}
    groups = [
        Group(service=service, fabric_domain=domain)
        for service, domains in ((BIG, "abc"), (SMALL, "ade"))
        for domain in domains
    ]
    placement = PoolPlacement.collect(services, groups, 6, PoolDemand())
    assert placement.may_use(BIG, "f", {BIG: 1.0, SMALL: 1.0})
    # While one of them is below its limit of domains, the other can't use this one.
    placement = PoolPlacement.collect(services, groups[:-1], 6, PoolDemand())
    assert not placement.may_use(BIG, "f", {BIG: 1.0, SMALL: 1.0})
    assert placement.may_use(SMALL, "f", {BIG: 1.0, SMALL: 1.0})


def test_a_group_that_is_being_replaced_still_counts():
    pool = make_serving_pool()
    services = dict(make_text().services)
    before = count_prospects(
        services,
        pool.state.groups.values(),
        Fleet.collect(pool.state, pool.table, 2.0),
    )
    broken = next(g for g in pool.state.groups.values() if g.service == BIG)
    spare = [name for name in all_hosts() if name not in pool.state.owners]
    for host_id in all_hosts():
        pool.announce(host_id, 1.9)
    pool.plan_idle_rounds(2.8, 3.8)
    for host_id in all_hosts():
        if host_id != broken.members[1].host_id:
            pool.announce(host_id, 4.0, staged=[BIG] if host_id in spare else [])
    pool.plan(5.0)
    for member in broken.members[2:]:
        pool.announce(member.host_id, 5.0, staged=[BIG])
    pool.announce(broken.members[0].host_id, 5.0, staged=[BIG])
    after = count_prospects(
        services,
        pool.state.groups.values(),
        Fleet.collect(pool.state, pool.table, 5.0),
    )
    assert pool.counts()[BIG] == before[BIG] - 1
    assert after[BIG] == before[BIG]


def test_a_silent_member_of_a_stalled_group_is_detected_sooner():
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    lost = group.members[2].host_id
    for host_id in all_hosts():
        pool.announce(host_id, 1.5)
    for host_id in all_hosts():
        if host_id != lost:
            pool.announce(host_id, 2.7)
    pool.plan_idle_rounds(3.0)
    assert pool.plan(3.6) == []
    pool.table.set_stalled_groups(frozenset({group.group_id}))
    assert pool.plan(3.4) == []
    assert pool.table.next_deadline(3.4) < 3.5
    (command,) = [c for c in pool.plan(3.6) if isinstance(c, RemoveGroup)]
    assert command.group_id == group.group_id


def test_small_groups_have_domains_of_their_own():
    pool = make_serving_pool()
    domains = {
        group.fabric_domain
        for group in pool.state.groups.values()
        if group.service == SMALL
    }
    assert len(domains) == 3


def test_groups_stay_in_one_domain_and_no_host_is_in_two():
    pool = make_serving_pool()
    seen = set()
    for group in pool.state.groups.values():
        hosts = {member.host_id for member in group.members}
        assert {f"gpu.{name.partition('-')[0]}" for name in hosts} == {
            group.fabric_domain
        }
        assert not hosts & seen
        seen |= hosts


def test_a_lost_member_dissolves_its_group_and_staged_hosts_form_the_next():
    pool = make_serving_pool()
    pool.planner.pool_demand.observe({BIG: 4.0, SMALL: 10.0}, 2.0)
    domain = next(
        domain
        for domain in (f"gpu.d{number}" for number in range(6))
        if sum(
            group.service == BIG and group.fabric_domain == domain
            for group in pool.state.groups.values()
        )
        >= 2
    )
    broken = [
        group
        for group in pool.state.groups.values()
        if group.service == BIG and group.fabric_domain == domain
    ][:2]
    lost = {group.members[1].host_id for group in broken}
    for host_id in all_hosts():
        pool.announce(host_id, 1.9)
    pool.plan_idle_rounds(2.8, 3.8)
    for host_id in all_hosts():
        if host_id not in lost:
            pool.announce(host_id, 4.0, staged=[BIG])
    commands = pool.plan(5.0)
    removed = {c.group_id for c in commands if isinstance(c, RemoveGroup)}
    assert removed == {group.group_id for group in broken}
    # The remaining hosts are unusable until their release is complete.
    assert not any(isinstance(c, PutGroup) for c in commands)
    for release in list(pool.state.releases.values()):
        pool.holdings.pop(release.host_id, None)
        del pool.state.releases[release.host_id]
    for host_id in all_hosts():
        if host_id not in lost:
            pool.announce(host_id, 5.5, staged=[BIG])
    formed = [c.group for c in pool.plan(5.6) if isinstance(c, PutGroup)]
    assert [g.service for g in formed if g.fabric_domain == domain][0] == BIG


def test_a_leaving_member_drains_its_group_first():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    leaving = group.members[1].host_id
    for host_id in all_hosts():
        pool.announce(host_id, 2.5, leaving=host_id == leaving)
    (command,) = pool.plan(2.6)
    assert isinstance(command, PutGroup)
    assert command.group.phase == "draining"


def test_a_group_that_sends_events_stays_although_its_members_are_silent():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    cut = {member.host_id for member in group.members}
    for host_id in all_hosts():
        pool.announce(host_id, 1.5)
    for host_id in all_hosts():
        if host_id not in cut:
            pool.announce(host_id, 4.0)
    pool.table.mark_responsive([group.group_id], 6.0)
    assert pool.plan(5.0) == []
    assert not find_serving_fault(group, pool.table, 5.0)
    for host_id in all_hosts():
        if host_id not in cut:
            pool.announce(host_id, 6.0)
    assert find_serving_fault(group, pool.table, 6.5)
    # Until one of them is heard, nothing tells a loss from a pause of all.
    assert pool.plan(6.5) == []
    pool.announce(group.members[0].host_id, 7.0)
    assert pool.plan(7.0) == []
    assert find_serving_fault(group, pool.table, 8.4)
    assert pool.plan(8.4) == []
    (command,) = [c for c in pool.plan(8.6) if isinstance(c, RemoveGroup)]
    assert command.group_id == group.group_id


def test_groups_survive_a_restart_of_all_controls():
    pool = make_serving_pool()
    counts = pool.counts()
    # A new leader has no announcements yet.
    pool.table = MembershipTable(3.0)
    pool.table.extend_detection_timeout(13.0)
    hosts = list(all_hosts())
    for host_id in hosts[: len(hosts) // 3]:
        pool.announce(host_id, 10.2)
    assert not [c for c in pool.plan(11.1) if isinstance(c, RemoveGroup)]
    for host_id in hosts[:-1]:
        pool.announce(host_id, 12.5)
    assert not [c for c in pool.plan(13.0) if isinstance(c, RemoveGroup)]
    assert pool.counts() == counts
    # A host that stays silent all that time is lost.
    for host_id in hosts[:-1]:
        pool.announce(host_id, 14.5)
    removed = [c for c in pool.plan(14.6) if isinstance(c, RemoveGroup)]
    assert len(removed) <= 1
    assert {m.host_id for g in pool.state.groups.values() for m in g.members} <= set(
        hosts[:-1]
    )


def test_events_do_not_hide_a_restarted_member():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    group.members[1].boot_id = "an earlier one"
    pool.table.mark_responsive([group.group_id], 6.0)
    assert find_serving_fault(group, pool.table, 2.5)


def test_a_model_with_far_lower_pressure_gives_up_one_group_at_a_time():
    pool = make_serving_pool()
    for host_id in all_hosts():
        pool.announce(host_id, 2.2)
    # Each group runs one request at a time here, so demand per group is the pressure.
    pool.planner.pool_demand.observe({BIG: 1.0, SMALL: 20.0}, 2.2)
    # A group lost just now would be replaced, so the difference must persist.
    assert not [c for c in pool.plan(2.3) if isinstance(c, PutGroup)]
    drained = [c.group for c in pool.plan(4.6) if isinstance(c, PutGroup)]
    assert [(g.service, g.phase) for g in drained] == [(BIG, "draining")]
    assert not [c for c in pool.plan(4.8) if isinstance(c, PutGroup)]


def test_a_model_gives_up_no_group_while_its_other_groups_are_cold():
    # Guards against a plan that counts on cold groups to take over the load.
    pool = make_serving_pool()
    for service in pool.text.services.values():
        service.cold_start_ms = 60_000
    heads = {
        group.members[0].host_id
        for group in pool.state.groups.values()
        if group.service == BIG
    }
    for host_id in all_hosts():
        cold_remaining_ms = 60_000 if host_id in heads else 0
        pool.announce(host_id, 2.2, cold_remaining_ms=cold_remaining_ms)
    pool.planner.pool_demand.observe({BIG: 1.0, SMALL: 20.0}, 2.2)
    assert not [c for c in pool.plan(2.3) if isinstance(c, PutGroup)]
    assert not [c for c in pool.plan(4.6) if isinstance(c, PutGroup)]


def test_no_group_is_given_up_while_other_hosts_wait_for_loads():
    pool = make_serving_pool()
    for host_id in all_hosts():
        pool.announce(host_id, 2.2)
    pool.planner.pool_demand.observe({BIG: 1.0, SMALL: 20.0}, 2.2)
    for now_s in (2.3, 4.6, 4.8):
        assert pool.plan(now_s, may_load=False) == []
    # The delay counts from the moment at which loads may start again.
    assert pool.plan(4.9) == []


def test_models_with_similar_pressure_keep_their_groups():
    pool = make_serving_pool()
    for host_id in all_hosts():
        pool.announce(host_id, 2.2)
    counts = pool.counts()
    pool.planner.pool_demand.observe(
        {BIG: counts[BIG] * 1.0, SMALL: counts[SMALL] * 1.3}, 2.2
    )
    assert pool.plan(2.3) == []


def test_a_model_keeps_its_last_groups():
    pool = make_serving_pool()
    pool.planner.pool_demand.observe({BIG: 0.0, SMALL: 50.0}, 2.0)
    now_s = 2.2
    for _ in range(40):
        for host_id in all_hosts():
            pool.announce(host_id, now_s)
        pool.plan(now_s)
        now_s += 6.0
        for group_id, group in list(pool.state.groups.items()):
            if group.phase == "draining":
                del pool.state.groups[group_id]
    assert pool.counts()[BIG] == 2
