"""The client's command to evacuate a data centre."""

from pathlib import Path

from chestnutvale.programs.client.commands import Format, send_change
from chestnutvale.programs.client.const import ExitCode
from chestnutvale.programs.control.operator_const import PATH_EVACUATION


def evacuate(
    name: str,
    *,
    finish: bool = False,
    settings: Path | None = None,
    format: Format = "table",
) -> ExitCode:
    """Send nothing more to the endpoints of a data centre, or end this again.

    Running streams are not cut off, and the groups there are kept. The last order
    wins; an order that is already in force is acknowledged again.

    Example: chestnut evacuate dc-2

    Parameters
    ----------
    name : str
        Name of the data centre.
    finish : bool
        End the evacuation.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    request = {"data_centre": name, "finish": finish}
    return send_change(PATH_EVACUATION, request, settings, format)
