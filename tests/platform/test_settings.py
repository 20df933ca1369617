"""Conversion of the platform's settings file to settings of the programs."""

import pytest

from adapter.settings import (  # isort: skip
    MachineSettings,
    PlatformSettingsError,
    make_control_settings,
    make_entry_settings,
)

COMMON = """\
nodeName=entry-a-1
ipAddress=10.1.0.40
zone=a
region=r
internalPortRange=7340,7355
seedNodes=10.2.0.32:8229,10.1.0.43:8229,10.3.0.21:8229
bootstrap=true
limits.fileDescriptors=1570
faultTolerance.machines=2
heartbeatIntervalMs=1200
bounds.gracePeriodS=8
bounds.revokeMs=5000
bounds.stallMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryBudgetExtra=223
bounds.budgetWindowS=10
novelty=whatever
"""
ENTRY = COMMON + (
    "listenAddresses.frontend=10.1.0.40:8227\n"
    "listenAddresses.readiness=10.1.0.40:8220\n"
)
CONTROL = COMMON + (
    "listenAddresses.controlPlane=10.1.0.40:8229\ndataDirectory=/data/c\n"
)


def load(tmp_path, content):
    path = tmp_path / "node.conf"
    path.write_text(content)
    return MachineSettings.load(path)


def test_entry_settings(tmp_path):
    settings = make_entry_settings(load(tmp_path, ENTRY))
    assert settings.entry_id == "entry-a-1"
    assert settings.http_address == "10.1.0.40:8227"
    assert settings.peer_address == "10.1.0.40:7340"
    assert settings.clocks_may_step
    assert settings.retry_budget.window_ms == 10_000
    # The last call accepted under an expiring lease may still wait in the queue, but
    # must start before a revoked API key has to be refused everywhere.
    assert settings.lease_ms + 1_000 <= 5_000
    assert settings.shutdown_timeout_ms < 8_000


@pytest.mark.parametrize(
    ("contracts", "lends"),
    [("", False), ("contracts=upgrade\n", False), ("contracts=a, pressure\n", True)],
)
def test_places_are_lent_under_the_pressure_contract_only(tmp_path, contracts, lends):
    settings = make_entry_settings(load(tmp_path, ENTRY + contracts))
    assert settings.lend_places == lends


def test_bound_of_cold_workers(tmp_path):
    found = make_control_settings(load(tmp_path, CONTROL))
    assert (found.cold_rate_factor, found.cold_burst_requests) == (1.5, 5.0)
    bounds = "bounds.coldOverage=1.2\nbounds.coldTolerance=3\n"
    found = make_control_settings(load(tmp_path, CONTROL + bounds))
    assert (found.cold_rate_factor, found.cold_burst_requests) == (1.2, 3.0)


def test_control_settings(tmp_path):
    settings = make_control_settings(load(tmp_path, CONTROL))
    assert settings.control_id == "10.1.0.40"
    assert settings.data_folder == "/data/c"
    assert (settings.wanted_voters, settings.durable_copies) == (5, 3)
    assert not settings.spare
    assert settings.engine_stall_ms == 5_000


def test_zones_are_the_data_centres_of_a_control(tmp_path):
    # Guards against an unknown zone that is refused although it is configured.
    zones = "zones.b=10.2.0.0/16\nzones.a=10.1.0.0/16\nzones.=x\n"
    settings = make_control_settings(load(tmp_path, CONTROL + zones))
    assert list(settings.data_centres) == ["a", "b"]
    assert not make_control_settings(load(tmp_path, CONTROL)).data_centres


def test_order_of_controls_is_the_same_on_all_machines(tmp_path):
    shuffled = CONTROL.replace(
        "10.2.0.32:8229,10.1.0.43:8229,10.3.0.21:8229",
        "10.3.0.21:8229,10.2.0.32:8229,10.1.0.43:8229",
    )
    one = make_control_settings(load(tmp_path, CONTROL))
    other = make_control_settings(load(tmp_path, shuffled))
    assert list(one.controls) == list(other.controls)
    assert one.controls[0].id == "10.1.0.43"
    assert one.controls[0].address == "10.1.0.43:7340"


def test_control_without_bootstrap_is_spare(tmp_path):
    later = CONTROL.replace("bootstrap=true", "bootstrap=false")
    assert make_control_settings(load(tmp_path, later)).spare


@pytest.mark.parametrize(
    "content",
    [
        "",
        ENTRY.replace("nodeName=entry-a-1\n", ""),
        ENTRY.replace("bounds.revokeMs=5000", "bounds.revokeMs=soon"),
    ],
)
def test_invalid_settings_are_rejected(tmp_path, content):
    with pytest.raises(PlatformSettingsError):
        make_entry_settings(load(tmp_path, content))


def test_missing_settings_file_is_rejected(tmp_path):
    with pytest.raises(PlatformSettingsError):
        MachineSettings.load(tmp_path / "none")


def test_the_pressure_contract_selects_even_load(tmp_path):
    """Other deployments keep the choice that was measured for them."""
    assert make_entry_settings(load(tmp_path, ENTRY)).load_balancing == ""
    zoned = load(tmp_path, ENTRY + "zones.a=1\nzones.b=1\n")
    assert make_entry_settings(zoned).load_balancing == ""
    listed = load(tmp_path, ENTRY + "contracts=base, pressure\n")
    assert make_entry_settings(listed).load_balancing == "even_load"
