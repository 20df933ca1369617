"""Histories of concurrent clients and a linearizability checker for them."""

import math

import attrs


@attrs.define(eq=False)
class Operation:
    """One client operation; one of unknown outcome has no return time.

    A register knows "read" (result: value), "write" (argument: value) and "cas"
    (argument: expected and new value; result: whether it was swapped).
    """

    kind: str
    called_s: float
    argument: object = None
    result: object = None
    returned_s: float = math.inf

    def finish(self, now_s, result=None):
        self.returned_s = now_s
        self.result = result


def step_register(value, operation):
    """Return whether an operation's result fits a value, and the next value."""
    is_known = operation.returned_s < math.inf
    if operation.kind == "read":
        return operation.result == value or not is_known, value
    if operation.kind == "write":
        return True, operation.argument
    expected, new = operation.argument
    fits = not is_known or operation.result == (value == expected)
    return fits, new if value == expected else value


def is_linearizable(history, initial=None, step=step_register):
    """Search for a linearization (Wing and Gong with memoisation).

    Operations that did not run must not be in the history. One of unknown
    outcome may have taken effect at any time after its call, or never.

    Parameters
    ----------
    history : list of Operation
        The operations in any order.
    initial : hashable, optional
        The state before all of them.
    step : callable, optional
        Takes state and operation; returns whether the result fits and the state
        after it.
    """
    is_readable = lambda o: o.kind != "read" or o.returned_s < math.inf
    operations = sorted(filter(is_readable, history), key=lambda o: o.called_s)
    required = 0
    for position, operation in enumerate(operations):
        if operation.returned_s < math.inf:
            required |= 1 << position
    stack = [(0, initial)]
    seen = set(stack)
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        for position in _candidates(operations, done):
            fits, after = step(state, operations[position])
            node = (done | 1 << position, after)
            if fits and node not in seen:
                seen.add(node)
                stack.append(node)
    return False


def _candidates(operations, done):
    """Return operations that may come next: called before any other returned."""
    rest = [p for p in range(len(operations)) if not done >> p & 1]
    first_return_s = min(operations[p].returned_s for p in rest)
    return [p for p in rest if operations[p].called_s <= first_return_s]
