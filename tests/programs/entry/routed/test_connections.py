"""Which connections to endpoints are kept and reused."""

import socket

import pytest

from chestnutvale.programs.entry.exceptions import EndpointUnavailableError
from chestnutvale.programs.entry.routed import connections
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.const import DEFAULT_IDLE_TIMEOUT_S
from chestnutvale.programs.entry.routed.exchange import RoutedExchange


class Clock:
    """A clock that a test sets."""

    time_s = 100.0

    def now_s(self):
        return self.time_s


@pytest.fixture
def endpoints():
    """Return addresses of listening sockets."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    yield [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pool(clock):
    pool = ConnectionPool(clock)
    yield pool
    pool.close()


def use(pool, clock, address, boot_id="b1"):
    """Acquire a connection and release it."""
    connection = pool.acquire(address, 1.0, boot_id)
    pool.release(connection, clock.now_s() + DEFAULT_IDLE_TIMEOUT_S)
    return connection


def test_an_endpoint_that_is_called_within_the_idle_time_keeps_its_connection(
    pool, clock, endpoints
):
    """A connection for each call would cost the endpoint a handshake each time."""
    for _ in range(3):
        use(pool, clock, endpoints[0])
        clock.time_s += 0.8 * DEFAULT_IDLE_TIMEOUT_S
        pool.close_expired()
    assert (pool.opened_connections, pool.reused_requests) == (1, 2)


def test_a_connection_to_an_earlier_run_of_the_host_is_not_reused(
    pool, clock, endpoints
):
    """A call that may run only once would fail with an unknown outcome."""
    first = use(pool, clock, endpoints[0], "b1")
    second = use(pool, clock, endpoints[0], "b2")
    assert second is not first
    assert first.sock.green_socket.fileno() == -1
    assert pool.opened_connections == 2


def make_exchange(pool, clock, address, may_send):
    return RoutedExchange(
        pool, None, None, address, None, 200.0, clock, lambda: may_send, None, "b1"
    )


def test_a_connection_on_which_nothing_was_sent_is_kept(pool, clock, endpoints):
    """An endpoint that pauses would have each call open a connection for nothing."""
    for _ in range(2):
        exchange = make_exchange(pool, clock, endpoints[0], may_send=False)
        with pytest.raises(EndpointUnavailableError), exchange:
            exchange.connect(1.0)
    assert (pool.opened_connections, pool.reused_requests) == (1, 1)


def test_an_unused_connection_keeps_the_end_of_its_idle_time(pool, clock, endpoints):
    """The endpoint closes it by then, and a request on it would be lost."""
    connection = use(pool, clock, endpoints[0], "b1")
    connection.requests = 1
    until_s = connection.reusable_until_s
    clock.time_s += 5.0
    exchange = make_exchange(pool, clock, endpoints[0], may_send=False)
    with pytest.raises(EndpointUnavailableError), exchange:
        exchange.connect(1.0)
    assert (pool.reused_requests, connection.reusable_until_s) == (1, until_s)


def test_an_aborted_connection_is_not_kept(pool, clock, endpoints):
    """The next call on it would fail."""
    with make_exchange(pool, clock, endpoints[0], may_send=True) as exchange:
        exchange.connect(1.0)
        exchange.abort()
    use(pool, clock, endpoints[0])
    assert pool.opened_connections == 2


def test_the_oldest_connection_is_closed_beyond_the_total(
    pool, clock, endpoints, monkeypatch
):
    """Idle connections would use up the file descriptors of requests."""
    monkeypatch.setattr(connections, "MAX_IDLE_CONNECTIONS", 2)
    kept = []
    for address in endpoints:
        kept.append(use(pool, clock, address))
        clock.time_s += 1.0
    closed = [item.sock.green_socket.fileno() == -1 for item in kept]
    assert closed == [True, False, False]
