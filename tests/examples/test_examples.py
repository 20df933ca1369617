"""The commented example files load, and the settings reference is up to date."""

import subprocess
import sys
from pathlib import Path

import pytest

from chestnutvale.configuration.parser import parse_text
from chestnutvale.settings.client import load_client_settings
from chestnutvale.settings.control import load_control_settings
from chestnutvale.settings.entry import load_entry_settings

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "examples"
DEPLOYMENTS = ("sen-hong", "bass-strait")
LOADERS = {
    "client": load_client_settings,
    "control": load_control_settings,
    "entry": load_entry_settings,
}


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("program", LOADERS)
def test_settings_load(deployment, program):
    path = EXAMPLES / deployment / f"{program}.json"
    assert path.read_text().startswith("//")
    settings = LOADERS[program](path)
    assert settings.cluster_id == deployment
    assert settings.operator_token_file == str(path.parent / "operator-token")


@pytest.mark.parametrize("deployment", [*DEPLOYMENTS, "demo"])
def test_texts_are_valid(deployment):
    raw = (EXAMPLES / deployment / "text.json").read_text()
    parse_text(raw, {"largest": 16})


def test_repair_weights_match_each_deployment():
    weights = {}
    for name in DEPLOYMENTS:
        repair = load_control_settings(EXAMPLES / name / "control.json").repair
        weights[name] = repair.group_downtime_weight - repair.stranded_hosts_weight
    assert weights["sen-hong"] < 0 < weights["bass-strait"]


@pytest.mark.parametrize("program", ["chestnut-control", "chestnut-entry"])
def test_check_settings_of_the_programs(program, tmp_path):
    command = Path(sys.executable).parent / program
    name = program.removeprefix("chestnut-")
    good = EXAMPLES / DEPLOYMENTS[0] / f"{name}.json"
    bad = tmp_path / "bad.json"
    bad.write_text(good.read_text().replace('"region"', '"regoin"'))
    for path, code in ((good, 0), (bad, 2)):
        run = subprocess.run(
            [command, path, "--check-settings"], capture_output=True, text=True
        )
        assert run.returncode == code, run.stderr
    assert "regoin" in run.stderr


def test_reference_page_is_current():
    script = ROOT / "script" / "settings_reference.py"
    run = subprocess.run([sys.executable, script, "--check"], capture_output=True)
    assert run.returncode == 0, run.stdout
