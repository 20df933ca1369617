"""Detects groups with lost members and hosts that fail repeatedly."""

import enum
from collections import Counter, deque

import attrs

from chestnutvale.groups.const import (
    DOMAIN_OUTAGE_MIN_HOSTS,
    DOMAIN_OUTAGE_SHARE,
    FLAPPING_MIN_LOSSES,
    FLAPPING_WINDOW_S,
    LOAD_TIMEOUT_S,
    MIN_LIVE_ENTRY_SHARE,
    ORDER_UNREACHABLE_S,
    PHASE_FORMING,
)
from chestnutvale.groups.serving import holds_epoch
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.const import HOLDING_READY
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group, GroupMember


class LossCause(enum.Enum):
    """Why a member counts as lost to its group."""

    MISSING = "missing"
    LEAVING = "leaving"
    # Alive, but it never carried out its order or never finished loading.
    STUCK = "stuck"


@attrs.frozen
class LostMember:
    """A lost member of a group.

    Attributes
    ----------
    member : GroupMember
        The member.
    cause : LossCause
        Why it is lost.
    away_s : float
        Time in seconds for which it has been lost.
    """

    member: GroupMember
    cause: LossCause
    away_s: float


@attrs.frozen
class BrokenGroup:
    """A group that can't serve because it has lost members.

    Attributes
    ----------
    group : Group
        The group.
    lost : tuple of LostMember
        Its lost members.
    is_domain_outage : bool
        Whether most hosts of its fabric domain are missing.
    """

    group: Group
    lost: tuple[LostMember, ...]
    is_domain_outage: bool

    @property
    def healthy_count(self) -> int:
        """Number of members that are healthy but stranded by the loss."""
        return len(self.group.members) - len(self.lost)

    @property
    def has_leaving(self) -> bool:
        """Whether a member is being drained or has announced that it leaves."""
        return any(item.cause is LossCause.LEAVING for item in self.lost)


