"""Small stand-ins of the users' platform for the scripts of review 3: a store, replicas, clients, and the daemons as
processes of their own. Everything listens on loopback, at free ports. Python's standard library is enough."""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "persimmond-platform")
HOST = "127.0.0.1"

# Bounds of the small installations (glockenhof, lakeshore-lab), in seconds.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
GRACE_S = 8
LEASE_MS = 3000
HEARTBEAT_S = 1.2


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.line(text)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.target = target
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def head(status, headers, length=None):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Server:
    """An HTTP/1.1 listener. `handle(request, writer)` writes its answer and returns whether the connection stays open."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.connected, HOST, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        self.server.close()
        self.reset_all()


class Store:
    """The platform's store: rows in tables, versions of one counter, conditional transactions, a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 0
        self.is_away = False
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        return self

    @property
    def address(self):
        return f"{HOST}:{self.server.port}"

    def touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        text = json.dumps(value, separators=(",", ":")).encode()
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(text).decode(), self.version)
        self.touch()
        return self.version

    def remove(self, table, key):
        if self.get(table, key) is None:
            return
        self.version += 1
        self.rows[(table, key)] = (None, self.version)
        self.touch()

    def get(self, table, key):
        value = self.rows.get((table, key), (None, 0))[0]
        return None if value is None else json.loads(base64.b64decode(value))

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.touch()

    def away(self, is_away):
        self.is_away = is_away
        self.touch()

    def answer(self, writer, status, body=b""):
        headers = {"Content-Type": "application/json"}
        if self.era:
            headers["Store-Era"] = self.era
        writer.write(head(status, headers, len(body)) + body)
        return True

    def page(self, writer, rows, view=None):
        listed = []
        for (table, key), (value, version) in rows:
            row = {"TableName": table, "part": "", "Key": key, "RecordVersion": version}
            row.update({"Deleted": True} if value is None else {"Value": view(table, key, value) if view else value})
            listed.append(row)
        body = {"Rows": listed, "HasMore": False, "RecordVersion": self.version,
                "ServerTimeMs": int(time.monotonic() * 1000)}
        return self.answer(writer, 200, json.dumps(body).encode())

    async def handle(self, request, writer, view=None):
        if self.is_away:
            return self.answer(writer, 503)
        await asyncio.sleep(0.004)
        if request.path == "/persimmoncroft/rows-get":
            table, low, high = (request.query.get(name) for name in ("TableName", "From", "To"))
            rows = [it for it in self.rows.items() if it[0][0] == table and it[1][0] is not None]
            rows = [it for it in rows if (low is None or it[0][1] >= low) and (high is None or it[0][1] < high)]
            return self.page(writer, sorted(rows), view)
        if request.path == "/persimmoncroft/rows-feed":
            return await self.feed(request, writer, view)
        if request.path == "/persimmoncroft/rows-tx":
            return self.commit(json.loads(request.body), writer)
        return self.answer(writer, 404)

    async def feed(self, request, writer, view=None):
        table, after = request.query["TableName"], int(request.query["after"])
        until = time.monotonic() + int(request.query["PollTimeoutMs"]) / 1000
        while True:
            if self.is_away:
                return self.answer(writer, 503)
            if after > self.version:
                return self.answer(writer, 410)
            rows = [it for it in self.rows.items() if it[0][0] == table and it[1][1] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.page(writer, sorted(rows, key=lambda it: it[1][1]), view)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, change, writer):
        for row in change.get("Expected", []):
            value, version = self.rows.get((row["TableName"], row["Key"]), (None, 0))
            if (version if value is not None else 0) != row["RecordVersion"]:
                return self.answer(writer, 412, json.dumps({"Rows": [], "RecordVersion": self.version}).encode())
        self.version += 1
        for row in change.get("Write", []):
            self.rows[(row["TableName"], row["Key"])] = (row["Value"], self.version)
        for row in change.get("Remove", []):
            self.rows[(row["TableName"], row["Key"])] = (None, self.version)
        self.touch()
        return self.page(writer, [])


