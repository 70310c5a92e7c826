"""Reads from and writes to control VMs; one that does not answer is passed over."""

import argparse
import json
import sys
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlencode

from papayalock.result import Code, PapayalockError

REQUEST_TIMEOUT_S = 10.0
HTTP_OK = 200


class ControlClient:
    """Calls any of the control VMs given on the command line."""

    def __init__(self, addresses: list[str]) -> None:
        """Keeps the addresses in the order they are tried."""
        self.addresses = addresses

    def get(self, path: str, **query: object) -> Any:
        """Returns the JSON answer of the first control VM that answers.

        :raises PapayalockError: ``UNREACHABLE``, or the error it answered
        """
        target = f'{path}?{urlencode(query)}' if query else path
        return self._first('GET', target, None)

    def get_all(self, path: str, **query: object) -> list[Any]:
        """Returns the JSON answers of all control VMs that answer."""
        target = f'{path}?{urlencode(query)}' if query else path
        answers = []
        for address in self.addresses:
            try:
                answers.append(request(address, 'GET', target, None))
            except PapayalockError as exc:
                if exc.code != Code.UNREACHABLE:
                    raise
        return answers

    def post(self, path: str, body: Any) -> Any:
        """Returns the JSON answer to a body.

        Only bodies that carry a request id may be sent this way, since one
        whose answer was lost goes to the next control VM again.

        :raises PapayalockError: ``UNREACHABLE``, or the error it answered
        """
        return self._first('POST', path, body)

    def _first(self, method: str, target: str, body: Any) -> Any:
        last = PapayalockError(Code.UNREACHABLE, 'no control VM answers')
        for address in self.addresses:
            try:
                return request(address, method, target, body)
            except PapayalockError as exc:
                if exc.code not in {
                    Code.UNREACHABLE,
                    Code.NO_LEADER,
                    Code.DISK_FULL,
                }:
                    raise
                last = exc
        raise last


def request(address: str, method: str, target: str, body: Any) -> Any:
    """Returns the JSON answer of one process.

    :raises PapayalockError: ``UNREACHABLE``, or the numbered error it answered
    """
    conn = HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        encoded = None if body is None else json.dumps(body)
        conn.request(
            method, target, encoded, {'content-type': 'application/json'}
        )
        answer = conn.getresponse()
        decoded = json.loads(answer.read())
    except (OSError, HTTPException, ValueError) as exc:
        raise PapayalockError(Code.UNREACHABLE, f'{address}: {exc}') from exc
    finally:
        conn.close()
    if answer.status != HTTP_OK:
        raise PapayalockError(
            _known_code(decoded), str(decoded.get('message', decoded))
        )
    return decoded


def _known_code(decoded: Any) -> Code:
    try:
        return Code(decoded['code'])
    except (KeyError, TypeError, ValueError):
        return Code.BAD_MESSAGE


def client_from_args(args: argparse.Namespace) -> ControlClient:
    """Returns the client for the control VMs of the command line."""
    return ControlClient(
        [one.strip() for one in args.control.split(',') if one.strip()]
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option that every reading command has."""
    parser.add_argument('--json', action='store_true', help='print JSON')


def print_line(text: str) -> None:
    """Prints one line."""
    sys.stdout.write(f'{text}\n')


def print_json(document: Any) -> None:
    """Prints a document as JSON."""
    print_line(json.dumps(document, indent=2))
