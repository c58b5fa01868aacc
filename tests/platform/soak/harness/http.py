"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

MAX_BODY_BYTES = 4 << 20


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body or b"{}")


@dataclass
class Response:
    status: int = 200
    body: object = None
    headers: dict = field(default_factory=dict)


class NoAnswer(Exception):
    """Raised by a handler: the connection stays open, without an answer."""


class Reset(Exception):
    """Raised by a handler: the connection is reset."""


async def _read_head(reader):
    """Reads a start line and headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    length = int(headers.get("content-length", 0))
    if length > MAX_BODY_BYTES:
        raise ConnectionError("body too large")
    return await reader.readexactly(length) if length else b""


class Server:
    """Serves requests with an async handler, which returns a `Response`."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self):
        """Stops listening and resets all connections."""
        if self._server:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, Reset):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await _read_head(reader)
        if head is None:
            return False
        method, target, _ = head[0].split(" ", 2)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        body = await _read_body(reader, head[1])
        request = Request(method, parts.path, query, head[1], body)
        try:
            response = await self._handler(request)
        except NoAnswer:
            await reader.read()  # Until the client closes.
            return False
        content = b"" if response.body is None else \
            json.dumps(response.body).encode()
        lines = [f"HTTP/1.1 {response.status} -",
                 f"Content-Length: {len(content)}",
                 "Content-Type: application/json"]
        lines += [f"{name}: {value}"
                  for name, value in response.headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        return True


class Connection:
    """A kept connection to one server; one request at a time."""

    def __init__(self, ip, port):
        self._address = (ip, port)
        self._reader = self._writer = None

    @property
    def address(self):
        return "%s:%d" % self._address

    @property
    def is_open(self):
        return self._writer is not None

    async def call(self, method, path, body=None, headers=None):
        """Returns (status, headers, body). Raises ConnectionError."""
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address)
            except OSError as failure:
                raise ConnectionError(str(failure)) from failure
        content = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1",
                 f"Content-Length: {len(content)}"]
        lines += [f"{name}: {value}"
                  for name, value in (headers or {}).items()]
        try:
            self._writer.write(
                "\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            head = await _read_head(self._reader)
            if head is None:
                raise ConnectionError("closed")
            answer = await _read_body(self._reader, head[1])
        except (OSError, asyncio.IncompleteReadError) as failure:
            self.abort()
            raise ConnectionError(str(failure)) from failure
        if head[1].get("connection", "").lower() == "close":
            self.abort()
        return int(head[0].split(" ")[1]), head[1], answer

    def abort(self):
        """Resets the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    def close(self):
        """Closes the connection in an orderly way."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
