"""The customers of a run, whose keys its callers send, and their checks."""

from collections.abc import Iterator
from pathlib import Path

from bench.soak.history import INNER_CALL_SUFFIX, History
from papayalock.core.customers import key_digest
from papayalock.messages import Customer
from papayalock.result import Code

KEYS = {'field': 'soak-key-of-field', 'office': 'soak-key-of-office'}
WRONG_KEY = 'soak-key-of-nobody'
WRONG_SHARE = 0.02  # of the calls, which have a key of no customer
FORGED_CUSTOMER = 'forged'  # sent with every call, in the node's own header


def make_customers() -> list[Customer]:
    """Returns the customers that each route set of a run holds."""
    return [
        Customer(name=name, keys=[key_digest(key, b'')])
        for name, key in KEYS.items()
    ]


def find_leaks(folder: Path) -> list[str]:
    """Returns the names of the logs in which a key stands."""
    keys = [key.encode() for key in (*KEYS.values(), WRONG_KEY)]
    return [
        path.name
        for path in folder.glob('*.log')
        if any(key in path.read_bytes() for key in keys)
    ]


def check_customers_are_identified(history: History) -> Iterator[str]:
    """A call runs for the customer whose key it has, and for no other."""
    customers = {record.call: record.customer for record in history.attempts}
    for run in history.runs:
        if run.call.removesuffix(INNER_CALL_SUFFIX) not in customers:
            continue
        expected = customers.get(run.call, '')
        if run.customer != expected:
            yield (
                f'customer: {run.call} of {expected!r} ran for {run.customer!r}'
            )
        if run.call in customers and not expected:
            yield f'customer: {run.call} ran with a wrong key'


def check_known_keys_are_admitted(history: History) -> Iterator[str]:
    """No call with the key of a customer is refused as unknown."""
    for record in history.attempts:
        if record.customer and record.code == Code.UNKNOWN_API_KEY:
            yield f'customer: {record.call} of {record.customer} was refused'


def check_keys_stay_secret(history: History) -> Iterator[str]:
    """No key stands in a log."""
    for name in history.leaking_logs:
        yield f'customer: an API key stands in {name}'
