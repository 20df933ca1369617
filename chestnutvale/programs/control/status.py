"""Builds the operators' status from the state of a control."""

from collections import Counter
from typing import Any

import attrs

from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.groups.serving import find_data_centre
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.const import (
    ENTRY_REPORT_TIMEOUT_S,
    VOTER_SILENCE_TIMEOUT_S,
)
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.operator_pb2 import (
    EntryStatus,
    EvacuationStatus,
    GroupStatus,
    HostStatus,
    ServiceStatus,
    Status,
    StatusMeasures,
    VoterStatus,
)
from chestnutvale.schema.peer_pb2 import GroupView
from chestnutvale.schema.settings_pb2 import ControlSettings

MS_PER_S = 1_000


@attrs.define
class StatusBuilder:
    """Builds the status message for operators.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    publisher : ViewPublisher
        Views of the groups.
    entry_handler : EntryReportHandler
        Last reports of entries.
    measures : MeasureTracker
        Downtime and stranded accelerator time.
    """

    settings: ControlSettings
    log: ConsensusTask
    state: ControlState
    table: MembershipTable
    publisher: ViewPublisher
    entry_handler: EntryReportHandler
    measures: MeasureTracker

    def build(self, now_s: float, confirmed: bool) -> Status:
        """Build the status from the current state of this control.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        confirmed : bool
            Whether a quorum confirmed that this control leads.

        Returns
        -------
        Status
            Status message of the operator API.
        """
        groups = self.publisher.group_views()
        configuration = self.state.configuration
        return Status(
            cluster_id=self.settings.cluster_id,
            control_id=self.settings.control_id,
            term=self.log.term,
            number=configuration.number,
            digest=configuration.digest,
            operator=configuration.operator,
            accepted_at_unix_ms=configuration.accepted_at_unix_ms,
            services=self._services(groups),
            groups=[_to_group_status(item) for item in groups],
            hosts=self._hosts(now_s),
            voters=self._voters(),
            entries=self._entries(now_s),
            measures=StatusMeasures(
                group_downtime_s=sum(self.measures.group_downtime_s.values()),
                stranded_hosts=len(self.measures.stranded_host_ids),
                stranded_accelerators=self.measures.stranded_accelerators,
                stranded_accelerator_s=self.measures.stranded_accelerator_s,
            ),
            confirmed=confirmed,
            evacuations=self._evacuations(groups),
        )

    def _evacuations(self, groups: list[GroupView]) -> list[EvacuationStatus]:
        counts = Counter(
            find_data_centre(item.group, self.table)
            for item in groups
            if item.evacuated
        )
        return [
            EvacuationStatus(
                data_centre=name,
                begun_at_unix_ms=evacuation.changed_at_unix_ms,
                operator=evacuation.operator,
                groups=counts[name],
            )
            for name, evacuation in self.state.evacuations.in_force.items()
        ]

    def _services(self, groups: list[GroupView]) -> list[ServiceStatus]:
        lookup = TextLookup.from_text(self.state.configuration.text)
        serving = {item.group.service for item in groups if item.serving}
        return [
            self._service(name, lookup, groups, serving)
            for name in sorted(lookup.services)
        ]

    def _service(
        self,
        name: str,
        lookup: TextLookup,
        groups: list[GroupView],
        serving: set[str],
    ) -> ServiceStatus:
        service = lookup.services[name]
        service_groups = [item for item in groups if item.group.service == name]
        serving_count = sum(1 for item in service_groups if item.serving)
        missing = lookup.missing_dependencies(name, serving)
        return ServiceStatus(
            name=name,
            kind=service.kind,
            version=service.version,
            groups_wanted=service.groups,
            groups_serving=serving_count,
            serving=serving_count > 0 and not missing,
            reason=_find_service_reason(
                service_groups, serving_count, service.groups, missing
            ),
            missing_dependencies=missing,
            group_downtime_s=self.measures.group_downtime_s.get(name, 0.0),
        )

    def _hosts(self, now_s: float) -> list[HostStatus]:
        return [
            self._host(record, now_s)
            for record in self.table.known_hosts()
            if record.announcement is not None
        ]

    def _host(self, record: HostRecord, now_s: float) -> HostStatus:
        announcement = record.announcement
        state, reason = self._find_host_state(record, now_s)
        return HostStatus(
            host_id=record.host_id,
            address=announcement.address,
            data_centre=announcement.data_centre,
            fabric_domain=announcement.fabric_domain,
            accelerators=announcement.accelerators,
            state=state,
            group_id=self.state.groups.owners.get(record.host_id, ""),
            reason=reason,
            announced_ms_ago=max(0, round((now_s - record.heard_at_s) * MS_PER_S)),
        )

    def _find_host_state(self, record: HostRecord, now_s: float) -> tuple[str, str]:
        host_id = record.host_id
        if not self.table.is_fresh(host_id, now_s):
            return "missing", "it has not announced itself lately"
        if record.announcement.leaving:
            return "leaving", "it announced that it leaves"
        if host_id in self.state.groups.draining_hosts:
            return "draining", "an operator drains it"
        if self.state.evacuations.is_evacuated(record.announcement.data_centre):
            return "evacuated", ""
        if host_id in self.measures.stranded_host_ids:
            return "stranded", "its group does not serve"
        if host_id in self.state.groups.owners:
            return "working", ""
        return "free", ""

    def _voters(self) -> list[VoterStatus]:
        status = self.log.status()
        peers = {peer.id: peer for peer in self.settings.controls}
        members = [(name, "follower") for name in status["voters"]]
        members += [(name, "learner") for name in status["learners"]]
        voters = []
        for member_id, role in members:
            control_id = control_of(member_id)
            peer = peers.get(control_id)
            reason = _find_voter_fault(member_id, status)
            voters.append(
                VoterStatus(
                    id=member_id,
                    address=peer.address if peer else "",
                    http_address=peer.http_address if peer else "",
                    role="leader" if control_id == self.log.leader_id else role,
                    reachable=not reason,
                    reason=reason,
                    matched_index=status["match_index"].get(
                        member_id, status["last_index"]
                    ),
                )
            )
        return voters

    def _entries(self, now_s: float) -> list[EntryStatus]:
        number = self.state.configuration.number
        entries = []
        for entry_id, entry in sorted(self.entry_handler.entries.items()):
            reason = ""
            if now_s - entry.seen_at_s > ENTRY_REPORT_TIMEOUT_S:
                reason = "it has not reported lately"
            elif entry.number < number:
                reason = f"text {entry.number} is in force there"
            elif entry.draining:
                reason = "it is about to stop"
            entries.append(
                EntryStatus(
                    id=entry_id,
                    data_centre=entry.data_centre,
                    configuration_number=entry.number,
                    serving=not reason,
                    reason=reason,
                    draining=entry.draining,
                    reported_ms_ago=round((now_s - entry.seen_at_s) * MS_PER_S),
                )
            )
        return entries


