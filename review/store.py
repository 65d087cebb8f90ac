"""Stand-in of the platform's metadata store: rows, conditional transactions and a feed, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote

import messages


class Gate:
    """An address of the store of its own, at which it can be silent, and which may name other addresses of the replicas."""

    def __init__(self):
        self.silent = False
        # When the daemon last asked for changes of each table.
        self.asked = {}
        # Addresses of replicas as this daemon reaches them.
        self.links = {}

    def rewrite(self, answer):
        for row in answer.get("Rows", []):
            if row["TableName"] == "servers" and "Value" in row:
                entry = json.loads(base64.b64decode(row["Value"]))
                entry["Address"] = self.links.get(entry["Address"], entry["Address"])
                row["Value"] = base64.b64encode(json.dumps(entry).encode()).decode()


class Store:
    """A store that loses nothing and answers within a few milliseconds."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 0
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.server = None
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def gate(self, ip):
        """Serves the store at another address, as one daemon uses it."""
        gate = Gate()

        async def serve(reader, writer):
            await self._serve(reader, writer, gate)

        gate.server = await asyncio.start_server(serve, ip, 0, limit=1 << 22)
        gate.address = gate.server.sockets[0].getsockname()[:2]
        return gate

    async def put(self, table, key, value):
        """Writes a row as the operator or a replica would; returns its version."""
        return await self._apply([(table, key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def remove(self, table, key):
        return await self._apply([], [(table, key)])

    def get(self, table, key):
        value, _ = self.rows.get((table, key), (None, 0))
        return None if value is None else json.loads(base64.b64decode(value))

    def copy(self):
        """The store as it is now."""
        return dict(self.rows), self.version

    async def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and its versions are given out again."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def _apply(self, writes, removals):
        self.version += 1
        for table, key, value in writes:
            self.rows[(table, key)] = (value, self.version)
        for table, key in removals:
            self.rows[(table, key)] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def _serve(self, reader, writer, gate=None):
        try:
            while True:
                line, headers = await messages.read_head(reader)
                body = await messages.read_body(reader, headers)
                _, target, _ = line.split()
                path, _, text = target.partition("?")
                query = {name: values[0] for name, values in parse_qs(text, keep_blank_values=True).items()}
                if gate and path == "/persimmoncroft/rows-feed":
                    gate.asked[query["TableName"]] = time.monotonic()
                if gate and gate.silent:
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(path, query, body)
                if gate and gate.silent:
                    await asyncio.sleep(3600)
                if gate:
                    gate.rewrite(answer)
                era = [("Store-Era", self.era)]
                writer.write(messages.encode(f"HTTP/1.1 {status}", era, json.dumps(answer).encode()))
                await writer.drain()
        except (messages.Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        if path == "/persimmoncroft/rows-get":
            return "200 OK", self._list(query)
        if path == "/persimmoncroft/rows-feed":
            return await self._feed(query)
        if path == "/persimmoncroft/rows-tx":
            return await self._commit(json.loads(body))
        return "404 Not Found", {}

    def _page(self, rows, more=False):
        listed = []
        for (table, key), (value, version) in rows:
            row = {"TableName": table, "part": "", "Key": key, "RecordVersion": version}
            row |= {"Deleted": True} if value is None else {"Value": value}
            listed.append(row)
        now = int((time.monotonic() - self.started) * 1000)
        return {"Rows": listed, "HasMore": more, "RecordVersion": self.version, "ServerTimeMs": now}

    def _list(self, query):
        start, end = unquote(query.get("From", "")), query.get("To")
        rows = sorted(
            (place, row)
            for place, row in self.rows.items()
            if place[0] == query["TableName"]
            and row[0] is not None
            and place[1] >= start
            and (end is None or place[1] < end)
        )
        most = int(query.get("MaxItems", 500))
        return self._page(rows[:most], len(rows) > most)

    async def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["PollTimeoutMs"]) / 1000
        while True:
            if after > self.version:
                return "410 Gone", {}
            rows = [
                (place, row)
                for place, row in self.rows.items()
                if place[0] == query["TableName"] and row[1] > after
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return "200 OK", self._page(sorted(rows, key=lambda it: it[1][1]))
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _commit(self, change):
        place = lambda entry: (entry["TableName"], entry["Key"])
        expected = change.get("Expected", [])
        current = {place(it): self.rows.get(place(it), (None, 0)) for it in expected}
        holds = all(
            (0 if current[place(it)][0] is None else current[place(it)][1]) == it["RecordVersion"]
            for it in expected
        )
        if not holds:
            rows = [(key, row) for key, row in current.items() if row[0] is not None]
            return "412 Precondition Failed", self._page(rows)
        writes = [(*place(it), it["Value"]) for it in change.get("Write", [])]
        await self._apply(writes, [place(it) for it in change.get("Remove", [])])
        return "200 OK", self._page([])
