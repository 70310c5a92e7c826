"""Numbered result codes and the family of errors meant for people."""

from enum import IntEnum


class Code(IntEnum):
    """Result of a call, a command or a message; see ``docs/result-codes.rst``."""

    DONE = 0
    # The request was not run.
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
    # The request may have run.
    UNKNOWN_TIMEOUT = 200
    UNKNOWN_BROKEN = 201
    UNKNOWN_ATTEMPT = 202
    STILL_RUNNING = 203
    INCOMPLETE_ANSWER = 204
    ANSWER_NOT_KEPT = 205
    FOREIGN_ANSWER = 206
    # Control.
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
    # Register and rules.
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
        """Whether the code proves that the request was not run."""
        return Code.NO_ROUTE <= self < Code.UNKNOWN_TIMEOUT

    @property
    def unknown(self) -> bool:
        """Whether the request may or may not have run."""
        return Code.UNKNOWN_TIMEOUT <= self < Code.CONFLICT


class PapayalockError(Exception):
    """An error meant for people, printed as one line without a traceback."""

    def __init__(self, code: Code, message: str) -> None:
        """Keeps the numbered code beside the message."""
        super().__init__(message)
        self.code = code

    def __str__(self) -> str:
        """Returns the code, its name and the message on one line."""
        return f'{self.code.value} {self.code.name}: {self.args[0]}'


class StorageError(PapayalockError):
    """Stored data cannot be read or written."""


class SettingsError(PapayalockError):
    """The settings cannot be used."""
