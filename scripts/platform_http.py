"""HTTP/1.1 connections of the callers, workers and operators that scripts/platform_soak.py plays."""
import asyncio
import json
import time

RESPONSE_BYTES_MAX = 8 * 1024 * 1024


class Cut(Exception):
    """The connection ended without a complete answer. sent: when the last byte of the request was sent, by
    time.monotonic(); None: not all of it was."""

    def __init__(self, sent, reason):
        super().__init__(str(reason) or type(reason).__name__)
        self.sent = sent


class Response:
    """A complete answer."""

    def __init__(self, code, headers, body):
        self.code, self.headers, self.body = code, headers, body

    def json(self):
        """Returns the body as JSON; None if it is not."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def closes(self):
        return self.headers.get("connection", "").lower() == "close"


class Connection:
    """A connection for any number of requests, one after another."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.sent = None

    @classmethod
    async def open(cls, address, timeout=1.0):
        """Raises OSError, or asyncio.TimeoutError, if the address can't be reached."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=RESPONSE_BYTES_MAX), timeout))

    def close(self):
        self.writer.close()

    async def request(self, method, path, body=None, headers=None, split_s=None):
        """Sends a request and returns its Response; raises Cut. split_s: pause between its two halves. Sends nothing on a
        connection that the other side is known to have closed."""
        if self.reader.at_eof() or self.reader.exception():
            raise Cut(None, "closed before the request")
        data = b"" if body is None else json.dumps(body).encode()
        head = {"Host": "soak.example", "Content-Type": "application/json", "Content-Length": str(len(data)), **(headers or {})}
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in head.items()), "", ""]
        text = "\r\n".join(lines).encode() + data
        self.sent = None
        try:
            if split_s is not None:
                self.writer.write(text[:len(text) // 2])
                await self.writer.drain()
                await asyncio.sleep(split_s)
                text = text[len(text) // 2:]
            self.writer.write(text)
            await self.writer.drain()
            self.sent = time.monotonic()
            return await self._response()
        except (OSError, EOFError, ValueError, IndexError) as reason:
            raise Cut(self.sent, reason) from reason

    async def _response(self):
        status = await self.reader.readuntil(b"\r\n")
        headers = {}
        while (line := (await self.reader.readuntil(b"\r\n")).strip()):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return Response(int(status.split()[1]), headers, body)


async def send_once(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends a request on a connection of its own; returns its Response, or None without a complete answer in time."""
    connection = None
    try:
        connection = await Connection.open(address, timeout)
        return await asyncio.wait_for(connection.request(method, path, body, headers), timeout)
    except (Cut, OSError, asyncio.TimeoutError):
        return None
    finally:
        if connection:
            connection.close()
