"""A planned stop of a control VM: hands over its vote and its lead.

A VM that stops for good would otherwise leave a vote behind that nobody takes
over until its silence is noticed, and the next lost disk is one too many.
"""

import asyncio
import logging

import uvicorn

from papayalock.control.coordinator import Coordinator
from papayalock.control.membermanager import MemberManager
from papayalock.messages import LeaveReq
from papayalock.result import PapayalockError
from papayalock.stopsignals import install_stop_signals

log = logging.getLogger(__name__)

HAND_OVER_S = 2.0  # longest time for the hand-over; then the VM stops as it is
SUCCESSOR_S = (
    1.0  # of these, longest wait of a leader for a learner to be ready
)
POLL_S = 0.05


class Departure:
    """Hands over the vote of this VM, and the lead if it has it.

    A VM keeps its vote if no learner is ready for it: two voters of two
    survive less than three of three. A VM that comes back after a restart is
    a learner.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        member_manager: MemberManager,
        *,
        manages_members: bool,
    ) -> None:
        """Stores the parts; :meth:`run` does the work.

        :param manages_members: whether members change without an operator
        """
        self._manages_members = manages_members
        self._coordinator = coordinator
        self._member_manager = member_manager

    async def run(self) -> bool:
        """Hands over; returns whether that ended in time."""
        began = self._coordinator.now()
        done = False
        while not done and self._coordinator.now() - began < HAND_OVER_S:
            done = await self._step(self._coordinator.now() - began)
            if not done:
                await asyncio.sleep(POLL_S)
        own = self._coordinator.config_group.replica.own_member
        log.log(
            logging.INFO if done else logging.WARNING,
            'vote and lead handed over'
            if done
            else 'vote or lead not handed over in time',
            extra={
                'votes': own is not None and own.voter,
                'took_s': round(self._coordinator.now() - began, 3),
            },
        )
        return done

    async def _step(self, elapsed_s: float) -> bool:
        """Takes one step; returns whether this VM may stop."""
        replica = self._coordinator.config_group.replica
        if replica.own_member is None or not self._manages_members:
            return True
        if replica.is_leader:
            return self._member_manager.hand_over_lead(
                waits=elapsed_s < SUCCESSOR_S
            )
        try:
            async with asyncio.timeout(HAND_OVER_S / 2):
                res = await self._member_manager.handle_leave(
                    LeaveReq(member=replica.cfg.name), forwarded=False
                )
        except (PapayalockError, TimeoutError) as exc:
            log.info('hand-over not answered', extra={'reason': str(exc)})
            return False
        return res.done


async def stop_at_signal(
    http_server: uvicorn.Server, departure: Departure
) -> None:
    """Hands over at the signal to stop, and then ends the HTTP server."""
    await install_stop_signals().wait()
    log.info('control VM stops')
    try:
        await departure.run()
    finally:
        http_server.should_exit = True
