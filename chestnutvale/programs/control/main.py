"""Command line of ``chestnut-control``."""

import sys
from pathlib import Path

from chestnutvale.programs.green_start import start_green


def run(settings_file: Path, *, check_settings: bool = False) -> int:
    """Run a control until SIGTERM.

    Parameters
    ----------
    settings_file : Path
        JSON with comments; see docs/SETTINGS.md.
    check_settings : bool
        Check the settings file and exit.

    Returns
    -------
    int
        Exit code.
    """
    from chestnutvale.clock import SystemClock

    clock = SystemClock()
    process_started_s = clock.now_s()
    from chestnutvale.programs.control.daemon import ControlDaemon
    from chestnutvale.programs.control.interface import NativeInterface
    from chestnutvale.programs.runner import log_state_dump, make_rng, run_program
    from chestnutvale.programs.signals import SignalHandler
    from chestnutvale.schema.settings_pb2 import ControlSettings
    from chestnutvale.settings.control import load_control_settings
    from chestnutvale.settings.token import hash_token, load_operator_token

    def serve(settings: ControlSettings, signals: SignalHandler) -> None:
        token = load_operator_token(Path(settings.operator_token_file))
        digest = hash_token(token)
        interface = NativeInterface(digest)
        with ControlDaemon(
            settings, interface, clock, make_rng(), process_started_s
        ) as daemon:
            signals.attach(lambda: log_state_dump(daemon.dump), daemon.reload)
            daemon.wait_for_stop(signals)

    return run_program(settings_file, check_settings, load_control_settings, serve)


def main() -> None:
    """Run the program with the arguments of the command line."""
    # Must precede the imports in `run`, so that libraries use eventlet's sockets.
    start_green()
    import defopt

    sys.exit(defopt.run(run))
