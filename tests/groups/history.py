"""Runs fault scripts on simulated groups and checks invariants at every step."""

import random

from benchmarks.groups_driver import GroupsWorld, make_hosts
from benchmarks.groups_fakes import FakeWeightStore, HostStatus
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.const import detection_bound_s
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import DrainHost

MAX_DELAY_S = 0.4


def make_text():
    return Text(
        number=1,
        services={
            "llm": Service(
                kind="model", groups=2, hosts_per_group=4, model="m", version="1"
            ),
            "aux": Service(
                kind="model",
                groups=1,
                hosts_per_group=2,
                model="n",
                version="1",
                depends_on=["llm"],
            ),
        },
    )


class History:
    """Simulates 12 hosts in two fabric domains and checks each step."""

    def __init__(self, seed=1, fencing=True, lossy=True, **options):
        self.world = GroupsWorld(
            random=random.Random(seed),
            text=options.pop("text", make_text()),
            hosts=make_hosts(2, 6, fencing=fencing),
            policy=GroupsPolicy(drain_timeout_s=10.0),
            store=FakeWeightStore(8),
            load_s=4.0,
            control_count=3,
            **options,
        )
        if lossy:
            self.world.network.loss = 0.05
            self.world.network.duplication = 0.1
            self.world.network.max_delay_s = MAX_DELAY_S
        self.frozen = []
        self.announced_s = {}
        self.served = set()
        self.longest_silence_s = 0.0

    def run(self, seconds):
        self.world.run_until(self.world.now_s + seconds, self.check)

    def settle(self):
        self.run(45.0)

    def hosts(self):
        return list(self.world.hosts.values())

    def kill(self, index):
        self.hosts()[index].status = HostStatus.DEAD

    def pause(self, index):
        host = self.hosts()[index]
        if host.is_running:
            host.status = HostStatus.PAUSED

    def wake(self, index):
        host = self.hosts()[index]
        if host.status is HostStatus.PAUSED:
            host.wake(self.world.load_s)

    def restart(self, index):
        self.hosts()[index].restart()

    def pause_domain(self, index):
        for host in self.hosts():
            if host.fabric_domain == f"f{index % 2:03d}" and host.is_running:
                host.status = HostStatus.PAUSED

    def wake_domain(self, index):
        for host in self.hosts():
            if host.fabric_domain == f"f{index % 2:03d}":
                self.wake(self.hosts().index(host))

    def freeze_leader(self, index):
        self.resume_leaders(index)
        leader = self.world.leader
        leader.is_running = False
        self.frozen.append(leader)
        self.run(self.world.policy.leader_lease_s + 1.0)
        names = sorted(set(self.world.controls) - {leader.name})
        self.world.elect(names[index % len(names)])

    def resume_leaders(self, index):
        for control in self.frozen:
            control.is_running = True
        self.frozen.clear()

    def lose_quorum(self, index):
        self.world.has_quorum = False

    def regain_quorum(self, index):
        self.world.has_quorum = True

    def partition_host(self, index):
        host = self.hosts()[index]
        for name in self.world.entries:
            self.world.network.cuts.add((host.host_id, name))

    def block_orders(self, index):
        host = self.hosts()[index]
        for name in self.world.controls:
            self.world.network.cuts.add((name, host.host_id))

    def restore_network(self, index):
        self.world.network.cuts.clear()
        for entry in self.world.entries.values():
            entry.is_running = True

    def stop_entry(self, index):
        list(self.world.entries.values())[index % 3].is_running = False

    def drain(self, index):
        command = DrainHost(host_id=self.hosts()[index].host_id, draining=True)
        self.world.submit("drain_host", command)

    def undrain(self, index):
        for host in self.hosts():
            self.world.submit("drain_host", DrainHost(host_id=host.host_id))

    def leave(self, index):
        self.hosts()[index].leaving = True

    def check(self):
        """Check the invariants for every running entry, including lagging ones."""
        world = self.world
        for host in world.hosts.values():
            self.announced_s[host.boot_id] = host.announced_at_s
        owner = {}
        for entry in world.entries.values():
            if not entry.is_running:
                continue
            for view in world.serving_at(entry):
                group = view.group
                self.served.add(group.group_id)
                for member in group.members:
                    known = owner.setdefault(member.host_id, group.group_id)
                    assert known == group.group_id, "a host serves in two groups"
                    self.check_member(member)
        for host in world.hosts.values():
            fences = host.acted_fences
            assert fences == sorted(fences), "a host acted on an older order"

    def check_member(self, member):
        silence_s = self.world.now_s - self.announced_s[member.boot_id]
        self.longest_silence_s = max(self.longest_silence_s, silence_s)
        policy = self.world.policy
        bound_s = detection_bound_s(policy.detection_timeout_s, policy.serving_lease_s)
        # Allow for a report in transit and one step of the driver.
        bound_s += MAX_DELAY_S + self.world.tick_s
        assert silence_s <= bound_s, "a group serves without a member"

    def serving_count(self, name):
        entry = self.world.entries["e0"]
        return len(entry.view.serving_groups(name, self.world.now_s))


ACTIONS = [
    "kill",
    "pause",
    "wake",
    "restart",
    "pause_domain",
    "wake_domain",
    "freeze_leader",
    "resume_leaders",
    "lose_quorum",
    "regain_quorum",
    "partition_host",
    "block_orders",
    "restore_network",
    "stop_entry",
    "drain",
    "undrain",
    "leave",
]
