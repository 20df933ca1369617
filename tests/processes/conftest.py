"""Fixtures for a deployment of real processes that all tests of a session share."""

import shutil

import pytest

from chestnutvale.emulator.deployment import (
    DEMO_TEXT,
    Deployment,
    DeploymentOptions,
)

pytest.register_assert_rewrite("tests.processes.history")

GROUP_COUNT = 2


@pytest.fixture(scope="session")
def deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    text_path = folder / "text.json"
    shutil.copy(DEMO_TEXT, text_path)
    options = DeploymentOptions(
        folder=folder / "run",
        text_path=text_path,
        service_arguments=["--work-ms", "1000"],
        engine_arguments=["--weights-bytes", "200000", "--step-ms", "10"],
        control_settings={"repair": {"member_wait_ms": 500}},
    )
    with Deployment(options) as running:
        running.apply_text(text_path)
        running.wait_until_groups_serve(GROUP_COUNT)
        yield running


@pytest.fixture
def restored_deployment(deployment):
    """Restart or resume all processes that the test stopped."""
    yield
    for process in (deployment.controls | deployment.entries).values():
        if process.is_running:
            process.resume()
        else:
            deployment.restart_daemon(process.name)
    for process in deployment.engines.values():
        if not process.is_running:
            process.start()
            process.wait_ready()
    deployment.wait_until_groups_serve(GROUP_COUNT)
