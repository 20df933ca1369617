"""Models the rate at which missing hosts return."""

import math
from typing import Final

import attrs


@attrs.frozen
class OutageKind:
    """One component of the distribution of outage lengths.

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
    """Hyperexponential distribution of outage lengths.

    Attributes
    ----------
    kinds : tuple of OutageKind
        Components; their shares add up to 1.
    """

    kinds: tuple[OutageKind, ...]

    def return_rate(self, away_s: float) -> float:
        """Return the hazard rate of a return.

        Parameters
        ----------
        away_s : float
            Seconds for which the host has been missing.

        Returns
        -------
        float
            Returns per second, given that the host is still missing. It falls with
            time, since a long outage becomes ever more likely.
        """
        remaining_shares = [
            kind.share * math.exp(-min(away_s / kind.mean_s, 700.0))
            for kind in self.kinds
        ]
        density = sum(
            share / kind.mean_s
            for share, kind in zip(remaining_shares, self.kinds, strict=True)
        )
        return density / sum(remaining_shares)


# A pause, a restart, and a host that needs manual repair.
MEMBER_OUTAGE: Final = OutageModel(
    (OutageKind(0.5, 10.0), OutageKind(0.3, 90.0), OutageKind(0.2, 14_400.0))
)
# A switch that restarts, and one that needs manual repair.
DOMAIN_OUTAGE: Final = OutageModel((OutageKind(0.6, 120.0), OutageKind(0.4, 7_200.0)))