class Proxy:
    """A link to one address: `passes`, `hangs` (bytes and new connections get no answer), `resets` (connections are reset, new
    ones too), `refuses` (new ones are refused, open ones live on)."""

    def __init__(self, target):
        self.target, self.mode, self.server, self.port = target, "passes", None, None
        self.writers = set()
        self.may_pass = asyncio.Event()
        self.may_pass.set()

    async def start(self):
        self.server = await asyncio.start_server(self.connected, HOST, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def set(self, mode):
        before, self.mode = self.mode, mode
        if mode == "hangs":
            self.may_pass.clear()
        else:
            self.may_pass.set()
        if mode == "resets":
            self.reset_all()
        if mode == "refuses":
            self.server.close()
        elif before == "refuses":
            await self.start()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def connected(self, reader, writer):
        if self.mode == "resets":
            writer.transport.abort()
            return
        self.writers.add(writer)
        other = None
        try:
            await self.may_pass.wait()
            host, _, port = self.target.partition(":")
            back, other = await asyncio.open_connection(host, int(port))
            self.writers.add(other)
            await asyncio.gather(self.copy(reader, other), self.copy(back, writer))
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            for it in (writer, other):
                if it:
                    self.writers.discard(it)
                    it.transport.abort()

    async def copy(self, source, target):
        while data := await source.read(1 << 16):
            await self.may_pass.wait()
            target.write(data)
            await target.drain()
        # The end goes on as it came; half-closed connections are not kept.
        target.close()
        raise ConnectionResetError


class Gateway:
    """The store as one machine sees it: the addresses of replicas are those of this machine's own links to them."""

    def __init__(self, store):
        self.store, self.links = store, {}
        self.server = Server(self.handle)

    async def start(self, replicas):
        for replica in replicas:
            await self.link(replica)
        await self.server.start()
        return self

    async def link(self, replica):
        self.links[replica.id] = await Proxy(replica.address).start()

    @property
    def address(self):
        return f"{HOST}:{self.server.port}"

    def view(self, table, key, value):
        if table != "servers" or key not in self.links:
            return value
        entry = json.loads(base64.b64decode(value))
        entry["Address"] = f"{HOST}:{self.links[key].port}"
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def handle(self, request, writer):
        return await self.store.handle(request, writer, self.view)

    async def set_links(self, mode):
        for link in self.links.values():
            await link.set(mode)


class Replica:
    """A sound replica of an application service or of a service of models."""

    count = 0

    def __init__(self, store, record, service, zone, version="v1", run_s=0.05, models=None, slots=16):
        Replica.count += 1
        self.id = f"i-{service}-{Replica.count}"
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.version, self.run_s, self.slots = version, run_s, slots
        self.models = models
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.entry_state = "ready"
        self.beats = True
        self.extra = {}
        self.busy, self.load_s, self.tasks = False, 0.4, []
        self.events, self.gap_s = 40, 0.1
        self.arrivals = []
        self.orders = []
        self.running = []
        self.server = Server(self.handle)
        self.beat = None

    async def start(self):
        await self.server.start()
        self.write_entry()
        self.beat = asyncio.create_task(self.heartbeat())
        return self

    @property
    def address(self):
        return f"{HOST}:{self.server.port}"

    def listed(self):
        return [{"Name": name, "Version": 1, "Adapters": []} for name in self.models or []]

    def entry(self):
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": self.version,
                 "Slots": self.slots, "State": self.entry_state, "WarmupLeftMs": 0, "Sequence": self.sequence,
                 "born": self.born}
        if self.models is not None:
            entry.update({"Phase": "unified", "Models": self.listed()})
        return entry

    def write_entry(self):
        self.store.put("servers", self.id, self.entry())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.beats and not self.store.is_away:
                self.write_entry()

    def end(self):
        self.beats = False
        self.beat.cancel()
        self.server.stop()

    def headers(self, request):
        headers = {"X-Request-Id": request.headers.get("x-request-id", "-"), "X-Instance-Id": self.id,
                   "Keep-Alive": "timeout=15"}
        if self.leaving:
            headers.update({"Server-Leaving": "1", "Connection": "close"})
        headers.update(self.extra)
        return headers

    async def handle(self, request, writer):
        keeps = not self.leaving
        expected = request.headers.get("x-expect-instance")
        headers = self.headers(request)
        if expected not in (None, self.id):
            writer.write(head(421, headers | {"X-Not-Executed": "1"}, 0))
            return keeps
        if request.path == "/persimmoncroft/report":
            body = json.dumps({"Phase": "unified", "Models": self.listed(), "Busy": self.busy, "Sequence": self.sequence,
                               "Queued": 0, "Running": len(self.running), "KvInUse": 0, "KvTotal": 90000, "Capabilities": 0,
                               "born": self.born}).encode()
            del headers["X-Request-Id"]
            writer.write(head(200, headers, len(body)) + body)
            return keeps
        if request.path == "/persimmoncroft/order":
            del headers["X-Request-Id"]
            writer.write(head(self.take_order(json.loads(request.body)), headers, 0))
            return keeps
        if request.path == "/health":
            del headers["X-Request-Id"]
            writer.write(head(200, headers, 0))
            return keeps
        self.arrivals.append((self.record.now(), request.headers["x-request-id"]))
        self.record.line(f"{self.id} runs {request.headers['x-request-id']} {request.method} {request.target}")
        self.running.append(request.headers["x-request-id"])
        try:
            return await self.run(request, writer)
        finally:
            self.running.remove(request.headers["x-request-id"])

    def take_order(self, order):
        """Judges an order and carries it out; returns the status."""
        status = self.judge(order)
        self.orders.append((self.record.now(), order, status))
        self.record.line(f"order at {self.id}: {order['Operation']} {order['Model']} Expected {order.get('Expected')} "
                         f"Holder {order['Holder']} FencingToken {order['FencingToken']}: {status}")
        return status

    def judge(self, order):
        model, loads = order["Model"], order["Operation"] == "loading"
        if "Adapter" in order:
            return 400
        if self.busy or order.get("Expected", self.sequence) != self.sequence:
            return 409
        if loads == (model in self.models):
            return 200
        self.sequence += 1
        self.busy = True

        async def carry_out():
            await asyncio.sleep(self.load_s)
            if loads:
                self.models = self.models + [model]
            else:
                self.models = [it for it in self.models if it != model]
            self.busy = False
            if self.beats and not self.store.is_away:
                self.write_entry()

        self.tasks = [it for it in self.tasks if not it.done()] + [asyncio.create_task(carry_out())]
        return 202

    async def run(self, request, writer):
        if self.models is not None:
            return await self.stream(request, writer)
        await asyncio.sleep(self.run_s)
        body = f"{self.id}:{request.headers['x-request-id']}".encode()
        headers = self.headers(request) | {"X-Server-Signature": f"{self.id}.{len(body)}"}
        writer.write(head(200, headers, len(body)) + body)
        return not self.leaving


    async def stream(self, request, writer):
        """Streams `events` events, `gap_s` apart, from the one after Last-Event-Id; each tells what made it."""
        request_id = request.headers["x-request-id"]
        number = int(request.headers.get("last-event-id", "0"))
        headers = self.headers(request) | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                                           "X-Server-Signature": f"{self.id}.s"}
        await asyncio.sleep(self.run_s)
        writer.write(head(200, headers))
        while number < self.events:
            number += 1
            event = f"id: {number}\ndata: {self.version} {self.id} {request_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        return not self.leaving


