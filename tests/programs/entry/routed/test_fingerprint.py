"""Fingerprints of routed requests tell apart what may crash endpoints."""

from types import SimpleNamespace

from chestnutvale.programs.entry.routed.handler import _compute_fingerprint


def fingerprint(key="k", model="m", parts=(), body=b""):
    request = SimpleNamespace(
        key=key,
        method="POST",
        target="/gen/x",
        model=model,
        max_tokens=10,
        prompt_parts=parts,
    )
    return _compute_fingerprint(request, body)


def test_requests_whose_parts_join_to_one_text_differ():
    # Guards against a request that is refused for the crashes of another one.
    # Joined by spaces, both are "k POST /gen/x m 10 10 a".
    assert fingerprint(parts=("a b",)) != fingerprint(parts=("a", "b"))
    assert fingerprint(model="m 10", parts=("a",)) != fingerprint(parts=("10", "a"))


def test_same_request_has_the_same_fingerprint():
    assert fingerprint(parts=("a", "b")) == fingerprint(parts=("a", "b"))
