"""Commands of the client; defopt turns their docstrings into its help."""

import getpass
import json
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Literal

from google.protobuf import json_format

from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.lookup import hash_key
from chestnutvale.configuration.parser import parse_text
from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.client.const import (
    DEFAULT_SETTINGS_FILE,
    FORMAT_JSON,
    SETTINGS_FILE_VARIABLE,
    ExitCode,
)
from chestnutvale.programs.client.control_client import ControlClient
from chestnutvale.programs.client.exceptions import (
    ClientError,
    ConflictError,
    OutcomeUnknownError,
    UnreachableError,
)
from chestnutvale.programs.client.explain import trace_request
from chestnutvale.programs.client.initialise import (
    make_workspace_key,
    write_initial_files,
)
from chestnutvale.programs.client.log_summary import summarize
from chestnutvale.programs.client.tables import (
    format_apply,
    format_plan,
    format_status,
)
from chestnutvale.programs.control.operator_const import (
    PATH_DRAIN,
    PATH_DUMP,
    PATH_PLAN,
    PATH_STATUS,
    PATH_TEXT,
    PATH_VOTERS,
    QUERY_LOCAL,
)
from chestnutvale.schema.operator_pb2 import ApplyAnswer, Status, TextPlan
from chestnutvale.schema.settings_pb2 import ClientSettings
from chestnutvale.settings.client import load_client_settings
from chestnutvale.settings.token import load_operator_token

Format = Literal["table", "json"]

DEFAULT_WORKSPACE = "workspace-1"
_DEBUG_PATH = "/debug/state"


def _resolve_settings_file(given: Path | None) -> Path:
    default = os.environ.get(SETTINGS_FILE_VARIABLE, DEFAULT_SETTINGS_FILE)
    return given or Path(default)


def _get_operator_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""


def _make_client(settings: Path | None) -> ControlClient:
    client_settings: ClientSettings = load_client_settings(
        _resolve_settings_file(settings)
    )
    token = load_operator_token(Path(client_settings.operator_token_file))
    return ControlClient(client_settings, token, operator=_get_operator_name())


def _print_json(data: Any) -> None:
    print(json.dumps(data, indent=2))


