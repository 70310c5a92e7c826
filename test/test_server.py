"""The control VM's HTTP API: error responses and the request body limit."""

import asyncio

import pytest

from papayalock.control import http
from papayalock.control.http import error_response, read_body
from papayalock.result import Code, PapayalockError


class FakeRequest:
    def __init__(self, chunks: int) -> None:
        self.chunks_left = chunks
        self.read = 0

    async def stream(self):
        while self.chunks_left:
            self.chunks_left -= 1
            self.read += 1
            yield b'x' * 1000


class TestBodies:
    def test_a_body_within_the_limit_is_returned_complete(self):
        assert len(asyncio.run(read_body(FakeRequest(3)))) == 3000

    def test_reading_stops_when_a_body_exceeds_the_limit(self, monkeypatch):
        monkeypatch.setattr(http, 'MAX_BODY_BYTES', 5000)
        request = FakeRequest(1_000_000)
        with pytest.raises(PapayalockError) as caught:
            asyncio.run(read_body(request))
        assert caught.value.code == Code.MESSAGE_TOO_LARGE
        assert request.read == 6

    def test_an_error_response_carries_its_code(self):
        response = error_response(PapayalockError(Code.CONFLICT, 'made from 1'))
        assert response.status == 409
        assert b'"code":300' in response.content.body
