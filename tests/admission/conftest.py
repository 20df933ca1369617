"""Fixtures of the tests of admission."""

import random

import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    ServiceCapacity,
    ServiceLimits,
)


@pytest.fixture
def make_controller():
    """Return a function that makes a controller of one service."""

    def make(capacity=10_000, weights=None, limits=None, seed=1):
        controller = AdmissionController(random.Random(seed))
        weights = weights or {"a": 1.0, "b": 1.0}
        controller.configure(weights, {"llm": limits or ServiceLimits()})
        controller.set_capacity("llm", ServiceCapacity(1, capacity), 0.0)
        return controller

    return make


@pytest.fixture
def make_request():
    """Return a function that makes a request of 100 tokens of prompt."""

    def make(request_id, workspace="a", priority="normal", deadline_s=1e6, **more):
        values = {"prompt_tokens": 100, "max_tokens": 100} | more
        return AdmissionRequest(
            request_id, "llm", workspace, priority, deadline_s=deadline_s, **values
        )

    return make
