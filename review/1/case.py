"""Faktory front, class `lodge` unsafe to repeat: a client's connection breaks behind its PUSH, and the client pushes the
same job again once it is back."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import case
import faktory
from standin import HOST, Node, free_port

JOBS = 3
RUN_S = 2.4  # `lodge`: 2,400 to 4,700 ms of running on average
AWAY_S = 5.0  # how long the client is away
DEADLINE_S = 25.0


class Relay:
    """Passes bytes between a client and the node. With `cut`, it resets the client's connection at the node's next answer,
    which the client does not get."""

    def __init__(self, port):
        self.port, self.cut = port, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.listen = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        node_reader, node_writer = await asyncio.open_connection(HOST, self.port)

        async def to_node():
            while data := await reader.read(65536):
                node_writer.write(data)
            node_writer.close()

        upward = asyncio.create_task(to_node())
        try:
            while data := await node_reader.read(65536):
                if self.cut:
                    self.cut = False
                    break
                writer.write(data)
        finally:
            upward.cancel()
            writer.transport.abort()
            node_writer.transport.abort()


async def client(relay, jid, record, answers, breaks_connection):
    session = await faktory.Session.open(relay.listen)
    relay.cut = breaks_connection
    record.line(f"client: PUSH {jid}")
    try:
        record.line(f"client: {jid}: {await session.command(faktory.push_command(jid))}")
    except (ConnectionError, OSError):
        record.line(f"client: {jid}: connection reset before the reply; away for {AWAY_S} s")
        await asyncio.sleep(AWAY_S)
        session = await faktory.Session.open(relay.listen)
        record.line(f"client: reconnected, PUSH {jid} again")
        record.line(f"client: {jid}: {await session.command(faktory.push_command(jid))}")
    end = asyncio.get_running_loop().time() + DEADLINE_S
    while asyncio.get_running_loop().time() < end:
        state = await session.command(f"TRACK GET {jid}")
        if state and '"answer"' in state:
            record.line(f"client: {jid}: {state}")
            answers[jid] = state
            break
        await asyncio.sleep(0.25)
    session.close()


async def play(folder, record, nodes):
    port = free_port()
    settings = faktory.write_settings(folder, port, lodge="unsafe")
    nodes.append(Node(folder, "n1", arguments="--faktory " + settings))
    if not await faktory.until_listening(port):
        raise RuntimeError("the node does not listen")
    workers = [faktory.FaktoryWorker(f"worker-{i}", port, record, RUN_S) for i in range(2)]
    tasks = [asyncio.create_task(worker.work()) for worker in workers]
    relay = Relay(port)
    await relay.start()
    await asyncio.sleep(0.5)
    answers = {}
    # One after the other, so that the workers are never short of capacity.
    for number in range(JOBS):
        await client(relay, f"lodge-{number:06}", record, answers, case.trouble())
    await asyncio.sleep(RUN_S + 0.5)
    for task in tasks:
        task.cancel()
    runs = [jid for worker in workers for jid in worker.runs]
    if nodes[0].status() is not None or not runs:
        raise RuntimeError("the node has ended, or ran no job")
    return [f"{jid} of an unsafe class was run {runs.count(jid)} times" for jid in sorted(set(runs)) if runs.count(jid) > 1]


case.run(__file__, play)
