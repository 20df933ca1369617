"""Validation of a configuration text beyond what the schema can express."""

import re
from collections.abc import Mapping

from chestnutvale.configuration.const import (
    KIND_MODEL,
    KINDS,
    MAX_BODY_BYTES,
    MAX_CALL_RULES,
    MAX_COLD_START_MS,
    MAX_DEADLINE_MS,
    MAX_GROUPS,
    MAX_HOSTS_PER_GROUP,
    MAX_QUEUED_REQUESTS,
    MAX_RUNNING_REQUESTS,
    MAX_TEXT_NUMBER,
    MAX_WEIGHT,
    METHOD_ANY,
    METHODS,
    MIN_DEADLINE_MS,
)
from chestnutvale.configuration.dependencies import find_cycle
from chestnutvale.configuration.line_index import Path
from chestnutvale.configuration.report import ProblemReport
from chestnutvale.configuration.routes import find_route_faults
from chestnutvale.schema.configuration_pb2 import CallRule, Service, Text, Workspace

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_SHA256 = re.compile(r"[0-9a-f]{64}")


def check_text(text: Text, report: ProblemReport) -> None:
    """Validate a complete text and report every problem found.

    Parameters
    ----------
    text : Text
        The text, with its defaults filled in.
    report : ProblemReport
        Collects the problems found.
    """
    _check_range(text.number, 1, MAX_TEXT_NUMBER, ("number",), report)
    for name, service in text.services.items():
        path = ("services", name)
        _check_name(name, path, report)
        _check_service(service, path, report)
        _check_known_services(service.depends_on, text, (*path, "depends_on"), report)
    _check_cycle(text, report)
    _check_workspaces(text, report)
    for path, reason in find_route_faults(text):
        report.add(path, reason)


def find_document_faults(text: Text) -> list[tuple[str, str]]:
    """Validate a text that was translated from a document of another system.

    Names and sizes come from that system and are not checked here, only routes and
    workspace keys.

    Parameters
    ----------
    text : Text
        The translated text.

    Returns
    -------
    list of tuple of (str, str)
        Path of the field and reason, for each fault.
    """
    faults = [
        (".".join(str(part) for part in path), reason)
        for path, reason in find_route_faults(text)
    ]
    owners: dict[str, str] = {}
    for name, workspace in sorted(text.workspaces.items()):
        for digest in workspace.key_sha256:
            owner = owners.setdefault(digest, name)
            if owner != name:
                reason = (
                    f"shares a key with workspace {owner!r}, but a key must be unique"
                )
                faults.append((f"workspaces.{name}", reason))
    return faults


def check_fabric_domains(
    text: Text, domain_hosts: Mapping[str, int], report: ProblemReport
) -> None:
    """Report services whose groups need more hosts than any known domain has.

    Parameters
    ----------
    text : Text
        The text to check.
    domain_hosts : mapping of str to int
        Number of hosts ever seen in each fabric domain; if empty, nothing is
        checked.
    report : ProblemReport
        Collects the problems found.
    """
    if not domain_hosts:
        return
    largest = max(domain_hosts, key=lambda name: (domain_hosts[name], name))
    for name, service in text.services.items():
        if service.kind != KIND_MODEL:
            continue
        if service.hosts_per_group > domain_hosts[largest]:
            report.add(
                ("services", name, "hosts_per_group"),
                f"{service.hosts_per_group} hosts exceed every known fabric domain; "
                f"the largest, {largest!r}, has {domain_hosts[largest]}",
            )


def _check_range(
    value: int, lowest: int, highest: int, path: Path, report: ProblemReport
) -> None:
    if not lowest <= value <= highest:
        report.add(path, f"must be from {lowest} to {highest}, not {value}")


def _check_name(name: str, path: Path, report: ProblemReport) -> None:
    if not _NAME.fullmatch(name):
        report.add(
            path,
            "a name has 1 to 63 lower-case letters, digits and hyphens, and neither "
            "starts nor ends with a hyphen",
        )


