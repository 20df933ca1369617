"""Services of a document keep apart whatever their names are."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.configuration.checks import find_document_faults
from chestnutvale.configuration.routes import RouteTable
from chestnutvale.configuration.service_names import ServiceNames
from chestnutvale.membership.validation import validate_announcement
from tests.platform.documents import HEARTBEAT

from adapter.configuration import parse_configuration  # isort: skip
from adapter.heartbeats import read_heartbeat  # isort: skip

RNG = random.Random(1)
NAMES = st.text(alphabet="ab-@/%:.", min_size=1, max_size=5)
# Models by service; a plain service has none.
SERVICES = st.dictionaries(
    NAMES, st.lists(NAMES, unique=True, max_size=2), min_size=1, max_size=4
)


def make_document(services):
    routes = [
        {
            "name": f"r-{position}",
            "host": "shop.example",
            "pathPrefix": f"/{position}/",
            "routeKind": "idempotent",
            "timeoutMs": 800,
            "service": name,
        }
        for position, name in enumerate(services)
    ]
    listed = []
    for name, models in services.items():
        service = {"name": name}
        if models:
            engines = [{"name": model, "size": 2} for model in models]
            service["inferenceEngine"] = {"slots": 9, "models": engines}
        listed.append(service)
    return {"version": 1, "routes": routes, "services": listed}


def read_text(services):
    return parse_configuration(json.dumps(make_document(services)).encode())


def choose(text, position, model):
    table = RouteTable.from_text(text)
    route = table.find_route("shop.example", f"/{position}/x")
    return table.choose_service(route, model, RNG)


def read_worker(text, **fields):
    document = HEARTBEAT | fields
    if fields.get("domain", "") is None:
        del document["domain"]
    names = ServiceNames.from_text(text)
    return read_heartbeat("i-1", json.dumps(document).encode(), names)


@given(SERVICES)
def test_route_and_worker_of_a_service_meet_and_no_other_does(services):
    # Guards against names of services and models that are joined to one: review/3.
    text = read_text(services)
    assert not find_document_faults(text)
    owners = {}
    for position, (name, models) in enumerate(services.items()):
        for model in models or [""]:
            chosen = choose(text, position, model)
            assert owners.setdefault(chosen, (name, model)) == (name, model)
            if models:
                worker = read_worker(text, service=name, staged=[model])
                validate_announcement(worker)
                assert (worker.pool, list(worker.staged)) == (name, [chosen])
                assert text.services[chosen].pool == name
                assert text.services[chosen].model == model
            else:
                worker = read_worker(text, service=name, domain=None)
                validate_announcement(worker)
                assert worker.service == chosen
                assert text.services[chosen].kind == "plain"


def test_route_of_a_model_service_without_workers_runs_at_no_plain_service():
    text = read_text({"ledger-app": [], "ledger": ["app"]})
    plain, model = choose(text, 0, ""), choose(text, 1, "app")
    assert plain != model
    assert read_worker(text, service="ledger-app", domain=None).service == plain
    assert text.services[model].hosts_per_group == 2


@pytest.mark.parametrize("names", [("ledger-app", "ledger"), ("ledger", "ledger-app")])
def test_order_of_the_services_does_not_matter(names):
    # Guards against a valid document that is refused in one order only.
    services = {"ledger-app": [], "ledger": ["app"]}
    text = read_text({name: services[name] for name in names})
    assert not find_document_faults(text)
    assert len(text.services) == 2


@pytest.mark.parametrize("target", ["ledger/app", "ledger-app"])
def test_route_to_a_name_that_only_the_text_uses_is_refused(target):
    # Guards against an invalid document that is acknowledged.
    document = make_document({"ledger": ["app"]})
    document["routes"][0]["service"] = target
    assert find_document_faults(parse_configuration(json.dumps(document).encode()))


@pytest.mark.parametrize("name", ["ledger@app", "ledger app", "_ledger", "Buchung ä"])
def test_workers_of_a_service_of_any_name_are_accepted(name):
    # Guards against a service that is configured and never served, because the names
    # in announcements were narrower than those in documents.
    text = read_text({name: [], "llm": [name]})
    validate_announcement(read_worker(text, service=name, domain=None))
    validate_announcement(read_worker(text, service=name, domain=name, staged=[name]))
