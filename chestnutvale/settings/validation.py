"""Validation of settings beyond what the schema types can express."""

import ipaddress
import re
from collections.abc import Iterable
from typing import NoReturn

from google.protobuf.message import Message

from chestnutvale.schema.settings_pb2 import PeerAddress
from chestnutvale.settings.exceptions import SettingsError
from chestnutvale.settings.loader import STEP_SETTINGS

MAX_PORT = 65_535

_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


def require_fields(message: Message, names: Iterable[str], origin: str) -> None:
    """Reject a message in which a required field is empty.

    Parameters
    ----------
    message : Message
        The loaded settings.
    names : iterable of str
        Names of the required fields.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If a field is empty or zero.
    """
    for name in names:
        if not getattr(message, name):
            raise SettingsError(
                f"field {name!r} is missing", step=STEP_SETTINGS, peer=origin
            )


def split_address(address: str, field: str, origin: str) -> tuple[str, int]:
    """Parse an address into IP address and port.

    Parameters
    ----------
    address : str
        For example ``"127.0.0.1:7000"`` or ``"[::1]:7000"``.
    field : str
        Name of the field, for the error message.
    origin : str
        Path of the settings file, for the error message.

    Returns
    -------
    tuple of (str, int)
        IP address without brackets, and port.

    Raises
    ------
    SettingsError
        If the address is not an IP address with a port from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise SettingsError(
            f"field {field!r}: {address!r} is not IP:PORT",
            step=STEP_SETTINGS,
            peer=origin,
        ) from error
    if not 0 < number <= MAX_PORT:
        raise SettingsError(
            f"field {field!r}: port {number} is out of range",
            step=STEP_SETTINGS,
            peer=origin,
        )
    return host, number


def check_peers(peers: Iterable[PeerAddress], field: str, origin: str) -> None:
    """Reject peers with an invalid address or a duplicate identity.

    Parameters
    ----------
    peers : iterable of PeerAddress
        The peers to check.
    field : str
        Name of the field, for the error message.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If a peer has no identity, an invalid address or the identity of another peer.
    """
    seen: set[str] = set()
    for position, peer in enumerate(peers):
        peer_field = f"{field}[{position}]"
        if not peer.id or peer.id in seen:
            raise SettingsError(
                f"field '{peer_field}.id': {peer.id!r} is empty or a duplicate",
                step=STEP_SETTINGS,
                peer=origin,
            )
        seen.add(peer.id)
        split_address(peer.address, f"{peer_field}.address", origin)
        if peer.http_address:
            split_address(peer.http_address, f"{peer_field}.http_address", origin)


def raise_field_error(field: str, reason: str, origin: str) -> NoReturn:
    """Raise the error for an invalid field.

    Parameters
    ----------
    field : str
        Name of the field.
    reason : str
        Why the value is invalid, worded to follow the field name.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        Always.
    """
    raise SettingsError(f"field {field!r}: {reason}", step=STEP_SETTINGS, peer=origin)


def check_range(
    message: Message,
    field: str,
    lowest: float,
    highest: float,
    origin: str,
    prefix: str = "",
) -> None:
    """Reject a number that is out of range.

    Parameters
    ----------
    message : Message
        The message that holds the field.
    field : str
        Name of the field.
    lowest, highest : float
        Bounds of the range, inclusive.
    origin : str
        Path of the settings file, for the error message.
    prefix : str, optional
        Path of the message within the file, with a trailing dot.

    Raises
    ------
    SettingsError
        If the value is out of range or NaN.
    """
    value = getattr(message, field)
    if not lowest <= value <= highest:
        raise_field_error(
            prefix + field, f"must be from {lowest} to {highest}, not {value}", origin
        )


def check_identifiers(message: Message, fields: Iterable[str], origin: str) -> None:
    """Reject identities that are empty or malformed.

    Parameters
    ----------
    message : Message
        The loaded settings.
    fields : iterable of str
        Names of the fields.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If an identity is empty, too long or holds other characters than letters,
        digits, dots, hyphens and underscores.
    """
    fields = tuple(fields)
    require_fields(message, fields, origin)
    for field in fields:
        if not _IDENTIFIER.fullmatch(getattr(message, field)):
            raise_field_error(
                field,
                "must start with a letter or digit and hold at most 128 letters, "
                "digits, dots, hyphens and underscores",
                origin,
            )
