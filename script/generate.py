"""Generate the protobuf modules from the schema, or check that they are up to date."""

import argparse
import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_FOLDER = ROOT / "schema"
PACKAGE_FOLDER = Path("chestnutvale") / "schema"


def generate_modules(output_folder: Path) -> None:
    """Generate the protobuf modules of all schema files.

    Parameters
    ----------
    output_folder : Path
        Folder that contains the top-level package.

    Raises
    ------
    SystemExit
        If the compiler rejects a schema file.
    """
    schema_paths = sorted(str(path) for path in SCHEMA_FOLDER.rglob("*.proto"))
    arguments = [
        "protoc",
        f"-I{SCHEMA_FOLDER}",
        f"--python_out={output_folder}",
        f"--pyi_out={output_folder}",
        *schema_paths,
    ]
    if protoc.main(arguments) != 0:
        raise SystemExit("protoc rejected a schema file; see its messages")


def read_generated_modules(folder: Path) -> dict[str, str]:
    """Read all generated modules of a package.

    Parameters
    ----------
    folder : Path
        Folder that contains the top-level package.

    Returns
    -------
    dict of str to str
        Source text of each module by file name.
    """
    module_paths = sorted((folder / PACKAGE_FOLDER).glob("*_pb2.py*"))
    return {path.name: path.read_text() for path in module_paths}


def main() -> int:
    """Generate the modules, or with ``--check`` compare them with the schema.

    Returns
    -------
    int
        Exit code; 1 if ``--check`` finds outdated modules.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate_modules(ROOT)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        generate_modules(Path(folder))
        generated = read_generated_modules(Path(folder))
    committed = read_generated_modules(ROOT)
    stale = sorted(
        name
        for name in generated.keys() | committed.keys()
        if generated.get(name) != committed.get(name)
    )
    for name in stale:
        print(f"generated module {name} is stale; run script/generate.py")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
