"""Command line of ``chestnut-entry``."""

import sys
from pathlib import Path

from chestnutvale.programs.green_start import start_green


def run(settings_file: Path, *, check_settings: bool = False) -> int:
    """Run an entry until SIGTERM.

    Parameters
    ----------
    settings_file : Path
        Settings as JSON with comments; see docs/SETTINGS.md.
    check_settings : bool
        Check the settings file and exit.

    Returns
    -------
    int
        Exit code.
    """
    from chestnutvale.clock import SystemClock
    from chestnutvale.programs.entry.daemon import EntryDaemon
    from chestnutvale.programs.runner import log_state_dump, make_rng, run_program
    from chestnutvale.programs.signals import SignalHandler
    from chestnutvale.schema.settings_pb2 import EntrySettings
    from chestnutvale.settings.entry import load_entry_settings
    from chestnutvale.settings.token import load_operator_token

    def serve(settings: EntrySettings, signals: SignalHandler) -> None:
        load_operator_token(Path(settings.operator_token_file))
        with EntryDaemon(settings, SystemClock(), make_rng()) as daemon:
            signals.attach(lambda: log_state_dump(daemon.dump), daemon.reload)
            signals.wait()
            daemon.shut_down()

    return run_program(settings_file, check_settings, load_entry_settings, serve)


def main() -> None:
    """Parse the command line, run the entry and exit with its code."""
    # Must precede the imports in `run`, so that the libraries use eventlet's sockets.
    start_green()
    import defopt

    sys.exit(defopt.run(run))
