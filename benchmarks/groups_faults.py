"""Seeded fault scripts, and an upper bound on the groups that can serve."""

import random

import attrs

from benchmarks.groups_driver import GroupsWorld
from benchmarks.groups_fakes import FakeHost, HostStatus

MEAN_BETWEEN_FAULTS_S = 120.0
SECOND_OUTAGE_SHARE = 0.25
SECOND_OUTAGE_MIN_DELAY_S = 5.0
SECOND_OUTAGE_MAX_DELAY_S = 60.0
# Kinds of outage: share, median duration in seconds, whether memory is lost.
OUTAGES = ((0.5, 8.0, False), (0.3, 75.0, True), (0.2, 2_400.0, True))
OUTAGE_SIGMA = 0.8
DOMAIN_OUTAGE_SHARE = 0.03
DOMAIN_OUTAGE_MEDIAN_S = 120.0


@attrs.frozen
class Fault:
    """One outage of one or more hosts.

    Attributes
    ----------
    starts_at_s, ends_at_s : float
        Simulated time in seconds.
    host_ids : tuple of str
        The affected hosts.
    loses_memory : bool
        Whether the hosts restart, instead of resuming after a pause.
    """

    starts_at_s: float
    ends_at_s: float
    host_ids: tuple[str, ...]
    loses_memory: bool


def make_script(
    hosts: dict[str, FakeHost], seed: int, start_s: float, end_s: float
) -> list[Fault]:
    """Generate a fault script.

    Parameters
    ----------
    hosts : dict of str to FakeHost
        All hosts.
    seed : int
        Seed of the script.
    start_s, end_s : float
        Interval of simulated time in seconds in which faults start.

    Returns
    -------
    list of Fault
        Faults in order of start time.
    """
    rng = random.Random(seed)
    names = sorted(hosts)
    faults = []
    at_s = start_s + rng.expovariate(1 / MEAN_BETWEEN_FAULTS_S)
    while at_s < end_s:
        name = rng.choice(names)
        domain = hosts[name].fabric_domain
        peers = [key for key in names if hosts[key].fabric_domain == domain]
        if rng.random() < DOMAIN_OUTAGE_SHARE:
            duration_s = DOMAIN_OUTAGE_MEDIAN_S * rng.lognormvariate(0, 1.0)
            faults.append(Fault(at_s, at_s + duration_s, tuple(peers), False))
        else:
            faults.append(_make_outage(rng, at_s, name))
            if rng.random() < SECOND_OUTAGE_SHARE:
                delay_s = rng.uniform(
                    SECOND_OUTAGE_MIN_DELAY_S, SECOND_OUTAGE_MAX_DELAY_S
                )
                second = rng.choice(peers)
                faults.append(_make_outage(rng, at_s + delay_s, second))
        at_s += rng.expovariate(1 / MEAN_BETWEEN_FAULTS_S)
    return sorted(faults, key=lambda fault: (fault.starts_at_s, fault.host_ids))


def _make_outage(rng: random.Random, at_s: float, name: str) -> Fault:
    shares = [share for share, _, _ in OUTAGES]
    _, median_s, loses_memory = rng.choices(OUTAGES, weights=shares)[0]
    duration_s = median_s * rng.lognormvariate(0, OUTAGE_SIGMA)
    return Fault(at_s, at_s + duration_s, (name,), loses_memory)


@attrs.define
class FaultPlayer:
    """Applies a fault script to a world; a host that is down gets no second fault.

    Parameters
    ----------
    world : GroupsWorld
        The simulated deployment.
    script : list of Fault
        The faults.
    """

    world: GroupsWorld
    script: list[Fault]
    returns_at_s: dict[str, float] = attrs.field(factory=dict)
    _loses_memory: dict[str, bool] = attrs.field(factory=dict)
    _next_fault: int = 0

    def apply_due_faults(self) -> None:
        """Start and end the faults that are due."""
        now_s = self.world.now_s
        for host_id, at_s in list(self.returns_at_s.items()):
            if at_s <= now_s:
                del self.returns_at_s[host_id]
                self._end_outage(self.world.hosts[host_id])
        while self._next_fault < len(self.script):
            fault = self.script[self._next_fault]
            if fault.starts_at_s > now_s:
                return
            self._next_fault += 1
            for host_id in fault.host_ids:
                self._start_outage(host_id, fault)

    def _start_outage(self, host_id: str, fault: Fault) -> None:
        if host_id in self.returns_at_s:
            return
        lost = HostStatus.DEAD if fault.loses_memory else HostStatus.PAUSED
        self.world.hosts[host_id].status = lost
        self.returns_at_s[host_id] = fault.ends_at_s
        self._loses_memory[host_id] = fault.loses_memory

    def _end_outage(self, host: FakeHost) -> None:
        if self._loses_memory[host.host_id]:
            host.restart()
        else:
            host.wake(self.world.load_s)


def best_group_count(hosts: dict[str, FakeHost], size: int, wanted_groups: int) -> int:
    """Return how many groups could serve if all weights were already loaded.

    Parameters
    ----------
    hosts : dict of str to FakeHost
        All hosts.
    size : int
        Hosts in a group.
    wanted_groups : int
        Configured number of groups.

    Returns
    -------
    int
        Groups that the running hosts of each domain can form, at most `wanted_groups`.
    """
    running: dict[str, int] = {}
    for host in hosts.values():
        if host.is_running:
            running[host.fabric_domain] = running.get(host.fabric_domain, 0) + 1
    return min(wanted_groups, sum(count // size for count in running.values()))
