"""When an entry counts as isolated from all endpoints."""

from chestnutvale.routing.const import ISOLATION_ENDPOINTS, UNREACHABLE_RETENTION_S
from chestnutvale.routing.reachability import EndpointReachability

ADDRESSES = [f"10.0.0.{number}:1" for number in range(ISOLATION_ENDPOINTS)]


def record_failures(reachability, addresses, now_s=0.0):
    return [reachability.record_failure(address, now_s) for address in addresses]


def test_failures_at_several_endpoints_isolate_an_entry_once():
    reachability = EndpointReachability()
    changes = record_failures(reachability, [*ADDRESSES, "10.0.0.9:1"])
    assert changes == [*[False] * (ISOLATION_ENDPOINTS - 1), True, False]
    assert reachability.is_isolated


def test_one_endpoint_that_fails_again_and_again_does_not():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES[:1] * 20)
    assert not reachability.is_isolated


def test_a_success_between_failures_prevents_isolation():
    reachability = EndpointReachability()
    for address in ADDRESSES:
        record_failures(reachability, [address])
        reachability.record_success()
    assert not reachability.is_isolated


def test_failures_that_lie_far_apart_do_not_add_up():
    reachability = EndpointReachability()
    for number, address in enumerate(ADDRESSES):
        now_s = number * (UNREACHABLE_RETENTION_S + 0.1)
        record_failures(reachability, [address], now_s)
    assert not reachability.is_isolated


def test_one_success_ends_isolation():
    reachability = EndpointReachability()
    record_failures(reachability, ADDRESSES)
    assert reachability.record_success()
    assert not reachability.is_isolated
    assert not reachability.record_success()
