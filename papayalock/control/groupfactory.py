"""Restores the replica of a Raft group from disk and starts its driver."""

from papayalock.control.group import CONFIG_GROUP, RaftGroup
from papayalock.control.identity import Identity
from papayalock.control.statemachine import StateMachine
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Replica, ReplicaConfig
from papayalock.ports import Clock, Disk, Network, Random
from papayalock.settings import GroupSettings


def make_group(
    name: str,
    identity: Identity,
    machine: StateMachine,
    settings: GroupSettings,
    disk: Disk,
    network: Network,
    clock: Clock,
    rng: Random,
    log_bytes: int,
) -> RaftGroup:
    """Returns the driver of this VM's replica of a group.

    :param log_bytes: memory of applied entries after which the log is
        compacted
    :raises StorageError: when a file of the group is damaged
    """
    storage = GroupStorage(disk, name)
    cfg = ReplicaConfig(
        name,
        identity.member,
        tick_ms=settings.tick_ms,
        election_ms=settings.election_ms,
        lease_ms=settings.lease_ms,
        drift_percent=settings.drift_percent,
        append_entries=settings.append_entries,
        eager_commit=name == CONFIG_GROUP,
    )
    restored = storage.load(identity.first)
    replica = Replica(cfg, restored, rng, clock.monotonic())
    return RaftGroup(
        replica,
        storage,
        machine,
        network,
        clock,
        settings.snapshot_entries,
        log_bytes,
    )
