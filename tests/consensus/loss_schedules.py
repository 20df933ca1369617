"""Losses of machines, of which only a tolerated number overlaps."""

import random

import attrs

from tests.consensus.driver import Cluster

CONTROLS = 5
TOLERATED_LOSSES = 2
# Seconds after its return for which a machine still counts as lost.
CATCH_UP_S = 4.0
# Seconds until a killed process runs again, and a machine that lost power.
RESTART_S = 0.5
POWER_LOSS_S = 1.0
MAX_CUT_S = 5.5
MAX_FULL_DISK_S = 4.5
STEP_S = 0.1
LOSS_PROBABILITY = 0.2


def make_cluster(seed, **config):
    """Return a cluster with the timeouts of a deployment with five controls."""
    return Cluster(
        CONTROLS,
        seed,
        replaces_members=True,
        voter_lost_ms=2_500,
        maintenance_interval_s=0.25,
        election_timeout_s=0.5,
        heartbeat_interval_s=0.125,
        **config,
    )


@attrs.define
class LossSchedule:
    """Loses and replaces machines of a cluster within the tolerated number.

    Parameters
    ----------
    cluster : Cluster
        Cluster to disrupt.
    seed : int
        Seed of the schedule.
    """

    cluster: Cluster
    seed: int
    lost_until_s: dict[str, float] = attrs.field(factory=dict)
    actions: list[str] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)

    def run(self, duration_s):
        """Lose machines at random moments."""
        end_s = self.cluster.now_s + duration_s
        while self.cluster.now_s < end_s:
            if self._rng.random() < LOSS_PROBABILITY and self.sound_controls(1):
                self._lose_machine()
            self.cluster.run(STEP_S)

    def sound_controls(self, losses):
        """Return the machines that may be lost now, if so many may."""
        now_s = self.cluster.now_s
        lost = [c for c, until_s in self.lost_until_s.items() if until_s > now_s]
        if len(lost) + losses > TOLERATED_LOSSES:
            return []
        running = [c for c, node in self.cluster.nodes.items() if node.raft]
        return [control for control in running if control not in lost]

    def _lose_machine(self):
        sound = self.sound_controls(1)
        leaders = [control for control in self.cluster.leaders() if control in sound]
        control = self._rng.choice(leaders * 2 + sound)
        action = self._rng.choice(self._list_actions(control))
        self.actions.append(f"{self.cluster.now_s:.1f} {action.__name__} {control}")
        action(control)

    def _list_actions(self, control):
        return [
            self._kill,
            self._wipe,
            self._replace,
            self._replace_by_plan,
            self._freeze,
            self._isolate,
            self._fill_disk,
        ]

    def _kill(self, control):
        self._lose_for(control, RESTART_S)
        self.cluster.crash(control)
        self.cluster.schedule(RESTART_S, self.cluster.start, control)

    def _wipe(self, control):
        self._lose_for(control, POWER_LOSS_S)
        self.cluster.crash(control)
        self.cluster.schedule(POWER_LOSS_S, self.cluster.start_new, control)

    def _replace(self, control):
        """Remove a machine for good; another one with an empty disk follows."""
        self._lose_for(control, POWER_LOSS_S)
        self.cluster.crash(control)
        successor = self._add_successor(control)
        self.cluster.schedule(POWER_LOSS_S, self.cluster.start_new, successor)

    def _replace_by_plan(self, control):
        """Start the successor of a machine before it is removed."""
        self.lost_until_s[control] = self.cluster.now_s + CATCH_UP_S
        successor = self._add_successor(control)
        self.cluster.start_new(successor)
        self.lost_until_s[successor] = self.lost_until_s[control]
        self.cluster.schedule(POWER_LOSS_S, self.cluster.crash, control)

    def _add_successor(self, control):
        successor = f"c{len(self.cluster.controls)}"
        self.cluster.controls.append(successor)
        return successor

    def _isolate(self, control):
        duration_s = self._rng.uniform(POWER_LOSS_S, MAX_CUT_S)
        self._lose_for(control, duration_s)
        self.cluster.isolate(control)
        self.cluster.schedule(duration_s, self.cluster.reconnect, control)

    def _fill_disk(self, control):
        duration_s = self._rng.uniform(POWER_LOSS_S, MAX_FULL_DISK_S)
        self._lose_for(control, duration_s)
        self.cluster.hung_disks.add(control)
        self.cluster.schedule(duration_s, self.cluster.hung_disks.discard, control)

    def _freeze(self, control):
        self._lose_for(control, POWER_LOSS_S)
        self.cluster.freeze(control)
        self.cluster.schedule(POWER_LOSS_S, self.cluster.resume, control)

    def _lose_for(self, control, duration_s):
        self.lost_until_s[control] = self.cluster.now_s + duration_s + CATCH_UP_S

    def lose_tolerated_disks(self):
        """Wipe as many disks at one moment as may be lost, as soon as it is allowed."""
        self.cluster.run_until(lambda: self.sound_controls(TOLERATED_LOSSES))
        sound = self.sound_controls(TOLERATED_LOSSES)
        for control in self._rng.sample(sound, TOLERATED_LOSSES):
            self._wipe(control)
