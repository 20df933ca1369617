"""Validation of the fields of an announcement."""

import functools
import ipaddress
import re
from typing import Final

from chestnutvale.membership.const import (
    HOLDING_PHASES,
    KIND_ENGINE,
    KIND_SERVICE,
    MAX_ACCELERATORS,
    MAX_ADAPTERS,
    MAX_CACHE_EVENTS,
    MAX_CACHED_ADDRESSES,
    MAX_COLD_REMAINING_MS,
    MAX_LABEL_LENGTH,
    MAX_LOAD_COUNT,
    MAX_NAME_LENGTH,
    MAX_SEQUENCE,
)
from chestnutvale.membership.exceptions import InvalidAnnouncementError
from chestnutvale.schema.membership_pb2 import Announcement, Holding

# Identities of hosts and boots, which are parts of ids.
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
_MAX_PORT: Final = 65_535


def validate_announcement(announcement: Announcement) -> None:
    """Validate the fields of an announcement against the limits in `const`.

    Parameters
    ----------
    announcement : Announcement
        The announcement as received.

    Raises
    ------
    InvalidAnnouncementError
        If a field is missing or out of range; names the field.
    """
    reason = _find_invalid_field(announcement)
    if reason:
        peer = announcement.host_id[:MAX_NAME_LENGTH]
        raise InvalidAnnouncementError(reason, peer=peer)


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_ip_and_port(address: str) -> bool:
    """Tell whether an address is an IP address with a port.

    Parameters
    ----------
    address : str
        For example ``"10.0.0.1:8000"`` or ``"[::1]:8000"``.

    Returns
    -------
    bool
        Whether the address is usable without DNS resolution.
    """
    number, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        return False
    try:
        ipaddress.ip_address(number.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and _NAME.fullmatch(text) is not None


def _is_label(text: str) -> bool:
    # Operators choose these names, so any character may occur in them.
    return 0 < len(text) <= MAX_LABEL_LENGTH


def _find_invalid_field(announcement: Announcement) -> str:
    for field in ("host_id", "boot_id"):
        if not _is_name(getattr(announcement, field)):
            return f"{field} is missing, too long or contains an invalid character"
    for field in ("data_centre", "fabric_domain"):
        if not _is_label(getattr(announcement, field)):
            return f"{field} is missing or too long"
    if not 0 < announcement.sequence < MAX_SEQUENCE:
        return "sequence must be at least 1 and below 2**63"
    if len(announcement.address) > MAX_NAME_LENGTH:
        return "address is too long"
    if not is_ip_and_port(announcement.address):
        return "address must be an IP address and a port"
    if announcement.accelerators > MAX_ACCELERATORS:
        return f"accelerators must not exceed {MAX_ACCELERATORS}"
    if announcement.cold_remaining_ms > MAX_COLD_REMAINING_MS:
        return f"cold_remaining_ms must not exceed {MAX_COLD_REMAINING_MS}"
    if announcement.kind not in (KIND_ENGINE, KIND_SERVICE):
        return "kind must be engine or service"
    if announcement.kind == KIND_SERVICE and not _is_label(announcement.service):
        return "service is missing or too long"
    if announcement.kind == KIND_ENGINE and announcement.service:
        return "service must be empty for an engine"
    if announcement.HasField("holding"):
        reason = _find_invalid_holding_field(announcement.holding)
        if reason:
            return reason
    return _find_invalid_load_field(announcement)


def _find_invalid_holding_field(holding: Holding) -> str:
    if not _is_label(holding.group_id) or not _is_label(holding.service):
        return "holding.group_id or holding.service is missing or too long"
    if holding.phase not in HOLDING_PHASES:
        return "holding.phase is unknown"
    if len(holding.version) > MAX_NAME_LENGTH:
        return "holding.version is too long"
    if len(holding.adapters) > MAX_ADAPTERS:
        return f"holding.adapters must not exceed {MAX_ADAPTERS}"
    if any(len(adapter) > MAX_NAME_LENGTH for adapter in holding.adapters):
        return "holding.adapters has a name that is too long"
    return ""


def _find_invalid_load_field(announcement: Announcement) -> str:
    load = announcement.load
    if max(load.running, load.waiting) > MAX_LOAD_COUNT:
        return f"load.running and load.waiting must not exceed {MAX_LOAD_COUNT}"
    events = announcement.cache_events
    if len(events.added) + len(events.removed) > MAX_CACHE_EVENTS:
        return f"cache_events must not exceed {MAX_CACHE_EVENTS}"
    if events.first_sequence > events.last_sequence:
        return "cache_events.first_sequence must not exceed last_sequence"
    return ""
