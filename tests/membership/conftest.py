"""Fixtures that build announcements."""

import pytest

from chestnutvale.schema.membership_pb2 import Announcement


@pytest.fixture
def announcement():
    """Return a function that makes a valid announcement."""

    def make(host_id="a", boot_id="boot-1", sequence=1, **fields):
        fields = {"kind": "engine", "fabric_domain": "f1", **fields}
        return Announcement(
            host_id=host_id,
            boot_id=boot_id,
            sequence=sequence,
            address=fields.pop("address", "10.0.0.1:8000"),
            data_centre="d1",
            **fields,
        )

    return make
