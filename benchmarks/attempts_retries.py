"""Measures extra attempts and failed calls under faults, by retry policy."""

import random
from collections.abc import Callable

import attrs
import defopt

from chestnutvale.attempts.call_limits import CallLimits
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallEffect,
    ChooseGroup,
    EventsArrived,
    Finish,
    GroupChosen,
    NoGroupAvailable,
    StartAttempt,
    Started,
)
from chestnutvale.attempts.model_call import ModelCall
from chestnutvale.attempts.retry_budget import AttemptBudgets, RetryBudget
from chestnutvale.attempts.sse import StreamEvent

GROUPS = [f"g{number}" for number in range(15)]
UNBOUNDED = 1e9

# Returns how an attempt at a group ends: "whole", "broken" or a refusal code.
FaultModel = Callable[[str], str]


@attrs.define
class Totals:
    """Counts of one run.

    Attributes
    ----------
    calls, attempts, completed : int
        Calls, their attempts, and calls with a complete answer.
    """

    calls: int = 0
    attempts: int = 0
    completed: int = 0


def run_call(
    number: int,
    budgets: AttemptBudgets,
    limits: CallLimits,
    fault_model: FaultModel,
    rng: random.Random,
) -> tuple[int, bool]:
    """Run one call to its end.

    Parameters
    ----------
    number : int
        Number of the call.
    budgets : AttemptBudgets
        Budgets of the entry.
    limits : CallLimits
        Limits on the attempts of the call.
    fault_model : callable
        Returns how an attempt at a group ends.
    rng : random.Random
        Random source of the choice of groups.

    Returns
    -------
    attempts : int
        Number of attempts made.
    is_complete : bool
        Whether the answer was complete.
    """
    call = ModelCall(f"r{number}", UNBOUNDED, budgets, limits)
    effects = call.handle(Started(), 0.0)
    while True:
        next_effects: list[CallEffect] = []
        for effect in effects:
            if isinstance(effect, Finish):
                return call.attempts, effect.failure is None
            if isinstance(effect, ChooseGroup):
                next_effects += call.handle(_choose_group(effect, rng), 0.0)
            elif isinstance(effect, StartAttempt):
                next_effects += call.handle(_end_attempt(effect, fault_model), 0.0)
        effects = next_effects


def _choose_group(
    effect: ChooseGroup, rng: random.Random
) -> GroupChosen | NoGroupAvailable:
    groups = [group for group in GROUPS if group not in effect.excluded]
    return GroupChosen(rng.choice(groups), 1, "1") if groups else NoGroupAvailable(1.0)


def _end_attempt(
    effect: StartAttempt, fault_model: FaultModel
) -> EventsArrived | AttemptRefused | AttemptBroken:
    result = fault_model(effect.group_id)
    if result == "broken":
        return AttemptBroken(effect.attempt_id, "reset")
    if result != "whole":
        return AttemptRefused(effect.attempt_id, result)
    attempt_id = effect.attempt_id.encode()
    events = [
        StreamEvent(attempt_id, 0, 1, b"data: x\n\n"),
        StreamEvent(attempt_id, 1, 1, b"data: end\n\n"),
        StreamEvent(b"", 0, 0, b"data: [DONE]\n\n", is_done=True),
    ]
    return EventsArrived(effect.attempt_id, events)


def main(*, calls: int = 20_000, seed: int = 1) -> None:
    """Print attempts per call and complete answers for each policy and fault.

    Parameters
    ----------
    calls : int
        Number of calls of each run.
    seed : int
        Seed of the choice of groups.
    """
    faulty_groups = set(GROUPS[::3])
    fault_models: dict[str, FaultModel] = {
        "a third unreachable": lambda g: (
            "unreachable" if g in faulty_groups else "whole"
        ),
        "a third breaks streams": lambda g: "broken" if g in faulty_groups else "whole",
        "a third overloaded": lambda g: "overloaded" if g in faulty_groups else "whole",
        "all unreachable": lambda g: "unreachable",
        "all overloaded": lambda g: "overloaded",
    }
    policies: dict[str, Callable[[], tuple[AttemptBudgets, CallLimits]]] = {
        "one attempt": lambda: (AttemptBudgets(), CallLimits(max_attempts=1)),
        "four attempts, no budget": lambda: (
            AttemptBudgets(RetryBudget(4.0, UNBOUNDED), RetryBudget(4.0, UNBOUNDED)),
            CallLimits(max_attempts=4),
        ),
        "four attempts, budgets": lambda: (
            AttemptBudgets(),
            CallLimits(max_attempts=4),
        ),
    }
    for fault_name, fault_model in fault_models.items():
        for policy_name, make_policy in policies.items():
            budgets, limits = make_policy()
            rng = random.Random(seed)
            totals = Totals()
            for number in range(calls):
                attempts, is_complete = run_call(
                    number, budgets, limits, fault_model, rng
                )
                totals.calls += 1
                totals.attempts += attempts
                totals.completed += is_complete
            print(
                f"{fault_name:24} {policy_name:26} "
                f"{totals.attempts / totals.calls:.3f} attempts a call, "
                f"{100 * totals.completed / totals.calls:.2f}% whole"
            )


if __name__ == "__main__":
    defopt.run(main)
