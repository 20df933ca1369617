"""Calls that arrive while an entry stops end with a true answer."""

import pytest

from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    complete_answer,
    event,
    routed_entry,
)


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/fixed/x", "/gen/x"])
def test_call_that_can_outlast_the_stop_is_refused_before_it_is_sent(endpoint, path):
    endpoint.default = complete_answer(b"ran")
    with routed_entry(endpoint) as entry:
        entry.context.stop_window.ends_at_s = entry.context.clock.now_s() + 1.0
        status, headers, _, _ = call(entry.address, path, X_Left="2000", X_Model="m")
    assert (status, headers["x-code"]) == (503, "entry_stopping")
    assert float(headers["retry-after"]) < 0.5
    assert not endpoint.requests


def test_call_with_time_before_the_stop_is_served(endpoint):
    endpoint.default = complete_answer(b"ran")
    with routed_entry(endpoint) as entry:
        entry.context.stop_window.ends_at_s = entry.context.clock.now_s() + 1.0
        assert call(entry.address, "/once/x", X_Left="900")[2] == b"ran"


@pytest.mark.parametrize("path", ["/once/x", "/gen/x"])
def test_deadline_of_a_call_that_is_taken_during_a_stop_stays(endpoint, path):
    """An endpoint would break the answer off at an earlier one."""
    endpoint.default = complete_answer(event(1))
    with routed_entry(endpoint) as entry:
        window = entry.context.stop_window
        for _ in range(20):
            call(entry.address, path, X_Model="m")
        window.ends_at_s = entry.context.clock.now_s() + 0.5
        assert call(entry.address, path, X_Left="3000", X_Model="m")[2] == event(1)
    assert int(endpoint.header("x-left")) > 2_500
