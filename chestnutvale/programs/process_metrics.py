"""Metrics that every daemon has: its HTTP server and its peer messages."""

from chestnutvale.http_server.server import HttpServer
from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import LABEL_DIRECTION, LABEL_REASON
from chestnutvale.observability.metrics import Metrics, by_label, single
from chestnutvale.transport.node import TransportNode


def register_process_metrics(
    metrics: Metrics, server: HttpServer, transport: TransportNode
) -> None:
    """Publish what the server and the transport count.

    Parameters
    ----------
    metrics : Metrics
        The metrics of the process.
    server : HttpServer
        The HTTP server.
    transport : TransportNode
        The peer sockets.
    """
    metrics.gauge(catalog.REQUESTS_RUNNING, single(lambda: server.running_requests))
    metrics.gauge(catalog.CONNECTIONS, single(lambda: server.open_connections))
    metrics.counter(
        catalog.REQUESTS_REFUSED, by_label(LABEL_REASON, lambda: server.refused)
    )
    metrics.counter(
        catalog.PEER_MESSAGES,
        by_label(
            LABEL_DIRECTION,
            lambda: {
                "sent": transport.sent_messages,
                "received": transport.received_messages,
            },
        ),
    )
    metrics.counter(
        catalog.PEER_IO,
        by_label(
            LABEL_DIRECTION,
            lambda: {
                "sent": transport.sent_bytes,
                "received": transport.received_bytes,
            },
        ),
    )
    metrics.counter(catalog.PEER_DROPS, by_label(LABEL_REASON, lambda: transport.drops))
