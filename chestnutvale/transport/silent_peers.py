"""Find connections that went dead without a sign."""

import attrs

from chestnutvale.transport.const import PEER_SILENCE_TIMEOUT_S


@attrs.define
class _PeerConnection:
    """What was sent to a peer since it was last heard."""

    address: str
    # Time of the oldest message since the peer was heard, or since it was dialled.
    unanswered_since_s: float | None = None


@attrs.define
class SilentPeerDetector:
    """Tells when the connection to a peer should be made anew.

    A connection can stop to carry bytes without a reset, and a message over it is
    lost without an error. Peers answer one another, so a peer that is sent to and
    stays silent is dialled again. That costs one handshake if the peer is down.

    Parameters
    ----------
    silence_timeout_s : float, optional
        Longest silence in seconds of a peer that is sent to.
    """

    silence_timeout_s: float = PEER_SILENCE_TIMEOUT_S
    _connections: dict[str, _PeerConnection] = attrs.field(factory=dict)

    def record_send(self, peer_id: str, address: str, now_s: float) -> bool:
        """Note that a message is about to be sent.

        Parameters
        ----------
        peer_id : str
            The receiver.
        address : str
            Its address.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether its connection should be made anew first.
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
        """Note a message of a peer.

        Parameters
        ----------
        peer_id : str
            The sender.
        now_s : float
            Monotonic time.
        """
        connection = self._connections.get(peer_id)
        if connection is not None:
            connection.unanswered_since_s = None
