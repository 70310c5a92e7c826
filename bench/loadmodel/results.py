"""What callers got in a simulation run, and what it cost."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CallResult:
    """How a call, or one try of it, ended."""

    good: bool
    refused: bool = False
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Tally:
    """Counts of calls by outcome, and the worth of these outcomes."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    max_worth: float = 0.0


@dataclass(slots=True)
class RunResult:
    """The tallies and costs of one simulation run."""

    by_kind: dict[str, Tally] = field(default_factory=dict)
    by_zone: dict[str, Tally] = field(default_factory=dict)
    by_second: dict[int, Tally] = field(default_factory=dict)
    cross_zone_bytes: int = 0
    tries: int = 0  # of calls at servers, whatever their outcome
    # Refusals while an unaffected server of the service ran no call.
    refused_with_idle_server: int = 0

    def tallies(self, kind: str, zone: str, second: int) -> list[Tally]:
        """Returns the tallies that count a call."""
        return [
            self.by_kind.setdefault(kind, Tally()),
            self.by_zone.setdefault(zone, Tally()),
            self.by_second.setdefault(second, Tally()),
        ]

    @property
    def worth_share(self) -> float:
        """The worth of all calls as a share of the maximum."""
        max_worth = sum(tally.max_worth for tally in self.by_kind.values())
        return sum(tally.worth for tally in self.by_kind.values()) / max_worth
