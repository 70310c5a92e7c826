"""The pool of client connections."""

import asyncio

import pytest

from papayalock.httpclient import TransportError
from papayalock.pool import connect


class TestConnect:
    def test_the_reason_of_a_timeout_has_its_name(self, monkeypatch):
        async def never(*args):
            await asyncio.sleep(60)

        async def play():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, 'create_connection', never)
            await connect('10.0.0.1:1', timeout_ms=1)

        with pytest.raises(TransportError, match='10.0.0.1:1: TimeoutError'):
            asyncio.run(play())
