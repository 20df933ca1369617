"""Tests of the linearizability checker."""

import pytest

from tests.history import Operation, is_linearizable


def write(value, called_s, *returned_s):
    return make("write", called_s, returned_s, value, None)


def read(value, called_s, *returned_s):
    return make("read", called_s, returned_s, None, value)


def cas(expected, new, swapped, called_s, *returned_s):
    return make("cas", called_s, returned_s, (expected, new), swapped)


def make(kind, called_s, returned_s, argument, result):
    operation = Operation(kind, called_s, argument)
    if returned_s:
        operation.finish(returned_s[0], result)
    return operation


@pytest.mark.parametrize(
    "history",
    [
        [write(1, 0, 1), read(1, 2, 3)],
        [write(1, 0, 5), read(None, 1, 2), read(1, 3, 4)],
        [write(1, 0), read(None, 1, 2), read(1, 3, 4)],
        [write(1, 0), read(None, 1, 2)],
        [write(1, 0, 1), cas(1, 2, True, 2, 5), cas(1, 3, False, 2, 5)],
        [write(1, 0, 1), cas(1, 2, None, 2), read(2, 9, 10)],
    ],
)
def test_explainable_histories(history):
    assert is_linearizable(history)


@pytest.mark.parametrize(
    "history",
    [
        [write(1, 0, 1), read(None, 2, 3)],
        [write(1, 0, 5), read(1, 1, 2), read(None, 3, 4)],
        [write(1, 0), read(1, 1, 2), read(None, 3, 4)],
        [write(1, 0, 1), cas(1, 2, True, 2, 5), cas(1, 3, True, 2, 5)],
        [write(1, 0, 1), cas(1, 2, False, 2, 3)],
    ],
)
def test_impossible_histories(history):
    assert not is_linearizable(history)
