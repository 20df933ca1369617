"""Tests that calls are refused while a dependency has no serving group."""

import pytest

from chestnutvale.programs.entry.call_validation import (
    CallRefusedError,
    check_dependencies,
)
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from tests.programs.entry.entry_fakes import FakeContext, post, serve

CHAT = {"model": "llm", "messages": [{"role": "user", "content": "hello"}]}


@pytest.fixture
def context():
    """Return a context in which llm needs ledger-app, which needs store."""
    fake_context = FakeContext()
    fake_context.text.services["store"].kind = "plain"
    fake_context.text.services["ledger-app"].depends_on.append("store")
    fake_context.text.services["llm"].depends_on.append("ledger-app")
    fake_context.add_group("s1", "ledger-app", "127.0.0.1:1")
    return fake_context


def test_refused_model_call_names_missing_dependency(context):
    with serve(ModelCallHandler(context, "chat")) as address:
        status, headers, body = post(address, "/", CHAT)
    assert status == 503
    assert b"dependency_down" in body and b"needs store" in body
    assert b'"not_run"' in body
    assert "retry-after" in headers


@pytest.mark.parametrize(
    ("key", "outcome", "expected"),
    [({}, b'"not_run"', 503), ({"Idempotency_Key": "k"}, b'"unknown"', 502)],
)
def test_refused_plain_call_with_key_has_unknown_outcome(
    context, key, outcome, expected
):
    with serve(ServiceCallHandler(context, None)) as address:
        status, _, body = post(address, "/services/ledger-app/postings", {}, **key)
    assert status == expected
    assert b"dependency_down" in body and outcome in body
    assert context.reports == []


def test_calls_are_accepted_while_all_dependencies_serve(context):
    context.add_group("s2", "store", "127.0.0.1:2")
    check_dependencies(context, "llm")
    context.groups.clear()
    with pytest.raises(CallRefusedError) as refusal:
        check_dependencies(context, "llm")
    assert "store, ledger-app" in refusal.value.failure.message
