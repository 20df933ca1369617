"""Errors of orders to evacuate a data centre."""

from chestnutvale.exceptions import ChestnutError


class UnknownDataCentreError(ChestnutError):
    """The deployment has no data centre of that name; nothing was proposed."""

    code = "unknown_data_centre"


class EvacuationNotReadyError(ChestnutError):
    """The order can't be decided yet and may be sent again; nothing was proposed."""

    code = "evacuation_not_ready"


class EvacuationRefusedError(ChestnutError):
    """The order was refused and has no effect."""

    code = "evacuation_refused"
