"""Fill in the defaults of a text, so that every replica holds the same values."""

from chestnutvale.configuration.const import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_GROUPS,
    DEFAULT_HOSTS_PER_GROUP,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_QUEUED_REQUESTS,
    DEFAULT_MAX_RUNNING_REQUESTS,
    DEFAULT_WEIGHT,
)
from chestnutvale.schema.configuration_pb2 import Service, ServiceLimits, Text


def _sort_unique(values: list[str]) -> None:
    values[:] = sorted(set(values))


def fill_defaults(text: Text, raw: dict) -> None:
    """Fill in defaults; sort and deduplicate lists whose order has no meaning.

    Parameters
    ----------
    text : Text
        The text as parsed; changed in place.
    raw : dict
        The parsed JSON, which distinguishes an omitted field from an explicit zero.
    """
    for name, service in text.services.items():
        _fill_service(service, raw["services"][name])
    for name, workspace in text.workspaces.items():
        if "weight" not in raw["workspaces"][name]:
            workspace.weight = DEFAULT_WEIGHT
        _sort_unique(workspace.key_sha256)
        _sort_unique(workspace.services)


def _fill_service(service: Service, raw: dict) -> None:
    if "hosts_per_group" not in raw:
        service.hosts_per_group = DEFAULT_HOSTS_PER_GROUP
    if "groups" not in raw:
        service.groups = DEFAULT_GROUPS
    _sort_unique(service.adapters)
    _sort_unique(service.depends_on)
    _fill_limits(service.limits, raw.get("limits", {}))


def _fill_limits(limits: ServiceLimits, raw: dict) -> None:
    defaults = {
        "max_queued_requests": DEFAULT_MAX_QUEUED_REQUESTS,
        "max_running_requests": DEFAULT_MAX_RUNNING_REQUESTS,
        "max_body_bytes": DEFAULT_MAX_BODY_BYTES,
        "default_deadline_ms": DEFAULT_DEADLINE_MS,
    }
    for name, value in defaults.items():
        if name not in raw:
            setattr(limits, name, value)
