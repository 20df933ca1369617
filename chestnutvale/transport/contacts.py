"""Find connections that went dead without a sign."""

import attrs

from chestnutvale.transport.const import SILENT_PEER_S


@attrs.define
class _Contact:
    """What was sent to a peer since it was last heard."""

    address: str
    # Time of the oldest message since the peer was heard, or since it was dialled.
    unanswered_from_s: float | None = None


@attrs.define
class PeerContacts:
    """Tells when the connection to a peer should be made anew.

    A connection can stop to carry bytes without a reset, and a message over it is
    lost without an error. Peers answer one another, so a peer that is sent to and
    stays silent is dialled again. That costs one handshake if the peer is down.

    Parameters
    ----------
    silent_peer_s : float, optional
        Longest silence in seconds of a peer that is sent to.
    """

    silent_peer_s: float = SILENT_PEER_S
    _contacts: dict[str, _Contact] = attrs.field(factory=dict)

    def note_sent(self, peer_id: str, address: str, now_s: float) -> bool:
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
        contact = self._contacts.get(peer_id)
        if contact is None or contact.address != address:
            self._contacts[peer_id] = _Contact(address, now_s)
            return False
        if contact.unanswered_from_s is None:
            contact.unanswered_from_s = now_s
            return False
        if now_s - contact.unanswered_from_s <= self.silent_peer_s:
            return False
        contact.unanswered_from_s = now_s
        return True

    def note_heard(self, peer_id: str, now_s: float) -> None:
        """Note a message of a peer.

        Parameters
        ----------
        peer_id : str
            The sender.
        now_s : float
            Monotonic time.
        """
        contact = self._contacts.get(peer_id)
        if contact is not None:
            contact.unanswered_from_s = None
