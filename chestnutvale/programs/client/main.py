"""Entry point of the client: parse arguments, run a command, map errors."""

import os
import sys
from collections.abc import Sequence

import defopt

from chestnutvale.configuration.exceptions import TextError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.client import commands
from chestnutvale.programs.client.const import ExitCode
from chestnutvale.programs.client.evacuation import evacuate
from chestnutvale.programs.client.exceptions import ClientError, InvalidTextError
from chestnutvale.settings.exceptions import SettingsError

COMMANDS = {
    "init": commands.init,
    "key": commands.key,
    "plan": commands.plan,
    "apply": commands.apply,
    "status": commands.status,
    "drain": commands.drain,
    "evacuate": evacuate,
    "dump": commands.dump,
    "explain": commands.explain,
    "summarize": commands.summarize_logs,
    "voter": {"add": commands.voter_add, "remove": commands.voter_remove},
}
OPTION_SETTINGS = "--settings"
# These commands contact no control and therefore take no settings.
OFFLINE_COMMANDS = ("init", "key", "explain", "summarize")


def _print_error(message: object) -> None:
    print(message, file=sys.stderr)


def _report_error(error: ChestnutError) -> ExitCode:
    """Print an error to standard error and return its exit code."""
    if isinstance(error, TextError):
        for problem in error.problems:
            _print_error(f"{error.code}: {problem}")
        return ExitCode.INVALID_TEXT
    if isinstance(error, InvalidTextError):
        for item in error.answer.get("problems", ()):
            line, path, reason = item["line"], item["path"], item["reason"]
            _print_error(f"{error.code}: line {line}: {path}: {reason}")
        return ExitCode.INVALID_TEXT
    _print_error(error)
    if isinstance(error, ClientError):
        return error.exit_code
    if isinstance(error, SettingsError):
        return ExitCode.INVALID_SETTINGS
    return ExitCode.FAILED


def _move_settings_option(arguments: Sequence[str]) -> list[str]:
    """Accept ``--settings FILE`` before the command as well as after it."""
    if len(arguments) < 3 or arguments[0] != OPTION_SETTINGS:
        return list(arguments)
    option, file, *rest = arguments
    return rest if rest[0] in OFFLINE_COMMANDS else [*rest, option, file]


def run(arguments: Sequence[str]) -> ExitCode:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments without the program name.

    Returns
    -------
    ExitCode
        Exit code of the process.
    """
    try:
        command = defopt.bind(COMMANDS, argv=_move_settings_option(arguments), short={})
    except SystemExit as error:
        # argparse exits with 2, which is this client's code for an invalid text.
        return ExitCode.USAGE if error.code else ExitCode.DONE
    try:
        return command()
    except ChestnutError as error:
        return _report_error(error)
    except KeyboardInterrupt:
        _print_error("interrupted: a change may have been made; run it again")
        return ExitCode.OUTCOME_UNKNOWN


def main() -> None:
    """Run the command given on the command line and exit with its code."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for example a pager, has closed the pipe; the remaining output
        # is discarded.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAILED
    sys.exit(code)


if __name__ == "__main__":
    main()