class Stream:
    """A client that reads a stream and takes it up again where it broke off, as PROTOCOL.md has it."""

    def __init__(self, record, name, ports, path="/draft/1", patience_s=2.0, budget_s=12.0, retries=6):
        self.record, self.name, self.ports, self.path = record, name, ports, path
        self.patience_s, self.budget_s, self.retries = patience_s, budget_s, retries
        self.events = []  # (id, version, replica)
        self.first_attempt = None
        self.is_whole = False
        self.statuses = []
        self.buffer = b""
        self.last_at = None

    def versions(self):
        return {version for _, version, _ in self.events}

    async def run(self):
        started = time.monotonic()
        self.last_at = started
        for number in range(self.retries + 1):
            request_id = f"{self.name}-{number}"
            headers = {"X-Model": "m1", "X-Token-Usage": "100,100", "X-Prompt-Prefix": f"{abs(hash(self.name)):x}:100",
                       "X-Deadline-Ms": str(int((started + self.budget_s - time.monotonic()) * 1000))}
            if self.events:
                headers |= {"Last-Event-Id": str(self.events[-1][0]), "Resumes": self.first_attempt}
            port = self.ports[number % len(self.ports)]
            self.buffer = b""
            self.record.line(f"{request_id} is sent to port {port}, Last-Event-Id {headers.get('Last-Event-Id', '-')}")
            answer = await call(port, "POST", self.path, request_id, headers, timeout=self.budget_s,
                                on_data=lambda answer: self.read(answer, request_id))
            self.statuses.append(answer.status)
            self.record.line(f"{request_id} ends: {answer.status}, {'whole' if answer.whole else 'broken off'}, "
                             f"{len(self.events)} events in all")
            if answer.status == 200 and answer.whole:
                self.is_whole = True
                return
            left = started + self.budget_s - time.monotonic()
            wait = min(float(answer.headers.get("retry-after", "0.1")), left / 3)
            if time.monotonic() + wait > self.last_at + self.patience_s and self.events:
                break
            if left <= 0:
                break
            await asyncio.sleep(wait)
        self.record.line(f"{self.name} gives up")

    def read(self, answer, request_id):
        self.buffer, answer.body = self.buffer + answer.body, b""
        *whole, self.buffer = self.buffer.split(b"\n\n")
        for event in whole:
            lines = event.decode().split("\n")
            version, replica, _ = lines[1][6:].split(" ")
            if not self.events:
                self.first_attempt = request_id
            self.events.append((int(lines[0][4:]), version, replica))
            self.last_at = time.monotonic()


