"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins. Bodies have a length, are chunked or end with the connection."""

import asyncio


class Closed(Exception):
    """The peer closed the connection before a whole message."""


async def read_head(reader):
    """Reads the lines of a head; returns the first line and the headers with lowercase names."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(str(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Reads one chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Closed(str(error)) from error
    return data[:-2]


async def read_body(reader, headers, is_response=False):
    """Reads a whole body."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            raise Closed(str(error)) from error
    if is_response:
        try:
            return await reader.read(-1)
        except (ConnectionError, OSError) as error:
            raise Closed(str(error)) from error
    return b""


def encode(first_line, headers, body=b""):
    """A message whose body has a length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunk(data):
    """One chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def fetch(address, method, target, headers, body=b"", timeout=20.0):
    """Sends a request on a connection of its own; returns status, headers and body, or None if there is no whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            await writer.drain()
            line, answered = await read_head(reader)
            status = int(line.split()[1])
            return status, answered, await read_body(reader, answered, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (Closed, OSError, ValueError, asyncio.TimeoutError):
        return None
