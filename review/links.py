"""A link of one daemon to one replica: a proxy that can be cut."""

import asyncio


class Link:
    """Forwards connections. While it is cut, connections are reset and new ones are refused."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, ip):
        port = self.address[1] if self.address else 0
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target, limit=1 << 22)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self.writers |= both
        await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))
        self.writers -= both

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()
