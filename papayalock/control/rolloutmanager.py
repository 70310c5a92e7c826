"""Drives roll-outs: collects evidence and, as leader, commits their steps."""

import asyncio
import logging
from dataclasses import dataclass

import msgspec

from papayalock.control.coordinator import Coordinator
from papayalock.core.evidence import EvidenceTable
from papayalock.core.promotion import (
    NextStep,
    Observed,
    next_step,
    stage_shares,
)
from papayalock.core.rollouts import ROLLED_BACK, RolloutBook, running_rollout
from papayalock.core.verdict import Trial
from papayalock.messages import (
    AcceptVersions,
    Endpoint,
    OrderRollout,
    Rollout,
    RolloutRes,
    ServerEvidence,
    ServiceVersions,
    StepRollout,
)
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

MS_PER_S = 1000
TICK_S = 0.1
FORWARD_INTERVAL_S = 0.2
VERSIONS_SETTLE_S = 2.0  # time to hear of all servers of a new service
REPORT_DELAY_S = 0.3  # after a step, until reports are about that step


@dataclass(slots=True)
class OpenTrial:
    """A roll-out that runs, as this control VM has seen it."""

    order: int
    seen_at: float  # monotonic seconds
    seen_elapsed_ms: int  # since the order, when it was seen
    step: int
    stepped_at: float
    trial: Trial
    table: EvidenceTable
    stage_calls: int = 0
    most_old_servers: int = 0  # ready at the same time

    def elapsed_ms(self, now: float) -> int:
        """Returns the time since the order."""
        return self.seen_elapsed_ms + int((now - self.seen_at) * MS_PER_S)

    def start_stage(self, step: int, now: float) -> None:
        """Asks for new evidence, since the share has changed."""
        self.step = step
        self.stepped_at = now
        self.stage_calls = 0
        self.trial.start_stage()


