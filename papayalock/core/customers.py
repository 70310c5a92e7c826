"""Customers, which callers are identified as by their API keys.

A key is a secret. Only its digest is stored, sent to nodes or logged, and the
digests of one mesh cannot be compared with those of another.
"""

import hashlib
import hmac

from papayalock.messages import Customer

DIGEST_BYTES = 16
PERSON = b'papayalock-key'


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

    __slots__ = ('_by_digest', 'customers')

    def __init__(self) -> None:
        """Starts without customers."""
        self.customers: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}

    def add(self, customer: Customer) -> None:
        """Adds a customer, which replaces one with the same name."""
        self.remove(customer.name)
        self.customers[customer.name] = customer
        self._by_digest.update(dict.fromkeys(customer.keys, customer))

    def remove(self, name: str) -> None:
        """Removes a customer, if it is known."""
        former = self.customers.pop(name, None)
        for digest in former.keys if former else ():
            if self._by_digest.get(digest) is former:
                del self._by_digest[digest]

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
