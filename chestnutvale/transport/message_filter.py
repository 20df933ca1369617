"""Validate received messages and discard stale or misaddressed ones."""

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

    A socket may deliver a message long after it was sent, even one from a process
    that has restarted since. Incarnations sort by start time, so a message from an
    earlier incarnation than the newest one seen is recognised and dropped.

    Parameters
    ----------
    cluster_id : str
        Cluster of this process.
    own_id : str
        Identity of this process.
    clocks_may_step : bool, optional
        Whether the wall clocks of hosts may jump. Messages then never expire, and an
        incarnation counts as stale once another one of the same process was seen
        after it, whatever their start times.
    """

    cluster_id: str
    own_id: str
    clocks_may_step: bool = False
    _newest_incarnations: dict[str, str] = attrs.field(factory=dict)
    _superseded_incarnations: dict[str, deque[str]] = attrs.field(factory=dict)

    def decode_message(self, data: bytes, now_unix_ms: int) -> Envelope:
        """Parse a message and check that it is current and meant for this process.

        Parameters
        ----------
        data : bytes
            Serialised envelope as received.
        now_unix_ms : int
            Current wall-clock time in milliseconds since the Unix epoch.

        Returns
        -------
        Envelope
            The parsed envelope.

        Raises
        ------
        MessageDroppedError
            If the message must be ignored; ``reason`` says why.
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
    """Build the identifier of a process run; later runs sort after earlier ones.

    Parameters
    ----------
    start_unix_ms : int
        Wall-clock start time in milliseconds since the Unix epoch.
    salt : int
        Random number that distinguishes two starts within one millisecond; only its
        low 32 bits are used.

    Returns
    -------
    str
        Start time and salt in hexadecimal, zero-padded to sort as text.
    """
    return f"{start_unix_ms:016x}-{salt & 0xFFFFFFFF:08x}"


def read_salt(incarnation: str) -> int:
    """Return the random part of an identifier of `make_incarnation`, 32 bits."""
    return int(incarnation.rpartition("-")[2], base=16)
