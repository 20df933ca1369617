"""Templates of the files that ``chestnut init`` writes."""

from typing import Final

CLIENT_TEMPLATE: Final = """\
// Settings of the operators' client.
{
  "cluster_id": "%(cluster_id)s",
  // Every control; the client finds the one that leads.
  "controls": [
    {
      "id": "control-1",
      "address": "127.0.0.1:7101",
      "http_address": "127.0.0.1:8101",
    },
  ],
  // Only its owner may read this file. A path starts at the folder of this file.
  "operator_token_file": "operator-token",
  // Time in milliseconds after which a command gives up.
  "timeout_ms": 10000,
}
"""

ENTRY_TEMPLATE: Final = """\
// Settings of one entry. Each entry has its own id and addresses.
{
  "cluster_id": "%(cluster_id)s",
  "entry_id": "entry-1",
  "region": "region-1",
  "data_centre": "dc-1",
  // Callers and endpoints reach the entry here.
  "http_address": "127.0.0.1:8001",
  // Controls reach it here.
  "peer_address": "127.0.0.1:7001",
  "controls": [
    {"id": "control-1", "address": "127.0.0.1:7101", "data_centre": "dc-1"},
  ],
  "operator_token_file": "operator-token",
  "log": {"format": "text", "level": "info"},
}
"""

CONTROL_TEMPLATE: Final = """\
// Settings of one control. Run three or five, each on a host with a disk.
{
  "cluster_id": "%(cluster_id)s",
  "control_id": "control-1",
  "region": "region-1",
  "data_centre": "dc-1",
  "http_address": "127.0.0.1:8101",
  "peer_address": "127.0.0.1:7101",
  // Everything that must survive lies below this folder.
  "data_folder": "control-1",
  "controls": [
    {
      "id": "control-1",
      "address": "127.0.0.1:7101",
      "http_address": "127.0.0.1:8101",
      "data_centre": "dc-1",
    },
  ],
  "operator_token_file": "operator-token",
  "log": {"format": "text", "level": "info"},
  "repair": {"group_downtime_weight": 1, "stranded_hosts_weight": 1},
}
"""

TEXT_TEMPLATE: Final = """\
// The single text. Raise the number with every change, then run
// chestnut plan and chestnut apply.
{
  "number": 1,
  "services": {
    // A model service: each group is one copy of the model on several hosts.
    "chat": {
      "kind": "model",
      "model": "example-70b",
      "version": "v1",
      "hosts_per_group": 4,
      "groups": 2,
      "depends_on": ["ledger"],
    },
    // A plain service. Calls that no rule names may be repeated only if their
    // method is GET, HEAD or OPTIONS.
    "ledger": {
      "kind": "plain",
      "calls": [
        {"method": "POST", "path_prefix": "/quotes", "repeatable": true},
      ],
    },
  },
  // Each key is stored as its SHA-256 digest; make one with chestnut key.
  "workspaces": {
%(workspaces)s
  },
}
"""

WORKSPACE_TEMPLATE: Final = """\
    "%(name)s": {"weight": 1, "key_sha256": ["%(digest)s"]},"""
