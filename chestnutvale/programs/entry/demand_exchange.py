"""Reports the demand of this entry and receives the demand of all entries."""

from collections import OrderedDict

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import Demand
from chestnutvale.admission.wire import from_messages, to_messages
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

# Unanswered reports whose demand is kept.
MAX_OUTSTANDING_REPORTS = 16


class DemandExchange:
    """Matches the totals in a view with the demand in the report that it answers.

    Parameters
    ----------
    controller : AdmissionController
        Divides the capacity of a service among the entries by demand.
    """

    def __init__(self, controller: AdmissionController) -> None:
        self._controller = controller
        self._reported_demands: OrderedDict[int, list[Demand]] = OrderedDict()

    def add_demand(self, report: EntryReport, now_s: float = 0.0) -> None:
        """Add the demand of this entry to a report.

        Parameters
        ----------
        report : EntryReport
            The report; its nonce must be set already.
        now_s : float
            Monotonic time in seconds.
        """
        demands = self._controller.demand(now_s)
        report.lends_places = self._controller.lends_places
        self._reported_demands[report.nonce] = demands
        if len(self._reported_demands) > MAX_OUTSTANDING_REPORTS:
            self._reported_demands.popitem(last=False)
        report.demands.extend(to_messages(demands))

    def apply_totals(self, view: ControlView) -> None:
        """Apply the total demand in a view that answers a report.

        Parameters
        ----------
        view : ControlView
            The view; ignored if it answers no kept report or has no totals, because
            not every view carries them.
        """
        own_demands = self._reported_demands.pop(view.nonce, None)
        if own_demands is not None and view.demands:
            self._controller.set_demand(own_demands, from_messages(view.demands))