def _find_voter_fault(member_id: str, status: dict[str, Any]) -> str:
    """Return why a member of the replicated log counts as unreachable.

    Parameters
    ----------
    member_id : str
        Identity of the member.
    status : dict
        State of the replicated log at this control.

    Returns
    -------
    str
        The reason; empty if the member is reachable.
    """
    if member_id == status["member_id"]:
        return ""
    silent_s = status["silent_s"].get(member_id)
    if silent_s is None:
        return "only a control that leads knows"
    if silent_s > VOTER_SILENCE_TIMEOUT_S:
        return f"it has not answered for {silent_s:.0f} s"
    return ""


def _find_service_reason(
    groups: list[GroupView], serving: int, wanted: int, missing: tuple[str, ...]
) -> str:
    if missing:
        return f"needs {', '.join(missing)}"
    if serving >= wanted:
        return ""
    reasons = sorted({item.reason for item in groups if item.reason})
    if len(groups) < wanted:
        reasons.append(f"{wanted - len(groups)} groups lack hosts in one fabric domain")
    return "; ".join(reasons)


def _to_group_status(item: GroupView) -> GroupStatus:
    group = item.group
    return GroupStatus(
        group_id=group.group_id,
        service=group.service,
        epoch=group.epoch,
        phase=group.phase,
        serving=item.serving,
        reason=item.reason,
        version=group.version,
        fabric_domain=group.fabric_domain,
        host_ids=[
            member.host_id
            for member in sorted(group.members, key=lambda member: member.rank)
        ],
    )
