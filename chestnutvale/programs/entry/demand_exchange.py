"""Tells the controls this entry's demand and takes the demand of all entries."""

from collections import OrderedDict

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import Demand
from chestnutvale.admission.wire import from_messages, to_messages
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

# Reports whose demand is remembered until they are answered.
MAX_OUTSTANDING_REPORTS = 16


class DemandExchange:
    """Pairs the totals in a view with the demand in the report it answers.

    Parameters
    ----------
    controller : AdmissionController
        Divides the capacity of a service by demand.
    """

    def __init__(self, controller: AdmissionController) -> None:
        self._controller = controller
        self._reported: OrderedDict[int, list[Demand]] = OrderedDict()

    def add_demand(self, report: EntryReport) -> None:
        """Put this entry's demand into a report.

        Parameters
        ----------
        report : EntryReport
            The report; its nonce is set.
        """
        demands = self._controller.demand()
        self._reported[report.nonce] = demands
        if len(self._reported) > MAX_OUTSTANDING_REPORTS:
            self._reported.popitem(last=False)
        report.demands.extend(to_messages(demands))

    def apply_totals(self, view: ControlView) -> None:
        """Take the totals of a view that answers a report.

        Parameters
        ----------
        view : ControlView
            The view; one that answers no remembered report is ignored, and so is one
            without totals, as not every view carries them.
        """
        own = self._reported.pop(view.nonce, None)
        if own is not None and view.demands:
            self._controller.set_demand(own, from_messages(view.demands))
