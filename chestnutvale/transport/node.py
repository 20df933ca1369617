"""Peer messaging: one inbox socket and one outgoing socket per peer."""

from collections import Counter
from collections.abc import Callable
from types import TracebackType
from typing import Self

import eventlet
import logbook
import pynng
from eventlet import hubs, queue, tpool
from google.protobuf.message import Message

from chestnutvale.clock import Clock
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.transport.const import (
    DEFAULT_EXPIRY_MS,
    RECEIVE_BATCH_MESSAGES,
)
from chestnutvale.transport.exceptions import MessageDroppedError, TransportError
from chestnutvale.transport.message_filter import MessageFilter, read_salt
from chestnutvale.transport.silent_peers import SilentPeerDetector
from chestnutvale.transport.sockets import make_inbox, make_outbox

_LOGGER = logbook.Logger(__name__)

Handler = Callable[[Envelope], None]


class TransportNode:
    """Sends and receives peer messages of one process; a context manager.

    Parameters
    ----------
    cluster_id : str
        Cluster of this process; messages from other clusters are dropped.
    own_id : str
        Identity of this process.
    incarnation : str
        Identifier of this run of the process, from `make_incarnation`.
    address : str
        IP address and port of the inbox.
    clock : Clock
        Source of time.
    clocks_may_step : bool, optional
        See `MessageFilter`.

    Attributes
    ----------
    drops : Counter
        Counts by reason: received messages that were dropped or whose handler failed,
        sends refused by a full buffer, and reconnects to silent peers.
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
        self._silent_peers = SilentPeerDetector(last_probe=read_salt(incarnation))
        self._handlers: dict[str, Handler] = {}
        self._inbox: pynng.Pull0 | None = None
        self._outboxes: dict[str, pynng.Push0] = {}
        self._task: eventlet.greenthread.GreenThread | None = None
        # Sockets that are no longer used and not closed yet.
        self._retired: queue.LightQueue = queue.LightQueue()
        self._closing_task: eventlet.greenthread.GreenThread | None = None

    def __enter__(self) -> Self:
        """Open the inbox and start the receiving task.

        Raises
        ------
        TransportError
            If the address can't be listened on.
        """
        inbox = make_inbox()
        try:
            inbox.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            inbox.close()
            raise TransportError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error
        self._inbox = inbox
        self._task = eventlet.spawn(self._receive_messages)
        self._closing_task = eventlet.spawn(self._close_retired)
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
        if self._closing_task is not None:
            self._closing_task.kill()
        if self._inbox is not None:
            self._inbox.close()
        while not self._retired.empty():
            self._retired.get_nowait().close()
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()

    @property
    def is_receiving(self) -> bool:
        """Whether the receiving task is running; if not, no message is handled."""
        return self._task is not None and not self._task.dead

    def register_handler(self, body: str, handler: Handler) -> None:
        """Register the handler for one kind of message, replacing any earlier one.

        Parameters
        ----------
        body : str
            Name of the field in the envelope's ``body``.
        handler : callable
            Called with the envelope in the receiving task; must not block.
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
        """Queue a message for a peer without blocking; delivery is not guaranteed.

        Parameters
        ----------
        recipient_id : str
            Identity of the recipient.
        address : str
            IP address and port of the recipient's inbox.
        body : str
            Name of the field in the envelope's ``body``.
        message : Message
            The message.
        expiry_ms : int, optional
            Lifetime in milliseconds; the recipient drops the message after that.

        Returns
        -------
        bool
            False if the message was dropped because the send buffer is full or the
            socket failed.
        """
        if self._silent_peers.record_send(recipient_id, address, self._clock.now_s()):
            self._close_outbox(address)
        probe, probe_reply = self._silent_peers.find_probes(recipient_id)
        envelope = Envelope(
            cluster_id=self._cluster_id,
            sender_id=self.own_id,
            sender_incarnation=self.incarnation,
            recipient_id=recipient_id,
            expires_at_unix_ms=self._clock.unix_ms() + expiry_ms,
            probe=probe,
            probe_reply=probe_reply,
        )
        getattr(envelope, body).CopyFrom(message)
        data = envelope.SerializeToString()
        try:
            self._get_outbox(address).send(data, block=False)
        except pynng.TryAgain:
            self.drops["send_buffer_full"] += 1
            return False
        except pynng.NNGException as error:
            _LOGGER.warning("Failed to send to peer {}: {}", address, error)
            return False
        self.sent_messages += 1
        self.sent_bytes += len(data)
        return True

    def read_counters(self) -> dict[str, object]:
        """Return the traffic counters for the diagnostic dump.

        Returns
        -------
        dict
            Messages and bytes sent and received, and drops by reason.
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
        _LOGGER.info("Reconnecting to peer {}: it left messages unanswered", address)
        self.drops["silent_peer"] += 1
        self._retired.put(outbox)

    def _close_retired(self) -> None:
        """Close sockets in a native thread, one at a time.

        Closing waits for threads of nng, which may wait for a processor themselves.
        """
        while True:
            outbox = self._retired.get()
            try:
                tpool.execute(outbox.close)
            except pynng.NNGException as error:
                _LOGGER.warning("Failed to close a connection: {}", error)

    def _get_outbox(self, address: str) -> pynng.Push0:
        outbox = self._outboxes.get(address)
        if outbox is not None:
            return outbox
        outbox = make_outbox()
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
            # pynng raises this for an empty message, which it has already consumed.
            return b""

    def _dispatch(self, data: bytes) -> None:
        self.received_messages += 1
        self.received_bytes += len(data)
        try:
            envelope = self._message_filter.decode_message(data, self._clock.unix_ms())
        except MessageDroppedError as error:
            self.drops[error.reason] += 1
            _LOGGER.debug("Dropped a received message: {}", error)
            return
        self._silent_peers.record_receive(
            envelope.sender_id,
            self._clock.now_s(),
            envelope.probe,
            envelope.probe_reply,
        )
        handler = self._handlers.get(envelope.WhichOneof("body"))
        if handler is None:
            self.drops["no_handler"] += 1
            return
        try:
            handler(envelope)
        except Exception:
            # A failing handler must not stop the task that receives all messages.
            _LOGGER.exception(
                "Handler failed for a message from {}", envelope.sender_id
            )
            self.drops["handler_failed"] += 1
