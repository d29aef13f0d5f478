"""Planned restart of a node with the Faktory front: SIGTERM while jobs run. Their clients ask for the end state every
0.25 s on connections that stay open until the node ends."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import case
import faktory
from standin import Node, free_port

JOBS = 4
RUN_S = 2.4  # `lodge`: 2,400 to 4,700 ms of running on average
DEADLINE_S = 25.0
POLL_S = 0.25
TERM_AFTER_S = 1.0
KILL_AFTER_S = 3.7  # no sooner than 3 s and 0.7 s more after SIGTERM


async def client(port, jid, record, accepted, answers):
    session = await faktory.Session.open(port)
    reply = await session.command(faktory.push_command(jid))
    record.line(f"client: PUSH {jid}: {reply}")
    if reply != "+OK":
        return
    accepted.append(jid)
    end = asyncio.get_running_loop().time() + DEADLINE_S
    while asyncio.get_running_loop().time() < end:
        try:
            state = await session.command(f"TRACK GET {jid}")
        except (ConnectionError, OSError):
            record.line(f"client: {jid}: the node has closed the connection, no end state so far")
            return
        if state and '"answer"' in state:
            record.line(f"client: {jid}: {state}")
            answers[jid] = state
            return
        await asyncio.sleep(POLL_S)


async def play(folder, record, nodes):
    port = free_port()
    node = Node(folder, "n1", arguments="--faktory " + faktory.write_settings(folder, port))
    nodes.append(node)
    if not await faktory.until_listening(port):
        raise RuntimeError("the node does not listen")
    workers = [faktory.FaktoryWorker(f"worker-{i}", port, record, RUN_S) for i in range(JOBS)]
    tasks = [asyncio.create_task(worker.work()) for worker in workers]
    await asyncio.sleep(0.5)
    accepted, answers, killed = [], {}, False
    clients = [asyncio.create_task(client(port, f"lodge-{n:06}", record, accepted, answers)) for n in range(JOBS)]
    if case.trouble():
        await asyncio.sleep(TERM_AFTER_S)
        record.line("platform: SIGTERM")
        node.signal(signal.SIGTERM)
        for _ in range(int(KILL_AFTER_S / 0.02)):
            await asyncio.sleep(0.02)
            if node.status() is not None:
                record.line(f"platform: the node has ended by itself, code {node.status()}")
                break
        else:
            killed = True
            record.line("platform: SIGKILL")
            node.signal(signal.SIGKILL)
    await asyncio.wait_for(asyncio.gather(*clients), 60)
    for task in tasks:
        task.cancel()
    runs = [jid for worker in workers for jid in worker.runs]
    if not accepted or not runs:
        raise RuntimeError("no job was accepted or run")
    # A job that SIGKILL cut is excused: it came before SIGTERM.
    return [] if killed else [f"{jid} was accepted (run {runs.count(jid)} times), and its client got no final answer"
                              for jid in accepted if jid not in answers]


case.run(__file__, play)
