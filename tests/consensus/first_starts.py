"""Random first starts of five controls, of which two may lose their disks."""

import random

import attrs

from chestnutvale.consensus.members import recoverable_copies
from tests.consensus.driver import Cluster

CONTROLS = 5
SEEDS = 3
TOLERATED_LOSSES = 2
DISTURBED_S = 3.0
RETURN_S = 1.0
# Time after the last return by which a cluster must serve again.
RECOVERY_S = 12.0
STEP_S = 0.05


@attrs.define
class FirstStart:
    """Starts, kills and wipes controls at random moments of the first seconds.

    Parameters
    ----------
    seed : int
        Seed of the history.
    """

    seed: int
    cluster: Cluster = attrs.field(init=False)
    actions: list[str] = attrs.field(factory=list)
    # Values whose writes were acknowledged, in order.
    acknowledged: list[int] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)
    _running: set[str] = attrs.field(factory=set)
    wiped: int = attrs.field(default=0, init=False)
    _writes: dict[int, object] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)
        self.cluster = Cluster(
            CONTROLS,
            self.seed,
            is_bootstrapped=False,
            replaces_members=True,
            seeds=SEEDS,
            wanted_voters=CONTROLS,
            voter_lost_ms=2_500,
            maintenance_interval_s=0.25,
            election_timeout_s=0.5,
            heartbeat_interval_s=0.125,
        )
        self._running = set(self.cluster.controls)

    def run(self):
        """Disturb the first seconds, and the moment of the first acknowledgement."""
        self._start_late()
        for _ in range(self._rng.randrange(4)):
            moment_s = self._rng.uniform(0.05, DISTURBED_S)
            self.cluster.schedule(moment_s, self._disturb)
        loses_disks_at_acknowledgement = self._rng.random() < 0.5
        while self.cluster.now_s < DISTURBED_S + 2 * RETURN_S:
            self._step()
            if self.acknowledged and loses_disks_at_acknowledgement:
                loses_disks_at_acknowledgement = False
                while self.wiped < TOLERATED_LOSSES:
                    self._wipe(self._rng.choice(sorted(self._running)))
        end_s = self.cluster.now_s + RECOVERY_S
        recovered_at = len(self.acknowledged)
        while self.cluster.now_s < end_s and not self._serves_after(recovered_at):
            self._step()

    def read_value(self):
        """Return the value that the leader holds; None without a leader."""
        leader = self._find_leader()
        return self.cluster.nodes[leader].state_machine.value if leader else None

    def count_applied(self):
        """Return how many writes the leader has applied since the first one."""
        return self.cluster.nodes[self._find_leader()].state_machine.applied

    def _serves_after(self, count):
        return len(self.acknowledged) > count and self._find_leader() is not None

    def _step(self):
        self.cluster.run(STEP_S)
        self._acknowledge()
        leader = self._find_leader()
        if leader is not None and not self._writes:
            value = len(self.acknowledged) + 1
            operation = self.cluster.start_operation(leader, "write", value)
            self._writes[value] = (operation, leader, self.cluster.now_s)

    def _acknowledge(self):
        for value, (operation, leader, sent_s) in list(self._writes.items()):
            node = self.cluster.nodes[leader]
            if operation.returned_s <= self.cluster.now_s and node.raft is not None:
                log = node.raft.log
                is_committed = log.members_index <= node.raft.commit_index
                copies = recoverable_copies(log.members, CONTROLS)
                if is_committed and copies > TOLERATED_LOSSES:
                    self.acknowledged.append(value)
                    del self._writes[value]
                    continue
            if self.cluster.now_s - sent_s > 1.0:
                del self._writes[value]

    def _find_leader(self):
        leaders = [
            control
            for control in self.cluster.leaders()
            if self.cluster.raft(control).has_lease(self.cluster.now_s)
        ]
        return leaders[0] if leaders else None

    def _start_late(self):
        for control in self.cluster.controls:
            if self._rng.random() < 0.3:
                self.cluster.crash(control)
                delay_s = self._rng.uniform(0.05, DISTURBED_S)
                self._running.discard(control)
                self.cluster.schedule(delay_s, self._return, control, False)

    def _disturb(self):
        if not self._running:
            return
        control = self._rng.choice(sorted(self._running))
        if self.wiped < TOLERATED_LOSSES and self._rng.random() < 0.6:
            self._wipe(control)
            return
        self._log("kill", control)
        self._running.discard(control)
        self.cluster.crash(control)
        delay_s = self._rng.uniform(0.2, 2 * RETURN_S)
        self.cluster.schedule(delay_s, self._return, control, False)

    def _wipe(self, control):
        self._log("wipe", control)
        self.wiped += 1
        self._running.discard(control)
        self.cluster.crash(control)
        self.cluster.schedule(RETURN_S, self._return, control, True)

    def _return(self, control, is_wiped):
        self._log("return", control)
        self._running.add(control)
        if is_wiped:
            self.cluster.start_new(control, is_spare=True)
        else:
            self.cluster.start(control)

    def _log(self, action, control):
        self.actions.append(f"{self.cluster.now_s:.2f} {action} {control}")
