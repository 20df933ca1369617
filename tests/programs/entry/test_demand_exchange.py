"""Tests that entries divide the capacity of a service by their reported demand."""

import random

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.wire import from_messages, to_messages
from chestnutvale.programs.entry.demand_exchange import DemandExchange
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport


def make_entry(seed):
    controller = AdmissionController(random.Random(seed))
    controller.configure({"w": 1.0}, {"llm": ServiceLimits()})
    controller.set_entry_count(2)
    controller.set_capacity("llm", ServiceCapacity(2, 20_000), 0.0)
    return controller


def offer_requests(controller, prefix, count, now_s):
    admitted = 0
    for number in range(count):
        request = AdmissionRequest(
            f"{prefix}{number}", "llm", "w", "normal", 500, 500, now_s + 600.0
        )
        effects = controller.offer(request, now_s)
        admitted += sum(isinstance(effect, Admit) for effect in effects)
    return admitted


def exchange_demands(entries, now_s):
    table = DemandTable()
    reports = []
    for name, (_, exchange) in entries.items():
        report = EntryReport(nonce=len(reports) + 1)
        exchange.add_demand(report)
        table.record_report(name, from_messages(report.demands), now_s)
        reports.append((exchange, report.nonce))
    totals = to_messages(table.totals(now_s))
    for exchange, nonce in reports:
        exchange.apply_totals(ControlView(nonce=nonce, demands=totals))


def test_entry_with_all_callers_gets_most_of_the_capacity():
    busy, idle = make_entry(1), make_entry(2)
    entries = {"a": (busy, DemandExchange(busy)), "b": (idle, DemandExchange(idle))}
    admitted_alone = offer_requests(busy, "x", 60, 0.0)
    exchange_demands(entries, 1.0)
    admitted_later = sum(isinstance(effect, Admit) for effect in busy.tick(1.0))
    assert admitted_alone > 0
    assert admitted_later > admitted_alone / 2


def test_view_with_unknown_nonce_is_ignored():
    controller = make_entry(1)
    exchange = DemandExchange(controller)
    exchange.add_demand(EntryReport(nonce=5))
    exchange.apply_totals(ControlView(nonce=6, demands=[]))
    exchange.apply_totals(ControlView(nonce=0, demands=[]))
    assert list(exchange._reported_demands) == [5]
