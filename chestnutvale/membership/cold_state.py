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


@attrs.frozen
class ColdRule:
    """Decides which groups the views name as cold.

    It answers the moment at which a group is published: a view that says that it
    serves says in the same version that it is cold.

    Attributes
    ----------
    bounded_services : frozenset of str
        Services whose cold hosts have a bound on their requests.
    slow_services : frozenset of str
        Services whose hosts are slow while they are cold; those of other services never
        count as cold.
    evacuations_ended_s : mapping of str to float
        See `find_cold_until_s`.
    """

    bounded_services: frozenset[str] = frozenset()
    slow_services: frozenset[str] = frozenset()
    evacuations_ended_s: Mapping[str, float] = NO_EVACUATIONS

    def cold_until_s(self, service: str, record: HostRecord | None) -> float:
        """Return until when the head of a group counts as cold.

        Parameters
        ----------
        service : str
            Service of the group.
        record : HostRecord or None
            The head; None if it is unknown.

        Returns
        -------
        float
            Monotonic time in seconds; infinite until an announcement tells.
        """
        if service not in self.bounded_services | self.slow_services:
            return -math.inf
        if record is None:
            return math.inf
        return find_cold_until_s(record, self.evacuations_ended_s)


NO_COLD_RULE: Final = ColdRule()
