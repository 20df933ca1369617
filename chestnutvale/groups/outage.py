"""How likely a missing host is to return, from how long it has been away."""

import math
from typing import Final

import attrs


@attrs.frozen
class OutageKind:
    """One kind of outage.

    Attributes
    ----------
    share : float
        Share of all outages that are of this kind.
    mean_s : float
        Mean length in seconds; lengths are distributed exponentially.
    """

    share: float
    mean_s: float


@attrs.frozen
class OutageModel:
    """A mixture of outages, short and long.

    Attributes
    ----------
    kinds : tuple of OutageKind
        The kinds; their shares add up to 1.
    """

    kinds: tuple[OutageKind, ...]

    def return_rate(self, away_s: float) -> float:
        """Return the hazard of a return.

        Parameters
        ----------
        away_s : float
            Time in seconds for which the host has been away.

        Returns
        -------
        float
            Returns per second, given that the host is still away; it falls with
            time, since what remains is ever more likely a long outage.
        """
        left = [
            kind.share * math.exp(-min(away_s / kind.mean_s, 700.0))
            for kind in self.kinds
        ]
        density = sum(
            share / kind.mean_s for share, kind in zip(left, self.kinds, strict=True)
        )
        return density / sum(left)


# A pause, a restart, and a host that needs hands.
MEMBER_OUTAGE: Final = OutageModel(
    (OutageKind(0.5, 10.0), OutageKind(0.3, 90.0), OutageKind(0.2, 14_400.0))
)
# A switch that restarts, and one that needs hands.
DOMAIN_OUTAGE: Final = OutageModel((OutageKind(0.6, 120.0), OutageKind(0.4, 7_200.0)))
