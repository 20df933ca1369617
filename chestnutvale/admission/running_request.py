"""A request that runs, with its reservation."""

import attrs

from chestnutvale.admission.messages import AdmissionRequest


@attrs.define
class RunningRequest:
    """An admitted request with its reservation.

    Attributes
    ----------
    request : AdmissionRequest
        The request.
    reserved : int
        Tokens reserved.
    admitted_s : float
        Monotonic time of the admission in seconds.
    output_tokens : int
        Output tokens generated so far.
    """

    request: AdmissionRequest
    reserved: int
    admitted_s: float
    output_tokens: int = 0
