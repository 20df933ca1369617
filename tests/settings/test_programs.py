"""Settings of each program: defaults and validation of every field."""

import json

import pytest

from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.routing.policies.registry import make_policy
from chestnutvale.settings.client import load_client_settings
from chestnutvale.settings.control import load_control_settings
from chestnutvale.settings.entry import load_entry_settings
from chestnutvale.settings.exceptions import SettingsError

PEER = {"id": "c1", "address": "127.0.0.1:7001", "http_address": "127.0.0.1:8001"}
CLIENT = {"cluster_id": "x", "controls": [PEER], "operator_token_file": "token"}
DAEMON = CLIENT | {
    "region": "r",
    "data_centre": "d",
    "http_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:7001",
}
ENTRY = DAEMON | {"entry_id": "e1"}
CONTROL = DAEMON | {"control_id": "c1", "data_folder": "data"}
LOADERS = {
    "entry": (load_entry_settings, ENTRY),
    "control": (load_control_settings, CONTROL),
    "client": (load_client_settings, CLIENT),
}


def load(tmp_path, program, **changes):
    loader, data = LOADERS[program]
    path = tmp_path / f"{program}.json"
    path.write_text(json.dumps(data | changes))
    return loader(path)


def test_no_entry_holds_a_longer_lease_than_controls_wait_for(tmp_path):
    waited_s = GroupsPolicy.from_settings(load(tmp_path, "control")).serving_lease_s
    lease_ms = load(tmp_path, "entry").lease_ms
    assert lease_ms <= waited_s * 1_000
    with pytest.raises(SettingsError, match="lease_ms"):
        load(tmp_path, "entry", lease_ms=lease_ms + 1)


def test_paths_start_at_the_folder_of_the_file(tmp_path):
    control = load(tmp_path, "control", log={"file": "/var/log/x"})
    assert control.data_folder == str(tmp_path / "data")
    assert control.operator_token_file == str(tmp_path / "token")
    assert control.log.file == "/var/log/x"


def test_defaults(tmp_path):
    assert load(tmp_path, "entry").lease_ms == 2_000
    assert load(tmp_path, "entry", http_limits={}).http_limits.max_header_bytes > 0
    control = load(tmp_path, "control", repair={"member_wait_ms": 0})
    assert control.repair.member_wait_ms == 0
    assert control.repair.group_downtime_weight == 1.0
    assert load(tmp_path, "client").timeout_ms == 10_000


@pytest.mark.parametrize(
    ("program", "field", "value", "named"),
    [
        ("entry", "entry_id", "", "entry_id"),
        ("entry", "region", "a b", "region"),
        ("entry", "controls", [], "controls"),
        ("entry", "controls", [PEER, PEER], "controls[1]"),
        ("entry", "http_address", "", "http_address"),
        ("entry", "lease_ms", 999, "lease_ms"),
        ("entry", "lease_ms", 2_001, "lease_ms"),
        ("entry", "report_interval_ms", 0, "report_interval_ms"),
        ("entry", "log", {"level": "loud"}, "log.level"),
        ("entry", "log", {"format": "xml"}, "log.format"),
        ("entry", "http_limits", {"max_connections": 0}, "http_limits.max_conn"),
        ("control", "data_folder", "", "data_folder"),
        ("control", "election_timeout_ms", 599, "election_timeout_ms"),
        ("control", "election_timeout_ms", 2_001, "election_timeout_ms"),
        ("control", "max_loading_hosts", 0, "max_loading_hosts"),
        ("control", "voter_lost_ms", 0, "voter_lost_ms"),
        ("control", "weight_store_address", "store:1", "weight_store_address"),
        ("control", "repair", {"group_downtime_weight": -1}, "repair.group_down"),
        ("control", "repair", {"stranded_hosts_weight": "NaN"}, "repair.stranded"),
        ("client", "cluster_id", "", "cluster_id"),
        ("client", "timeout_ms", 0, "timeout_ms"),
        ("client", "controls", [PEER | {"http_address": ""}], "http_address"),
    ],
)
def test_wrong_field(tmp_path, program, field, value, named):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, program, **{field: value})
    assert named in str(caught.value)
    assert f"{program}.json" in str(caught.value)


def test_load_balancing_is_checked(tmp_path):
    """A misspelt policy silently selects the default."""
    assert load(tmp_path, "entry").load_balancing == ""
    for name in ("least_loaded", "even_load"):
        settings = load(tmp_path, "entry", load_balancing=name)
        assert make_policy(settings.load_balancing).name == name
    assert make_policy("").name == "least_loaded"
    with pytest.raises(SettingsError, match="load_balancing"):
        load(tmp_path, "entry", load_balancing="round_robin")
