"""Detect peer connections that stopped delivering without a socket error."""

import attrs

from chestnutvale.transport.const import PEER_SILENCE_TIMEOUT_S


@attrs.define
class _PeerConnection:
    """Address of a peer and how long it has left messages unanswered."""

    address: str
    # Monotonic time of the first send since the last received message or reconnect.
    unanswered_since_s: float | None = None


@attrs.define
class SilentPeerDetector:
    """Decides when the connection to a peer should be reopened.

    A TCP connection can stop carrying data without a reset, and messages sent over it
    are then lost without an error. Peers reply to each other's messages, so a peer
    that stays silent while messages are sent to it is reconnected. If the peer is
    really down, this costs one handshake per timeout.

    Parameters
    ----------
    silence_timeout_s : float, optional
        Time in seconds without any message from the peer, counted from the first
        unanswered send, after which the connection should be reopened.
    """

    silence_timeout_s: float = PEER_SILENCE_TIMEOUT_S
    _connections: dict[str, _PeerConnection] = attrs.field(factory=dict)

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
            self._connections[peer_id] = _PeerConnection(address, now_s)
            return False
        if connection.unanswered_since_s is None:
            connection.unanswered_since_s = now_s
            return False
        if now_s - connection.unanswered_since_s <= self.silence_timeout_s:
            return False
        connection.unanswered_since_s = now_s
        return True

    def record_receive(self, peer_id: str, now_s: float) -> None:
        """Record a message received from a peer; its pending timeout is cleared.

        Parameters
        ----------
        peer_id : str
            Identity of the sender.
        now_s : float
            Monotonic time in seconds; not used.
        """
        connection = self._connections.get(peer_id)
        if connection is not None:
            connection.unanswered_since_s = None