@attrs.define
class GroupFailureDetector:
    """Detects broken groups, and stuck or flapping hosts from their history.

    Parameters
    ----------
    unreachable_s : float
        Seconds after which a live member that has not carried out its order is stuck.
    load_timeout_s : float
        Seconds after which a member that is still loading weights is stuck.
    """

    unreachable_s: float = ORDER_UNREACHABLE_S
    load_timeout_s: float = LOAD_TIMEOUT_S
    _started_at_s: float = 0.0
    _not_ready_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _loss_times_s: dict[str, deque[float]] = attrs.field(factory=dict)
    _lost_hosts: set[str] = attrs.field(factory=set)
    _new_losses: list[LostMember] = attrs.field(factory=list)

    def reset(self, now_s: float) -> None:
        """Discard observations from an earlier term as leader.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._started_at_s = now_s
        self._not_ready_since_s.clear()
        self._loss_times_s.clear()
        self._lost_hosts.clear()
        self._new_losses.clear()

    def pop_new_losses(self) -> list[LostMember]:
        """Return the members that were lost since the last call, each once.

        Returns
        -------
        list of LostMember
            In the order in which they were found.
        """
        losses, self._new_losses = self._new_losses, []
        return losses

    def record_order(self, host_id: str, epoch: int, now_s: float) -> None:
        """Record that an order was sent to a member, which starts its stuck timeout.

        Parameters
        ----------
        host_id : str
            The host.
        epoch : int
            Epoch of its group.
        now_s : float
            Monotonic time in seconds.
        """
        self._not_ready_since_s.setdefault((host_id, epoch), now_s)

    def find_broken_groups(
        self, state: GroupsState, table: MembershipTable, now_s: float
    ) -> list[BrokenGroup]:
        """Find the groups with lost members.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of BrokenGroup
            Empty if too few entries report for the silence of hosts to mean anything.
        """
        if lacks_live_entries(table, now_s):
            return []
        lost_by_group = {
            group.group_id: self._find_lost(group, state, table, now_s)
            for group in state.groups.values()
            if not group.plain
        }
        self._record_losses(lost_by_group, now_s)
        self._discard_finished(state)
        failed_domains = _find_failed_domains(state, lost_by_group)
        return [
            BrokenGroup(group, lost, group.fabric_domain in failed_domains)
            for group in state.groups.values()
            if (lost := lost_by_group.get(group.group_id))
        ]

    def is_flapping(self, host_id: str, now_s: float) -> bool:
        """Tell whether a host was lost so often that other spares are preferred.

        Parameters
        ----------
        host_id : str
            The host.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether it was lost ``FLAPPING_MIN_LOSSES`` times within the window.
        """
        losses = self._loss_times_s.get(host_id, ())
        recent = [at_s for at_s in losses if now_s - at_s <= FLAPPING_WINDOW_S]
        return len(recent) >= FLAPPING_MIN_LOSSES

    def _find_lost(
        self,
        group: Group,
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
    ) -> tuple[LostMember, ...]:
        found = (
            self._find_member_loss(group, member, state, table, now_s)
            for member in group.members
        )
        return tuple(lost for lost in found if lost is not None)

    def _find_member_loss(
        self,
        group: Group,
        member: GroupMember,
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
    ) -> LostMember | None:
        record = table.host(member.host_id)
        is_drained = member.host_id in state.draining_hosts
        if record is None:
            cause = LossCause.LEAVING if is_drained else LossCause.MISSING
            return LostMember(member, cause, now_s - self._started_at_s)
        away_s = now_s - record.heard_at_s
        announcement = record.announcement
        if is_drained or (announcement is not None and announcement.leaving):
            return LostMember(member, LossCause.LEAVING, away_s)
        if table.is_silent(record, now_s):
            return LostMember(member, LossCause.MISSING, away_s)
        if group.phase != PHASE_FORMING or record.boot_id != member.boot_id:
            return None
        key = (member.host_id, group.epoch)
        if holds_epoch(record, group, HOLDING_READY):
            self._not_ready_since_s.pop(key, None)
            return None
        has_order = holds_epoch(record, group)
        if has_order:
            self._not_ready_since_s.setdefault(key, now_s)
        # A member waiting for the load budget has not been sent an order yet.
        waited_s = now_s - self._not_ready_since_s.get(key, now_s)
        limit_s = self.load_timeout_s if has_order else self.unreachable_s
        if waited_s <= limit_s:
            return None
        return LostMember(member, LossCause.STUCK, waited_s)

    def _record_losses(
        self, lost_by_group: dict[str, tuple[LostMember, ...]], now_s: float
    ) -> None:
        lost = {
            item.member.host_id: item
            for items in lost_by_group.values()
            for item in items
        }
        new_host_ids = lost.keys() - self._lost_hosts
        self._new_losses += [lost[host_id] for host_id in sorted(new_host_ids)]
        for host_id in new_host_ids:
            losses = self._loss_times_s.setdefault(
                host_id, deque(maxlen=FLAPPING_MIN_LOSSES)
            )
            losses.append(now_s)
        self._lost_hosts = set(lost)

    def _discard_finished(self, state: GroupsState) -> None:
        epochs = {group.epoch for group in state.groups.values()}
        self._not_ready_since_s = {
            key: since_s
            for key, since_s in self._not_ready_since_s.items()
            if key[1] in epochs
        }


def lacks_live_entries(table: MembershipTable, now_s: float) -> bool:
    """Tell whether too few entries report to infer host failures from silence.

    Parameters
    ----------
    table : MembershipTable
        Which entries have reported, and when.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether missing reports may be due to the entries and not to the hosts.
    """
    known = len(table.known_entries())
    return len(table.live_entries(now_s)) < max(1, MIN_LIVE_ENTRY_SHARE * known)


def _find_failed_domains(
    state: GroupsState, lost_by_group: dict[str, tuple[LostMember, ...]]
) -> set[str]:
    owned = Counter()
    missing = Counter()
    for group in state.groups.values():
        lost = lost_by_group.get(group.group_id, ())
        owned[group.fabric_domain] += len(group.members)
        missing[group.fabric_domain] += sum(
            item.cause is LossCause.MISSING for item in lost
        )
    return {
        domain
        for domain, count in missing.items()
        if count >= max(DOMAIN_OUTAGE_MIN_HOSTS, DOMAIN_OUTAGE_SHARE * owned[domain])
    }
