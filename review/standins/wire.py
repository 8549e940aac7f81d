"""HTTP/1.1 over loopback for the stand-ins and clients of the cases; the standard library only."""

import asyncio
import socket


class Head:
    """The head of a request or a response."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name.lower():
                return value
        return default


class Request(Head):
    """A request with its whole body."""

    def __init__(self, text, body):
        super().__init__(text)
        self.method, self.path = self.start.split(" ")[:2]
        self.body = body


async def read_head(reader):
    return (await reader.readuntil(b"\r\n\r\n"))[:-4]


async def read_chunks(reader, chunk=None):
    """Reads a chunked body to its last chunk."""
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return bytes(body)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        body += data
        if chunk:
            chunk(data)


async def read_body(head, reader):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(head.get("content-length") or 0))


async def read_request(reader):
    """The next request of a connection; None at its end."""
    try:
        text = await read_head(reader)
        return Request(text, await read_body(Head(text), reader))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def response(status, fields=(), body=b""):
    head = f"HTTP/1.1 {status} X\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def listen(serve):
    """Serves connections on a free port of loopback. Returns the server and its address."""

    async def handle(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0, backlog=512)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def free_ports(count):
    """Free ports of loopback, below the range from which outgoing connections get theirs."""
    import os

    found, port = [], 12000 + os.getpid() % 200 * 90
    while len(found) < count:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                found.append(port)
            except OSError:
                pass
        port = port + 1 if port < 32000 else 12000
    return found


class Answer(Head):
    """What a client got: the status, the body, and whether the answer was whole."""

    def __init__(self, text=b"", body=b"", whole=False):
        super().__init__(text)
        parts = self.start.split(" ")
        self.status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
        self.body = body
        self.whole = whole


async def exchange(addr, text, within):
    """Sends a request on a new connection and reads its answer."""
    host, port = addr.split(":")
    got = bytearray()
    head = b""
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(text)
            await writer.drain()
            head = await read_head(reader)
            fields = Head(head)
            if (fields.get("transfer-encoding") or "").lower() == "chunked":
                await read_chunks(reader, got.extend)
            elif fields.get("content-length") is not None:
                got += await reader.readexactly(int(fields.get("content-length")))
            else:
                got += await reader.read()
            return Answer(head, bytes(got), True)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, TimeoutError):
        return Answer(head, bytes(got), False)
    finally:
        if writer:
            writer.close()


class Way:
    """The way of clients to one host: a proxy that can lose all that is on it."""

    def __init__(self, addr):
        self.target = addr
        self.dark = False

    async def start(self):
        self.server, self.addr = await listen(self.serve)
        return self

    def cut(self):
        """The host has lost its power: its connections answer nothing any more, nor do new ones."""
        self.dark = True

    def heal(self):
        """The host is back. What it had before stays silent."""
        self.dark = False

    async def serve(self, reader, writer):
        while self.dark:
            await asyncio.sleep(0.05)
        host, port = self.target.split(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))

        lost = False

        async def pump(source, sink):
            nonlocal lost
            while True:
                try:
                    data = await source.read(65536)
                except OSError:
                    data = b""
                lost = lost or self.dark
                if lost and source is up_reader:
                    # Nothing tells the client, until it gives up.
                    await asyncio.Event().wait()
                if not data:
                    return
                if not lost:
                    sink.write(data)
                    await sink.drain()

        pumps = [asyncio.create_task(pump(reader, up_writer)),
                 asyncio.create_task(pump(up_reader, writer))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in pumps:
                task.cancel()
            up_writer.close()
