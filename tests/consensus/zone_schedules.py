"""Losses of single machines and of zones, and a final fault that spares no machine."""

import attrs

from tests.consensus.loss_schedules import (
    MAX_CUT_S,
    MAX_FULL_DISK_S,
    POWER_LOSS_S,
    TOLERATED_LOSSES,
    LossSchedule,
)

ZONES = {"c0": "a", "c1": "a", "c2": "b", "c3": "b", "c4": "c"}
ZONE_POWER_LOSS_S = 1.5
# A disk takes so many times as long as it should; faster than an election timeout.
MAX_DISK_FACTOR = 100.0


@attrs.define
class ZoneSchedule(LossSchedule):
    """Loses zones as well, which may have more machines than may be lost singly."""

    zones: dict[str, str] = attrs.field(factory=lambda: dict(ZONES))

    def _list_actions(self, control):
        actions = [*super()._list_actions(control), self._slow_disk]
        zone = self.zones[control]
        if all(self.zones[lost] == zone for lost in self._list_lost()):
            actions += [self._power_off_zone, self._cut_zone]
        return actions

    def _list_lost(self):
        now_s = self.cluster.now_s
        return [c for c, until_s in self.lost_until_s.items() if until_s > now_s]

    def _add_successor(self, control):
        successor = super()._add_successor(control)
        self.zones[successor] = self.zones[control]
        return successor

    def _list_zone(self, control):
        zone = self.zones[control]
        return [c for c in self.cluster.nodes if self.zones[c] == zone]

    def _slow_disk(self, control):
        duration_s = self._rng.uniform(POWER_LOSS_S, MAX_FULL_DISK_S)
        self._lose_for(control, duration_s)
        self.cluster.slow_disks[control] = self._rng.uniform(1.0, MAX_DISK_FACTOR)
        self.cluster.schedule(duration_s, self.cluster.slow_disks.pop, control, None)

    def _power_off_zone(self, control):
        for member in self._list_zone(control):
            if self.cluster.nodes[member].raft is None:
                continue
            self._lose_for(member, ZONE_POWER_LOSS_S)
            self.cluster.crash(member)
            delay_s = ZONE_POWER_LOSS_S * self._rng.random()
            self.cluster.schedule(delay_s, self.cluster.start, member)

    def _cut_zone(self, control):
        duration_s = self._rng.uniform(POWER_LOSS_S, MAX_CUT_S)
        inside = self._list_zone(control)
        for member in inside:
            self._lose_for(member, duration_s)
        links = {
            link
            for member in inside
            for other in self.cluster.nodes.keys() - set(inside)
            for link in ((member, other), (other, member))
        }
        self.cluster.blocked_links |= links
        self.cluster.schedule(duration_s, self._unblock, links)

    def _unblock(self, links):
        self.cluster.blocked_links -= links

    def lose_disks_and_power(self):
        """Wipe as many disks as may be lost while all other machines lose power."""
        disks = self._rng.sample(self.sound_controls(TOLERATED_LOSSES), 2)
        for control, node in list(self.cluster.nodes.items()):
            if node.raft is None:
                continue
            self.cluster.crash(control)
            is_lost = control in disks
            start = self.cluster.start_new if is_lost else self.cluster.start
            self.cluster.schedule(POWER_LOSS_S * self._rng.random(), start, control)
        self.actions.append(f"{self.cluster.now_s:.1f} lose power, and disks {disks}")
