"""Stand-ins for clients, upstreams and discovery, and the balancer as a process of its own.

All of them use loopback addresses, free ports and the real clock. A case subclasses or configures them, and judges what
clients, upstreams and the platform can see.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))  # of what a case draws; the order of events on real sockets still differs
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to a file, one line an event."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a head. Returns its first line and its headers, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, on_part=None):
    """Reads a body with a length or in chunks. Raises IncompleteReadError or ConnectionError if it is cut off."""
    parts = []

    def add(part):
        if on_part is None:
            parts.append(part)
        else:
            on_part(part)

    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.strip():
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return b"".join(parts)
            add(await reader.readexactly(size))
            await reader.readexactly(2)
    left = int(headers.get("content-length", "0"))
    while left > 0:
        part = await reader.read(min(left, 65536))
        if not part:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(part)
        add(part)
    return b"".join(parts)


class Discovery:
    """The agent: answers at once with the whole list or the changes, then an empty line every 2 s."""

    def __init__(self):
        self.index = 1
        self.entries = {}
        self.changed = {}
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def known(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def put(self, entry):
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changed[entry["name"]] = self.index
        message = {"index": self.index, "snapshot": False, "endpoints": [entry]}
        for writer in list(self.watches):
            self.send(writer, json.dumps(message))

    @staticmethod
    def send(writer, text):
        data = (text + "\n").encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except (ConnectionError, RuntimeError):
            pass

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                if not target.startswith("/v1/servers"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "follow=1" not in target:
                    body = json.dumps(self.known()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.send(writer, json.dumps(self.known()))
                self.watches.add(writer)
                while not writer.is_closing():
                    await writer.drain()
                    await asyncio.sleep(2)
                    self.send(writer, "")
                return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Upstream:
    """An upstream: begins a request once its last byte has arrived, and answers after its service time."""

    def __init__(self, name, zone, record, sent_ids, service_time):
        self.name, self.zone, self.record = name, zone, record
        self.sent_ids, self.service_time = sent_ids, service_time
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, status="in_service"):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": "portal-std", "group": 0,
                "status": status, "weight": 1.0, "since_ms": 0}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                await read_body(reader, headers)
                request_id = headers.get("request-id")
                if request_id not in self.sent_ids:
                    status = b"404 Not Found" if request_id is None else b"400 Bad Request"
                    writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)
                    self.record.line(f"{self.name}: request with an id that no client sent: {line}")
                    continue
                self.runs.append(request_id)
                self.record.line(f"{self.name}: runs {request_id} ({line}, time left {headers.get('request-timeout')})")
                await self.answer(line, headers, request_id, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def body_for(self, request_id):
        return f"answer to {request_id} by {self.name}".encode()

    async def answer(self, line, headers, request_id, writer):
        await asyncio.sleep(self.service_time())
        body = self.body_for(request_id)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Balancer:
    """One process of the balancer, started with the command of the deploy file."""

    def __init__(self, config, folder, name):
        self.config, self.folder, self.name = config, Path(folder), name
        self.file = self.folder / f"{name}.json"
        self.temporary = self.folder / f"{name}.tmp"
        self.temporary.mkdir(exist_ok=True)
        host, port = config["listen"].split(":")
        self.host, self.port = host, int(port)

    def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.file.write_text(json.dumps(self.config))
        environment = dict(os.environ, PROXY_CONFIG=str(self.file), TMPDIR=str(self.temporary),
                           PROXY_NAME=self.config["name"], PROXY_LISTEN=self.config["listen"],
                           PROXY_DISCOVERY=self.config["discovery"])
        if "console" in self.config:
            environment["PROXY_CONSOLE"] = self.config["console"]
        self.log = open(self.folder / f"{self.name}.log", "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)

    async def ready(self, limit=30.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 2)
                writer.close()
                if head is not None and " 200" in head[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()

    def log_lines(self):
        return (self.folder / f"{self.name}.log").read_text().splitlines()


class Connection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.used = False

    def close(self):
        self.writer.close()


class Clients:
    """Clients that keep their connections and open more when all are busy."""

    def __init__(self, balancer, record, sent_ids):
        self.balancer, self.record, self.sent_ids = balancer, record, sent_ids
        self.idle = []
        self.last = 0

    def new_id(self):
        self.last += 1
        request_id = f"{self.balancer.name}-{self.last:06x}"
        self.sent_ids.add(request_id)
        return request_id

    async def take(self):
        while self.idle:
            connection = self.idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.close()
        return await self.open()

    async def open(self):
        return Connection(*await asyncio.open_connection(self.balancer.host, self.balancer.port, limit=1 << 18))

    def head(self, method, path, request_id, timeout, headers=()):
        lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Request-Id: {request_id}",
                 f"Request-Timeout: {timeout:.3f}", "Tenant: riverside-homes", *headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def request(self, method, path, timeout, body=b"", patience=1.0):
        """Sends a request and waits for its answer until `patience` after its time has passed.

        Returns (id, status or reason, body, seconds from the last byte sent).
        """
        request_id = self.new_id()
        headers = [f"Content-Length: {len(body)}"] if method == "POST" else []
        data = self.head(method, path, request_id, timeout, headers) + body
        self.record.line(f"client of {self.balancer.name}: sends {method} {path} {request_id}, waits {timeout:.3f} s")
        began = time.monotonic()
        status, content = "no answer", b""
        for _ in range(2):
            try:
                connection = await self.take()
            except OSError:
                status = "refused"
                break
            was_used = connection.used
            connection.writer.transport.set_write_buffer_limits(0)
            connection.writer.write(data)
            try:
                # Returns once the kernel has taken the last byte: the time of the request counts from here.
                await connection.writer.drain()
                began = time.monotonic()
                head, content = await asyncio.wait_for(self.receive(connection), timeout + patience)
            except asyncio.TimeoutError:
                connection.close()
                break
            except (ConnectionError, asyncio.IncompleteReadError):
                connection.close()
                status = "cut off"
                break
            if head is None:
                connection.close()
                status = "closed"
                if was_used:
                    # The balancer closed the resting connection: the request is sent once more on a new one.
                    for other in self.idle:
                        other.close()
                    self.idle.clear()
                    continue
                break
            status = int(head[0].split(" ")[1])
            connection.used = True
            if head[1].get("connection", "").lower() == "close":
                connection.close()
            else:
                self.idle.append(connection)
            break
        elapsed = time.monotonic() - began
        self.record.line(f"client of {self.balancer.name}: {request_id} got {status} after {elapsed:.3f} s"
                         f" {content[:60].decode('latin-1')!r}")
        return request_id, status, content, elapsed

    async def receive(self, connection):
        head = await read_head(connection.reader)
        if head is None:
            return None, b""
        return head, await read_body(connection.reader, head[1])

    def close(self):
        for connection in self.idle:
            connection.close()


def settings(classes, peers=2, me=0, discovery="push", **limits):
    """Settings of the form and size of portal-east's: two tiers, two zones, pushed lists."""
    return {
        "classes": classes,
        "tenants": [{"name": "riverside-homes", "share": 0.45, "quotaRps": 640.0}],
        "discovery": discovery, "domainType": "chain", "kinds": ["portal-std"], "localities": ["tacoma", "olympia"],
        "stages": ["portal", "ledger"], "tier": 0, "zone": 0, "me": me, "peersTotal": peers, "valueBy": "work",
        "weightSource": "nominal", "resolution": 0.005, "overShareWorth": 0.05,
        "report": {"names": [], "source": "none"},
        "limits": {"attemptsCap": 5, "cancel": True, "connIdle": 60.0, "connectTimeout": 0.2, "mayDuplicate": False,
                   "mayTell": False, "openCap": 20000, "probes": False, "retryAfter": True, "maxRetryAfter": 2.0,
                   "streamsPerConn": 1, **limits},
        "rules": {"answerSlack": 0.02, "askWithin": 10.0, "cold": 9.0, "drainGrace": 0.4, "fallMultiple": 3.0,
                  "startCapacity": 0.31, "tipAfter": 3.0},
    }


