"""Chooses the entry through which a call goes on."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

import attrs

CHOICES = 2


@attrs.define
class PeerChoice:
    """Spreads the calls of an isolated entry over its peers.

    It answers a burst of calls, when most entries of a data centre are isolated: of two
    random peers, the one with fewer calls of this entry gets the next one.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    """

    rng: random.Random
    _running: Counter[str] = attrs.field(factory=Counter)

    def choose(self, addresses: Sequence[str], excluded: Collection[str]) -> str:
        """Choose a peer.

        Parameters
        ----------
        addresses : sequence of str
            Addresses of the peers.
        excluded : collection of str
            Those that the call has tried.

        Returns
        -------
        str
            The address; empty if none is left.
        """
        left = [address for address in addresses if address not in excluded]
        if not left:
            return ""
        drawn = self.rng.sample(left, min(CHOICES, len(left)))
        return min(drawn, key=lambda address: self._running[address])

    def call_started(self, address: str) -> None:
        """Count a call that goes on through a peer."""
        self._running[address] += 1

    def call_ended(self, address: str) -> None:
        """End the count of a call."""
        self._running[address] -= 1
        if self._running[address] <= 0:
            del self._running[address]
