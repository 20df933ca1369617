"""Policy for decisions about groups; the same for a whole deployment."""

import attrs

from chestnutvale.groups.const import (
    DEFAULT_DRAIN_TIMEOUT_S,
    DEFAULT_LEADER_LEASE_S,
)
from chestnutvale.membership.const import (
    DEFAULT_DETECTION_TIMEOUT_S,
    DEFAULT_LEASE_S,
)
from chestnutvale.schema.settings_pb2 import ControlSettings


@attrs.frozen
class GroupsPolicy:
    """Cost weights and durations for decisions about groups.

    Attributes
    ----------
    group_downtime_weight : float
        Cost of one second of downtime of one group.
    stranded_hosts_weight : float
        Cost of one second in which a healthy host of a broken group is unusable.
    member_wait_s : float
        Shortest time in seconds to wait for a missing member before a repair.
    detection_timeout_s : float
        Silence in seconds after which a host counts as missing.
    serving_lease_s : float
        Serving lease of entries in seconds.
    leader_lease_s : float
        Longest leader lease in seconds.
    drain_timeout_s : float
        Time in seconds that a draining group may finish running requests, at least as
        long as the routes of the configuration allow.
    max_loading_hosts : int
        Number of hosts that may load weights at once.
    shard_load_s : float
        Time in seconds that a host takes to load its weight shard.
    engine_stall_s : float
        Time in seconds after which a head that lost a member stops accepting calls by
        itself; 0 for engines whose members detect each other's loss.
    first_plan_s : float
        Time in seconds before a new leader treats silent hosts as missing.
    """

    group_downtime_weight: float = 1.0
    stranded_hosts_weight: float = 1.0
    member_wait_s: float = 2.0
    detection_timeout_s: float = DEFAULT_DETECTION_TIMEOUT_S
    serving_lease_s: float = DEFAULT_LEASE_S
    leader_lease_s: float = DEFAULT_LEADER_LEASE_S
    drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S
    max_loading_hosts: int = 16
    shard_load_s: float = 60.0
    engine_stall_s: float = 0.0
    first_plan_s: float = DEFAULT_DETECTION_TIMEOUT_S

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "GroupsPolicy":
        """Build the policy from the settings of a control.

        Parameters
        ----------
        settings : ControlSettings
            The settings; a field that is 0 selects the default.

        Returns
        -------
        GroupsPolicy
            The policy.
        """
        default = cls()
        repair = settings.repair
        return cls(
            group_downtime_weight=repair.group_downtime_weight
            or default.group_downtime_weight,
            stranded_hosts_weight=repair.stranded_hosts_weight
            or default.stranded_hosts_weight,
            member_wait_s=repair.member_wait_ms / 1_000 or default.member_wait_s,
            detection_timeout_s=settings.detection_timeout_ms / 1_000
            or default.detection_timeout_s,
            max_loading_hosts=settings.max_loading_hosts or default.max_loading_hosts,
            serving_lease_s=settings.serving_lease_ms / 1_000
            or default.serving_lease_s,
            drain_timeout_s=settings.group_drain_timeout_ms / 1_000
            or default.drain_timeout_s,
            engine_stall_s=settings.engine_stall_ms / 1_000,
            first_plan_s=settings.first_plan_ms / 1_000
            or settings.detection_timeout_ms / 1_000
            or default.first_plan_s,
        )
