"""Settings files of a deployment's daemons and of the operator client."""

import json
from pathlib import Path
from typing import Any

import attrs

CLUSTER_ID = "demo"
REGION = "region-1"
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
OPERATOR_TOKEN = "demo-operator-token"
OWNER_ONLY_FILE_MODE = 0o600


@attrs.frozen
class SettingsFiles:
    """Writes the settings file of each process into one folder.

    Attributes
    ----------
    folder : Path
        Folder of the settings files.
    addresses, peer_addresses : dict of str to str
        IP address and port of each process's HTTP server and of its listener for
        peers, by name.
    """

    folder: Path
    addresses: dict[str, str]
    peer_addresses: dict[str, str]

    @property
    def token_path(self) -> Path:
        """Path of the file with the operator token."""
        return self.folder / "operator-token"

    def write_operator_token(self) -> None:
        """Write the operator token to a file that only its owner can read."""
        self.token_path.write_text(f"{OPERATOR_TOKEN}\n")
        self.token_path.chmod(OWNER_ONLY_FILE_MODE)

    def write_control(
        self, name: str, number: int, store_address: str, overrides: dict[str, Any]
    ) -> Path:
        """Write the settings of a control.

        Parameters
        ----------
        name : str
            Name of the control.
        number : int
            Number of the process, from 1; decides its data centre.
        store_address : str
            IP address and port of the weight store.
        overrides : dict
            Settings that replace or extend those written by default.

        Returns
        -------
        Path
            Path of the settings file.
        """
        daemon_settings = {
            "control_id": name,
            "data_folder": str(self.folder / f"{name}-data"),
            "weight_store_address": store_address,
        }
        return self._write_settings(
            name, self._common_settings(name, number) | daemon_settings | overrides
        )

    def write_entry(self, name: str, number: int, overrides: dict[str, Any]) -> Path:
        """Write the settings of an entry.

        Parameters
        ----------
        name : str
            Name of the entry.
        number : int
            Number of the process, from 1; decides its data centre.
        overrides : dict
            Settings that replace or extend those written by default.

        Returns
        -------
        Path
            Path of the settings file.
        """
        daemon_settings = {"entry_id": name}
        return self._write_settings(
            name, self._common_settings(name, number) | daemon_settings | overrides
        )

    def write_client(self) -> Path:
        """Write the settings file of the operator client and return its path."""
        settings = {
            "cluster_id": CLUSTER_ID,
            "controls": self._list_controls(),
            "operator_token_file": str(self.token_path),
        }
        return self._write_settings("client", settings)

    def _common_settings(self, name: str, number: int) -> dict[str, Any]:
        return {
            "cluster_id": CLUSTER_ID,
            "region": REGION,
            "data_centre": DATA_CENTRES[(number - 1) % len(DATA_CENTRES)],
            "http_address": self.addresses[name],
            "peer_address": self.peer_addresses[name],
            "controls": self._list_controls(),
            "operator_token_file": str(self.token_path),
        }

    def _list_controls(self) -> list[dict[str, str]]:
        names = [name for name in self.addresses if name.startswith("control-")]
        return [
            {
                "id": name,
                "address": self.peer_addresses[name],
                "http_address": self.addresses[name],
                "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            }
            for index, name in enumerate(names)
        ]

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path
