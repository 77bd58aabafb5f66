"""Stand-ins for clients, upstreams and discovery, and the start of a balancer process.

Everything listens on 127.0.0.1, on ports that the kernel chooses. The balancer is started from the
root of the repository with the `run` command of deploy/balancer.toml, in a session of its own.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The record of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f}  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key} = "(.*)"$', file.read(), re.M)
    if not found:
        raise CannotRun(f"no '{key}' in deploy/balancer.toml")
    return found.group(1)


def free_ports(count):
    """Returns different ports that were free just now."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def settings(**changes):
    """The settings of a small deployment: the classes, tenants, limits and rules of portal-east, as
    the page of the wire shows them."""
    def named(name, effect, aim, deadline, worth, late):
        return {"name": name, "effect": effect, "aim": aim, "hardLimit": deadline, "worth": worth,
                "lateShare": late, "dedupScope": "all", "dedupWindow": 5.0, "streaming": False}

    result = {
        "classes": [
            named("account-view", "read_like", 1.0, 2.5, 3.0, 0.3),
            named("rent-payment", "non_idempotent", 2.0, 5.0, 10.0, 0.25),
            named("work-order", "non_idempotent", 2.5, 6.0, 2.0, 0.5),
        ],
        "tenants": [
            {"name": "riverside-homes", "quotaRps": 64.0, "share": 0.45},
            {"name": "cedar-court", "quotaRps": 56.0, "share": 0.39},
            {"name": "hillcrest-row", "quotaRps": 13.0, "share": 0.09},
            {"name": "bayview-flats", "quotaRps": 10.0, "share": 0.07},
        ],
        "discovery": "push",
        "kinds": ["portal-std", "portal-old"],
        "localities": ["tacoma", "olympia"],
        "stages": ["portal", "ledger"],
        "tier": 0, "zone": 0, "me": 0, "peersTotal": 2,
        "overShareWorth": 0.05, "valueBy": "work", "weightSource": "nominal",
        "resolution": 0.005,
        "report": {"names": ["outstanding", "backlog"], "source": "answers"},
        "callers": {"marksRetry": True},
        "familyInfo": {"passesDeadline": False},
        "limits": {
            "attemptsCap": 5, "cancel": True, "connIdle": 60.0, "connectTimeout": 0.2,
            "maxRetryAfter": 2.0, "mayDuplicate": False, "mayTell": False, "openCap": 20000,
            "probes": True, "retryAfter": True, "streamsPerConn": 1,
        },
        "rules": {"answerSlack": 0.02, "askWithin": 10.0, "cold": 9.0, "drainGrace": 0.4,
                  "fallMultiple": 3.0, "startCapacity": 0.31, "tipAfter": 3.0},
    }
    for path, value in changes.items():
        place = result
        *parents, last = path.split("__")
        for parent in parents:
            place = place[parent]
        place[last] = value
    return result


class Balancer:
    """One balancer process and its folder."""

    def __init__(self, record, discovery_port, known, settings_, memory_mb=64, sockets=512,
                 name="n0"):
        self.record = record
        self.name = name
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.config_path = os.path.join(self.folder, "config.json")
        self.log_path = os.path.join(self.folder, "log.txt")
        self.config = {
            "name": name, "discovery": f"127.0.0.1:{discovery_port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings_,
        }
        self.process = None

    def start(self):
        """Starts the process on ports that are free."""
        self.port, admin_port = free_ports(2)
        self.config.update(listen=f"127.0.0.1:{self.port}", console=f"127.0.0.1:{admin_port}")
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        tmp = os.path.join(self.folder, "tmp")
        os.makedirs(tmp, exist_ok=True)
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith("PROXY_")}
        environment.update(PROXY_CONFIG=self.config_path, TMPDIR=tmp)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"balancer {self.name}: started, clients at 127.0.0.1:{self.port}")

    def signal(self, number):
        self.record(f"balancer {self.name}: {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, seconds=10.0):
        """Waits until GET /healthz answers 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not self.is_running():
                # Another program may have been given one of the ports in the meantime.
                if "Address already in use" not in self.log():
                    raise CannotRun(f"balancer {self.name} ended: {self.log()}")
                self.start()
            try:
                client = await Client.connect(self.port)
                await client.send(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
                answer = await asyncio.wait_for(client.read_answer(), 1)
                client.close()
                if answer.status == 200:
                    self.record(f"balancer {self.name}: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"balancer {self.name} not ready within {seconds} s: {self.log()}")

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got for a request. `status` is 0 if the connection ended before a whole answer;
    `end` then says how, and `head` is the first line of the answer, as far as it came."""

    def __init__(self, status=0, headers=None, body=b"", end="", head=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.end, self.head = end, head

    def closes(self):
        return "close" in self.headers.get("connection", "").lower()

    def __str__(self):
        if not self.status:
            begun = f"after '{self.head}'" if self.head else "with no answer"
            return f"connection {self.end} {begun}"
        return f"{self.status} {self.body[:60]!r}"


class EndOfInput(Exception):
    """The peer ended the connection: `how` is `closed` or `reset`, and `partial` the line begun."""

    def __init__(self, how, partial=b""):
        super().__init__(how)
        self.how, self.partial = how, partial.decode("latin-1")


class Input:
    """Reads HTTP/1.1 messages from a stream."""

    def __init__(self, reader):
        self.reader = reader

    async def line(self):
        try:
            line = await self.reader.readuntil(b"\n")
        except asyncio.IncompleteReadError as error:
            raise EndOfInput("closed", error.partial)
        except OSError:
            raise EndOfInput("reset")
        return line.rstrip(b"\r\n").decode("latin-1")

    async def bytes(self, count):
        try:
            return await self.reader.readexactly(count)
        except asyncio.IncompleteReadError:
            raise EndOfInput("closed")
        except OSError:
            raise EndOfInput("reset")

    async def head(self):
        return await self.line(), await self.headers()

    async def headers(self):
        headers = {}
        while True:
            line = await self.line()
            if not line:
                return headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()

    async def body(self, headers, progress=None):
        """Reads a body with a length or in chunks. `progress` is called with each part."""
        parts = []

        def add(part):
            parts.append(part)
            if progress:
                progress(part)

        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await self.line()).split(";")[0], 16)
                if size == 0:
                    while await self.line():
                        pass
                    return b"".join(parts)
                add(await self.bytes(size))
                await self.bytes(2)
        length = int(headers.get("content-length", "0"))
        if length:
            add(await self.bytes(length))
        return b"".join(parts)


