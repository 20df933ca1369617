"""Loading of settings files with comments, and errors for invalid ones."""

import pytest

from chestnutvale.schema.settings_pb2 import EntrySettings, PeerAddress
from chestnutvale.settings.exceptions import SettingsError
from chestnutvale.settings.loader import load_settings
from chestnutvale.settings.validation import check_peers, require_fields, split_address


def load(tmp_path, text):
    path = tmp_path / "entry.json"
    path.write_text(text)
    return load_settings(path, EntrySettings(lease_ms=2_000))


def test_comments_and_defaults(tmp_path):
    settings = load(tmp_path, '{"entry_id": "e1", /* why */ "report_interval_ms": 5}')
    assert settings.entry_id == "e1"
    assert settings.lease_ms == 2_000


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('{"entri_id": "e1"}', "entri_id"),
        ('{"lease_ms": "soon"}', "lease_ms"),
        ('{"controls": [{"id": "c", "adress": "x"}]}', "adress"),
        ('{"lease_ms": -1}', "lease_ms"),
        ('{"entry_id": ', ""),
        ("[1]", "one object"),
        ("\x00", ""),
    ],
)
def test_wrong_file_is_named(tmp_path, text, named):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    assert named in str(caught.value)
    assert "entry.json" in str(caught.value)


def test_missing_file(tmp_path):
    with pytest.raises(SettingsError, match="nothing.json"):
        load_settings(tmp_path / "nothing.json", EntrySettings())


def test_required_field():
    with pytest.raises(SettingsError, match="entry_id"):
        require_fields(EntrySettings(), ["entry_id"], "f")


@pytest.mark.parametrize("address", ["host:1", "1.2.3.4", "1.2.3.4:x", "1.2.3.4:70000"])
def test_wrong_address(address):
    with pytest.raises(SettingsError, match="http_address"):
        split_address(address, "http_address", "f")


def test_duplicate_peer():
    peers = [PeerAddress(id="a", address="127.0.0.1:1")] * 2
    with pytest.raises(SettingsError, match=r"controls\[1\]"):
        check_peers(peers, "controls", "f")
