"""Tells which hosts count as cold."""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from chestnutvale.membership.const import ANNOUNCEMENT_TRANSIT_S
from chestnutvale.membership.host_record import HostRecord

NO_EVACUATIONS: Final[Mapping[str, float]] = MappingProxyType({})


def find_cold_until_s(
    record: HostRecord, evacuations_ended_s: Mapping[str, float] = NO_EVACUATIONS
) -> float:
    """Return until when a host counts as cold.

    The workers of a data centre may have become cold unheard while it was evacuated.
    A host there counts as cold until an announcement that was sent after the end of the
    evacuation says otherwise.

    Parameters
    ----------
    record : HostRecord
        The host.
    evacuations_ended_s : mapping of str to float, optional
        Monotonic time in seconds at which the last evacuation of a data centre ended.

    Returns
    -------
    float
        Monotonic time in seconds; infinite until an announcement tells.
    """
    if record.announcement is None:
        return math.inf
    ended_s = evacuations_ended_s.get(record.announcement.data_centre, -math.inf)
    if record.heard_at_s < ended_s + ANNOUNCEMENT_TRANSIT_S:
        return math.inf
    return record.cold_until_s


def to_monotonic_ends(
    ends_unix_ms: Mapping[str, int], now_s: float, now_unix_ms: int
) -> dict[str, float]:
    """Convert the ends of evacuations to the clock of this process.

    Parameters
    ----------
    ends_unix_ms : mapping of str to int
        Wall-clock time in milliseconds at which the evacuation of a data centre ended.
    now_s : float
        Monotonic time in seconds.
    now_unix_ms : int
        Wall-clock time in milliseconds.

    Returns
    -------
    dict of str to float
        Monotonic times in seconds. An end in the future, by the clock of another
        control, counts as now.
    """
    return {
        data_centre: min(now_s, now_s - (now_unix_ms - end_unix_ms) / 1_000)
        for data_centre, end_unix_ms in ends_unix_ms.items()
    }


@attrs.frozen
class ColdRule:
    """Decides which groups the views name as cold.

    It answers the moment at which a group is published: a view that says that it
    serves says in the same version that it is cold.

    Attributes
    ----------
    bounded_services : frozenset of str
        Services whose cold hosts have a bound on their requests.
    evacuations_ended_s : mapping of str to float
        See `find_cold_until_s`.
    """

    bounded_services: frozenset[str] = frozenset()
    evacuations_ended_s: Mapping[str, float] = NO_EVACUATIONS

    def cold_until_s(self, record: HostRecord | None) -> float:
        """Return until when the head of a group counts as cold.

        Parameters
        ----------
        record : HostRecord or None
            The head; None if it is unknown.

        Returns
        -------
        float
            Monotonic time in seconds; infinite until an announcement tells.
        """
        if record is None:
            return math.inf
        return find_cold_until_s(record, self.evacuations_ended_s)


NO_COLD_RULE: Final = ColdRule()
