"""Generates registers of any size, and submissions of them."""

import random

import msgspec

from papayalock.messages import Operation, Register, Rules, Service

CALLERS_PER_SERVICE = 5  # and as many services that each service calls


def make_service(
    number: int, total: int, slots: int = 8, *, anyone: bool = False
) -> Service:
    """Returns one generated service with four operations.

    :param anyone: whether every service may call it, not just a few
    """
    callers = [
        f'svc-{(number + index * 7 + 1) % total}'
        for index in range(min(CALLERS_PER_SERVICE, total - 1))
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
    """Returns a register of generated services.

    :param total: number of services
    """
    return Register(
        mesh='generated',
        services=[make_service(number, total) for number in range(total)],
    )


def with_changed_slots(register: Register, rng: random.Random) -> Register:
    """Returns a register in which a random service has other slots."""
    services = list(register.services)
    number = rng.randrange(len(services))
    old = services[number]
    services[number] = msgspec.structs.replace(
        old, slots=1 + (old.slots + rng.randrange(6)) % 16
    )
    return Register(mesh=register.mesh, services=services)


def submission_body(
    register: Register,
    base: int,
    request: str,
    base_register: Register | None = None,
) -> bytes:
    """Returns the body of a submission.

    :param base: version that the submission starts from
    :param request: id of the submission
    :param base_register: register of the base version; only services that
        differ from it are sent
    """
    services = register.services
    if base_register is not None:
        pairs = zip(services, base_register.services, strict=True)
        services = [new for new, old in pairs if new != old]
    fields = {
        'partial': base_register is not None,
        'kind': 'submit',
        'request': request,
        'base': base,
        'operator': 'bench',
        'register': Register(mesh=register.mesh, services=services),
        'rules': Rules(),
    }
    return msgspec.json.encode(fields)
