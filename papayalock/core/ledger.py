"""Replicated state of the mesh: versions, request ids and the audit trail."""

import msgspec

from papayalock.commands import Command, RolloutCommand
from papayalock.core.audit import AuditTrail
from papayalock.core.derive import (
    Manifest,
    derive_parts,
    manifest_digest,
    rules_by_service,
)
from papayalock.core.history import HistoryState, Undo, VersionHistory
from papayalock.core.inventory import (
    Inventory,
    check_inventory,
    merged_register,
)
from papayalock.core.partnames import is_shared
from papayalock.core.partstore import PartStore, PartText
from papayalock.core.requestlog import RequestLog
from papayalock.core.retention import RetentionBudget
from papayalock.core.rollouts import (
    RolloutBook,
    RolloutResult,
    VersionsByService,
)
from papayalock.core.routesets import (
    Candidate,
    RouteSetState,
    RouteSetStore,
    part_changes,
)
from papayalock.messages import (
    AuditRecord,
    Part,
    Publish,
    PublishRes,
    Register,
    Revise,
    Rules,
    SetExistence,
    SetMember,
    Submit,
    SubmitRes,
    VersionInfo,
)
from papayalock.result import Code


class LedgerState(msgspec.Struct):
    """The ledger as a snapshot stores it."""

    register: Register | None
    rules: Rules
    existing: list[str]
    versions: list[VersionInfo]
    parts: dict[str, msgspec.Raw]
    requests: dict[str, SubmitRes]
    fingerprints: dict[str, str]
    audit: list[AuditRecord]
    book: RouteSetState = msgspec.field(default_factory=RouteSetState)
    versions_by_service: VersionsByService = msgspec.field(default_factory=dict)
    undos: list[Undo] = msgspec.field(default_factory=list)


class PreparedRoutes:
    """What a publication changes, as computed before it is applied."""

    __slots__ = ('candidate', 'changed', 'command', 'detail', 'manifest')

    def __init__(
        self, command: Publish | Revise, candidate: Candidate | None
    ) -> None:
        """Starts without changes.

        :param candidate: the resulting set; None if the command does not fit
        """
        self.command = command
        self.candidate = candidate
        self.changed: list[PartText] = []
        self.manifest: Manifest = {}
        self.detail = ''


