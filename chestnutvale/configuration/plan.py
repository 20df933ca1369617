"""Compare two texts and find what applying the newer one would interrupt."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from chestnutvale.configuration.const import KIND_MODEL
from chestnutvale.schema.configuration_pb2 import Service, Text, Workspace
from chestnutvale.schema.operator_pb2 import TextChange, TextPlan, TextStop
from chestnutvale.schema_json import message_to_data

ACTION_ADD = "add"
ACTION_REMOVE = "remove"
ACTION_CHANGE = "change"
SUBJECT_SERVICE = "service"
SUBJECT_WORKSPACE = "workspace"
STOP_SERVICE = "service"
STOP_GROUPS = "groups"
STOP_CALLS = "calls"
STOP_WORKSPACE = "workspace"

SHOWN_DIGEST_DIGITS = 12
_FIELD_KEYS = "key_sha256"


def plan_change(in_force: Text, text: Text, already_accepted: bool = False) -> TextPlan:
    """Compare a text with the one in force and list its effects.

    Parameters
    ----------
    in_force : Text
        The text in force; an empty one before the first.
    text : Text
        The text that would be applied.
    already_accepted : bool, optional
        Whether exactly this text was already accepted under its number, so that
        applying it again is no conflict.

    Returns
    -------
    TextPlan
        Changed fields, and the services, groups, calls and workspaces that would be
        stopped; services first, then workspaces, each sorted by name.
    """
    plan = TextPlan(
        number_in_force=in_force.number,
        number=text.number,
        would_conflict=text.number <= in_force.number and not already_accepted,
    )
    old_services, new_services = dict(in_force.services), dict(text.services)
    old_workspaces, new_workspaces = dict(in_force.workspaces), dict(text.workspaces)
    plan.changes.extend(_compare(SUBJECT_SERVICE, old_services, new_services))
    plan.changes.extend(_compare(SUBJECT_WORKSPACE, old_workspaces, new_workspaces))
    for name in sorted(old_services):
        plan.stops.extend(
            _find_service_stops(name, old_services[name], new_services.get(name))
        )
    for name in sorted(old_workspaces):
        plan.stops.extend(
            _find_workspace_stops(name, old_workspaces[name], new_workspaces.get(name))
        )
    return plan


def _compare(
    subject: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterable[TextChange]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield TextChange(action=ACTION_REMOVE, subject=subject, name=name)
        elif name not in old:
            yield TextChange(action=ACTION_ADD, subject=subject, name=name)
        else:
            before, after = message_to_data(old[name]), message_to_data(new[name])
            yield from _compare_fields(subject, name, before, after)


def _compare_fields(
    subject: str, name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterable[TextChange]:
    for field in sorted(before.keys() | after.keys()):
        old, new = before.get(field), after.get(field)
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            for change in _compare_fields(subject, name, old, new):
                change.field = f"{field}.{change.field}"
                yield change
            continue
        yield TextChange(
            action=ACTION_CHANGE,
            subject=subject,
            name=name,
            field=field,
            before=_format_value(field, old),
            after=_format_value(field, new),
        )


def _format_value(field: str, value: Any) -> str:
    if value is None:
        return ""
    if field == _FIELD_KEYS:
        value = [digest[:SHOWN_DIGEST_DIGITS] for digest in value]
    return json.dumps(value)


def _find_service_stops(
    name: str, old: Service, new: Service | None
) -> Iterable[TextStop]:
    if new is None:
        reason = "the service is removed; its groups are released and calls refused"
        yield TextStop(kind=STOP_SERVICE, name=name, reason=reason)
        return
    if old.kind != new.kind:
        reason = f"its kind changes from {old.kind} to {new.kind}"
        yield TextStop(kind=STOP_SERVICE, name=name, reason=reason)
        return
    if old.kind == KIND_MODEL:
        for reason in _find_group_stops(old, new):
            yield TextStop(kind=STOP_GROUPS, name=name, reason=reason)
    for reason in _find_call_stops(old, new):
        yield TextStop(kind=STOP_CALLS, name=name, reason=reason)


def _find_group_stops(old: Service, new: Service) -> Iterable[str]:
    if old.hosts_per_group != new.hosts_per_group:
        yield (
            f"all groups are re-formed with {new.hosts_per_group} instead of "
            f"{old.hosts_per_group} hosts"
        )
    for field in ("model", "version"):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield f"all groups change their {field} from {before!r} to {after!r}"
    if new.groups < old.groups:
        yield f"{old.groups - new.groups} of {old.groups} groups are released"


def _find_call_stops(old: Service, new: Service) -> Iterable[str]:
    lost = sorted(set(old.adapters) - set(new.adapters))
    if lost:
        yield f"calls for the adapters {', '.join(lost)} are refused"
    needed = sorted(set(new.depends_on) - set(old.depends_on))
    if needed:
        yield f"calls are refused while {', '.join(needed)} is not serving"
    if new.limits.max_body_bytes < old.limits.max_body_bytes:
        yield f"bodies larger than {new.limits.max_body_bytes} bytes are refused"


def _find_workspace_stops(
    name: str, old: Workspace, new: Workspace | None
) -> Iterable[TextStop]:
    if new is None:
        reason = "the workspace is removed; its calls are refused"
        yield TextStop(kind=STOP_WORKSPACE, name=name, reason=reason)
        return
    lost_keys = sorted(set(old.key_sha256) - set(new.key_sha256))
    if lost_keys:
        shown = ", ".join(digest[:SHOWN_DIGEST_DIGITS] for digest in lost_keys)
        reason = f"calls with the keys whose digests start with {shown} are refused"
        yield TextStop(kind=STOP_CALLS, name=name, reason=reason)
    if new.services and set(old.services) != set(new.services):
        allowed = ", ".join(new.services)
        if not old.services or set(old.services) - set(new.services):
            reason = f"calls to services other than {allowed} are refused"
            yield TextStop(kind=STOP_CALLS, name=name, reason=reason)
