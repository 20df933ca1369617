"""Format responses of the controls as tables for operators."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from tabulate import tabulate

from chestnutvale.schema.operator_pb2 import (
    ApplyAnswer,
    EntryStatus,
    EvacuationStatus,
    GroupStatus,
    HostStatus,
    ServiceStatus,
    Status,
    TextPlan,
    VoterStatus,
)

STATE_STRANDED = "stranded"
MAX_VALUE_WIDTH = 48

MS_PER_S = 1_000

_YES = "yes"
_NO = "no"


def _format_table(
    title: str, headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    row_list = list(rows)
    if not row_list:
        return f"{title}: none"
    # Without this, tabulate would reformat identities that look like numbers.
    body = tabulate(row_list, headers=headers, tablefmt="simple", disable_numparse=True)
    return f"{title}\n{body}"


def _format_bool(value: bool) -> str:
    return _YES if value else _NO


def _shorten(value: str) -> str:
    if len(value) <= MAX_VALUE_WIDTH:
        return value
    return value[: MAX_VALUE_WIDTH - 3] + "..."


def format_status(status: Status, show_all: bool = False) -> str:
    """Format the cluster status as tables.

    Parameters
    ----------
    status : Status
        Status as reported by a control.
    show_all : bool, optional
        Also list groups that serve and hosts that need no attention.

    Returns
    -------
    str
        Summary and tables; whatever does not serve is listed with its reason.
    """
    parts = [_format_summary(status)]
    if status.evacuations:
        parts.append(_format_evacuations(status.evacuations))
    parts.append(_format_services(status.services))
    groups = [group for group in status.groups if show_all or not group.serving]
    title = "Groups" if show_all else "Groups that do not serve"
    parts.append(_format_groups(title, groups))
    hosts = [host for host in status.hosts if show_all or _needs_attention(host)]
    title = "Hosts" if show_all else "Hosts that are stranded, leaving or missing"
    parts.append(_format_hosts(title, hosts))
    parts.append(_format_voters(status.voters))
    parts.append(_format_entries(status.entries))
    return "\n\n".join(parts)


def _needs_attention(host: HostStatus) -> bool:
    return bool(host.reason) or host.state == STATE_STRANDED


def _format_summary(status: Status) -> str:
    measures = status.measures
    origin = f"control {status.control_id}"
    if not status.confirmed:
        origin += ", NOT CONFIRMED by a quorum"
    return "\n".join(
        [
            f"Cluster {status.cluster_id}, seen by {origin}",
            f"Number in force: {status.number}, applied by {status.operator or '-'}",
            f"Group downtime: {measures.group_downtime_s:.1f} s",
            f"Stranded: {measures.stranded_hosts} hosts, "
            f"{measures.stranded_accelerators} accelerators, "
            f"{measures.stranded_accelerator_s:.1f} accelerator-seconds so far",
        ]
    )


def _format_evacuations(evacuations: Iterable[EvacuationStatus]) -> str:
    headers = ("data centre", "since", "by", "groups without requests")
    rows = [
        (
            item.data_centre,
            _format_time(item.begun_at_unix_ms),
            item.operator or "-",
            item.groups,
        )
        for item in evacuations
    ]
    return _format_table("Evacuated data centres", headers, rows)


def _format_time(unix_ms: int) -> str:
    time = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return time.isoformat(sep=" ", timespec="seconds")


def _format_services(services: Iterable[ServiceStatus]) -> str:
    headers = ("service", "kind", "version", "groups", "serves", "downtime s", "reason")
    rows = [
        (
            item.name,
            item.kind,
            item.version,
            f"{item.groups_serving}/{item.groups_wanted}",
            _format_bool(item.serving),
            f"{item.group_downtime_s:.1f}",
            item.reason,
        )
        for item in services
    ]
    return _format_table("Services", headers, rows)


def _format_groups(title: str, groups: Iterable[GroupStatus]) -> str:
    headers = ("group", "service", "epoch", "phase", "serves", "hosts", "reason")
    rows = [
        (
            item.group_id,
            item.service,
            item.epoch,
            item.phase,
            _format_bool(item.serving),
            " ".join(item.host_ids),
            item.reason,
        )
        for item in groups
    ]
    return _format_table(title, headers, rows)


def _format_hosts(title: str, hosts: Iterable[HostStatus]) -> str:
    headers = ("host", "data centre", "fabric domain", "state", "group", "reason")
    rows = [
        (
            item.host_id,
            item.data_centre,
            item.fabric_domain,
            item.state,
            item.group_id,
            item.reason,
        )
        for item in hosts
    ]
    return _format_table(title, headers, rows)


def _format_voters(voters: Iterable[VoterStatus]) -> str:
    headers = ("voter", "address", "role", "reachable", "reason")
    rows = [
        (item.id, item.address, item.role, _format_bool(item.reachable), item.reason)
        for item in voters
    ]
    return _format_table("Voters", headers, rows)


def _format_entries(entries: Iterable[EntryStatus]) -> str:
    headers = ("entry", "data centre", "number in force", "serves", "reason")
    rows = [
        (
            item.id,
            item.data_centre,
            item.configuration_number,
            _format_bool(item.serving),
            item.reason,
        )
        for item in entries
    ]
    return _format_table("Entries", headers, rows)


def format_plan(plan: TextPlan) -> str:
    """Format what a text would change and stop.

    Parameters
    ----------
    plan : TextPlan
        Plan as computed by a control.

    Returns
    -------
    str
        Numbers of both texts, and tables of the changes and stops.
    """
    summary = f"Number in force: {plan.number_in_force}; this text: {plan.number}"
    if plan.would_conflict:
        summary += f"\nIt would be refused: use a number above {plan.number_in_force}."
    if plan.evacuated_data_centres:
        names = ", ".join(plan.evacuated_data_centres)
        summary += f"\nEvacuated, so that groups there don't serve: {names}"
    change_rows = [
        (
            item.action,
            item.subject,
            item.name,
            item.field,
            _shorten(item.before),
            _shorten(item.after),
        )
        for item in plan.changes
    ]
    headers = ("action", "what", "name", "field", "before", "after")
    stop_rows = [(item.kind, item.name, item.reason) for item in plan.stops]
    return "\n\n".join(
        [
            summary,
            _format_table("Changes", headers, change_rows),
            _format_table("It stops", ("what", "name", "reason"), stop_rows),
        ]
    )


def format_apply(answer: ApplyAnswer) -> str:
    """Format the outcome of applying a text.

    Parameters
    ----------
    answer : ApplyAnswer
        Response to the apply request.

    Returns
    -------
    str
        One or two sentences; after a conflict also the difference to the text in
        force, if the response contains it.
    """
    if answer.outcome == "accepted":
        return f"Accepted: number {answer.number} is in force."
    if answer.outcome == "resent":
        text = f"Accepted before under number {answer.number}."
        if answer.number_in_force != answer.number:
            text += f" Number {answer.number_in_force} is in force by now."
        return text
    summary = (
        f"Conflict: number {answer.number} is taken or old; "
        f"{answer.number_in_force} by {answer.operator_in_force or '-'} is in force."
    )
    if not answer.HasField("difference"):
        return summary
    return f"{summary}\n\n{format_plan(answer.difference)}"
