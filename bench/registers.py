"""Generated registers of any size."""

import random

import msgspec

from papayalock.messages import Operation, Register, Rules, Service

CALLEES = 5  # services that one service calls


def make_service(
    number: int, total: int, slots: int = 8, *, anyone: bool = False
) -> Service:
    """Returns one service that a few others, or all, may call."""
    callers = [
        f'svc-{(number + step * 7 + 1) % total}'
        for step in range(min(CALLEES, total - 1))
    ]
    return Service(
        name=f'svc-{number}',
        slots=slots,
        connections=128,
        callers=['*'] if anyone or not callers else callers,
        operations=[
            Operation(
                name='read',
                method='GET',
                path='/items/{item}',
                deadline_ms=1000,
            ),
            Operation(
                name='list',
                method='GET',
                path='/items',
                priority='bulk',
                deadline_ms=30_000,
            ),
            Operation(
                name='write',
                method='POST',
                path='/items',
                repeatable=False,
                deadline_ms=3000,
            ),
            Operation(
                name='change',
                method='PUT',
                path='/items/{item}',
                deadline_ms=2000,
            ),
        ],
    )


def make_register(total: int) -> Register:
    """Returns a register of a number of services."""
    return Register(
        mesh='generated',
        services=[make_service(number, total) for number in range(total)],
    )


def with_changed_slots(register_now: Register, rng: random.Random) -> Register:
    """Returns a register in which one service has other slots."""
    services = list(register_now.services)
    number = rng.randrange(len(services))
    old = services[number]
    services[number] = msgspec.structs.replace(
        old, slots=1 + (old.slots + rng.randrange(6)) % 16
    )
    return Register(mesh=register_now.mesh, services=services)


def submission_body(
    register_now: Register,
    base: int,
    request: str,
    known: Register | None = None,
) -> bytes:
    """Returns the body of a submission.

    :param known: register of the base; only what differs from it is sent
    """
    services = register_now.services
    if known is not None:
        pairs = zip(services, known.services, strict=True)
        services = [one for one, old in pairs if one != old]
    fields = {
        'partial': known is not None,
        'kind': 'submit',
        'request': request,
        'base': base,
        'operator': 'bench',
        'register': Register(mesh=register_now.mesh, services=services),
        'rules': Rules(),
    }
    return msgspec.json.encode(fields)
