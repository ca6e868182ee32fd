"""Stand-ins for the platform, order servers, discovery and clients, and the start of the agent.

Only the standard library of Python is used. All stand-ins of a case live in one process. The agent is a process
of its own, started with `run` of the deploy file through `/bin/sh -c`, as the DEPLOY page says.
All addresses are in 127.0.0.0/8.
"""

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Has the kernel end the agent if the case itself is killed, so that no process stays behind."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRun(Exception):
    """The case cannot run here, for example because the agent was not built."""


class Record:
    """Writes `record.txt`: one line for each event, with the time since the start of the case in seconds."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.4f}  {text}\n")

    def close(self):
        self.file.close()


def free_ports(count):
    """Returns ports that were free a moment ago. They are held together, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Message:
    """A request or a response that was read from a connection."""

    def __init__(self, first_line, headers, body):
        self.first_line, self.headers, self.body = first_line, headers, body

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """Reads one message with `Content-Length` or none. Returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def response(body, status="200 OK", extra=""):
    if isinstance(body, str):
        body = body.encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


NOT_PROCESSED = response("", "503 Busy", "X-Not-Processed: 1\r\n")


def entry(name, port, health="up", born_ms=0, site="a"):
    return {"host": name, "dial": f"127.0.0.1:{port}", "site": site, "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": born_ms}


class HttpServer:
    """A listening stand-in. `handle(message, writer)` answers one request of a connection."""

    def __init__(self, handle, port=0):
        self.handle, self.port, self.server, self.writers = handle, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader)
                if message is None or await self.handle(message, writer) is False:
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass  # The peer has gone, or the case has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    def die(self):
        """Ends as a process does that is killed: its connections are reset and new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery(HttpServer):
    """The discovery of the PROTOCOL page: the whole list, and watches that wait for something newer."""

    def __init__(self, record, name, entries, seq=1, delay_s=0.0):
        super().__init__(self.answer)
        self.record, self.name, self.delay_s = record, name, delay_s
        self.entries = {one["host"]: one for one in entries}
        self.seq, self.changes = seq, []
        self.changed = asyncio.Event()

    def publish(self, one):
        self.seq += 1
        if one["health"] == "removed":
            self.entries.pop(one["host"], None)
        else:
            self.entries[one["host"]] = one
        self.changes.append((self.seq, one))
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.write(f"{self.name}: list {self.seq}: {one['host']} is {one['health']}")

    async def answer(self, message, writer):
        query = dict(part.split("=", 1) for part in message.target.partition("?")[2].split("&") if "=" in part)
        self.record.write(f"{self.name}: call {message.target}")
        if "after" in query:
            after, end = int(query["after"]), time.monotonic() + min(int(query.get("wait_ms", 0)), 60000) / 1e3
            while self.seq <= after and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            latest = {one["host"]: one for seq, one in self.changes if seq > after}
            body = {"seq": self.seq, "whole": False, "hosts": list(latest.values())}
        else:
            body = {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}
        await asyncio.sleep(self.delay_s)
        writer.write(response(json.dumps(body)))
        await writer.drain()
        self.record.write(f"{self.name}: answered {message.target} with list {body['seq']}")


