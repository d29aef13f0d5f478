"""Stand-ins for clients and workers of the Faktory work protocol, version 2."""
import asyncio
import json
import os

from standin import HOST, ROOT


class Session:
    """A connection after its HELLO. One command at a time."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port, wid=None):
        reader, writer = await asyncio.open_connection(HOST, port)
        session = cls(reader, writer)
        if not (await session.reply()).startswith("+HI"):
            raise ConnectionError("no greeting")
        hello = {"v": 2}
        if wid:
            hello.update({"wid": wid, "hostname": "stand-in", "pid": os.getpid(), "labels": []})
        if await session.command("HELLO " + json.dumps(hello)) != "+OK":
            raise ConnectionError("HELLO refused")
        return session

    async def reply(self):
        """A simple string or error as it came, a bulk string's content, or None for the nil bulk."""
        line = (await self.reader.readline()).decode()
        if not line.endswith("\n"):
            raise ConnectionError("connection ended")
        line = line.rstrip("\r\n")
        if line == "$-1":
            return None
        if line.startswith("$"):
            return (await self.reader.readexactly(int(line[1:]) + 2))[:-2].decode()
        return line

    async def command(self, text):
        self.writer.write(text.encode() + b"\r\n")
        await self.writer.drain()
        return await self.reply()

    def close(self):
        self.writer.close()


def push_command(jid, queue="lodge", tenant="primorje-spedicija"):
    job = {"jid": jid, "jobtype": queue, "queue": queue, "args": ["declaration " + jid], "custom": {"tenant": tenant}}
    return "PUSH " + json.dumps(job)


class FaktoryWorker:
    """A worker that fetches one job at a time, runs it for `run_s` and acknowledges it."""

    def __init__(self, wid, port, record, run_s):
        self.wid, self.port, self.record, self.run_s, self.runs = wid, port, record, run_s, []

    async def work(self):
        while True:
            try:
                session = await Session.open(self.port, self.wid)
                while True:
                    job = await session.command("FETCH lodge check")
                    if job is None:
                        continue
                    jid = json.loads(job)["jid"]
                    self.runs.append(jid)
                    self.record.line(f"worker {self.wid}: begins {jid}")
                    await asyncio.sleep(self.run_s)
                    reply = await session.command("ACK " + json.dumps({"jid": jid}))
                    self.record.line(f"worker {self.wid}: ACK {jid}: {reply}")
            except (ConnectionError, OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)


def write_settings(folder, port, lodge="keyed"):
    """The deploy folder's Faktory file with a free port, and with this effect of the class `lodge`."""
    with open(os.path.join(ROOT, "deploy", "faktory.toml")) as f:
        text = f.read()
    text = text.replace("127.0.0.1:7419", f"{HOST}:{port}")
    text = text.replace('Semantics = "keyed"', f'Semantics = "{lodge}"')
    path = os.path.join(folder, "faktory.toml")
    with open(path, "w") as f:
        f.write(text)
    return path


async def until_listening(port, limit=20.0):
    end = asyncio.get_running_loop().time() + limit
    while asyncio.get_running_loop().time() < end:
        try:
            (await Session.open(port)).close()
            return True
        except (ConnectionError, OSError):
            await asyncio.sleep(0.05)
    return False