class RolloutManager:
    """Runs on every control VM.

    A follower passes on the evidence that its nodes report. It keeps what it
    hears, and follows the time of each roll-out, so that it can go on when it
    is elected.
    """

    def __init__(
        self, coordinator: Coordinator, clock: Clock, exposure_share: float
    ) -> None:
        """Starts without roll-outs.

        :param exposure_share: share of a service's calls that a bad version
            may get
        """
        self._shares = stage_shares(exposure_share)
        self._coordinator = coordinator
        self._book: RolloutBook = coordinator.ledger.rollouts
        self._clock = clock
        self._trials: dict[str, OpenTrial] = {}
        self._unsent: dict[str, ServerEvidence] = {}
        self._first_seen: dict[str, float] = {}
        coordinator.distributor.on_evidence = self.record

    async def run(self) -> None:
        """Does the periodic work until cancelled."""
        forwarded_at = self._clock.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            self._follow_rollouts()
            now = self._clock.monotonic()
            if self._coordinator.config_group.replica.is_leader:
                self._unsent.clear()
                await self._lead()
            elif self._unsent and now >= forwarded_at + FORWARD_INTERVAL_S:
                forwarded_at = now
                await self._forward_evidence()

    def record(self, report: ServerEvidence) -> None:
        """Takes in the evidence of a node, also by way of a follower."""
        self._follow_rollouts()
        running = self._trials.get(report.service)
        if running is None or running.order != report.order:
            return
        self._unsent[report.server] = report
        now = self._clock.monotonic()
        for added in running.table.merge(report, now):
            running.trial.record(added)
            running.stage_calls += added.ended

    @property
    def running(self) -> int:
        """The number of roll-outs that run."""
        return len(self._trials)

    async def commit(
        self, command: OrderRollout | StepRollout, *, forwarded: bool = False
    ) -> RolloutRes:
        """Commits an order or a step.

        :raises PapayalockError: when no leader responded; the command may
            have been committed
        """
        is_order = isinstance(command, OrderRollout)
        path = '/v1/rollout-order' if is_order else '/v1/rollout-step'
        res = await self._coordinator.commit(command, path, forwarded=forwarded)
        return msgspec.convert(res, RolloutRes)

    async def newest_versions(self, service: str) -> ServiceVersions | None:
        """Returns the versions of a service, by a linearizable read."""
        await self._coordinator.catch_up()
        return self._book.services.get(service)

    async def abort(self, service: str, operator: str) -> RolloutRes:
        """Rolls back a roll-out that runs.

        :raises PapayalockError: ``UNKNOWN_VERSION`` if there is none
        """
        rollout = running_rollout(await self.newest_versions(service))
        if rollout is None:
            raise PapayalockError(
                Code.UNKNOWN_VERSION, f'no roll-out of {service} runs'
            )
        step = NextStep(ROLLED_BACK, 0.0, proven=False, reason='aborted')
        command = _command(service, rollout, step, rollout.elapsed_ms)
        command.operator = operator
        return await self.commit(command)

    def _follow_rollouts(self) -> None:
        """Opens and closes trials to match the applied log."""
        now = self._clock.monotonic()
        for service, versions in self._book.services.items():
            rollout = running_rollout(versions)
            if rollout is None:
                self._trials.pop(service, None)
                continue
            running = self._trials.get(service)
            if running is None or running.order != rollout.order:
                running = _open_trial(rollout, now)
                self._trials[service] = running
            if running.step != rollout.step:
                running.start_stage(rollout.step, now)

    async def _lead(self) -> None:
        """Commits what is due, as leader."""
        try:
            await self._accept_first_versions()
            for service, running in list(self._trials.items()):
                versions = self._book.services[service]
                await self._take_step(versions, running)
        except PapayalockError as exc:
            log.warning(
                'step of a roll-out not committed',
                extra={'code': exc.code, 'reason': str(exc)},
            )

    async def _take_step(
        self, versions: ServiceVersions, running: OpenTrial
    ) -> None:
        rollout = running_rollout(versions)
        if rollout is None:
            return
        now = self._clock.monotonic()
        observed = self._observe(versions, rollout, running, now)
        step = next_step(rollout, observed, self._shares)
        if step is None:
            return
        command = _command(versions.service, rollout, step, observed.elapsed_ms)
        log.info(
            'roll-out takes a step',
            extra={
                'service': versions.service,
                'target': rollout.target,
                'order': rollout.order,
                'step': command.step,
                'state': step.state,
                'share': step.share,
                'elapsed_ms': observed.elapsed_ms,
                'stage_ms': observed.stage_ms,
                'new_servers': observed.new_servers,
                'old_servers': observed.old_servers,
                'reason': step.reason,
            },
        )
        await self.commit(command, forwarded=True)

    def _observe(
        self,
        versions: ServiceVersions,
        rollout: Rollout,
        running: OpenTrial,
        now: float,
    ) -> Observed:
        endpoints = self._ready_servers(versions.service)
        old = [
            endpoint.server
            for endpoint in endpoints
            if endpoint.version in versions.accepted
        ]
        new = [
            endpoint
            for endpoint in endpoints
            if endpoint.version == rollout.target
        ]
        running.most_old_servers = max(running.most_old_servers, len(old))
        trial = running.trial
        return Observed(
            elapsed_ms=running.elapsed_ms(now),
            stage_ms=int((now - running.stepped_at) * MS_PER_S),
            new_servers=len(new),
            old_servers=running.most_old_servers,
            old_running=running.table.running(
                old, running.stepped_at + REPORT_DELAY_S
            ),
            is_bad=trial.is_bad,
            passed=trial.passed,
            has_calls=bool(running.stage_calls),
            evidence=trial.describe(),
        )

    async def _accept_first_versions(self) -> None:
        """Records the versions that new services have, once they are known."""
        now = self._clock.monotonic()
        known = self._book.services
        found: dict[str, set[str]] = {}
        for endpoint in self._coordinator.distributor.table.endpoints():
            if endpoint.version and endpoint.service not in known:
                found.setdefault(endpoint.service, set()).add(endpoint.version)
        for service, versions in found.items():
            first = self._first_seen.setdefault(service, now)
            if now - first >= VERSIONS_SETTLE_S:
                await self._coordinator.config_group.propose(
                    AcceptVersions(
                        kind='versions',
                        service=service,
                        versions=sorted(versions),
                    )
                )

    def _ready_servers(self, service: str) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._coordinator.distributor.table.endpoints()
            if endpoint.service == service and endpoint.state == 'ready'
        ]

    async def _forward_evidence(self) -> None:
        reports = list(self._unsent.values())
        self._unsent.clear()
        try:
            await self._coordinator.send_to_leader(
                '/v1/evidence', reports, forwarded=False
            )
        except PapayalockError as exc:
            log.info(
                'evidence not passed on; the next reports hold it too',
                extra={'code': exc.code, 'reason': str(exc)},
            )


def _open_trial(rollout: Rollout, now: float) -> OpenTrial:
    return OpenTrial(
        order=rollout.order,
        seen_at=now,
        seen_elapsed_ms=rollout.elapsed_ms,
        step=rollout.step,
        stepped_at=now,
        trial=Trial(rollout.target),
        table=EvidenceTable(),
    )


def _command(
    service: str, rollout: Rollout, step: NextStep, elapsed_ms: int
) -> StepRollout:
    return StepRollout(
        kind='rollout-step',
        service=service,
        order=rollout.order,
        step=rollout.step + 1,
        state=step.state,
        share=step.share,
        proven=step.proven,
        elapsed_ms=elapsed_ms,
        reason=step.reason,
    )