class Answer:
    def __init__(self, status=None, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole
        self.connected = False


async def call(port, method, path, request_id, headers=None, body=b"{}", timeout=6.0, on_head=None, on_data=None):
    """One client attempt on a connection of its own; an answer without status is a closed connection or a time-out."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 22)
            answer.connected = True
            sent = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "5000",
                    "Authorization": "Token key-1"}
            sent.update(headers or {})
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in sent.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            if on_head:
                on_head(answer)
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    answer.body += chunk[:-2]
                    if on_data:
                        on_data(answer)
            else:
                answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
            answer.whole = True
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


def free_port(kinds=(socket.SOCK_STREAM,)):
    """A port that is free for all kinds."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as first:
            first.bind((HOST, 0))
            port = first.getsockname()[1]
            if socket.SOCK_DGRAM not in kinds:
                return port
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                try:
                    other.bind((HOST, port))
                    return port
                except OSError:
                    continue


class Daemon:
    """One persimmond-platform process, started with the command of the deploy file."""

    def __init__(self, name, zone, store_address, folder, record, cores=0.25):
        self.name, self.zone, self.folder, self.record = name, zone, folder, record
        self.store_address, self.cores = store_address, cores
        self.process = None
        self.out = None
        self.pick_ports()

    def pick_ports(self):
        self.port, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.gossip = free_port((socket.SOCK_STREAM, socket.SOCK_DGRAM))

    def settings(self):
        return f"""[daemon]
name = {self.name}
zone = {self.zone}
cores = {self.cores}
memory_mb = 260
descriptors = 4100
log_level = info
grace_s = {GRACE_S}

[listen]
callers = {HOST}:{self.port}
ready = {HOST}:{self.ready}
peers = {HOST}:{self.peers}
gossip = {HOST}:{self.gossip}
metrics = {HOST}:{self.metrics}
forwarded = {HOST}:{self.gossip}

[platform]
store = {self.store_address}
apply_ms = {int(CONFIG_APPLY_S * 1000)}
drain_ms = {int(DRAIN_S * 1000)}

[limits]
retry_extra = 54
retry_share = 0.2
retry_window_s = 10

[placement]
lease_ms = {LEASE_MS}
load_window_s = 5
"""

    async def start(self):
        path = os.path.join(self.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(self.settings())
        self.out = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "PERSIMMONCROFT_NODE_FILE": path}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, cwd=ROOT, env=env, stdout=self.out, stderr=self.out)
        self.record.line(f"{self.name} started, process {self.process.pid}")
        return self

    async def is_ready(self):
        return (await call(self.ready, "GET", "/persimmoncroft/readiness", "-", timeout=1.0)).status == 200

    async def wait_ready(self, within=20.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                # Another program has taken one of the ports since they were picked.
                self.record.line(f"{self.name} ended with {self.process.returncode}; other ports are picked")
                self.pick_ports()
                await self.start()
            if await self.is_ready():
                self.record.line(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def send(self, number):
        self.record.line(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, f"{self.name}.log")) as file:
            return file.read()


class CannotRun(Exception):
    pass


def route(name, kind, service, attempts=2, resume=False, **more):
    base = {"Name": name, "Host": "shop.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 5000,
            "TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": attempts, "CanResume": resume}
    if kind == "streaming":
        base["TargetGapMs"] = 200
    return base | more


def config(version, routes, services):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"HeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "school", "ApiKeys": ["key-1"], "Priority": 1, "BillingUnit": "tokens",
                         "DefaultTokens": 10, "RatePerS": 0, "Burst": 0}]}


def plain_service(name):
    return {"Name": name, "MaxConnections": 400, "HealthPath": "/health"}


def model_service(name, models):
    return {"Name": name, "MaxConnections": 400, "Runtime": {
        "Slots": 16, "KvCapacity": 90000, "Stride": 5, "WeightsMb": 100.0, "MaxAdapters": 4, "LoadsPerS": 2.0,
        "Models": [{"Name": model, "WeightsMb": 10.0, "LoadS": 1.0, "Adapters": 0, "AdapterMb": 1.0}
                   for model in models]}}


def main(folder, play):
    """Plays a script; exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={int(trouble)}")
    daemons = []

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await play(record, trouble, temporary, daemons)
            finally:
                for daemon in daemons:
                    await daemon.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.makedirs(keep, exist_ok=True)
                    for name in os.listdir(temporary):
                        with open(os.path.join(temporary, name)) as source, \
                                open(os.path.join(keep, name), "w") as target:
                            target.write(source.read())

    if not os.path.exists(PROGRAM):
        record.say("cannot run: the deploy file's build is missing")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.say(f"cannot run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
