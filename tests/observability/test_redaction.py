"""Redaction of secrets in logs and dumps, and the context fields of log lines."""

import io
import json

import eventlet
import logbook
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.observability.dump import DumpRegistry
from chestnutvale.observability.log_context import bind_log_context
from chestnutvale.observability.logs import make_log_handler
from chestnutvale.observability.redaction import MAX_ITEMS, redact_secrets
from chestnutvale.programs.client.initialise import make_workspace_key
from chestnutvale.programs.control.operator_api import OperatorApi
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.settings_pb2 import LogSettings
from chestnutvale.settings.token import hash_token
from tests.programs.operator_fakes import TOKEN, FakeBackend, FakeCluster

LOGGER = logbook.Logger("test")


@pytest.fixture(params=["json", "text"])
def log(request, tmp_path):
    """Log into a file in each format; yields a function that reads the file."""
    path = tmp_path / "log"
    settings = LogSettings(format=request.param, level="debug", file=str(path))
    with make_log_handler(settings).applicationbound():
        yield path.read_text


def test_keys_and_tokens_are_redacted_in_logs(log):
    key = make_workspace_key()
    LOGGER.info("called with {}", key)
    LOGGER.info("header Authorization: Bearer {}", TOKEN)
    LOGGER.info("fields", extra={"authorization": TOKEN, "key": key})
    try:
        raise ValueError(f"bad header: Bearer {TOKEN}")
    except ValueError:
        LOGGER.exception("failed")
    assert key not in log() and TOKEN not in log()
    assert "(removed)" in log()
    assert "bad header" in log()


def test_operator_api_logs_no_token_and_no_injected_line(log):
    cluster = FakeCluster()
    cluster.leader = "c1"
    api = OperatorApi(hash_token(TOKEN), FakeBackend(cluster, "c1"), SystemClock())
    for token in (TOKEN, TOKEN + "x"):
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/operator/v1/text",
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "HTTP_X_OPERATOR": "ann\nforged line",
            "wsgi.input": io.BytesIO(b'{"number": 1}'),
        }
        api(environ, lambda status, headers: None)
    assert "Text 1" in log()
    assert TOKEN not in log()
    assert "\nforged line" not in log()


def test_message_cannot_inject_a_log_line(log):
    LOGGER.info("from outside: {}", "x\n2026-01-01T00:00:00Z INFO control: forged")
    assert len(log().splitlines()) == 1


def test_log_context_is_local_to_its_task(log):
    def work(number):
        with bind_log_context(request_id=f"r{number}"):
            eventlet.sleep(0)
            with bind_log_context(group_id=f"g{number}"):
                eventlet.sleep(0)
                LOGGER.info("work {}", number)
        LOGGER.info("idle {}", number)

    for task in [eventlet.spawn(work, number) for number in range(5)]:
        task.wait()
    found = log().splitlines()
    for number in range(5):
        (line,) = [line for line in found if f"work {number}" in line]
        assert f"r{number}" in line and f"g{number}" in line
    assert not any("r1" in line for line in found if "idle" in line)


def test_json_log_lines_parse(tmp_path):
    path = tmp_path / "log"
    settings = LogSettings(format="json", level="info", file=str(path))
    with (
        make_log_handler(settings).applicationbound(),
        bind_log_context(request_id="r"),
    ):
        LOGGER.warning('a "quoted" {}', object)
        LOGGER.debug("not shown")
    line = json.loads(path.read_text())
    assert (line["level"], line["request_id"]) == ("warning", "r")


def test_dump_redacts_secrets_and_reports_failing_sources():
    key = make_workspace_key()
    text = Text(number=7)
    text.workspaces["north"].key_sha256.append("ab" * 32)
    sources = {
        "text": lambda: text,
        "broken": lambda: 1 / 0,
        "state": lambda: {
            "operator_token": TOKEN,
            "headers": {"Authorization": f"Bearer {TOKEN}"},
            "note": f"key {key}",
            "predicted_tokens": 5,
            "many": list(range(MAX_ITEMS + 3)),
        },
    }
    dump = DumpRegistry(sources).dump()
    shown = json.dumps(dump)
    assert TOKEN not in shown and key not in shown and "abab" not in shown
    assert dump["text"]["number"] == 7
    assert "ZeroDivisionError" in dump["broken"]["error"]
    assert dump["state"]["predicted_tokens"] == 5
    assert dump["state"]["many"][-1] == "(3 more)"


def test_dump_of_nested_or_non_json_data_is_bounded():
    endless = []
    endless.append(endless)
    assert "too deep" in json.dumps(redact_secrets(endless))
    assert redact_secrets({1: {b"x"}}) == {"1": ["(1 bytes)"]}
    assert redact_secrets([float("-inf"), 0.5]) == ["-inf", 0.5]
