"""Errors of the operators' client, each with its exit code."""

from typing import Any, ClassVar

from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.client.const import ExitCode


class ClientError(ChestnutError):
    """Base error of a failed command.

    Attributes
    ----------
    exit_code : ExitCode
        Exit code of the client process.
    """

    code = "client_failed"
    exit_code: ClassVar[ExitCode] = ExitCode.FAILED


class UnreachableError(ClientError):
    """No control responded, and none can have executed the command."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class OutcomeUnknownError(ClientError):
    """The command may have been executed, or may still be."""

    code = "outcome_unknown"
    exit_code = ExitCode.OUTCOME_UNKNOWN


class RefusedError(ClientError):
    """The leading control refused the command.

    Parameters
    ----------
    answer : dict
        JSON body of the response, a problem document.
    peer : str
        Address of the control.
    """

    code = "refused"
    exit_code = ExitCode.REFUSED

    def __init__(self, answer: dict[str, Any], *, peer: str) -> None:
        detail = str(answer.get("detail", "no reason given"))
        step = str(answer.get("step", ""))
        super().__init__(detail, step=step, peer=peer)
        self.answer = answer


class InvalidTextError(RefusedError):
    """The control rejected the configuration text as invalid."""

    code = "text_invalid"
    exit_code = ExitCode.INVALID_TEXT


class ConflictError(RefusedError):
    """The number of the text is taken by another one, or a higher one is in force."""

    code = "configuration_conflict"
    exit_code = ExitCode.CONFLICT


class FileExistsAlreadyError(ClientError):
    """A file to be created exists already; it is not overwritten."""

    code = "file_exists"
