"""Validation of routes, and the choice of route and service."""

import random

import pytest

from chestnutvale.configuration.routes import RouteTable, find_route_faults
from chestnutvale.schema.configuration_pb2 import Route, RouteShare, Service, Text


def make_route(prefix="/a/", **fields):
    values = {
        "name": prefix,
        "host": "shop.example",
        "path_prefix": prefix,
        "kind": "repeatable",
        "timeout_ms": 1000,
        "shares": [RouteShare(service="ledger", weight=1)],
    }
    return Route(**(values | fields))


def make_text(*routes):
    text = Text(number=1, routes=routes)
    text.services["ledger"].CopyFrom(Service(kind="plain"))
    for model in ("big", "small"):
        pooled = Service(kind="model", model=model, pool="gpu")
        text.services[f"gpu-{model}"].CopyFrom(pooled)
    return text


@pytest.mark.parametrize(
    "host, path, expected",
    [
        ("shop.example", "/a/x", "/a/"),
        ("shop.example:8080", "/a/", "/a/"),
        ("SHOP.example", "/a/b/c/d", "/a/b/"),
        ("shop.example", "/a", None),
        ("shop.example", "/ab/x", None),
        ("other.example", "/a/x", None),
    ],
)
def test_longest_prefix_decides(host, path, expected):
    table = RouteTable.from_text(make_text(make_route("/a/"), make_route("/a/b/")))
    found = table.find_route(host, path)
    assert (found.path_prefix if found else None) == expected


def test_model_selects_the_service_of_a_pool():
    shares = [RouteShare(service="gpu", weight=1)]
    route = make_route(shares=shares)
    table = RouteTable.from_text(make_text(route))
    rng = random.Random(1)
    assert table.choose_service(route, "small", rng) == "gpu-small"
    assert table.choose_service(route, "unknown", rng) is None


def test_calls_are_split_by_route_weights():
    shares = [
        RouteShare(service="gpu", weight=9),
        RouteShare(service="ledger", weight=1),
        RouteShare(service="ledger", weight=0),
    ]
    route = make_route(shares=shares)
    table = RouteTable.from_text(make_text(route))
    rng = random.Random(2)
    chosen = [table.choose_service(route, "big", rng) for _ in range(2000)]
    assert 0.87 < chosen.count("gpu-big") / 2000 < 0.93


@pytest.mark.parametrize(
    "changed",
    [
        {"timeout_ms": 0},
        {"kind": "sometimes"},
        {"path_prefix": "/a"},
        {"shares": [RouteShare(service="ledger", weight=0)]},
        {"shares": [RouteShare(service="nobody", weight=1)]},
        {"shares": []},
    ],
)
def test_faults_are_found(changed):
    assert list(find_route_faults(make_text(make_route(**changed))))


def test_two_routes_with_one_host_and_prefix_are_a_fault():
    text = make_text(make_route("/a/"), make_route("/a/", name="again"))
    assert len(list(find_route_faults(text))) == 1
    assert not list(find_route_faults(make_text(make_route("/a/"), make_route("/b/"))))