class Client:
    """A connection of a client."""

    def __init__(self, reader, writer):
        self.input, self.writer = Input(reader), writer
        self.answers = 0

    @classmethod
    async def connect(cls, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 26)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_answer(self):
        """Reads the next answer, or how the connection ended."""
        head = ""
        try:
            start = head = await self.input.line()
            headers = await self.input.headers()
            while start.split(" ")[1].startswith("1"):
                start = await self.input.line()
                headers = await self.input.headers()
            body = await self.input.body(headers)
        except EndOfInput as end:
            return Answer(end=end.how, head=head or end.partial)
        self.answers += 1
        return Answer(int(start.split(" ")[1]), headers, body)

    def close(self):
        self.writer.close()


def request(method, path, request_id, timeout, body=b"", headers="", tenant="riverside-homes"):
    """Returns the bytes of a request. `headers` are further header lines, each with its end."""
    head = (f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {request_id}\r\n"
            f"Tenant: {tenant}\r\nRequest-Timeout: {timeout:.3f}\r\n{headers}")
    if method == "POST" and "chunked" not in headers:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Upstream:
    """An upstream that starts a request once its last byte has arrived. `serve` is a coroutine
    function that gets the exchange and answers it."""

    def __init__(self, name, record, serve):
        self.name, self.record, self.serve = name, record, serve
        self.runs = []
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0, limit=1 << 26,
                                                 backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def endpoint(self, status="in_service", since_ms=0, zone="tacoma", group=0):
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": zone,
                "type": "portal-std", "group": group, "status": status, "weight": 1.0,
                "since_ms": since_ms}

    async def handle(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        number, source = self.connections, Input(reader)
        try:
            while True:
                start, headers = await source.head()
                exchange = Exchange(self, number, start, headers, writer)
                exchange.reader = reader
                exchange.begun()
                exchange.body = await source.body(headers, exchange.received)
                if exchange.path in ("/healthz", "/load"):
                    await exchange.answer(200, b"")
                    continue
                self.runs.append(exchange)
                if not await self.serve(exchange):
                    return
        except (EndOfInput, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except OSError:
                pass


class Exchange:
    """One request that an upstream has received, and its answer."""

    def __init__(self, upstream, connection, start, headers, writer):
        self.upstream, self.connection, self.writer = upstream, connection, writer
        self.reader = None
        self.method, self.path = start.split(" ")[:2]
        self.headers, self.body = headers, b""
        self.id = headers.get("request-id", "")
        self.bytes_received = 0

    def begun(self):
        pass

    def received(self, part):
        self.bytes_received += len(part)

    async def answer(self, status, body, headers=""):
        reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}[status]
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        self.writer.write(head.encode() + body)
        await self.writer.drain()
        return True


class Discovery:
    """The agent of discovery: answers at once with the list, and sends each change to all watches
    and an empty line every 2 s."""

    def __init__(self, record, endpoints):
        self.record = record
        self.index = 41
        self.endpoints = {endpoint["name"]: endpoint for endpoint in endpoints}
        self.watches = set()

    def list(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def start(self):
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @staticmethod
    def chunk(text):
        return f"{len(text) + 1:x}\r\n{text}\n\r\n".encode()

    async def handle(self, reader, writer):
        try:
            await Input(reader).head()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write(self.chunk(json.dumps(self.list())))
            self.watches.add(writer)
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                writer.write(self.chunk(""))
        except (EndOfInput, OSError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def change(self, endpoint):
        self.index += 1
        self.endpoints[endpoint["name"]] = endpoint
        self.record(f"discovery: {endpoint['name']} is {endpoint['status']}")
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [endpoint]})
        for writer in self.watches:
            writer.write(self.chunk(line))


def reset(writer):
    """Closes a connection with a TCP reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
    writer.transport.abort()


def main(case, folder):
    """Runs a case, a coroutine function that gets the record and a list to which it adds its
    balancers, and that returns whether the rule held. Exits as the issue says."""
    record = Record(os.path.join(folder, "record.txt"))
    balancers = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record(f"the disruption is {'on' if trouble() else 'off'}")

    async def run():
        # Stand-ins may be ended in the middle of an exchange; that is no event of the case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record, balancers), 110)

    try:
        held = asyncio.run(run())
        record("the rule held" if held else "THE RULE WAS BROKEN")
        code = HELD if held else BROKEN
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
        code = CANNOT_RUN
    finally:
        for balancer in balancers:
            balancer.end()
        for balancer in balancers:
            balancer.remove_folder()
    sys.exit(code)
