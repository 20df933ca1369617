"""Metrics common to all daemons: HTTP server and peer transport."""

from chestnutvale.http_server.server import HttpServer
from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import LABEL_DIRECTION, LABEL_REASON
from chestnutvale.observability.metrics import (
    Metrics,
    make_labelled_reader,
    make_unlabelled_reader,
)
from chestnutvale.transport.node import TransportNode


def register_process_metrics(
    metrics: Metrics, server: HttpServer, transport: TransportNode
) -> None:
    """Register the metrics of the HTTP server and the peer transport.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    server : HttpServer
        HTTP server whose counters are read.
    transport : TransportNode
        Peer transport whose counters are read.
    """
    metrics.register_gauge(
        catalog.REQUESTS_RUNNING,
        make_unlabelled_reader(lambda: server.running_requests),
    )
    metrics.register_gauge(
        catalog.CONNECTIONS, make_unlabelled_reader(lambda: server.open_connections)
    )
    metrics.register_counter(
        catalog.REQUESTS_REFUSED,
        make_labelled_reader(LABEL_REASON, lambda: server.refused),
    )
    metrics.register_counter(
        catalog.PEER_MESSAGES,
        make_labelled_reader(
            LABEL_DIRECTION,
            lambda: {
                "sent": transport.sent_messages,
                "received": transport.received_messages,
            },
        ),
    )
    metrics.register_counter(
        catalog.PEER_IO,
        make_labelled_reader(
            LABEL_DIRECTION,
            lambda: {
                "sent": transport.sent_bytes,
                "received": transport.received_bytes,
            },
        ),
    )
    metrics.register_counter(
        catalog.PEER_DROPS, make_labelled_reader(LABEL_REASON, lambda: transport.drops)
    )
