"""Replicated state of the evacuated data centres."""

from collections.abc import Mapping

import attrs

from chestnutvale.evacuations.const import (
    MAX_DATA_CENTRES,
    OUTCOME_DONE,
    OUTCOME_REFUSED,
)
from chestnutvale.schema.evacuations_pb2 import (
    Evacuation,
    EvacuationResult,
    EvacuationsSnapshot,
    SetEvacuation,
)

NEVER_UNIX_MS = 0


def make_fault(data_centre: str) -> str:
    """Return the reason for which the groups of an evacuated data centre don't serve.

    Parameters
    ----------
    data_centre : str
        The data centre.

    Returns
    -------
    str
        The reason.
    """
    return f"the data centre {data_centre} is evacuated"


@attrs.define
class EvacuationState:
    """Evacuated data centres, and when the other evacuations ended.

    The last committed order for a data centre wins; an order that is already in force
    changes nothing. Designed for a few orders an hour on at most `MAX_DATA_CENTRES`
    data centres, and for reads in every round of the controls.
    """

    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    _evacuated: frozenset[str] = frozenset()

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that are evacuated now."""
        return self._evacuated

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres whose last order is kept."""
        return frozenset(self._evacuations)

    @property
    def in_force(self) -> Mapping[str, Evacuation]:
        """Orders in force, by evacuated data centre; callers must not modify them."""
        return {name: self._evacuations[name] for name in sorted(self._evacuated)}

    def is_evacuated(self, data_centre: str) -> bool:
        """Tell whether nothing new may be sent to a data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        bool
            Whether it is evacuated.
        """
        return data_centre in self._evacuated

    def finished_at_unix_ms(self, data_centre: str) -> int:
        """Return when the last evacuation of a data centre ended.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        int
            Wall-clock time of the leader in milliseconds; 0 if the data centre is
            evacuated now or no end is known.
        """
        evacuation = self._evacuations.get(data_centre)
        if evacuation is None or evacuation.evacuated:
            return NEVER_UNIX_MS
        return evacuation.changed_at_unix_ms

    def ended_unix_ms(self) -> dict[str, int]:
        """Return when the evacuations ended that are over.

        Returns
        -------
        dict of str to int
            Wall-clock time of the leader in milliseconds, by data centre.
        """
        return {
            name: item.changed_at_unix_ms
            for name, item in self._evacuations.items()
            if not item.evacuated
        }

    def apply(self, command: SetEvacuation, at_unix_ms: int) -> EvacuationResult:
        """Apply a committed order.

        Parameters
        ----------
        command : SetEvacuation
            The order.
        at_unix_ms : int
            Wall-clock time of the proposer in milliseconds.

        Returns
        -------
        EvacuationResult
            ``refused`` only for a name without text, or if too many data centres are
            evacuated already.
        """
        name = command.data_centre
        if not name:
            return _refuse("the name of the data centre is empty")
        is_evacuated = name in self._evacuated
        if is_evacuated == (not command.finish):
            return EvacuationResult(outcome=OUTCOME_DONE, changed=False)
        if not is_evacuated and not self._make_room(name):
            return _refuse(f"{MAX_DATA_CENTRES} data centres are evacuated already")
        self._evacuations[name] = Evacuation(
            data_centre=name,
            evacuated=not command.finish,
            changed_at_unix_ms=at_unix_ms,
            operator=command.operator,
        )
        self._update_evacuated()
        return EvacuationResult(outcome=OUTCOME_DONE, changed=True)

    def to_snapshot(self) -> EvacuationsSnapshot:
        """Return the state as a message, the same at every control."""
        return EvacuationsSnapshot(
            evacuations=[item for _, item in sorted(self._evacuations.items())]
        )

    @classmethod
    def from_snapshot(cls, snapshot: EvacuationsSnapshot) -> "EvacuationState":
        """Return the state of a snapshot.

        Parameters
        ----------
        snapshot : EvacuationsSnapshot
            The message; empty in a snapshot of a build without evacuations.

        Returns
        -------
        EvacuationState
            The state.
        """
        state = cls({item.data_centre: item for item in snapshot.evacuations})
        state._update_evacuated()
        return state

    def _make_room(self, name: str) -> bool:
        """Drop the oldest finished evacuation if too many are kept."""
        if name in self._evacuations or len(self._evacuations) < MAX_DATA_CENTRES:
            return True
        finished = self._evacuations.keys() - self._evacuated
        if not finished:
            return False
        oldest = min(
            finished,
            key=lambda item: (self._evacuations[item].changed_at_unix_ms, item),
        )
        del self._evacuations[oldest]
        return True

    def _update_evacuated(self) -> None:
        self._evacuated = frozenset(
            name for name, item in self._evacuations.items() if item.evacuated
        )


def _refuse(reason: str) -> EvacuationResult:
    return EvacuationResult(outcome=OUTCOME_REFUSED, reason=reason)
