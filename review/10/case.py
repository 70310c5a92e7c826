"""A node is stopped while pipelined requests run out of order."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins-2'))

from lab import (
    HOST,
    TROUBLE,
    connect,
    new_id,
    play,
    read_answer,
    request,
    route,
)

CONSUMERS = 5
FIRST_S, SECOND_S = 0.8, 0.3  # work of the two requests of a consumer
LIMIT_MS = 5000


async def consume(lab, node, number):
    """Sends two safe requests on a kept connection, reads their answers."""
    reader, writer = await connect(node.at('outbound'))
    calls = [new_id(), new_id()]
    for call, work_s in zip(calls, (FIRST_S, SECOND_S), strict=True):
        for server in lab.servers:
            server.work_s[call] = work_s
    for call in calls:
        writer.write(
            request(
                'GET',
                f'/view/{number}',
                HOST,
                [('X-Request-Id', call), ('X-Request-Deadline', LIMIT_MS)],
            )
        )
        lab.record(f'consumer {number}: sends {call}')
    answers = []
    for call in calls:
        answer = await read_answer(reader)
        if answer is None or not answer.whole:
            lab.record(f'consumer {number}: {call}: the connection ends')
            answers.append((call, None))
            continue
        lab.record(
            f'consumer {number}: {call}: {answer.status} with '
            f'{answer.body!r}, closes: {answer.closes}'
        )
        answers.append((call, answer))
    writer.close()
    return answers


async def story(lab):
    node = lab.side[0]
    began = time.monotonic()
    tasks = [
        asyncio.create_task(consume(lab, node, number))
        for number in range(CONSUMERS)
    ]
    await asyncio.sleep(0.15)
    if TROUBLE:
        node.send(signal.SIGTERM)
    outcomes = [pair for task in tasks for pair in await task]
    lab.record(f'all connections ended after {time.monotonic() - began:.2f} s')
    ran = {call for server in lab.servers for _, call, *_ in server.runs}
    return [
        f'LOST: {call} was passed on to a server and has no answer'
        for call, answer in outcomes
        if call in ran and answer is None
    ]


play(
    Path(__file__).resolve().parent,
    [('ikeja', 'floor'), ('lekki', 'floor'), ('apapa', 'floor')],
    [route('r-view', '/view/', 'safe', 'floor', timeout='5000ms')],
    story,
)