class Agent:
    """One agent, started as the platform starts it."""

    def __init__(self, record, folder, name, discovery_port, known, settings, sockets=256):
        self.record, self.name, self.folder = record, name, Path(folder)
        self.port = free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        self.config_path = self.folder / f"{name}.json"
        self.config = {"name": name, "listen": self.address, "discovery": f"127.0.0.1:{discovery_port}",
                       "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                       "known": known, "settings": settings}
        self.process = None

    def write_config(self):
        """Replaces the configuration file as a whole."""
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.config_path)

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.write_config()
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(scratch), "PROXY_NAME": self.name,
                       "PROXY_LISTEN": self.address, "PROXY_DISCOVERY": self.config["discovery"],
                       "PROXY_CONFIG": str(self.config_path)}
        self.log = open(self.folder / f"{self.name}.log", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=end_with_parent)
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f"the agent ended at its start with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    self.record.write(f"{self.name}: ready")
                    return self
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the agent is not ready after 15 s")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write(f"{self.name}: sent {signal.Signals(number).name}")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Connection:
    """A client's connection, which carries one request at a time."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def exchange(self, data):
        self.writer.write(data)
        return await read_message(self.reader)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def request(class_name, request_id, timeout_ms, method="GET", key=None, body=b"", path=""):
    lines = [f"{method} /{class_name}{path} HTTP/1.1", "Host: service.internal", f"X-Request-ID: {request_id}",
             f"X-Priority-Class: {class_name}", f"X-Timeout: {timeout_ms}m"]
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def settings(classes, balancers=1, zones=("a",), **changes):
    """Returns settings like those of the site `nairobi-refills`, with the given classes."""
    result = {
        "balancers": balancers, "classes": classes, "clientHabits": {"marksRetry": True}, "discovery": "pushed",
        "familyInfo": {"warmKeys": False}, "feedback": {"fields": ["inflight", "latency_ms"], "source": "pull"},
        "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
        "kinds": ["m"],
        "limits": {"cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 9976,
                   "keepaliveMs": 60000.0, "maxAttempts": 4, "maxOpen": 24940, "maxRetryAfterMs": 1500.0,
                   "maxStreams": 100, "peers": False, "probes": True, "retryAfter": True, "secondCopies": True},
        "overShareWorth": 0.1, "parties": [],
        "penalties": {"connection": 0.03, "crossZone": 0.02, "discovery": 0.0, "handshake": 0.08,
                      "lateFail": 0.064, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.3},
        "periodMs": 5.0,
        "rules": {"askWithinMs": 10000.0, "coldShare": 0.14, "fallMs": 2000.0, "graceToAnswerMs": 20.0,
                  "overloadFactor": 3.0, "stopSendingWithinMs": 250.0, "warmAfterMs": 23000.0},
        "serviceType": "mesh", "slotNo": 0, "tier": 0, "tiers": ["order-servers"], "weights": "nominal",
        "worthBy": "work", "zone": 0, "zones": list(zones)}
    for key, value in changes.items():
        result[key] = {**result[key], **value} if isinstance(value, dict) else value
    return result


def request_class(name, effect, aim_ms, deadline_ms, points=10.0, group="all", window_ms=15000.0, late=0.3):
    return {"aimMs": aim_ms, "deadlineMs": deadline_ms, "dedupWindowMs": window_ms, "effect": effect,
            "group": group, "lateWorth": late, "name": name, "points": points, "stream": False}


REFILL = request_class("refill-order", "deduplicated", 1500.0, 3000.0, 10.0)
RELEASE = request_class("dispense-release", "at_most_once", 800.0, 2500.0, 30.0, window_ms=5000.0, late=0.2)


def run_case(folder, case, limit_s=110):
    """Runs `case(record, scratch folder, agents, trouble)`, which returns whether the rule held, and exits."""
    record, agents = Record(folder), []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case starts, {'with' if trouble else 'without'} its disruption")
    code = CANNOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            if not (ROOT / "target/release/balancer-agent").exists():
                raise CannotRun("target/release/balancer-agent is missing: run the build of the deploy file")
            held = asyncio.run(asyncio.wait_for(case(record, scratch, agents, trouble), limit_s))
            code = HELD if held else BROKEN
        except Exception as error:  # Whatever fails in the stand-ins says nothing about the rule.
            record.write(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for agent in agents:
                if agent.process is not None and agent.process.poll() is not None:
                    record.write(f"{agent.name}: had ended with {agent.process.returncode}")
                agent.end()
    record.write({HELD: "result: the rule held", BROKEN: "result: THE RULE WAS BROKEN",
                  CANNOT_RUN: "result: the case could not run"}[code])
    record.close()
    sys.exit(code)