def _read_text_file(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ClientError(str(error), step="read", peer=str(file)) from error


def init(
    folder: Path,
    *,
    cluster_id: str = "cluster-1",
    workspaces: list[str] | None = None,
) -> ExitCode:
    """Create commented settings, a first configuration text and an operator token.

    The workspace keys are printed only once; the text contains only their digests.

    Example: chestnut init ./chestnut --workspaces north south

    Parameters
    ----------
    folder : Path
        Target folder; existing files are never overwritten.
    cluster_id : str
        Identity of the cluster; processes of other clusters are refused.
    workspaces : list[str] | None
        Names of the workspaces to create; workspace-1 if not given.
    """
    keys = {name: make_workspace_key() for name in workspaces or [DEFAULT_WORKSPACE]}
    for path in write_initial_files(folder, cluster_id, keys):
        print(f"wrote {path}")
    for name, workspace_key in keys.items():
        print(f"key of {name}, shown only now: {workspace_key}")
    return ExitCode.DONE


def key() -> ExitCode:
    """Generate a workspace key and print it with its digest for the text.

    Example: chestnut key
    """
    new_key = make_workspace_key()
    print(f"key, shown only now: {new_key}")
    print(f"key_sha256 for the text: {hash_key(new_key)}")
    return ExitCode.DONE


def explain(request_id: str, *files: Path) -> ExitCode:
    """Trace a request through the logs of all processes.

    Truncated lines and lines of other formats are skipped; their number is printed.

    Example: chestnut explain 9c41d07be2a35f68 entry-1.log control-1.log

    Parameters
    ----------
    request_id : str
        Identity of the request.
    files : Path
        Log files; standard input is read if none is given.
    """
    trace = trace_request(_read_logs(files), request_id)
    for line in trace.render():
        print(line)
    if trace.unparsed_count:
        print(f"{trace.unparsed_count} lines could not be read", file=sys.stderr)
    if not trace.lines:
        message = f"no log line mentions request {request_id!r}"
        raise ClientError(message, step="explain")
    return ExitCode.DONE


def summarize_logs(*files: Path, interval_s: float = 2.0) -> ExitCode:
    """Print what hosts did and what became of streaming calls, by time.

    Example: chestnut summarize entry-1.log control-1.log

    Parameters
    ----------
    files : Path
        Log files; standard input is read if none is given.
    interval_s : float
        Length in seconds of the intervals of the tables.
    """
    summary = summarize(_read_logs(files), interval_s)
    for text in summary.render():
        print(text)
    if summary.unparsed_count:
        print(f"{summary.unparsed_count} lines could not be read", file=sys.stderr)
    return ExitCode.DONE


def _read_logs(files: tuple[Path, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise ClientError(str(error), step="read", peer=str(file)) from error


def plan(
    file: Path, *, settings: Path | None = None, format: Format = "table"
) -> ExitCode:
    """Show what a configuration text would change and stop, without applying it.

    Example: chestnut plan text.json

    Parameters
    ----------
    file : Path
        Configuration text file.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    raw = _read_text_file(file)
    parse_text(raw)
    with _make_client(settings) as client:
        data = client.call("POST", PATH_PLAN, raw.encode())
    if format == FORMAT_JSON:
        _print_json(data)
    else:
        message = json_format.ParseDict(data, TextPlan(), ignore_unknown_fields=True)
        print(format_plan(message))
    return ExitCode.DONE


def apply(
    file: Path, *, settings: Path | None = None, format: Format = "table"
) -> ExitCode:
    """Apply a configuration text; safe to repeat if the response was lost.

    Exit code 0: the text is accepted, now or by an earlier run. 2: the text is
    invalid. 3: its number belongs to another text or is below the one in force. 6:
    the outcome is unknown; run the command again.

    Example: chestnut apply text.json

    Parameters
    ----------
    file : Path
        Configuration text file.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    raw = _read_text_file(file)
    # Rejects an invalid text even if no control can be reached.
    compute_text_digest(parse_text(raw))
    with _make_client(settings) as client:
        try:
            data = client.call("POST", PATH_TEXT, raw.encode(), is_mutation=True)
        except ConflictError as error:
            data = error.answer | {"outcome": "conflict"}
    answer = json_format.ParseDict(data, ApplyAnswer(), ignore_unknown_fields=True)
    if format == FORMAT_JSON:
        _print_json(data)
    else:
        print(format_apply(answer))
    return ExitCode.CONFLICT if answer.outcome == "conflict" else ExitCode.DONE


def status(
    *, settings: Path | None = None, format: Format = "table", all: bool = False
) -> ExitCode:
    """Show evacuations, services, groups, stranded hosts, voters and entries.

    Without a leader, shows the view of a single control, marked as not confirmed.

    Example: chestnut status --all

    Parameters
    ----------
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    all : bool
        Also list groups that serve and hosts that need no attention.
    """
    with _make_client(settings) as client:
        try:
            data = client.call("GET", PATH_STATUS)
        except UnreachableError:
            # Without a quorum, the view of a single control is better than none.
            data = client.call("GET", f"{PATH_STATUS}?{QUERY_LOCAL}")
    if format == FORMAT_JSON:
        _print_json(data)
        return ExitCode.DONE
    message = json_format.ParseDict(data, Status(), ignore_unknown_fields=True)
    print(format_status(message, show_all=all))
    return ExitCode.DONE


def drain(
    host_id: str,
    *,
    undo: bool = False,
    settings: Path | None = None,
    format: Format = "table",
) -> ExitCode:
    """Mark a host as draining, so that it gets no new work, or undo this.

    Example: chestnut drain host-17

    Parameters
    ----------
    host_id : str
        Identity of the host.
    undo : bool
        Remove the mark.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    request = {"host_id": host_id, "draining": not undo}
    return send_change(PATH_DRAIN, request, settings, format)


def voter_add(
    id: str,
    address: str,
    *,
    http_address: str = "",
    settings: Path | None = None,
    format: Format = "table",
) -> ExitCode:
    """Make a running control a voter, once it has caught up with the log.

    Example: chestnut voter add control-4 10.0.3.9:7101

    Parameters
    ----------
    id : str
        Identity of the control.
    address : str
        IP address and port at which it receives peer messages.
    http_address : str
        IP address and port of its HTTP server.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    request = {
        "action": "add",
        "id": id,
        "address": address,
        "http_address": http_address,
    }
    return send_change(PATH_VOTERS, request, settings, format)


def voter_remove(
    id: str, *, settings: Path | None = None, format: Format = "table"
) -> ExitCode:
    """Remove a control from the voters.

    Example: chestnut voter remove control-2

    Parameters
    ----------
    id : str
        Identity of the control.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format.
    """
    return send_change(PATH_VOTERS, {"action": "remove", "id": id}, settings, format)


def send_change(
    path: str, request: dict[str, Any], settings: Path | None, format: Format
) -> ExitCode:
    """Send a change to the leader and print its outcome."""
    body = json.dumps(request).encode()
    with _make_client(settings) as client:
        data = client.call("POST", path, body, is_mutation=True)
    if format == FORMAT_JSON:
        _print_json(data)
    else:
        print(data.get("outcome", ""))
    return ExitCode.DONE


def dump(
    *,
    address: str = "",
    settings: Path | None = None,
    format: Format = "json",
) -> ExitCode:
    """Print the internal state of every control, or of one process.

    Example: chestnut dump --address 10.0.1.7:8001

    Parameters
    ----------
    address : str
        IP address and HTTP port of one control or entry; all controls if empty.
    settings : Path | None
        Client settings file; default: $CHESTNUT_SETTINGS, else client.json.
    format : Format
        Output format; a dump is always printed as JSON.
    """
    path = _resolve_settings_file(settings)
    with _make_client(settings) as client:
        if address:
            _print_json(client.query_process(address, _DEBUG_PATH))
            return ExitCode.DONE
        dumps: dict[str, Any] = {}
        failures: list[ChestnutError] = []
        for control in load_client_settings(path).controls:
            try:
                dumps[control.id] = client.query_process(
                    control.http_address, PATH_DUMP
                )
            except (UnreachableError, OutcomeUnknownError) as error:
                failures.append(error)
                dumps[control.id] = {"error": str(error)}
    _print_json(dumps)
    for failure in failures:
        print(failure, file=sys.stderr)
    return ExitCode.UNREACHABLE if len(failures) == len(dumps) else ExitCode.DONE
