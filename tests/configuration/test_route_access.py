"""Which callers may use a route, for every combination of text, route and key."""

import pytest

from chestnutvale.configuration.const import KEYLESS_WORKSPACE
from chestnutvale.configuration.lookup import TextLookup, hash_key
from chestnutvale.configuration.route_access import find_caller_workspace
from chestnutvale.schema.configuration_pb2 import Text

KEYS = {"absent": "", "unknown": "k-never", "withdrawn": "k-old", "known": "k-north"}


def make_lookup(workspaces):
    text = Text(number=2)
    if workspaces == "empty":
        text.workspaces[KEYLESS_WORKSPACE].weight = 1
    if workspaces == "some":
        text.workspaces["north"].key_sha256.append(hash_key("k-north"))
        text.workspaces["south"].weight = 1
    return TextLookup.from_text(text)


@pytest.mark.parametrize("is_public", [False, True])
@pytest.mark.parametrize("key", KEYS)
@pytest.mark.parametrize("workspaces", ["absent", "empty", "some"])
def test_route_needs_a_key_unless_it_or_the_text_is_open(workspaces, key, is_public):
    # Guards against routes that open to everybody once the last key is taken away.
    found = find_caller_workspace(
        make_lookup(workspaces), KEYS[key], is_public=is_public
    )
    if workspaces == "some" and key == "known":
        assert found == "north"
    elif workspaces == "absent" or is_public:
        assert found == ""
    else:
        assert found is None
