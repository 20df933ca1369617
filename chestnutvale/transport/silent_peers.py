"""Detect peer connections that stopped delivering without a socket error."""

from collections import deque

import attrs

from chestnutvale.transport.const import (
    CONNECT_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_PROBE,
    MAX_REPLY_TIMEOUT_S,
    NO_PROBE,
    PEER_SILENCE_TIMEOUT_S,
    PROBE_INTERVAL_S,
)


@attrs.define
class _PeerConnection:
    """Address of a peer and how long it has left messages unanswered."""

    address: str
    # Monotonic time of the first send.
    first_sent_s: float
    timeout_s: float
    is_heard: bool
    # Whether the handshake with the peer probably began before it listened.
    must_reopen: bool = False
    # Whether a message without a reply came since the connection was opened.
    is_heard_without_reply: bool = False
    # The last probe sent, and those since the last reply with the monotonic times of
    # the first message that carried each.
    last_probe: int = NO_PROBE
    unanswered_probes: deque[tuple[int, float]] = attrs.field(factory=deque)

    def remove_answered(self, probe: int) -> bool:
        """Remove a probe and all before it; return False if it is not unanswered."""
        probes = [sent_probe for sent_probe, _ in self.unanswered_probes]
        if probe not in probes:
            return False
        for _ in range(probes.index(probe) + 1):
            self.unanswered_probes.popleft()
        return True

    def is_silent(self, now_s: float) -> bool:
        if not self.unanswered_probes:
            return False
        _, sent_s = self.unanswered_probes[0]
        return now_s - sent_s > self.timeout_s


@attrs.define
class SilentPeerDetector:
    """Decides when the connection to a peer should be reopened.

    A TCP connection can stop carrying data without a reset, and messages sent over it
    are then lost without an error. Two peers have a connection for each direction, so a
    message of a peer does not show that the connection to it delivers. Each message
    therefore carries a probe, and the last probe that came from the recipient as reply.
    A peer that repeats neither a probe nor a later one in time is reconnected. If the
    peer is really down, this costs one handshake per timeout.

    A large message on a slow link delays replies, while the peer goes on sending. Then
    the timeout grows with each reopening, which would otherwise cut every attempt.

    When all hosts of a deployment start together, the first ones open connections to
    hosts that are still down. So the timeout is shorter until a peer is heard, and its
    first message shows that a connection to it can be opened now.

    Parameters
    ----------
    silence_timeout_s : float, optional
        Time in seconds without a reply to a probe, counted from the first message that
        carried it, after which the connection should be reopened.
    connect_timeout_s : float, optional
        The same before the first message of the peer; doubled with each reopening, up
        to `silence_timeout_s`.
    max_reply_timeout_s : float, optional
        Longest timeout for a peer that sends messages, but no reply.
    last_probe : int, optional
        Probes are numbered from the next number on, 32 bits. It should differ between
        runs of a process, as a peer may repeat a probe of an earlier run.
    """

    silence_timeout_s: float = PEER_SILENCE_TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    max_reply_timeout_s: float = MAX_REPLY_TIMEOUT_S
    last_probe: int = NO_PROBE
    _connections: dict[str, _PeerConnection] = attrs.field(factory=dict)
    # The last probe that came from each peer.
    _received_probes: dict[str, int] = attrs.field(factory=dict)

    def record_send(self, peer_id: str, address: str, now_s: float) -> bool:
        """Record a message about to be sent and check for a silent peer.

        Parameters
        ----------
        peer_id : str
            Identity of the recipient.
        address : str
            IP address and port of its inbox; a changed address restarts the timeout.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if the connection should be reopened before sending.
        """
        connection = self._connections.get(peer_id)
        if connection is None or connection.address != address:
            is_heard = peer_id in self._received_probes
            connect_s = min(self.connect_timeout_s, self.silence_timeout_s)
            connection = _PeerConnection(
                address,
                first_sent_s=now_s,
                timeout_s=self.silence_timeout_s if is_heard else connect_s,
                is_heard=is_heard,
            )
            self._connections[peer_id] = connection
        must_reopen = connection.must_reopen or connection.is_silent(now_s)
        if must_reopen:
            connection.must_reopen = False
            connection.timeout_s = self._next_timeout_s(connection)
            connection.is_heard_without_reply = False
            connection.unanswered_probes.clear()
        self._add_probe(connection, now_s)
        return must_reopen

    def find_probes(self, peer_id: str) -> tuple[int, int]:
        """Return what a message that was recorded with `record_send` has to carry.

        Parameters
        ----------
        peer_id : str
            Identity of the recipient.

        Returns
        -------
        tuple of (int, int)
            The probe, and the last probe that came from the recipient.
        """
        connection = self._connections[peer_id]
        return connection.last_probe, self._received_probes.get(peer_id, NO_PROBE)

    def record_receive(
        self,
        peer_id: str,
        now_s: float,
        probe: int = NO_PROBE,
        probe_reply: int = NO_PROBE,
    ) -> None:
        """Record a message received from a peer and the probe that it repeats.

        Parameters
        ----------
        peer_id : str
            Identity of the sender.
        now_s : float
            Monotonic time in seconds.
        probe : int, optional
            Probe of the sender. Earlier builds send none; each of their messages counts
            as a reply.
        probe_reply : int, optional
            The last probe that the sender has received from this process.
        """
        self._received_probes[peer_id] = probe
        connection = self._connections.get(peer_id)
        if connection is None:
            return
        has_replied = connection.remove_answered(probe_reply)
        if probe == NO_PROBE:
            connection.unanswered_probes.clear()
        if connection.unanswered_probes and not has_replied:
            connection.is_heard_without_reply = True
            connection.timeout_s = max(connection.timeout_s, self.silence_timeout_s)
        else:
            connection.timeout_s = self.silence_timeout_s
        if not connection.is_heard:
            elapsed_s = now_s - connection.first_sent_s
            connection.must_reopen = not has_replied and elapsed_s > HANDSHAKE_TIMEOUT_S
        connection.is_heard = True

    def _next_timeout_s(self, connection: _PeerConnection) -> float:
        is_heard = connection.is_heard_without_reply
        limit_s = self.max_reply_timeout_s if is_heard else self.silence_timeout_s
        return min(2 * connection.timeout_s, limit_s)

    def _add_probe(self, connection: _PeerConnection, now_s: float) -> None:
        unanswered = connection.unanswered_probes
        if unanswered and now_s - unanswered[-1][1] < PROBE_INTERVAL_S:
            return
        self.last_probe = self.last_probe % MAX_PROBE + 1
        connection.last_probe = self.last_probe
        unanswered.append((self.last_probe, now_s))
