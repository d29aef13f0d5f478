"""Stand-ins for the platform, by its pages: discovery, workers and clients on loopback, and the node's process.

Only the standard library is used. All addresses are on 127.0.0.1 with free ports.
"""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
START = time.monotonic()


class Record:
    """Writes `record.txt`: one line for each event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def line(self, text):
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    import tomllib

    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
        return tomllib.load(f)["run"]


class Node:
    """A node's process, started as the platform does, with a private TMPDIR."""

    def __init__(self, folder, name, config=None, arguments="", tmpdir=None, env=None):
        self.folder, self.name = folder, name
        self.tmpdir = tmpdir or os.path.join(folder, "tmp-" + name)
        os.makedirs(self.tmpdir, exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "MOLEVALE_"))}
        environment["TMPDIR"] = self.tmpdir
        environment.update(env or {})
        self.config_path = None
        if config is not None:
            self.config_path = os.path.join(folder, name + ".json")
            self.write_config(config)
            environment["RELAY_CONFIG"] = self.config_path
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        command = run_command() + (" " + arguments if arguments else "")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )

    def write_config(self, config):
        temporary = self.config_path + ".new"
        with open(temporary, "w") as f:
            json.dump(config, f)
        os.replace(temporary, self.config_path)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def status(self):
        return self.process.poll()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


async def read_head(reader):
    """A message's head as its first line and its fields (names in lower case); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("utf-8", "replace").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def get(port, path, limit=2.0):
    """Status of a GET; None without an answer."""
    return await call(port, "GET", path, limit)


async def call(port, method, path, limit=2.0):
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            head = await read_head(reader)
            return int(head[0].split(" ")[1]) if head else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError):
        return None


async def until_ready(port, limit=20.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await get(port, "/up") == 200:
            return True
        await asyncio.sleep(0.05)
    return False


class Discovery:
    """The agent on the node's machine: whole lists and watches."""

    def __init__(self, members):
        self.members, self.revision, self.changed = members, 1, asyncio.Event()
        self.server = self.port = None

    def listing(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, members):
        self.members, self.revision = members, self.revision + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                query = head[0].split(" ")[1].partition("?")[2]
                values = dict(p.split("=") for p in query.split("&") if "=" in p)
                answer = self.listing()
                if "index" in values:
                    if int(values["index"]) >= self.revision:
                        try:
                            await asyncio.wait_for(self.changed.wait(), int(values.get("wait", 0)) / 1000)
                        except asyncio.TimeoutError:
                            pass
                    answer = self.listing()
                    if int(values["index"]) >= self.revision:
                        answer = {"revision": self.revision, "complete": False, "members": []}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker: runs each job for its time, and tells of its start and progress each second."""

    def __init__(self, name, record, run_s=0.5, zone="ljubljana", kind="gen-a", cell=0, drops_repeats=False):
        self.name, self.record, self.run_s = name, record, run_s
        self.zone, self.kind, self.cell, self.drops_repeats = zone, kind, cell, drops_repeats
        self.server = self.port = None
        self.runs = []  # (id, key) of each job that was begun
        self.seen_keys = set()
        self.behave = None  # async function(worker, request_id, fields, body, reader, writer): True if it did all

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase="in_service", since=0):
        return {"id": self.name, "host_port": f"{HOST}:{self.port}", "locality": self.zone, "flavor": self.kind,
                "cell": self.cell, "phase": phase, "size": 1.0, "up_since_ms": since}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                fields = head[1]
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                request_id = fields.get("x-request-id", "")
                self.runs.append((request_id, fields.get("idempotency-key")))
                self.record.line(f"worker {self.name}: begins {request_id} key {fields.get('idempotency-key')}")
                if self.behave and await self.behave(self, request_id, fields, body, reader, writer):
                    return
                await self.run(request_id, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def head(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await writer.drain()

    async def say(self, writer, request_id, state, **more):
        line = json.dumps({"id": request_id, "from": self.name, "state": state, **more}).encode() + b"\n"
        writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
        await writer.drain()

    async def run(self, request_id, writer, result=None):
        await self.head(writer)
        await self.say(writer, request_id, "started")
        end = time.monotonic() + self.run_s
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 1.0))
            if end > time.monotonic():
                share = 1 - (end - time.monotonic()) / self.run_s
                await self.say(writer, request_id, "running", share=round(share, 3))
        await self.say(writer, request_id, "done", result=result if result is not None else f"result of {request_id}")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line(f"worker {self.name}: done {request_id}")


def request_bytes(request_id, cls, deadline, tenant="primorje-spedicija", key=None, body=b"{}", hint_us=None):
    key_line = f"Idempotency-Key: {key}\r\n" if key else ""
    key_line += f"X-Cost-Hint: {hint_us}\r\n" if hint_us else ""
    return (f"POST /{cls} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\nX-Class: {cls}\r\n"
            f"X-Tenant: {tenant}\r\nX-Deadline: {deadline:.3f}\r\n{key_line}Content-Length: {len(body)}\r\n\r\n"
            ).encode() + body


async def read_answer(reader):
    """Status and body of a whole answer; None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[0].split(" ")[1]), body


