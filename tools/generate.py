"""Generates ``messages.py`` and ``settings.py`` from their JSON Schemas."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'papayalock'
OPTIONS = (
    '--input-file-type=jsonschema',
    '--output-model-type=msgspec.Struct',
    '--use-default',
    '--use-schema-description',
    '--target-python-version=3.11',
    '--disable-timestamp',
    '--use-standard-collections',
    '--use-union-operator',
    '--use-annotated',
    '--enum-field-as-literal=all',
    '--formatters=builtin',
)


Schema = dict[str, Any]


def require_defaults(schema: Schema) -> None:
    """Marks all fields as required, so that none of them can be ``UNSET``."""
    for definition in schema['definitions'].values():
        definition['required'] = list(definition.get('properties', {}))


def render(name: str) -> str:
    """Returns the code that is generated from a schema.

    :param name: file name of the schema without its suffix
    :raises subprocess.CalledProcessError: if the generator fails
    """
    schema = json.loads((PACKAGE / 'schema' / f'{name}.json').read_text())
    require_defaults(schema)
    with tempfile.TemporaryDirectory() as folder:
        source = Path(folder) / f'{name}.json'
        source.write_text(json.dumps(schema))
        target = Path(folder) / f'{name}.py'
        command = [
            sys.executable,
            '-m',
            'datamodel_code_generator',
            f'--input={source}',
            f'--output={target}',
            *OPTIONS,
        ]
        subprocess.run(command, check=True, stderr=subprocess.DEVNULL)
        code = target.read_text()
    return code


def main() -> None:
    """Writes the generated modules."""
    for name in ('messages', 'settings'):
        (PACKAGE / f'{name}.py').write_text(render(name))


if __name__ == '__main__':
    main()
