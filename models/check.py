"""Checks the Promela models with spin.

A mutant breaks one rule of a model, so that spin must find an error in it.
Exits with 1 if a model has an error or a mutant has none, and with 2 if a
tool is missing.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

MODEL_DIR = Path(__file__).resolve().parent
MAX_SEARCH_DEPTH = 2_000_000

TOOLS = ('spin', 'gcc')


@dataclass(slots=True, frozen=True)
class Case:
    """A model, the macros that bound its state space, and its mutants."""

    model: str
    bounds: tuple[str, ...]
    mutants: tuple[str, ...]


CASES = (
    Case('log', ('MAXTERM=3',), ('NO_UP_TO_DATE', 'NO_SYNCED_VOTE')),
    Case('log', ('MAXTERM=4', 'NO_CRASH'), ('COMMIT_OLD_TERM',)),
    Case(
        'release',
        (),
        (
            'ACK_BEFORE_SYNC',
            'LEASE_WITHOUT_CATCH_UP',
            'FENCE_WITHOUT_WAIT',
            'NO_FLOOR',
            'ASK_WITHOUT_LEASE',
            'NO_PEER_NEEDED',
        ),
    ),
    Case('reads', (), ('NO_CONFIRM', 'EARLY_CONFIRM', 'NO_TERM_START')),
    Case(
        'openzone', (), ('NO_VERSION_CHECK', 'ANSWER_BEFORE_ENTRY', 'NO_PROOF')
    ),
    Case('rollout', (), ('NO_RESEND_CHECK', 'NO_STEP_CHECK')),
    Case('members', (), ('SAME_NAME', 'CHANGE_OUTSIDE_LOG', 'REPLACE_AT_ONCE')),
    Case(
        'accept',
        (),
        (
            'NO_REQUEST_TABLE',
            'NO_COMPARE',
            'NO_VERSION_CHECK',
            'APPLY_IN_PLACE',
        ),
    ),
)


def search(case: Case, mutant: str) -> tuple[int, str]:
    """Searches all states of a model or mutant.

    Returns the number of errors and the number of states.

    :param mutant: macro that breaks a rule, or '' for the model itself
    :raises subprocess.CalledProcessError: if a tool fails
    """
    macros = (*case.bounds, mutant) if mutant else case.bounds
    defines = [f'-D{macro}' for macro in macros]
    model = case.model
    with tempfile.TemporaryDirectory() as folder:
        source = MODEL_DIR / f'{model}.pml'
        _run(['spin', '-a', *defines, str(source)], folder)
        options = ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-DMEMLIM=6000']
        _run(['gcc', *options, '-o', 'pan', 'pan.c'], folder)
        output = _run(['./pan', f'-m{MAX_SEARCH_DEPTH}', '-n', '-E'], folder)
    if 'max search depth too small' in output or 'out of memory' in output:
        sys.exit(
            f'{model} {mutant}: search incomplete: depth or memory limit reached'
        )
    errors = int(output.split('errors: ')[1].split()[0])
    states = output.split(' states, stored')[0].split()[-1]
    return errors, states


def _run(command: list[str], folder: str) -> str:
    process = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=True
    )
    return process.stdout


def missing_tools() -> str:
    """Returns the names of the missing tools, joined by "and", or ''."""
    return ' and '.join(name for name in TOOLS if not shutil.which(name))


def main() -> int:
    """Checks every model and mutant and returns the exit status."""
    missing = missing_tools()
    if missing:
        sys.stderr.write(f'make model needs {missing} on the PATH\n')
        return 2
    wrong = 0
    for case in CASES:
        for mutant in ('', *case.mutants):
            errors, states = search(case, mutant)
            correct = errors > 0 if mutant else errors == 0
            wrong += not correct
            verdict = 'ok' if correct else 'WRONG'
            label = ' '.join(
                (case.model, *case.bounds, mutant or 'as specified')
            )
            sys.stdout.write(
                f'{verdict}: {label}: {errors} errors, {states} states\n'
            )
            sys.stdout.flush()
    sys.stdout.write(f'{wrong} wrong verdicts\n')
    return int(wrong > 0)


if __name__ == '__main__':
    sys.exit(main())
