"""Weighs the ways to repair a broken group."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from chestnutvale.groups.const import (
    MEMBER_CHANGE_S,
    REPAIR_MERGE,
    REPAIR_MOVE,
    REPAIR_SPARE,
)
from chestnutvale.groups.failure_detector import BrokenGroup, LossCause
from chestnutvale.groups.outage import DOMAIN_OUTAGE, MEMBER_OUTAGE, OutageModel
from chestnutvale.groups.settings import GroupsPolicy


@attrs.frozen
class RepairOption:
    """One way to repair a broken group now.

    Attributes
    ----------
    action : str
        One of the ``REPAIR_*`` constants but for waiting.
    domain : str
        Fabric domain in which the group would serve.
    host_ids : tuple of str
        Hosts to take, in the order of the lost members; empty for a move.
    donor : BrokenGroup or None
        Group that would be given up.
    """

    action: str
    domain: str
    host_ids: tuple[str, ...] = ()
    donor: BrokenGroup | None = None


class RepairChooser(Protocol):
    """Chooses how to repair a group."""

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Choose an option; None waits for the members."""


@attrs.define
class CostChooser:
    """Acts once waiting costs more than acting too early would.

    While a group is broken each second costs the weight of group downtime and, for
    each healthy member, that of a stranded host. Acting costs the time until the
    group serves again, plus what it takes from others; that cost was in vain if the
    member returns at once. So an option is taken when the cost rate that it relieves
    exceeds the return rate of the member times the cost of acting.

    Parameters
    ----------
    policy : GroupsPolicy
        Weights and times.
    member_outage, domain_outage : OutageModel
        How outages of single hosts and of whole domains last.
    """

    policy: GroupsPolicy
    member_outage: OutageModel = MEMBER_OUTAGE
    domain_outage: OutageModel = DOMAIN_OUTAGE

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Choose the cheapest option that is worth acting on now.

        Parameters
        ----------
        broken : BrokenGroup
            The group.
        options : sequence of RepairOption
            What could be done.

        Returns
        -------
        RepairOption or None
            None waits for the members.
        """
        worthwhile = [
            option for option in options if self._is_worthwhile(broken, option)
        ]
        return min(
            worthwhile,
            key=lambda option: (self.repair_cost(broken, option), option.domain),
            default=None,
        )

    def repair_cost(self, broken: BrokenGroup, option: RepairOption) -> float:
        """Return what acting costs until the group serves again.

        Parameters
        ----------
        broken : BrokenGroup
            The group.
        option : RepairOption
            The way to act.

        Returns
        -------
        float
            Cost in weighted seconds.
        """
        load_s = self._load_s(len(broken.lost))
        if option.action == REPAIR_SPARE:
            return self._cost_rate(broken) * (load_s + MEMBER_CHANGE_S)
        if option.action == REPAIR_MERGE:
            own = self._cost_rate(broken) * (load_s + 2 * MEMBER_CHANGE_S)
            return own + self._donor_cost(broken, option)
        size = len(broken.group.members)
        rate = self.policy.group_downtime_weight
        rate += self.policy.stranded_hosts_weight * size
        return rate * (self._load_s(size) + MEMBER_CHANGE_S)

    def return_rate(self, broken: BrokenGroup) -> float:
        """Return how likely the group is to be whole again by itself.

        Parameters
        ----------
        broken : BrokenGroup
            The group.

        Returns
        -------
        float
            Returns per second of the member that is least likely to return.
        """
        model = self.domain_outage if broken.is_domain_outage else self.member_outage
        return min(
            model.return_rate(lost.away_s) if lost.cause is LossCause.MISSING else 0.0
            for lost in broken.lost
        )

    def _is_worthwhile(self, broken: BrokenGroup, option: RepairOption) -> bool:
        away_s = min(lost.away_s for lost in broken.lost)
        waited_s = away_s - self.policy.detection_timeout_s
        return_rate = self.return_rate(broken)
        if return_rate > 0 and waited_s < self.policy.member_wait_s:
            return False
        if option.action == REPAIR_SPARE:
            # A member that returns before its spare is ready is taken back, so that
            # only one change of members was in vain.
            wasted_cost = self._cost_rate(broken) * MEMBER_CHANGE_S
            return self._cost_rate(broken) > return_rate * wasted_cost
        if option.action == REPAIR_MOVE:
            relieved = self.policy.group_downtime_weight
            return relieved > return_rate * self.repair_cost(broken, option)
        donor_rate = self.return_rate(option.donor)
        wasted_cost = return_rate * self.repair_cost(broken, option)
        wasted_cost += donor_rate * self._donor_cost(broken, option)
        return self._cost_rate(broken) > wasted_cost

    def _donor_cost(self, broken: BrokenGroup, option: RepairOption) -> float:
        """Return what a donor loses: its own repair becomes a whole load."""
        donor = option.donor
        left = donor.healthy_count - len(broken.lost)
        rate = self.policy.group_downtime_weight
        rate += self.policy.stranded_hosts_weight * max(0, left)
        return rate * (self._load_s(len(donor.group.members)) + 2 * MEMBER_CHANGE_S)

    def _cost_rate(self, broken: BrokenGroup) -> float:
        stranded = self.policy.stranded_hosts_weight * broken.healthy_count
        return self.policy.group_downtime_weight + stranded

    def _load_s(self, hosts: int) -> float:
        rounds = -(-hosts // self.policy.max_loading_hosts)
        return self.policy.shard_load_s * rounds