ACCOUNT_VIEW = {"name": "account-view", "aim": 1.0, "hardLimit": 2.5, "effect": "read_like", "lateShare": 0.3,
                "worth": 3.0}
RENT_PAYMENT = {"name": "rent-payment", "aim": 2.0, "hardLimit": 5.0, "effect": "non_idempotent", "lateShare": 0.25,
                "worth": 10.0}
WORK_ORDER = {"name": "work-order", "aim": 2.5, "hardLimit": 6.0, "effect": "non_idempotent", "lateShare": 0.5,
              "worth": 2.0}


def configuration(name, discovery, the_settings, memory_mb=48, sockets=384, console=False):
    config = {
        "name": name, "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address,
        "seed": f"{random.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": discovery.known(), "settings": the_settings,
    }
    if console:
        config["console"] = f"127.0.0.1:{free_port()}"
    return config


async def console_call(address, method, path):
    """One call to the operators' door. Returns the status and the body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 5)
        if head is None:
            return 0, b""
        return int(head[0].split(" ")[1]), await read_body(reader, head[1])
    finally:
        writer.close()


def run_case(folder, play, limit=110.0):
    """Runs `play(record, folder, balancers)`, ends all processes, and exits with the result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    random.seed(SEED)
    record.line(f"seed {SEED}, " + ("with the disruption" if TROUBLE else "without the disruption"))
    temporary = tempfile.mkdtemp(prefix="case-")
    balancers = []
    result = NOT_RUN
    try:
        result = asyncio.run(asyncio.wait_for(play(record, temporary, balancers), limit))
    except Exception as error:  # noqa: BLE001: whatever fails here, the case could not run
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        for balancer in balancers:
            balancer.stop()
            for line in balancer.log_lines()[-40:]:
                record.line(f"log of {balancer.name}: {line}")
        shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result])
    record.file.close()
    sys.exit(result)
