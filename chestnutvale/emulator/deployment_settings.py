"""The settings files of a deployment's daemons and of its operators' client."""

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
    """Writes the settings of each process into one folder.

    Attributes
    ----------
    folder : Path
        The folder.
    addresses, peer_addresses : dict of str to str
        IP number and port of each process's HTTP door and peer inbox, by name.
    """

    folder: Path
    addresses: dict[str, str]
    peer_addresses: dict[str, str]

    @property
    def token_path(self) -> Path:
        """Path of the file with the operators' token."""
        return self.folder / "operator-token"

    def write_operator_token(self) -> None:
        """Write the operators' token, readable by its owner only."""
        self.token_path.write_text(f"{OPERATOR_TOKEN}\n")
        self.token_path.chmod(OWNER_ONLY_FILE_MODE)

    def write_control(
        self, name: str, number: int, store_address: str, overrides: dict[str, Any]
    ) -> Path:
        """Write the settings of a control.

        Parameters
        ----------
        name : str
            The control.
        number : int
            Its number, from 1; decides its data centre.
        store_address : str
            IP number and port of the weight store.
        overrides : dict
            Settings that differ from the defaults.

        Returns
        -------
        Path
            The file.
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
            The entry.
        number : int
            Its number, from 1; decides its data centre.
        overrides : dict
            Settings that differ from the defaults.

        Returns
        -------
        Path
            The file.
        """
        daemon_settings = {"entry_id": name}
        return self._write_settings(
            name, self._common_settings(name, number) | daemon_settings | overrides
        )

    def write_client(self) -> Path:
        """Write the settings of the operators' client and return their path."""
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
