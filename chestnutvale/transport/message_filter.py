"""Decide which received messages a process may act on."""

from collections import deque

import attrs
from google.protobuf.message import DecodeError

from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.transport.const import (
    DROP_EXPIRED,
    DROP_FOREIGN_CLUSTER,
    DROP_MALFORMED,
    DROP_NO_BODY,
    DROP_OLD_INCARNATION,
    DROP_WRONG_RECIPIENT,
    MAX_SUPERSEDED_INCARNATIONS,
)
from chestnutvale.transport.exceptions import MessageDroppedError


@attrs.define
class MessageFilter:
    """Checks cluster, recipient, expiry and incarnation of each message.

    A socket may deliver a message long after it was sent, also from a process
    that has been restarted since. Incarnations sort by their start time, so an
    older one is told from the newest one seen.

    Parameters
    ----------
    cluster_id : str
        Cluster of this process.
    own_id : str
        Identity of this process.
    clocks_may_step : bool, optional
        Whether the time of day may jump on hosts. Messages then don't expire, and an
        incarnation is old if another one was heard after it.
    """

    cluster_id: str
    own_id: str
    clocks_may_step: bool = False
    _newest_incarnations: dict[str, str] = attrs.field(factory=dict)
    _superseded_incarnations: dict[str, deque[str]] = attrs.field(factory=dict)

    def decode_message(self, data: bytes, now_unix_ms: int) -> Envelope:
        """Parse a message and check that it is for this process and current.

        Parameters
        ----------
        data : bytes
            The message as received.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        Envelope
            The message.

        Raises
        ------
        MessageDroppedError
            If the message must not be acted on.
        """
        try:
            envelope = Envelope.FromString(data)
        except DecodeError as error:
            raise MessageDroppedError(DROP_MALFORMED) from error
        sender = envelope.sender_id
        if envelope.cluster_id != self.cluster_id:
            raise MessageDroppedError(DROP_FOREIGN_CLUSTER, peer=sender)
        if envelope.recipient_id != self.own_id:
            raise MessageDroppedError(DROP_WRONG_RECIPIENT, peer=sender)
        if envelope.WhichOneof("body") is None or not sender:
            raise MessageDroppedError(DROP_NO_BODY, peer=sender)
        is_expired = envelope.expires_at_unix_ms < now_unix_ms
        if is_expired and not self.clocks_may_step:
            raise MessageDroppedError(DROP_EXPIRED, peer=sender)
        if self._is_stale_incarnation(sender, envelope.sender_incarnation):
            raise MessageDroppedError(DROP_OLD_INCARNATION, peer=sender)
        self._record_incarnation(sender, envelope.sender_incarnation)
        return envelope

    def _is_stale_incarnation(self, sender: str, incarnation: str) -> bool:
        if self.clocks_may_step:
            return incarnation in self._superseded_incarnations.get(sender, ())
        return incarnation < self._newest_incarnations.get(sender, "")

    def _record_incarnation(self, sender: str, incarnation: str) -> None:
        newest = self._newest_incarnations.get(sender)
        if newest == incarnation:
            return
        if newest is not None:
            superseded = self._superseded_incarnations.setdefault(
                sender, deque(maxlen=MAX_SUPERSEDED_INCARNATIONS)
            )
            superseded.append(newest)
        self._newest_incarnations[sender] = incarnation


def make_incarnation(start_unix_ms: int, salt: int) -> str:
    """Name a process's life so that later lives sort after earlier ones.

    Parameters
    ----------
    start_unix_ms : int
        Wall-clock time of the start in milliseconds.
    salt : int
        Random number that tells two starts in one millisecond apart.

    Returns
    -------
    str
        The incarnation.
    """
    return f"{start_unix_ms:016x}-{salt & 0xFFFFFFFF:08x}"
