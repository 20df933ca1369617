"""The transport task: one inbox and one outgoing socket a peer."""

from collections import Counter
from collections.abc import Callable
from types import TracebackType
from typing import Self

import eventlet
import logbook
import pynng
from eventlet import hubs
from google.protobuf.message import Message

from chestnutvale.clock import Clock
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.transport.const import (
    DEFAULT_EXPIRY_MS,
    MAX_MESSAGE_BYTES,
    RECEIVE_BATCH_MESSAGES,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_MESSAGES,
)
from chestnutvale.transport.exceptions import MessageDroppedError, TransportError
from chestnutvale.transport.message_filter import MessageFilter
from chestnutvale.transport.silent_peers import SilentPeerDetector

_LOGGER = logbook.Logger(__name__)

Handler = Callable[[Envelope], None]


class TransportNode:
    """Owns a process's peer sockets; a context manager.

    Parameters
    ----------
    cluster_id : str
        Cluster of this process; messages of another one are dropped.
    own_id : str
        Identity of this process.
    incarnation : str
        This life of the process, from `make_incarnation`.
    address : str
        IP number and port of the inbox.
    clock : Clock
        Source of time.
    clocks_may_step : bool, optional
        See `MessageFilter`.

    Attributes
    ----------
    drops : Counter
        Received messages that were not acted on, by reason.
    """

    def __init__(
        self,
        cluster_id: str,
        own_id: str,
        incarnation: str,
        address: str,
        clock: Clock,
        *,
        clocks_may_step: bool = False,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.address = address
        self.drops: Counter[str] = Counter()
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self._cluster_id = cluster_id
        self._clock = clock
        self._message_filter = MessageFilter(cluster_id, own_id, clocks_may_step)
        self._silent_peers = SilentPeerDetector()
        self._handlers: dict[str, Handler] = {}
        self._inbox: pynng.Pull0 | None = None
        self._outboxes: dict[str, pynng.Push0] = {}
        self._task: eventlet.greenthread.GreenThread | None = None

    def __enter__(self) -> Self:
        """Open the inbox and start the receiving task."""
        inbox = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            inbox.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            inbox.close()
            raise TransportError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error
        self._inbox = inbox
        self._task = eventlet.spawn(self._receive_messages)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the receiving task and close all sockets."""
        if self._task is not None:
            self._task.kill()
        if self._inbox is not None:
            self._inbox.close()
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()

    @property
    def is_receiving(self) -> bool:
        """Whether the receiving task runs; without it the process is deaf."""
        return self._task is not None and not self._task.dead

    def register_handler(self, body: str, handler: Handler) -> None:
        """Register the handler of one kind of message.

        Parameters
        ----------
        body : str
            Name of the field in the envelope's ``body``.
        handler : callable
            Called in the receiving task; must not block.
        """
        self._handlers[body] = handler

    def send(
        self,
        recipient_id: str,
        address: str,
        body: str,
        message: Message,
        expiry_ms: int = DEFAULT_EXPIRY_MS,
    ) -> bool:
        """Send a message one way; delivery is not promised.

        Parameters
        ----------
        recipient_id : str
            Identity of the receiver.
        address : str
            IP number and port of the receiver's inbox.
        body : str
            Name of the field in the envelope's ``body``.
        message : Message
            The message.
        expiry_ms : int, optional
            Time in milliseconds for which the message is worth delivering.

        Returns
        -------
        bool
            False if the message was dropped because the peer takes none.
        """
        envelope = Envelope(
            cluster_id=self._cluster_id,
            sender_id=self.own_id,
            sender_incarnation=self.incarnation,
            recipient_id=recipient_id,
            expires_at_unix_ms=self._clock.unix_ms() + expiry_ms,
        )
        getattr(envelope, body).CopyFrom(message)
        data = envelope.SerializeToString()
        if self._silent_peers.record_send(recipient_id, address, self._clock.now_s()):
            self._close_outbox(address)
        try:
            self._get_outbox(address).send(data, block=False)
        except pynng.TryAgain:
            self.drops["send_buffer_full"] += 1
            return False
        except pynng.NNGException as error:
            _LOGGER.warning("Sending to {} failed: {}", address, error)
            return False
        self.sent_messages += 1
        self.sent_bytes += len(data)
        return True

    def read_counters(self) -> dict[str, object]:
        """Return what was sent, received and dropped, for the dump.

        Returns
        -------
        dict
            Messages, bytes and drops by reason.
        """
        return {
            "sent_messages": self.sent_messages,
            "sent_bytes": self.sent_bytes,
            "received_messages": self.received_messages,
            "received_bytes": self.received_bytes,
            "drops": dict(self.drops),
        }

    def _close_outbox(self, address: str) -> None:
        outbox = self._outboxes.pop(address, None)
        if outbox is None:
            return
        _LOGGER.info("Connecting to {} again: it is sent to and stays silent", address)
        self.drops["silent_peer"] += 1
        outbox.close()

    def _get_outbox(self, address: str) -> pynng.Push0:
        outbox = self._outboxes.get(address)
        if outbox is not None:
            return outbox
        outbox = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        outbox.dial(f"tcp://{address}", block=False)
        self._outboxes[address] = outbox
        return outbox

    def _receive_messages(self) -> None:
        while True:
            for _ in range(RECEIVE_BATCH_MESSAGES):
                data = self._receive_one()
                if data is None:
                    break
                self._dispatch(data)
            eventlet.sleep(0)

    def _receive_one(self) -> bytes | None:
        try:
            return self._inbox.recv(block=False)
        except pynng.TryAgain:
            hubs.trampoline(self._inbox.recv_fd, read=True)
            return None
        except RuntimeError:
            # The library can't unpack a message without any byte; it is consumed.
            return b""

    def _dispatch(self, data: bytes) -> None:
        self.received_messages += 1
        self.received_bytes += len(data)
        try:
            envelope = self._message_filter.decode_message(data, self._clock.unix_ms())
        except MessageDroppedError as error:
            self.drops[error.reason] += 1
            _LOGGER.debug("Dropped a message: {}", error)
            return
        self._silent_peers.record_receive(envelope.sender_id, self._clock.now_s())
        handler = self._handlers.get(envelope.WhichOneof("body"))
        if handler is None:
            self.drops["no_handler"] += 1
            return
        try:
            handler(envelope)
        except Exception:
            # One bad message must not end the task that receives all others.
            _LOGGER.exception("Handling a message from {} failed", envelope.sender_id)
            self.drops["handler_failed"] += 1
