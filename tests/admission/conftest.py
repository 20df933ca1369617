"""Fixtures for the admission control tests."""

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
    """Return a factory for controllers with one service."""

    def make(capacity=10_000, weights=None, limits=None, seed=1):
        controller = AdmissionController(random.Random(seed))
        weights = weights or {"a": 1.0, "b": 1.0}
        controller.configure(weights, {"llm": limits or ServiceLimits()})
        controller.set_capacity("llm", ServiceCapacity(1, capacity), 0.0)
        return controller

    return make


@pytest.fixture
def make_request():
    """Return a factory for requests with a prompt of 100 tokens."""

    def make(request_id, workspace="a", priority="normal", deadline_s=1e6, **more):
        values = {"prompt_tokens": 100, "max_tokens": 100} | more
        return AdmissionRequest(
            request_id, "llm", workspace, priority, deadline_s=deadline_s, **values
        )

    return make
