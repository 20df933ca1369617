"""Detect peer connections that stopped delivering without a socket error."""

import attrs

from chestnutvale.transport.const import (
    CONNECT_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    PEER_SILENCE_TIMEOUT_S,
)


@attrs.define
class _PeerConnection:
    """Address of a peer and how long it has left messages unanswered."""

    address: str
    # Monotonic time of the first send.
    first_sent_s: float
    # Monotonic time of the first send since the last received message or reconnect.
    unanswered_since_s: float | None
    timeout_s: float
    is_heard: bool
    # Whether the handshake with the peer probably began before it listened.
    must_reopen: bool = False


@attrs.define
class SilentPeerDetector:
    """Decides when the connection to a peer should be reopened.

    A TCP connection can stop carrying data without a reset, and messages sent over it
    are then lost without an error. Peers reply to each other's messages, so a peer
    that stays silent while messages are sent to it is reconnected. If the peer is
    really down, this costs one handshake per timeout.

    When all hosts of a deployment start together, the first ones open connections to
    hosts that are still down. So the timeout is shorter until a peer is heard, and its
    first message shows that a connection to it can be opened now.

    Parameters
    ----------
    silence_timeout_s : float, optional
        Time in seconds without any message from the peer, counted from the first
        unanswered send, after which the connection should be reopened.
    connect_timeout_s : float, optional
        The same before the first message of the peer; doubled with each reopening, up
        to `silence_timeout_s`.
    """

    silence_timeout_s: float = PEER_SILENCE_TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    _connections: dict[str, _PeerConnection] = attrs.field(factory=dict)
    # Peers whose first message came before any was sent to them.
    _heard_first: set[str] = attrs.field(factory=set)

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
            is_heard = peer_id in self._heard_first
            connect_s = min(self.connect_timeout_s, self.silence_timeout_s)
            self._connections[peer_id] = _PeerConnection(
                address,
                first_sent_s=now_s,
                unanswered_since_s=now_s,
                timeout_s=self.silence_timeout_s if is_heard else connect_s,
                is_heard=is_heard,
            )
            return False
        if connection.must_reopen:
            connection.must_reopen = False
            return True
        if connection.unanswered_since_s is None:
            connection.unanswered_since_s = now_s
            return False
        if now_s - connection.unanswered_since_s <= connection.timeout_s:
            return False
        connection.unanswered_since_s = now_s
        connection.timeout_s = min(2 * connection.timeout_s, self.silence_timeout_s)
        return True

    def record_receive(self, peer_id: str, now_s: float) -> None:
        """Record a message received from a peer; its pending timeout is cleared.

        Parameters
        ----------
        peer_id : str
            Identity of the sender.
        now_s : float
            Monotonic time in seconds.
        """
        connection = self._connections.get(peer_id)
        if connection is None:
            self._heard_first.add(peer_id)
            return
        if not connection.is_heard:
            elapsed_s = now_s - connection.first_sent_s
            connection.must_reopen = elapsed_s > HANDSHAKE_TIMEOUT_S
        connection.is_heard = True
        connection.unanswered_since_s = None
        connection.timeout_s = self.silence_timeout_s
