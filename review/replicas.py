"""Stand-ins of replicas: plain ones and model engines, as PROTOCOL.md tells them, with faults that a script switches on."""

import asyncio
import json
import random
import time

import messages

HEARTBEAT_S = 1.2


class Replica:
    """A sound replica. Subclasses add faults."""

    def __init__(self, lab, name, service, zone, slots=8):
        self.lab, self.name, self.service, self.zone, self.slots = lab, name, service, zone, slots
        self.boots = 0
        # The last boot that ended with a crash.
        self.crashed = 0
        self.id = None
        self.born = 0
        self.server = None
        self.address = None
        self.writers = set()
        self.tasks = set()
        self.state = "ready"
        self.running = 0

    async def start(self):
        """Starts under a new id, at the address it had."""
        self.boots += 1
        self.id = f"i-{self.name}-{self.boots}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.reset()
        port = self.address[1] if self.address else 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()[:2]
        await self.register()
        self.beat = asyncio.ensure_future(self._heartbeat())

    def reset(self):
        """Forgets what a restart forgets."""

    async def register(self):
        await self.lab.store.put("servers", self.id, self.entry())

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def entry(self):
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": 0,
            "born": self.born,
        }

    async def crash(self, down_s=2.0):
        """Ends with all connections; starts again under another id after a while, as an empty one."""
        if self.crashed == self.boots:
            return
        self.crashed = self.boots
        self.lab.note("replica", self.id, "crashes")
        await self.stop()
        old = self.id

        async def back():
            await asyncio.sleep(down_s)
            await self.lab.store.remove("servers", old)
            await self.start()

        self.lab.spawn(back())

    async def stop(self):
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        connection = Connection(reader, writer)
        try:
            while True:
                line, headers = await messages.read_head(reader)
                body = await messages.read_body(reader, headers)
                method, target, _ = line.split()
                await self.before_answer(connection)
                await self.handle(connection, method, target, headers, body)
        except (messages.Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def before_answer(self, connection):
        """Called when a request has come, before it is handled."""

    async def handle(self, connection, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return await connection.send("421 Misdirected Request", [("X-Instance-Id", self.id)])
        if target == "/health":
            return await connection.send("200 OK", [("X-Instance-Id", self.id)])
        if "x-request-id" not in headers:
            return await connection.send("400 Bad Request", [("X-Not-Executed", "1")])
        await self.run(connection, method, target, headers, body)

    def signed(self, headers):
        return [
            ("X-Request-Id", headers["x-request-id"]),
            ("X-Server-Signature", f"{self.id}.{headers['x-request-id']}"),
        ]

    def run_time(self):
        """Time that a request takes, in seconds."""
        return random.uniform(0.03, 0.09)

    async def run(self, connection, method, target, headers, body):
        """Runs a plain request."""
        request = headers["x-request-id"]
        self.lab.ran(request, self, target, headers, body)
        await asyncio.sleep(self.run_time())
        await connection.send("200 OK", self.signed(headers), f"done {request}".encode().ljust(800))


class Connection:
    """A connection of a replica with the last answer that was sent on it."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.last_answer = b""
        self.extra = None

    async def send(self, status, headers, body=b""):
        await self.write(messages.encode(f"HTTP/1.1 {status}", headers, body))

    async def write(self, data):
        self.writer.write(data)
        await self.writer.drain()


class Engine(Replica):
    """A model engine: streams, a report and orders. It crashes when it is ordered to load more than it can hold."""

    def __init__(self, lab, name, service, zone, models, max_adapters=5, pace_s=0.06):
        super().__init__(lab, name, service, zone, slots=128)
        self.first_models, self.max_adapters = models, max_adapters
        self.pace_s = pace_s

    def reset(self):
        # model -> adapters; an engine that starts in the course of a day is empty.
        self.models = {name: set() for name in (self.first_models if self.boots == 1 else [])}
        self.users = {}
        self.unloading = set()
        self.pending = set()
        self.sequence = 0
        self.busy = False

    def entry(self):
        return super().entry() | {"Phase": "unified", "Models": self.held(), "Sequence": self.sequence}

    def held(self):
        return [
            {"Name": model, "Version": 1, "Adapters": sorted(adapters)} for model, adapters in self.models.items()
        ]

    async def handle(self, connection, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) == self.id:
            if target == "/persimmoncroft/report":
                return await connection.send("200 OK", [], json.dumps(self.report()).encode())
            if target == "/persimmoncroft/order":
                return await self.order(connection, json.loads(body))
        await super().handle(connection, method, target, headers, body)

    def report(self):
        return {
            "Phase": "unified",
            "Models": self.held(),
            "Busy": self.busy,
            "Sequence": self.sequence,
            "Queued": 0,
            "Running": self.running,
            "KvInUse": 0,
            "KvTotal": 148565,
            "Capabilities": 0,
            "PendingLoads": [f"{model}/{adapter}@1" for model, adapter in sorted(self.pending)],
            "born": self.born,
        }

    def adapter_places(self):
        """Places for adapters that are taken: loaded ones, also those that wait for their last requests, and those on their way."""
        return sum(len(adapters) for adapters in self.models.values()) + len(self.pending)

    async def order(self, connection, order):
        answer, status = self.carry_out(order)
        self.lab.ordered(self, order, answer)
        await connection.send(f"{answer} {status}", [])

    def carry_out(self, order):
        model, adapter = order["Model"], order.get("Adapter")
        if "Holder" not in order or "FencingToken" not in order:
            return 400, "Bad Request"
        if self.busy or order.get("Expected", self.sequence) != self.sequence:
            return 409, "Conflict"
        if order["Operation"] == "loading":
            return self._load(model, adapter)
        return self._unload(model, adapter)

    def _load(self, model, adapter):
        if adapter is None:
            if model in self.models:
                return 200, "OK"
            self.sequence += 1
            self.busy = True
            self.lab.spawn(self._finish_model(model, self.boots))
            return 202, "Accepted"
        if model not in self.models:
            return 400, "Bad Request"
        if adapter in self.models[model] and (model, adapter) not in self.unloading:
            return 200, "OK"
        self.sequence += 1
        if self.adapter_places() + 1 > self.max_adapters:
            waiting = ", ".join(f"{it[1]} (unloading, {self.users.get(it, 0)} requests)" for it in sorted(self.unloading))
            held = ", ".join(sorted(it for adapters in self.models.values() for it in adapters))
            self.lab.broken(
                "LIMIT",
                f"{self.id} is ordered to load adapter {adapter}; it has {self.max_adapters} places and holds {held}; {waiting}",
            )
            self.lab.spawn(self.crash())
            return 202, "Accepted"
        self.pending.add((model, adapter))
        self.lab.spawn(self._finish_adapter(model, adapter, self.boots))
        return 202, "Accepted"

    async def _finish_model(self, model, boot):
        await asyncio.sleep(1.2)
        if boot == self.boots:
            self.models[model] = set()
            self.busy = False
            await self.register()

    async def _finish_adapter(self, model, adapter, boot):
        await asyncio.sleep(0.006)
        if boot == self.boots:
            self.pending.discard((model, adapter))
            self.models.get(model, set()).add(adapter)

    def _unload(self, model, adapter):
        held = self.models.get(model)
        if held is None or (adapter is not None and adapter not in held):
            return 200, "OK"
        self.sequence += 1
        if adapter is None:
            del self.models[model]
            return 202, "Accepted"
        if self.users.get((model, adapter)):
            self.unloading.add((model, adapter))
            return 202, "Accepted"
        held.discard(adapter)
        return 200, "OK"

    def events_of(self, target):
        """Number of events of a stream: the second part of its path."""
        return int(target.split("/")[2])

    async def run(self, connection, method, target, headers, body):
        """Runs a stream."""
        model, _, adapter = headers.get("x-model", "").partition("/")
        key = (model, adapter)
        if model not in self.models or (adapter and (adapter not in self.models[model] or key in self.unloading)):
            return await connection.send("421 Misdirected Request", [("X-Instance-Id", self.id)])
        boot = self.boots
        self.lab.ran(headers["x-request-id"], self, target, headers, body)
        self.users[key] = self.users.get(key, 0) + 1
        self.running += 1
        sent = bytearray()
        try:
            lines = [f"{name}: {value}" for name, value in self.signed(headers)]
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            head = ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()
            await asyncio.sleep(0.05)
            sent += head
            await connection.write(head)
            for number in range(int(headers.get("last-event-id", 0)) + 1, self.events_of(target) + 1):
                event = messages.chunk(f"id: {number}\ndata: token {number}\n\n".encode())
                sent += event
                await connection.write(event)
                await asyncio.sleep(self.pace_s)
            sent += b"0\r\n\r\n"
            await connection.write(b"0\r\n\r\n")
            self.answered(connection, bytes(sent))
        finally:
            if boot == self.boots:
                self.users[key] -= 1
                self.running -= 1
                if key in self.unloading and not self.users[key]:
                    self.unloading.discard(key)
                    self.models.get(model, set()).discard(adapter)

    def answered(self, connection, answer):
        """Called after a complete stream."""
