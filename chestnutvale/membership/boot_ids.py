"""Boot ids that tell when the boot began."""

import re

_BORN_BOOT_ID = re.compile(r"born-([1-9][0-9]{0,18})")


def make_born_boot_id(born_unix_ms: int) -> str:
    """Return the boot id of a host that reports when it started.

    Parameters
    ----------
    born_unix_ms : int
        Start of the host in milliseconds since the Unix epoch, by its own clock.

    Returns
    -------
    str
        The boot id.
    """
    return f"born-{born_unix_ms}"


def is_earlier_boot(boot_id: str, other_id: str) -> bool:
    """Tell whether a boot certainly began before another one of the same host.

    Parameters
    ----------
    boot_id, other_id : str
        The boot ids.

    Returns
    -------
    bool
        False also if one of them does not tell when it began.
    """
    own, other = map(_BORN_BOOT_ID.fullmatch, (boot_id, other_id))
    return own is not None and other is not None and int(own[1]) < int(other[1])
