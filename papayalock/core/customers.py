"""Customers, which callers are identified as by their API keys.

A key is a secret. Only its digest is stored, sent to nodes or logged, and the
digests of one mesh cannot be compared with those of another.
"""

import hashlib
import hmac

from papayalock.core.contact import ContactTrust
from papayalock.messages import Customer

DIGEST_BYTES = 16
PERSON = b'papayalock-key'
MAX_REMOVED = 4096  # digests of removed keys that are remembered


def key_digest(key: str, secret: bytes) -> str:
    """Returns the digest by which an API key is known.

    :param secret: secret of the mesh; b'' for none
    """
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'),
        digest_size=DIGEST_BYTES,
        key=secret,
        person=PERSON,
    ).hexdigest()


class CustomerTable:
    """The customers of the configuration in force, by name and by key."""

    __slots__ = ('_by_digest', '_removed', 'customers')

    def __init__(self) -> None:
        """Starts without customers."""
        self.customers: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}
        self._removed: dict[str, None] = {}  # digests, oldest first

    def add(self, customer: Customer) -> None:
        """Adds a customer, which replaces one with the same name."""
        self.remove(customer.name)
        self.customers[customer.name] = customer
        for digest in customer.keys:
            self._by_digest[digest] = customer
            self._removed.pop(digest, None)

    def remove(self, name: str) -> None:
        """Removes a customer, if it is known."""
        former = self.customers.pop(name, None)
        for digest in former.keys if former else ():
            if self._by_digest.get(digest) is former:
                del self._by_digest[digest]
                self._record_removed(digest)

    def find(self, digest: str) -> Customer | None:
        """Returns the customer that holds an API key, or None.

        :param digest: digest of the key
        """
        customer = self._by_digest.get(digest)
        if customer is None:
            return None
        held = any(
            hmac.compare_digest(digest, known) for known in customer.keys
        )
        return customer if held else None

    def is_removed(self, digest: str) -> bool:
        """Whether a key was known here and has been taken away.

        :param digest: digest of the key
        """
        return digest in self._removed

    def adopt_removed(self, former: 'CustomerTable') -> None:
        """Keeps what a table that this one replaces knows of removed keys."""
        for digest in (*former._removed, *former._by_digest):
            if digest not in self._by_digest:
                self._record_removed(digest)

    def _record_removed(self, digest: str) -> None:
        self._removed[digest] = None
        if len(self._removed) > MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))


class KeyCheck:
    """Decides whether a node may trust the keys that it knows.

    Whatever it holds when it is out of touch, a key may have been taken away
    since.
    """

    __slots__ = ('_contact', '_fail_closed')

    def __init__(self, *, fail_closed: bool, revoke_ms: int) -> None:
        """Starts without trust.

        :param fail_closed: whether trust ends at all
        :param revoke_ms: time from the removal of a key until no node may
            admit it
        """
        self._fail_closed = fail_closed
        self._contact = ContactTrust(revoke_ms)

    def record_contact(self, now: float) -> None:
        """Records the answer of a control VM under lease."""
        self._contact.record_contact(now)

    def is_outdated(self, now: float) -> bool:
        """Whether calls that need a key have to be refused."""
        return self._fail_closed and not self._contact.is_current(now)
