"""Determines the order in which services get hosts."""

from chestnutvale.groups.const import SERVICE_PLAIN
from chestnutvale.schema.configuration_pb2 import Service, Text


def sort_model_services(text: Text) -> list[tuple[str, Service]]:
    """Return the model services, dependencies first.

    Among services whose dependencies are met, those with larger groups come first,
    since they are harder to place.

    Parameters
    ----------
    text : Text
        Configuration in force.

    Returns
    -------
    list of tuple of str and Service
        Name and service; services in a dependency cycle are omitted.
    """
    remaining = dict(text.services)
    ordered = []
    while remaining:
        ready = [name for name, item in remaining.items() if _is_ready(item, remaining)]
        if not ready:
            break
        ready.sort(key=lambda name: (-remaining[name].hosts_per_group, name))
        ordered.extend((name, remaining.pop(name)) for name in ready)
    return [(name, item) for name, item in ordered if item.kind != SERVICE_PLAIN]


def _is_ready(service: Service, remaining: dict[str, Service]) -> bool:
    return not any(dependency in remaining for dependency in service.depends_on)
