"""HTTP client of the commands, and their printing and shared options."""

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
    """Sends requests to the control VMs given on the command line.

    A request goes to the first address that can serve it. Control VMs that
    cannot be reached, know no leader or have a full disk are skipped.
    """

    def __init__(self, addresses: list[str]) -> None:
        """Creates a client.

        :param addresses: ``IP:PORT`` of each control VM, in the order in which
            they are tried
        """
        self.addresses = addresses

    def get(self, path: str, **query: object) -> Any:
        """Returns the JSON response of the first control VM that can serve it.

        :raises PapayalockError: the error of the last control VM if all were
            skipped, or the first error of any other kind
        """
        target = f'{path}?{urlencode(query)}' if query else path
        return self._send_to_any('GET', target, None)

    def get_all(self, path: str, **query: object) -> list[Any]:
        """Returns the JSON responses of all control VMs that can be reached.

        :raises PapayalockError: the first error other than ``UNREACHABLE``
        """
        target = f'{path}?{urlencode(query)}' if query else path
        responses = []
        for address in self.addresses:
            try:
                responses.append(send_request(address, 'GET', target, None))
            except PapayalockError as exc:
                if exc.code != Code.UNREACHABLE:
                    raise
        return responses

    def post(self, path: str, body: Any) -> Any:
        """Posts a JSON body and returns the JSON response.

        The body must contain a request id: if the response is lost, the same
        body is sent again to the next control VM.

        :raises PapayalockError: the error of the last control VM if all were
            skipped, or the first error of any other kind
        """
        return self._send_to_any('POST', path, body)

    def _send_to_any(self, method: str, target: str, body: Any) -> Any:
        last_error = PapayalockError(Code.UNREACHABLE, 'no control VM answers')
        for address in self.addresses:
            try:
                return send_request(address, method, target, body)
            except PapayalockError as exc:
                if exc.code not in {
                    Code.UNREACHABLE,
                    Code.NO_LEADER,
                    Code.DISK_FULL,
                }:
                    raise
                last_error = exc
        raise last_error


def send_request(address: str, method: str, target: str, body: Any) -> Any:
    """Sends one request to a control VM or node; returns its JSON response.

    :raises PapayalockError: ``UNREACHABLE`` if the request failed or the
        response is not JSON, otherwise the error in the response
    """
    conn = HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        encoded = None if body is None else json.dumps(body)
        conn.request(
            method, target, encoded, {'content-type': 'application/json'}
        )
        response = conn.getresponse()
        decoded = json.loads(response.read())
    except (OSError, HTTPException, ValueError) as exc:
        raise PapayalockError(Code.UNREACHABLE, f'{address}: {exc}') from exc
    finally:
        conn.close()
    if response.status != HTTP_OK:
        raise PapayalockError(
            _error_code(decoded), str(decoded.get('message', decoded))
        )
    return decoded


def _error_code(decoded: Any) -> Code:
    """Returns the code of an error response, ``BAD_MESSAGE`` if it has none."""
    try:
        return Code(decoded['code'])
    except (KeyError, TypeError, ValueError):
        return Code.BAD_MESSAGE


def client_from_args(args: argparse.Namespace) -> ControlClient:
    """Returns a client for the addresses of ``--control``."""
    return ControlClient(
        [
            address.strip()
            for address in args.control.split(',')
            if address.strip()
        ]
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Adds the ``--json`` option of the commands that only read."""
    parser.add_argument('--json', action='store_true', help='print JSON')


def print_line(text: str) -> None:
    """Prints a text and a line break."""
    sys.stdout.write(f'{text}\n')


def print_json(document: Any) -> None:
    """Prints a document as indented JSON."""
    print_line(json.dumps(document, indent=2))