def _check_service(service: Service, path: Path, report: ProblemReport) -> None:
    if service.kind not in KINDS:
        report.add(
            (*path, "kind"),
            f"must be one of {', '.join(KINDS)}"
            f"{report.suggest_name(service.kind, KINDS)}",
        )
    elif service.kind == KIND_MODEL:
        _check_model_service(service, path, report)
    else:
        _check_plain_service(service, path, report)
    _check_range(
        service.hosts_per_group,
        1,
        MAX_HOSTS_PER_GROUP,
        (*path, "hosts_per_group"),
        report,
    )
    _check_range(service.groups, 0, MAX_GROUPS, (*path, "groups"), report)
    _check_limits(service, (*path, "limits"), report)
    _check_range(
        service.cold_start_ms, 0, MAX_COLD_START_MS, (*path, "cold_start_ms"), report
    )


def _check_model_service(service: Service, path: Path, report: ProblemReport) -> None:
    for field in ("model", "version"):
        if not getattr(service, field):
            report.add((*path, field), "must be set for a model service")
    if service.calls:
        report.add((*path, "calls"), "is only allowed for a plain service")


def _check_plain_service(service: Service, path: Path, report: ProblemReport) -> None:
    for field in ("model", "adapters"):
        if getattr(service, field):
            report.add((*path, field), "is only allowed for a model service")
    if service.hosts_per_group > 1:
        report.add((*path, "hosts_per_group"), "a plain service runs on single hosts")
    if len(service.calls) > MAX_CALL_RULES:
        report.add((*path, "calls"), f"holds more than {MAX_CALL_RULES} rules")
        return
    for position, rule in enumerate(service.calls):
        rule_path = (*path, "calls", position)
        _check_call_rule(rule, rule_path, report)
        _check_reachable(service, position, rule_path, report)


def _check_call_rule(rule: CallRule, path: Path, report: ProblemReport) -> None:
    if rule.method not in METHODS:
        report.add(
            (*path, "method"),
            f"must be one of {', '.join(sorted(METHODS))}"
            f"{report.suggest_name(rule.method.upper(), METHODS)}",
        )
    if not rule.path_prefix.startswith("/"):
        report.add((*path, "path_prefix"), "must begin with '/'")


def _check_reachable(
    service: Service, position: int, path: Path, report: ProblemReport
) -> None:
    rule = service.calls[position]
    for earlier in range(position):
        other = service.calls[earlier]
        method_fits = other.method in (METHOD_ANY, rule.method)
        if method_fits and rule.path_prefix.startswith(other.path_prefix):
            report.add(path, f"is never reached: calls[{earlier}] matches first")
            return


def _check_limits(service: Service, path: Path, report: ProblemReport) -> None:
    ranges = {
        "max_queued_requests": (0, MAX_QUEUED_REQUESTS),
        "max_running_requests": (0, MAX_RUNNING_REQUESTS),
        "max_body_bytes": (1, MAX_BODY_BYTES),
        "default_deadline_ms": (MIN_DEADLINE_MS, MAX_DEADLINE_MS),
    }
    for field, (lowest, highest) in ranges.items():
        value = getattr(service.limits, field)
        _check_range(value, lowest, highest, (*path, field), report)


def _check_known_services(
    names: list[str], text: Text, path: Path, report: ProblemReport
) -> None:
    for name in names:
        if name not in text.services:
            hint = report.suggest_name(name, text.services)
            report.add(path, f"unknown service {name!r}{hint}")


def _check_cycle(text: Text, report: ProblemReport) -> None:
    graph = {name: service.depends_on for name, service in text.services.items()}
    cycle = find_cycle(graph)
    if cycle:
        path = ("services", cycle[0], "depends_on")
        report.add(path, f"dependency cycle of services: {' -> '.join(cycle)}")


def _check_workspaces(text: Text, report: ProblemReport) -> None:
    owners: dict[str, str] = {}
    for name, workspace in sorted(text.workspaces.items()):
        path = ("workspaces", name)
        _check_name(name, path, report)
        _check_range(workspace.weight, 1, MAX_WEIGHT, (*path, "weight"), report)
        _check_known_services(workspace.services, text, (*path, "services"), report)
        _check_keys(name, workspace, owners, report)


def _check_keys(
    name: str, workspace: Workspace, owners: dict[str, str], report: ProblemReport
) -> None:
    path = ("workspaces", name, "key_sha256")
    for digest in workspace.key_sha256:
        if not _SHA256.fullmatch(digest):
            report.add(path, "must hold SHA-256 digests of 64 hexadecimal digits")
        owner = owners.setdefault(digest, name)
        if owner != name:
            report.add(
                path, f"shares a key with workspace {owner!r}, but a key must be unique"
            )
