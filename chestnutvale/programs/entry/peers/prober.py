"""Probes endpoints while the entry is isolated, or may be."""

import random
from collections.abc import Callable, Sequence

import eventlet
from eventlet.event import Event

from chestnutvale.clock import Clock
from chestnutvale.http_client.timed_socket import TimedSocket
from chestnutvale.programs.entry.peers.const import (
    MIN_PROBE_INTERVAL_SHARE,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    SUSPICION_INTERVAL_S,
    SUSPICION_PROBES,
)
from chestnutvale.programs.periodic import run_periodically


class ReachabilityProber:
    """Opens connections to endpoints to learn whether any can be reached.

    Parameters
    ----------
    list_addresses : callable
        Returns the addresses of the endpoints that take requests.
    record_connect : callable
        Gets the address and whether the connection could be opened.
    is_isolated : callable
        Tells whether the entry is isolated.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        list_addresses: Callable[[], Sequence[str]],
        record_connect: Callable[[str, bool], None],
        is_isolated: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._list_addresses = list_addresses
        self._record_connect = record_connect
        self._is_isolated = is_isolated
        self._clock = clock
        self._rng = rng
        self._isolated_event = Event()
        self._next_suspicion_s = 0.0

    def run(self) -> None:
        """Probe one endpoint after another while isolated, until the task is killed."""
        run_periodically("probing endpoints", self._run_round, self._find_pause_s)

    def wake(self) -> None:
        """Begin to probe, because the entry has become isolated."""
        if not self._isolated_event.ready():
            self._isolated_event.send()

    def check_suspicion(self) -> None:
        """Probe a few endpoints at once after a silence or a failed connection."""
        now_s = self._clock.now_s()
        if now_s < self._next_suspicion_s or self._is_isolated():
            return
        self._next_suspicion_s = now_s + SUSPICION_INTERVAL_S
        for address in self._draw(SUSPICION_PROBES):
            eventlet.spawn_n(self.probe, address)

    def reaches_another(self, address: str) -> bool:
        """Tell whether an endpoint other than the one at an address can be reached.

        Parameters
        ----------
        address : str
            IP address and port of an endpoint that can't be reached.

        Returns
        -------
        bool
            True also if there is no other endpoint.
        """
        others = [other for other in self._draw(SUSPICION_PROBES) if other != address]
        return not others or any(map(self.probe, others))

    def probe(self, address: str) -> bool:
        """Open a connection to an endpoint, record the result and close it.

        Parameters
        ----------
        address : str
            IP address and port.

        Returns
        -------
        bool
            Whether it could be opened.
        """
        try:
            sock = TimedSocket.open(address, PROBE_TIMEOUT_S, self._clock)
        except (OSError, ValueError):
            # The caller logs what follows from it.
            self._record_connect(address, False)
            return False
        sock.close()
        self._record_connect(address, True)
        return True

    def _run_round(self) -> None:
        if not self._is_isolated():
            self._isolated_event = Event()
            self._isolated_event.wait()
            return
        for address in self._draw(1):
            self.probe(address)

    def _find_pause_s(self) -> float:
        # Jitter, so that isolated entries do not all return at the same moment.
        return PROBE_INTERVAL_S * self._rng.uniform(MIN_PROBE_INTERVAL_SHARE, 1.0)

    def _draw(self, count: int) -> list[str]:
        addresses = list(self._list_addresses())
        return self._rng.sample(addresses, min(count, len(addresses)))
