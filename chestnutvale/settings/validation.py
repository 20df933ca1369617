"""Checks of settings that the schema's types can't express."""

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
    """Refuse a message in which a required field is empty.

    Parameters
    ----------
    message : Message
        The loaded settings.
    names : iterable of str
        Names of the required fields.
    origin : str
        Name of the file, for the error.

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
    """Split an address into IP number and port.

    Parameters
    ----------
    address : str
        For example ``"127.0.0.1:7000"`` or ``"[::1]:7000"``.
    field : str
        Name of the field, for the error.
    origin : str
        Name of the file, for the error.

    Returns
    -------
    tuple of (str, int)
        IP number and port.

    Raises
    ------
    SettingsError
        If the address is not an IP number with a port.
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
    """Refuse a list of peers with a wrong address or a doubled identity.

    Parameters
    ----------
    peers : iterable of PeerAddress
        The peers.
    field : str
        Name of the field, for the error.
    origin : str
        Name of the file, for the error.

    Raises
    ------
    SettingsError
        If a peer has no identity, a wrong address or another peer's identity.
    """
    seen: set[str] = set()
    for position, peer in enumerate(peers):
        place = f"{field}[{position}]"
        if not peer.id or peer.id in seen:
            raise SettingsError(
                f"field '{place}.id': {peer.id!r} is empty or doubled",
                step=STEP_SETTINGS,
                peer=origin,
            )
        seen.add(peer.id)
        split_address(peer.address, f"{place}.address", origin)
        if peer.http_address:
            split_address(peer.http_address, f"{place}.http_address", origin)


def raise_field_error(field: str, reason: str, origin: str) -> NoReturn:
    """Refuse a field.

    Parameters
    ----------
    field : str
        Name of the field.
    reason : str
        What is wrong with it.
    origin : str
        Name of the file, for the error.

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
    """Refuse a number that is out of range.

    Parameters
    ----------
    message : Message
        The message that holds the field.
    field : str
        Name of the field.
    lowest, highest : float
        The range, both ends included.
    origin : str
        Name of the file, for the error.
    prefix : str, optional
        Name of the message within the file, with a dot.

    Raises
    ------
    SettingsError
        If the number is out of range or not a number.
    """
    value = getattr(message, field)
    if not lowest <= value <= highest:
        raise_field_error(
            prefix + field, f"must be from {lowest} to {highest}, not {value}", origin
        )


def check_identifiers(message: Message, fields: Iterable[str], origin: str) -> None:
    """Refuse identities that are empty or hold unusual characters.

    Parameters
    ----------
    message : Message
        The loaded settings.
    fields : iterable of str
        Names of the fields.
    origin : str
        Name of the file, for the error.

    Raises
    ------
    SettingsError
        If an identity is wrong.
    """
    fields = tuple(fields)
    require_fields(message, fields, origin)
    for field in fields:
        if not _IDENTIFIER.fullmatch(getattr(message, field)):
            raise_field_error(
                field, "holds letters, digits, dots, hyphens, underscores", origin
            )
