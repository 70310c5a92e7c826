"""Builds the member manager of a control VM from its settings."""

from papayalock.control.coordinator import Coordinator
from papayalock.control.membermanager import MemberManager
from papayalock.core.memberpolicy import MemberPolicy
from papayalock.core.voterspread import Tolerance
from papayalock.messages import JoinReq
from papayalock.pool import Pool
from papayalock.settings import ControlSettings, Settings

MS_PER_S = 1000


def make_member_policy(control: ControlSettings) -> MemberPolicy:
    """Returns the policy for the voters that the settings ask for."""
    tolerance = Tolerance(
        control.tolerance.vms,
        control.tolerance.zones,
        control.tolerance.regions,
        control.regions,
    )
    return MemberPolicy(control.voters, control.silent_ms / MS_PER_S, tolerance)


def make_member_manager(
    settings: Settings, coordinator: Coordinator, pool: Pool
) -> MemberManager:
    """Returns the member manager of the VM that has these settings."""
    join_req = JoinReq(
        member=coordinator.name,
        address=settings.advertise or settings.listen,
        zone=settings.zone,
    )
    return MemberManager(
        coordinator,
        join_req,
        settings.control.addresses,
        make_member_policy(settings.control),
        pool,
    )