def settings(classes=None, **limits):
    """Settings like those of a small deployment: four zones, two tenants, `check` and `lodge`."""
    return {
        "Azs": ["ljubljana", "koper", "vienna", "milan"], "HostTypes": ["gen-a", "gen-b", "small"],
        "KindOfService": "jobs", "Discovery": "push", "Weights": "live", "WorthBy": "work", "Zone": 0,
        "Siblings": 1, "Ordinal": 0, "Tier": 0, "Tiers": ["decl-workers"], "ResolutionUs": 5000,
        "OverShareWorth": 0.05,
        "ClientHabits": {"MarksRetry": False},
        "FamilyInfo": {"ClassKind": [-1] * len(classes or "ab"), "ClassPriority": [0] * len(classes or "ab"),
                       "ClassStretch": [2.5, 2.0][:len(classes or "ab")], "ProgressUs": 1000000,
                       "QueueOrder": "fifo", "ReportX0": "free_slots", "TellsStart": True},
        "Goal": {"Whole": 0.4, "WorstClass": 0.35, "WorstTenant": 0.1, "WorstWindow": 0.15},
        "Invariants": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdShare": 0.13, "DrainGraceUs": 500000,
                       "FallMultiple": 3.0, "FallUs": 3000000, "WarmUpUs": 24000000},
        "Limits": {"Cancelling": True, "ConnIdleUs": 60000000, "ConnectTimeoutUs": 250000, "CpuUsPerS": 15000,
                   "MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfterUs": 2000000, "MayDuplicate": False,
                   "Peers": False, "Probes": False, "RetryAfter": True, "StreamsPerConn": 1, **limits},
        "Parties": [{"Name": "primorje-spedicija", "QuotaPerS": 500.0, "Share": 0.5},
                    {"Name": "savinja-logistika", "QuotaPerS": 500.0, "Share": 0.5}],
        "Prices": {"CrossZone": 0.03, "Handshake": 0.02, "LateFail": 0.15, "Waste": 0.056},
        "Profiles": classes or [CHECK, LODGE],
        "Stats": {"Fields": ["err_ps", "mean_ms", "depth", "x0"], "Source": "answers"},
    }


CHECK = {"Name": "check", "AimUs": 250000, "DeadlineUs": 7500000, "Group": "all", "LateWorth": 0.0,
         "RepeatWindowUs": 5000000, "Semantics": "safe", "Stream": False, "Worth": 2.0}
LODGE = {"Name": "lodge", "AimUs": 800000, "DeadlineUs": 25000000, "Group": "all", "LateWorth": 0.0,
         "RepeatWindowUs": 40000000, "Semantics": "keyed", "Stream": False, "Worth": 5.0}


def config(listen, discovery, known, setting, management=None, memory_mb=192, sockets=1024):
    value = {"name": "n1", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery.port}",
             "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
             "known": known, "settings": setting}
    if management:
        value["management"] = f"{HOST}:{management}"
    return value
