"""Chooses the cheapest way to repair a broken group."""

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
    """A possible repair of a broken group.

    Attributes
    ----------
    action : str
        One of the ``REPAIR_*`` constants.
    domain : str
        Fabric domain in which the repaired group serves.
    host_ids : tuple of str
        Replacement hosts, in the order of the lost members; empty for a move.
    donor : BrokenGroup or None
        Broken group that is dissolved for its hosts; None if there is none.
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
        """Return the option to act on; None waits for the lost members."""


@attrs.define
class CostChooser:
    """Chooses a repair once waiting costs more than acting too early.

    Each second of a broken group costs the group downtime weight and, for each
    healthy member, the stranded host weight. A repair costs the time until the group
    serves again, plus the loss to its donor; that cost is wasted if the lost member
    returns at once. So a repair is worthwhile when the cost rate that it ends exceeds
    the return rate of the lost member times the cost of the repair.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    member_outage, domain_outage : OutageModel
        Distribution of outage lengths of single hosts and of whole domains.
    """

    policy: GroupsPolicy
    member_outage: OutageModel = MEMBER_OUTAGE
    domain_outage: OutageModel = DOMAIN_OUTAGE

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Return the cheapest option that is worthwhile now.

        Parameters
        ----------
        broken : BrokenGroup
            The broken group.
        options : sequence of RepairOption
            Possible repairs.

        Returns
        -------
        RepairOption or None
            None to wait for the lost members.
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
        """Return the cost of a repair until the group serves again.

        Parameters
        ----------
        broken : BrokenGroup
            The group.
        option : RepairOption
            The repair.

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
        """Return the rate at which the group recovers without a repair.

        Parameters
        ----------
        broken : BrokenGroup
            The group.

        Returns
        -------
        float
            Returns per second of the lost member with the lowest rate.
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
            # A member that returns before its spare is ready replaces the spare, so
            # that only one change of members is wasted.
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
        """Return the loss of a donor: its own repair becomes a load of all members."""
        donor = option.donor
        remaining_hosts = donor.healthy_count - len(broken.lost)
        rate = self.policy.group_downtime_weight
        rate += self.policy.stranded_hosts_weight * max(0, remaining_hosts)
        return rate * (self._load_s(len(donor.group.members)) + 2 * MEMBER_CHANGE_S)

    def _cost_rate(self, broken: BrokenGroup) -> float:
        stranded = self.policy.stranded_hosts_weight * broken.healthy_count
        return self.policy.group_downtime_weight + stranded

    def _load_s(self, hosts: int) -> float:
        rounds = -(-hosts // self.policy.max_loading_hosts)
        return self.policy.shard_load_s * rounds
