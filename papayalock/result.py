"""Result codes and the exceptions that carry them."""

from enum import IntEnum


class Code(IntEnum):
    """Result of a call, a command or a message; see ``docs/result-codes.rst``."""

    DONE = 0
    # Calls: the request was not run.
    NO_ROUTE = 100
    DENIED = 101
    NO_SERVER = 102
    SHED = 103
    DEADLINE_BEFORE_RUN = 104
    DRAINING = 105
    NO_QUORUM = 106
    BAD_REQUEST = 107
    TOO_LARGE = 108
    KEY_MISSING = 109
    KEY_REUSED = 110
    STALE_ATTEMPT = 111
    NOT_CONNECTED = 112
    NOT_CONFIGURED = 113
    OTHER_SERVER = 114
    QUARANTINED = 115
    UNKNOWN_API_KEY = 116
    KEYS_OUTDATED = 117
    ROUTES_OUTDATED = 118
    OVER_QUOTA = 119
    QUOTA_OWNER_LOST = 120
    # Calls: the request may have run.
    UNKNOWN_TIMEOUT = 200
    UNKNOWN_BROKEN = 201
    UNKNOWN_ATTEMPT = 202
    STILL_RUNNING = 203
    INCOMPLETE_ANSWER = 204
    ANSWER_NOT_KEPT = 205
    FOREIGN_ANSWER = 206
    # Control VMs and the replicated log.
    CONFLICT = 300
    INVALID = 301
    NO_LEADER = 302
    DISK_FULL = 303
    UNREACHABLE = 304
    BAD_MESSAGE = 305
    BUSY = 306
    NOT_PROVABLY_NEWEST = 307
    UNKNOWN_MEMBER = 308
    REQUEST_REUSED = 309
    MESSAGE_TOO_LARGE = 310
    WRONG_ZONE = 311
    LEASE_RUNNING = 312
    CHANGE_PENDING = 313
    UNKNOWN_VERSION = 314
    KEY_HELD = 316
    # Asset register and rules documents.
    SYNTAX = 400
    UNKNOWN_KEY = 401
    BAD_VALUE = 402
    DUPLICATE = 403
    MISSING_SERVICE = 404
    MISSING_OPERATION = 405
    CONTRADICTION = 406
    PATH_OVERLAP = 407
    RULE_FIELD = 408
    MISSING_CALLER = 409
    FILE_UNREADABLE = 410
    # Applying a version on a node.
    WRONG_BASE = 501
    WRONG_DIGEST = 502
    DANGLING_ROUTE = 503
    # Stored data.
    DATA_DAMAGED = 600
    DATA_FORMAT = 601
    # Settings and the audit trail.
    SETTINGS = 700
    CANNOT_KNOW = 800
    CHAIN_BROKEN = 801

    @property
    def not_run(self) -> bool:
        """Whether the request was certainly not run."""
        return Code.NO_ROUTE <= self < Code.UNKNOWN_TIMEOUT

    @property
    def may_have_run(self) -> bool:
        """Whether it is unknown if the request was run."""
        return Code.UNKNOWN_TIMEOUT <= self < Code.CONFLICT


class PapayalockError(Exception):
    """An error shown to the user as one line, without a traceback."""

    def __init__(self, code: Code, message: str) -> None:
        """Creates an error with a result code and a message."""
        super().__init__(message)
        self.code = code

    def __str__(self) -> str:
        """Returns the code's number, its name and the message."""
        return f'{self.code.value} {self.code.name}: {self.args[0]}'


class StorageError(PapayalockError):
    """Stored data could not be read or written."""


class SettingsError(PapayalockError):
    """The settings are invalid or could not be read."""
