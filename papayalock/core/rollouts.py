"""Replicated state of roll-outs: accepted versions, orders and their steps."""

from typing import Literal

import msgspec

from papayalock.commands import RolloutCommand
from papayalock.core.partnames import versions_part
from papayalock.core.routesets import shared_part
from papayalock.messages import (
    AcceptVersions,
    OrderRollout,
    Part,
    Rollout,
    RolloutRes,
    ServiceVersions,
    StepRollout,
)
from papayalock.result import Code

RolloutState = Literal['running', 'completed', 'rolled_back']
RUNNING: RolloutState = 'running'
COMPLETED: RolloutState = 'completed'
ROLLED_BACK: RolloutState = 'rolled_back'
VersionsByService = dict[str, ServiceVersions]
RolloutResult = RolloutRes | None
RESEND_MS = 10_000  # time in which an order that has ended is not a new one


def running_rollout(versions: ServiceVersions | None) -> Rollout | None:
    """Returns the roll-out of a service that runs, or None."""
    if versions is None or versions.rollout is None:
        return None
    return versions.rollout if versions.rollout.state == RUNNING else None


class RolloutBook:
    """The versions of each service, as committed commands have set them."""

    def __init__(self) -> None:
        """Starts without services."""
        self.services: dict[str, ServiceVersions] = {}

    def apply(
        self, index: int, command: RolloutCommand
    ) -> tuple[RolloutRes | None, bool]:
        """Applies a committed command.

        :param index: log index of the command
        :returns: the response, and whether the versions of the service changed
        """
        if isinstance(command, AcceptVersions):
            return None, self._accept(command)
        if isinstance(command, OrderRollout):
            return self._order(index, command)
        return self._step(command)

    def _accept(self, command: AcceptVersions) -> bool:
        """Records the versions that a service had before any roll-out."""
        if command.service in self.services:
            return False
        self.services[command.service] = ServiceVersions(
            command.service, sorted(command.versions)
        )
        return True

    def _order(
        self, index: int, command: OrderRollout
    ) -> tuple[RolloutRes, bool]:
        """Starts a roll-out, acknowledges a resent order, or refuses it.

        :param index: log index of the command
        """
        versions = self.services.get(command.service)
        if versions is None:
            refusal = f'no servers of {command.service} are known'
            return self._refused(command, refusal), False
        current = versions.rollout
        if current is not None and _is_resent(command, current):
            return RolloutRes(Code.DONE, command.service, current), False
        if current is not None and running_rollout(versions):
            refusal = f'{current.target} is being rolled out'
            return self._refused(command, refusal), False
        started = Rollout(
            order=index,
            target=command.target,
            duration_ms=command.duration_ms,
            ordered_at_ms=command.at_ms,
        )
        if versions.accepted == [command.target]:
            started.state = COMPLETED
            started.reason = 'the version is accepted already'
        self._store(versions, started)
        return RolloutRes(Code.DONE, command.service, started), True

    def _step(self, command: StepRollout) -> tuple[RolloutRes, bool]:
        """Takes a step, unless another one was taken first."""
        versions = self.services.get(command.service)
        current = running_rollout(versions)
        if (
            versions is None
            or current is None
            or not _follows(command, current)
        ):
            refusal = 'the roll-out has taken another step'
            return (
                RolloutRes(Code.CONFLICT, command.service, current, refusal),
                False,
            )
        after = msgspec.structs.replace(
            current,
            state=command.state,
            step=command.step,
            share=float(command.share) if command.state == RUNNING else 0.0,
            proven=command.proven,
            elapsed_ms=command.elapsed_ms,
            reason=command.reason,
        )
        self._store(versions, after)
        return RolloutRes(Code.DONE, command.service, after), True

    def part(self, service: str) -> Part:
        """Returns the part that tells nodes of a service's versions."""
        return shared_part(
            versions_part(service), versions=self.services[service]
        )

    def describe(self, service: str) -> str:
        """Returns the versions of a service as one line for the audit."""
        versions = self.services[service]
        rollout = versions.rollout
        if rollout is None:
            return f'{service}: versions {", ".join(versions.accepted)} in use'
        return (
            f'{service}: roll-out {rollout.order} of {rollout.target} '
            f'{rollout.state}, step {rollout.step}, share {rollout.share:g}'
            f' after {rollout.elapsed_ms} ms; {rollout.reason}'
        )

    def _store(self, versions: ServiceVersions, rollout: Rollout) -> None:
        accepted = versions.accepted
        if rollout.state == COMPLETED:
            accepted = [rollout.target]
        self.services[versions.service] = ServiceVersions(
            versions.service, accepted, rollout
        )

    def _refused(self, command: OrderRollout, reason: str) -> RolloutRes:
        versions = self.services.get(command.service)
        return RolloutRes(
            Code.CONFLICT,
            command.service,
            versions.rollout if versions else None,
            reason,
        )


def _is_resent(command: OrderRollout, current: Rollout) -> bool:
    """Whether an order is the newest one again, which may be long or ended."""
    same = (command.target, command.duration_ms) == (
        current.target,
        current.duration_ms,
    )
    recent = command.at_ms - current.ordered_at_ms < RESEND_MS
    return same and (current.state == RUNNING or recent)


def _follows(command: StepRollout, current: Rollout) -> bool:
    same_order = command.order == current.order
    return same_order and command.step == current.step + 1