class Ledger:
    """State machine of the configuration group.

    It applies committed commands in log order, so every replica reaches the
    same state.
    """

    def __init__(
        self,
        *,
        history: int,
        audit_records: int,
        budget: RetentionBudget | None = None,
    ) -> None:
        """Starts empty.

        :param history: maximum number of versions whose parts are kept
        :param audit_records: maximum number of audit records kept
        :param budget: memory for versions, audit records and responses
        """
        budget = budget or RetentionBudget()
        self.inventory: Inventory | None = None
        self.existing: list[str] = []
        self.history = VersionHistory(history, budget.versions)
        self.audit = AuditTrail(audit_records, budget.audit)
        self.route_sets = RouteSetStore()
        self.rollouts = RolloutBook()
        self._prepared: PreparedRoutes | None = None
        self._requests = RequestLog(budget.requests)

    @property
    def version(self) -> int:
        """The newest accepted version; 0 before the first."""
        newest = self.history.newest
        return newest.version if newest else 0

    @property
    def parts(self) -> PartStore:
        """The parts of the kept versions."""
        return self.history.parts

    def version_at(self, index: int) -> VersionInfo | None:
        """Returns the newest version whose log index is at most ``index``."""
        return self.history.find_by_index(index)

    def version_info(self, version: int) -> VersionInfo | None:
        """Returns a kept version, or None."""
        return self.history.find(version)

    def version_parts(self, info: VersionInfo) -> dict[str, Part]:
        """Returns the parts of a kept version by name."""
        return {name: self.parts[digest] for name, digest in info.parts.items()}

    def apply(
        self, index: int, command: Command
    ) -> SubmitRes | PublishRes | RolloutResult:
        """Applies one committed command and returns its response, if any."""
        if isinstance(command, Submit):
            return self._submit(index, command)
        if isinstance(command, Publish | Revise):
            return self._publish(index, command)
        if isinstance(command, RolloutCommand):
            return self._roll_out(index, command)
        if isinstance(command, SetExistence):
            self._set_existence(index, command)
        elif isinstance(command, SetMember):
            return self._audit_member_change(index, command)
        return None

    def prepare(self, command: Command) -> None:
        """Does the long work for a command that is the next to be applied.

        It changes nothing that others read, so it may run in another thread.
        """
        if isinstance(command, Publish | Revise):
            self._prepared = self._prepare(command)

    def dump(self) -> bytes:
        """Returns the state as JSON text."""
        inventory = self.inventory
        history = self.history.dump()
        state = LedgerState(
            register=inventory.register if inventory else None,
            rules=inventory.rules if inventory else Rules(),
            existing=self.existing,
            versions=history.versions,
            parts=history.parts,
            requests=self._requests.responses,
            fingerprints=self._requests.fingerprints,
            audit=self.audit.records,
            book=self.route_sets.state,
            versions_by_service=self.rollouts.services,
            undos=history.undos,
        )
        return msgspec.json.encode(state)

    def load(self, text: bytes) -> None:
        """Replaces the state by a dumped one; an empty text changes nothing."""
        if not text:
            return
        state = msgspec.json.decode(text, type=LedgerState)
        self.inventory = (
            Inventory(state.register, state.rules) if state.register else None
        )
        self.existing = state.existing
        self.history.load(
            HistoryState(state.versions, state.parts, state.undos)
        )
        self._requests.restore(state.requests, state.fingerprints)
        self.audit.restore(state.audit)
        self.route_sets.state = state.book
        self.rollouts.services = state.versions_by_service

    def _submit(self, index: int, command: Submit) -> SubmitRes:
        fingerprint = submit_fingerprint(command)
        earlier = self._requests.responses.get(command.request)
        if earlier is not None:
            if self._requests.fingerprints[command.request] == fingerprint:
                return earlier
            return SubmitRes(
                code=Code.REQUEST_REUSED,
                version=self.version,
                message='request id was used for another submission',
            )
        response = self._decide_submission(index, command)
        self._requests.add(command.request, fingerprint, response)
        return response

    def _decide_submission(self, index: int, command: Submit) -> SubmitRes:
        if command.base != self.version:
            return SubmitRes(
                code=Code.CONFLICT,
                version=self.version,
                message=f'made from {command.base}, current is {self.version}',
            )
        inventory = self._proposed_inventory(command)
        problems = check_inventory(inventory)
        if problems:
            return SubmitRes(
                code=Code.INVALID, version=self.version, problems=problems
            )
        touched = self._changed_services(command, inventory)
        self.inventory = inventory
        self._add_version(
            index, command.at_ms, command.operator, 'submit', touched
        )
        return SubmitRes(code=Code.DONE, version=self.version)

    def _proposed_inventory(self, command: Submit) -> Inventory:
        if not command.partial or self.inventory is None:
            return Inventory(command.register, command.rules)
        base = self.inventory.register
        register = merged_register(base, command.register, command.removed)
        return Inventory(register, command.rules)

    def _changed_services(
        self, command: Submit, new: Inventory
    ) -> set[str] | None:
        """Returns the services to derive again; None for all of them."""
        if not command.partial or self.inventory is None:
            return None
        submitted = {service.name for service in command.register.services}
        old_rules = rules_by_service(self.inventory.rules.rules)
        new_rules = rules_by_service(new.rules.rules)
        with_changed_rules = {
            name
            for name in old_rules.keys() | new_rules.keys()
            if old_rules.get(name) != new_rules.get(name)
        }
        return submitted | with_changed_rules

    def _set_existence(self, index: int, command: SetExistence) -> None:
        if command.services == self.existing:
            return
        touched = set(command.services) ^ set(self.existing)
        self.existing = list(command.services)
        if self.inventory is not None:
            self._add_version(index, command.at_ms, '', 'existence', touched)

    def _publish(self, index: int, command: Publish | Revise) -> PublishRes:
        prepared = self._prepared
        self._prepared = None
        if prepared is None or prepared.command is not command:
            prepared = self._prepare(command)
        response, changed = self.route_sets.decide(command, prepared.candidate)
        if changed:
            for part in prepared.changed:
                self.parts.add_encoded(part)
            self._record_version(
                index,
                command.at_ms,
                command.operator,
                'routes',
                prepared.manifest,
                prepared.detail,
            )
        return response

    def _prepare(self, command: Publish | Revise) -> PreparedRoutes:
        candidate = self.route_sets.candidate(command)
        prepared = PreparedRoutes(command, candidate)
        if candidate is None or candidate.problems:
            return prepared
        changes = part_changes(self.route_sets.current, candidate.routes)
        previous = self.history.newest_parts
        manifest = dict(previous)
        for name in changes.removed:
            manifest.pop(name, None)
        prepared.changed = [PartText(part) for part in changes.changed]
        manifest.update((part.name, part.digest) for part in prepared.changed)
        prepared.manifest = manifest
        prepared.detail = describe_change(previous, manifest)
        return prepared

    def _roll_out(self, index: int, command: RolloutCommand) -> RolloutResult:
        response, changed = self.rollouts.apply(index, command)
        if changed:
            part = self.rollouts.part(command.service)
            self._record_version(
                index,
                command.at_ms,
                getattr(command, 'operator', ''),
                'rollout',
                {
                    **self.history.newest_parts,
                    part.service: self.parts.add(part),
                },
                self.rollouts.describe(command.service),
            )
        return response

    def _audit_member_change(self, index: int, command: SetMember) -> SubmitRes:
        detail = f'{command.action} {command.member.member}'
        self.audit.add(
            index,
            command.at_ms,
            'member',
            self.version,
            command.operator,
            detail,
        )
        return SubmitRes(code=Code.DONE, version=self.version)

    def _add_version(
        self,
        index: int,
        at_ms: int,
        operator: str,
        cause: str,
        touched: set[str] | None,
    ) -> None:
        """Adds a version; only the touched services are derived again."""
        if self.inventory is None:
            return
        previous = self.history.newest_parts
        manifest = self._derive(self.inventory, previous, touched)
        manifest.update(
            (name, digest)
            for name, digest in previous.items()
            if is_shared(name)
        )
        self._record_version(index, at_ms, operator, cause, manifest)

    def _record_version(
        self,
        index: int,
        at_ms: int,
        operator: str,
        cause: str,
        manifest: Manifest,
        detail: str = '',
    ) -> None:
        previous = self.history.newest_parts
        info = VersionInfo(
            version=self.version + 1,
            index=index,
            at_ms=at_ms,
            operator=operator,
            cause=cause,
            parts=manifest,
        )
        self.history.record(info)
        self.audit.add(
            index,
            at_ms,
            cause,
            info.version,
            operator,
            detail or describe_change(previous, manifest),
        )

    def _derive(
        self, inventory: Inventory, previous: Manifest, touched: set[str] | None
    ) -> Manifest:
        names = [service.name for service in inventory.register.services]
        to_derive = {
            name
            for name in names
            if touched is None or name in touched or name not in previous
        }
        derived = derive_parts(inventory, self.existing, to_derive)
        manifest: Manifest = {}
        for name in names:
            part = derived.get(name)
            if part is None:
                manifest[name] = previous[name]
                continue
            manifest[name] = self.parts.add(part)
        return manifest


def submit_fingerprint(command: Submit) -> str:
    """Returns a digest of a submission's content, without its time."""
    parts = {
        'base': str(command.base),
        'operator': command.operator,
        'register': msgspec.json.encode(command.register).decode(),
        'rules': msgspec.json.encode(command.rules).decode(),
        'partial': str(command.partial),
        'removed': ' '.join(sorted(command.removed)),
    }
    return manifest_digest(parts)


def describe_change(previous: Manifest, current: Manifest) -> str:
    """Returns the added, removed and changed services as one line."""
    added = sorted(current.keys() - previous.keys())
    removed = sorted(previous.keys() - current.keys())
    changed = sorted(
        name
        for name, _ in current.items() - previous.items()
        if name in previous
    )
    marks = [f'+{name}' for name in added]
    marks.extend(f'-{name}' for name in removed)
    marks.extend(f'~{name}' for name in changed)
    return ' '.join(marks)
