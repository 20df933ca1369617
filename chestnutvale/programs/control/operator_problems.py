"""Problem responses of the operators' HTTP API."""

from chestnutvale.configuration.exceptions import TextError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.const import OUTCOME_NOT_RUN
from chestnutvale.http_server.problem import Problem
from chestnutvale.programs.control.operator_const import (
    CODE_CONFLICT,
    CODE_EVACUATION_NOT_READY,
    CODE_EVACUATION_REFUSED,
    CODE_UNKNOWN_DATA_CENTRE,
    RETRY_AFTER_S,
    STEP_OPERATOR,
)
from chestnutvale.schema.operator_pb2 import ApplyAnswer
from chestnutvale.schema_json import message_to_data

# HTTP status of each reason for which an evacuation order has no effect.
EVACUATION_STATUSES = {
    CODE_UNKNOWN_DATA_CENTRE: 422,
    CODE_EVACUATION_REFUSED: 409,
    CODE_EVACUATION_NOT_READY: 503,
}


class ProblemAnswer(Exception):
    """Aborts a request with a problem response.

    Parameters
    ----------
    problem : Problem
        The problem to send.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def make_refusal(status: int, code: str, detail: str) -> ProblemAnswer:
    """Return an exception that refuses a request that has not run."""
    problem = Problem(
        status=status,
        code=code,
        detail=detail,
        outcome=OUTCOME_NOT_RUN,
        step=STEP_OPERATOR,
    )
    return ProblemAnswer(problem)


def make_text_problem(error: TextError) -> Problem:
    """Return the response to an invalid text."""
    problems = [
        {"line": item.line, "path": item.path, "reason": item.reason}
        for item in error.problems
    ]
    return Problem(
        status=400,
        code=error.code,
        detail=error.message,
        outcome=OUTCOME_NOT_RUN,
        step=error.step,
        extra={"problems": problems},
    )


def make_conflict_problem(answer: ApplyAnswer) -> Problem:
    """Return the response to a text whose number is not free."""
    return Problem(
        status=409,
        code=CODE_CONFLICT,
        detail=(
            f"number {answer.number} is not free; {answer.number_in_force} by "
            f"{answer.operator_in_force!r} is in force"
        ),
        outcome=OUTCOME_NOT_RUN,
        step=STEP_OPERATOR,
        extra=message_to_data(answer) | {"outcome": OUTCOME_NOT_RUN},
    )


def make_evacuation_problem(error: ChestnutError) -> Problem:
    """Return the response to an evacuation order that has no effect."""
    is_retryable = error.code == CODE_EVACUATION_NOT_READY
    return Problem(
        status=EVACUATION_STATUSES[error.code],
        code=error.code,
        detail=error.message,
        outcome=OUTCOME_NOT_RUN,
        step=error.step,
        peer=error.peer,
        retry_after_s=RETRY_AFTER_S if is_retryable else None,
    )
