"""When an entry counts as isolated from all endpoints."""

from chestnutvale.routing.const import (
    ISOLATION_CONFIRMATION_S,
    ISOLATION_ENDPOINTS,
    ISOLATION_MEMORY_S,
    UNREACHABLE_RETENTION_S,
)
from chestnutvale.routing.reachability import EndpointReachability

ADDRESSES = [f"10.0.0.{number}:1" for number in range(ISOLATION_ENDPOINTS)]


def record_failures(reachability, addresses, now_s=0.0):
    """Record failures, the last one after the time that isolation takes."""
    *first, last = addresses
    changes = [reachability.record_failure(address, now_s) for address in first]
    later_s = now_s + ISOLATION_CONFIRMATION_S
    return [*changes, reachability.record_failure(last, later_s)]


def test_failures_at_several_endpoints_isolate_an_entry_once():
    reachability = EndpointReachability()
    changes = record_failures(reachability, ADDRESSES)
    assert changes == [*[False] * (ISOLATION_ENDPOINTS - 1), True]
    assert not reachability.record_failure("10.0.0.9:1", 1.0)
    assert reachability.is_isolated


def test_endpoints_that_fail_together_do_not_before_others_were_probed():
    reachability = EndpointReachability()
    for address in [*ADDRESSES, *ADDRESSES]:
        assert not reachability.record_failure(address, 0.0)
    reachability.record_success("10.0.0.9:1", 0.01)
    for address in ADDRESSES:
        assert not reachability.record_failure(address, 1.0)
    assert not reachability.is_isolated


def test_one_endpoint_that_fails_again_and_again_does_not():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES[:1] * 20)
    assert not reachability.is_isolated


def test_a_success_between_failures_prevents_isolation():
    reachability = EndpointReachability()
    for address in ADDRESSES:
        record_failures(reachability, [address])
        reachability.record_success("10.0.0.9:1", 0.0)
    assert not reachability.is_isolated


def test_failures_that_lie_far_apart_do_not_add_up():
    reachability = EndpointReachability()
    for number, address in enumerate(ADDRESSES):
        now_s = number * (UNREACHABLE_RETENTION_S + 0.2)
        record_failures(reachability, [address], now_s)
    assert not reachability.is_isolated


def test_successes_at_two_endpoints_end_isolation():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES)
    assert not reachability.record_success(ADDRESSES[0], 1.0)
    assert not reachability.record_success(ADDRESSES[0], 1.1)
    assert reachability.is_isolated
    assert reachability.record_success(ADDRESSES[1], 1.2)
    assert not reachability.is_isolated
    assert reachability.was_isolated(1.1 + ISOLATION_MEMORY_S)
    assert not reachability.was_isolated(1.3 + ISOLATION_MEMORY_S)


def test_the_only_endpoint_that_is_left_ends_isolation():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES)
    assert reachability.record_success(ADDRESSES[0], 1.0, endpoint_count=1)


def test_an_entry_that_reaches_one_of_many_endpoints_stays_isolated():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES)
    for _ in range(10):
        assert not reachability.record_success("10.0.0.9:1", 1.0)
        record_failures(reachability, ADDRESSES[:1], 1.0)
    assert reachability.is_isolated
