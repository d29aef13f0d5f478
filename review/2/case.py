"""A new configuration gives the class `lodge` another effect, and a new version takes over while a job of the old rules
runs: the job is unsafe to repeat, and its worker reports `failed`."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import case
from standin import (CHECK, HOST, LODGE, Discovery, Node, Worker, config, free_port, get, read_answer, request_bytes,
                     settings, until_ready)

JOBS = 3
RUN_S = 4.5  # `lodge`: 2,400 to 4,700 ms of running on average
DEADLINE_S = 25.0


async def client(port, number, record, answers):
    """Sends one job. It may try an unsafe job again only after a refusal, and then does so once."""
    body = b'{"declaration": %d}' % number
    for attempt in range(2):
        request_id = f"lodge{number}-try{attempt}"
        reader, writer = await asyncio.open_connection(HOST, port)
        record.line(f"client: sends {request_id}")
        writer.write(request_bytes(request_id, "lodge", DEADLINE_S, key=f"key-{number}", body=body,
                                   hint_us=int(RUN_S * 1e6)))
        answer = await asyncio.wait_for(read_answer(reader), DEADLINE_S + 1)
        writer.close()
        record.line(f"client: {request_id}: {answer}")
        answers.append((number, answer and answer[0]))
        if not answer or answer[0] not in (429, 503):
            return


async def play(folder, record, nodes):
    workers = [Worker(f"s-{i}", record, run_s=2.4) for i in range(6)]
    begun = []

    async def behave(worker, request_id, fields, body, reader, writer):
        number = body.decode()
        begun.append(number)
        if begun.count(number) > 1:
            return False  # a repeat: runs as any other job
        await worker.head(writer)
        await worker.say(writer, request_id, "started")
        for second in range(1, int(RUN_S) + 1):
            await asyncio.sleep(1.0)
            await worker.say(writer, request_id, "running", share=second / RUN_S)
        await asyncio.sleep(RUN_S % 1.0)
        await worker.say(writer, request_id, "failed")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        record.line(f"worker {worker.name}: failed {request_id}")
        return True

    for worker in workers:
        worker.behave = behave
        await worker.start()
    discovery = Discovery([worker.member() for worker in workers])
    await discovery.start()
    port, first_management, second_management = free_port(), free_port(), free_port()
    unsafe = settings([CHECK, {**LODGE, "Semantics": "unsafe"}])
    safe = settings([CHECK, {**LODGE, "Semantics": "safe"}])
    old = Node(folder, "n1", config(port, discovery, discovery.listing(), unsafe, first_management))
    nodes.append(old)
    if not await until_ready(port):
        raise RuntimeError("the node is not ready")
    await asyncio.sleep(1.5)  # SIGHUP never comes within the first second
    answers = []
    clients = [asyncio.create_task(client(port, number, record, answers)) for number in range(JOBS)]
    await asyncio.sleep(1.0)
    if case.trouble():
        record.line("platform: new configuration, `lodge` is now safe to repeat; SIGHUP")
        old.write_config(config(port, discovery, discovery.listing(), safe, first_management))
        old.signal(signal.SIGHUP)
        await asyncio.sleep(2.0)
        record.line("platform: new version starts")
        # RELAY_MANAGEMENT is the second address of the new process; the file is the one in force.
        new = Node(folder, "n1-new", config(port, discovery, discovery.listing(), safe, second_management), tmpdir=old.tmpdir)
        nodes.append(new)
        for _ in range(60):
            await asyncio.sleep(0.1)
            if await get(second_management, "/healthcheck", 1.0) == 200:
                break
        else:
            raise RuntimeError("the new version is not ready")
        record.line("platform: the new version is ready; SIGTERM to the old one")
        old.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(3.7, old.signal, signal.SIGKILL)
    await asyncio.wait_for(asyncio.gather(*clients), 60)
    await asyncio.sleep(1.0)
    if not begun or (case.trouble() and nodes[1].status() is not None):
        raise RuntimeError("no job was run, or the new version has ended")
    breaks = [f"job {number}, taken while `lodge` was unsafe, was run {begun.count(number)} times"
              for number in sorted(set(begun)) if begun.count(number) > 1]
    breaks += [f"job {number}, taken while `lodge` was unsafe and run, was refused as harmless to repeat"
               for number, status in answers if status in (429, 503) and begun.count('{"declaration": %d}' % number)]
    return breaks


case.run(__file__, play)
