"""Small inventories for tests."""

from pathlib import Path

from papayalock.commands import Command
from papayalock.core.inventory import Inventory, parse_inventory
from papayalock.core.ledger import Ledger
from papayalock.messages import Register, SetExistence, Submit, SubmitRes

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'


def example(name: str) -> Inventory:
    register = (EXAMPLES / name / 'register.toml').read_text()
    rules = (EXAMPLES / name / 'rules.toml').read_text()
    inventory, problems = parse_inventory(register, rules)
    assert inventory is not None, problems
    return inventory


def renamed(inventory: Inventory, mesh: str) -> Inventory:
    return Inventory(
        Register(mesh=mesh, services=inventory.register.services),
        inventory.rules,
    )


def with_slots(inventory: Inventory, slots: int) -> Inventory:
    services = [
        type(service)(
            name=service.name,
            slots=slots,
            connections=service.connections,
            operations=service.operations,
            callers=service.callers,
        )
        for service in inventory.register.services
    ]
    return Inventory(
        Register(mesh=inventory.register.mesh, services=services),
        inventory.rules,
    )


def submission(
    inventory: Inventory, base: int, request: str, operator: str = 'abbu'
) -> Submit:
    return Submit(
        kind='submit',
        request=request,
        base=base,
        operator=operator,
        register=inventory.register,
        rules=inventory.rules,
        at_ms=1000,
    )


class LedgerDriver:
    """Applies commands to a ledger at consecutive indices."""

    def __init__(self, **settings: int) -> None:
        self.ledger = Ledger(
            **{'history': 50, 'audit_records': 1000, **settings}
        )
        self.index = 0

    def apply(self, command: Command) -> SubmitRes:
        self.index += 1
        return self.ledger.apply(self.index, command)

    def submit(
        self, inventory: Inventory, base: int | None = None, request: str = ''
    ) -> SubmitRes:
        chosen = self.ledger.version if base is None else base
        return self.apply(
            submission(inventory, chosen, request or f'r{self.index}')
        )

    def set_existing(self, *services: str) -> None:
        self.apply(
            SetExistence(
                kind='existence', services=sorted(services), at_ms=2000
            )
        )
