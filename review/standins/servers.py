"""Stand-ins for the users' servers: stage servers, model servers and plain services."""

import asyncio
import itertools
import json
import time

import wire

BORN = int(time.time() * 1000)


class Results:
    """What lies at the stage servers: by handle, the piece that it was made for and until when."""

    def __init__(self):
        self.made = {}

    def get(self, handle):
        """The request, stage and piece of a result; None if it is gone."""
        piece, until = self.made.get(handle, (None, 0))
        return piece if time.monotonic() < until else None


class StageServer:
    """One server of a stage's service: one call at a time, two more may wait."""

    ids = itertools.count(1)

    def __init__(self, name, results, segments, record):
        self.name, self.results, self.segments, self.record = name, results, segments, record
        self.slot = asyncio.Lock()
        self.held = 0
        self.spoils = lambda: False
        self.second_answers = 0

    async def start(self):
        self.server, self.addr = await wire.listen(self.serve)
        return self

    def load(self):
        return ("Server-Load", f"{min(self.held, 1)},{max(self.held - 1, 0)},1")

    async def serve(self, reader, writer):
        second = b""
        while request := await wire.read_request(reader):
            if second:
                # The extra answer arrives late, where the next one is expected.
                self.second_answers += 1
                self.record(f"server {self.name} sends a second answer once more: {second!r}")
                writer.write(second)
                second = b""
            answer = await self.answer(request)
            writer.write(answer)
            await writer.drain()
            if request.path == "/api/stage-run" and answer.startswith(b"HTTP/1.1 200") \
                    and self.spoils():
                second = answer

    async def answer(self, request):
        # A server echoes the identifier, if the call has one.
        echo = [("Attempt-Id", request.get("attempt-id"))] if request.get("attempt-id") else []
        if request.get("expect-instance") not in (None, self.name):
            return wire.response(421, [("Instance-Id", self.name), ("Not-Executed", "1"), *echo])
        if request.path == "/api/stage-free":
            for handle in json.loads(request.body)["handles"]:
                self.results.made.pop(handle, None)
            return wire.response(200, [self.load(), *echo])
        if request.path == "/api/report":
            kept = sum(h.startswith(self.addr) and self.results.get(h) is not None
                       for h in list(self.results.made))
            free = self.segments["headroomMb"] - kept * 0.008
            body = {"queued": max(self.held - 1, 0), "busy": min(self.held, 1), "freeMb": free,
                    "born": BORN}
            return wire.response(200, [self.load(), *echo], json.dumps(body).encode())
        if request.path != "/api/stage-run":
            return wire.response(200, [("Instance-Id", self.name), self.load(), *echo])
        if self.held > self.segments["queue"]:
            return wire.response(503, [("Not-Executed", "1"), self.load(), *echo])
        self.held += 1
        try:
            async with self.slot:
                return await self.run(json.loads(request.body)["entries"], echo)
        finally:
            self.held -= 1

    async def run(self, entries, echo):
        begun = time.monotonic()
        work = self.segments["callMs"] + self.segments["itemMs"] * len(entries)
        made = []
        for entry in entries:
            made.append(self.begin(entry))
        await asyncio.sleep(work / 1e3)
        until = time.monotonic() + self.segments["handleTtlS"]
        for piece, handle in made:
            if handle:
                self.results.made[handle] = (piece, until)
        self.record(f"server {self.name} makes "
                    + ", ".join(f"{p} as {h}" if h else f"{p}: gone" for p, h in made)
                    + f" in {time.monotonic() - begun:.3f} s")
        out = [{"handle": h} if h else {"reason": "gone"} for _, h in made]
        body = json.dumps({"entries": out}).encode()
        fields = [("Content-Type", "application/json"), self.load(), *echo]
        return wire.response(200, fields, body)

    def begin(self, entry):
        """Checks a piece's inputs at its turn. Returns the piece and its handle; none if an input is
        gone."""
        piece = (entry["id"], entry["phase"], entry["segment"])
        inputs = entry.get("inputs") or []
        found = [self.results.get(handle) for handle in inputs]
        if None in found:
            return piece, None
        foreign = [f for f in found if f[0] != entry["id"] or f[1] >= entry["phase"]]
        if foreign or len(set(found)) < len(found):
            self.record.broken("MIXED", f"piece {piece} is given the inputs {found}")
        return piece, f"{self.addr}/{next(self.ids):x}"


class Engine:
    """A model server. Each event names the requests whose results it read."""

    def __init__(self, name, results, record):
        self.name, self.results, self.record = name, results, record
        self.running = 0
        self.runs = []
        # For how long it is silent from now on, and whether an answer is sent a second time.
        self.silence = lambda: 0.0
        self.spoils = lambda answer: False
        self.second_answers = 0
        self.first_token = 0.0
        self.events, self.pause, self.version = 5, 0.03, "v1"

    async def start(self):
        self.server, self.addr = await wire.listen(self.serve)
        return self

    def load(self):
        return ("Server-Load", f"{self.running},0,64")

    async def serve(self, reader, writer):
        second = b""
        while request := await wire.read_request(reader):
            await asyncio.sleep(self.silence())
            if second:
                # The extra answer arrives late, where the next one is expected.
                self.second_answers += 1
                self.record(f"server {self.name} sends a second answer once more: {second!r}")
                writer.write(second)
                second = b""
            if reader.at_eof():
                # Its caller has closed the connection meanwhile: the request is dropped.
                return
            self.running += 1
            try:
                answer = await self.answer(request, writer)
                if answer and self.spoils(answer):
                    second = answer
            finally:
                self.running -= 1
            await writer.drain()

    async def answer(self, request, writer):
        """Answers a request. Returns the answer if the request did not run."""
        number = request.get("attempt-id")
        echo = [("Attempt-Id", number)] if number else []
        if request.get("expect-instance") not in (None, self.name):
            fields = [("Instance-Id", self.name), ("Not-Executed", "1"), *echo]
            writer.write(wire.response(421, fields))
            return None
        if request.path == "/api/report":
            body = {"phase": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False, "seq": 1, "queued": 0, "active": self.running, "kvUsed": 0,
                    "kvTotal": 584593, "handles": 0, "born": BORN}
            writer.write(wire.response(200, [self.load()], json.dumps(body).encode()))
            return None
        if number is None:
            writer.write(wire.response(200, [("Instance-Id", self.name), self.load()]))
            return None
        handles = [h for h in (request.get("inputs") or "").split(",") if h]
        if not handles:
            writer.write(wire.response(400, [("Not-Executed", "1"), *echo]))
            return None
        found = [self.results.get(handle) for handle in handles]
        if None in found:
            self.record(f"server {self.name}: inputs of {number} are gone: 409")
            answer = wire.response(409, [("Not-Executed", "1"), self.load(), *echo])
            writer.write(answer)
            return answer
        await asyncio.sleep(self.first_token)
        if writer.is_closing():
            return None
        self.runs.append(number)
        self.record(f"server {self.name} runs {number} with inputs {found}")
        owners = sorted({owner for owner, _, _ in found})
        if owners != [number] or len(set(found)) < len(found):
            self.record.broken("MIXED", f"request {number} is given the inputs {found}")
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in [
            ("Content-Type", "text/event-stream"), ("Server-Signature", f"{self.name}.{number}"),
            self.load(), *echo, ("Transfer-Encoding", "chunked")])
        writer.write(f"{head}\r\n".encode())
        for event in range(int(request.get("last-event-id") or 0) + 1, self.events + 1):
            text = f"id: {event}\ndata: {self.version} of {','.join(owners)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.pause + self.silence())
        writer.write(b"0\r\n\r\n")
        self.spoils(b"")
        return None


class PlainServer:
    """A server of a plain service, which answers each request after its work."""

    def __init__(self, name, work, record):
        self.name, self.work, self.record = name, work, record
        self.slots = asyncio.Semaphore(6)
        self.running = 0
        self.writers = set()
        # When each request arrived, and whether it was run.
        self.arrived, self.ran = {}, set()

    async def start(self):
        self.server, self.addr = await wire.listen(self.serve)
        return self

    async def exit(self):
        """Ends, with all its connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def load(self):
        return ("Server-Load", f"{min(self.running, 6)},{max(self.running - 6, 0)},6")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await wire.read_request(reader):
                writer.write(await self.answer(request))
                await writer.drain()
        finally:
            self.writers.discard(writer)

    async def answer(self, request):
        number = request.get("attempt-id")
        echo = [("Attempt-Id", number)] if number else []
        if request.get("expect-instance") not in (None, self.name):
            fields = [("Instance-Id", self.name), ("Not-Executed", "1"), *echo]
            return wire.response(421, fields)
        if number is None:
            body = json.dumps({"born": BORN}).encode()
            return wire.response(200, [("Instance-Id", self.name), self.load()], body)
        self.arrived[number] = time.monotonic()
        self.running += 1
        try:
            async with self.slots:
                self.ran.add(number)
                self.record(f"server {self.name} runs {number}")
                await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        fields = [("Server-Signature", f"{self.name}.{number}"), self.load(), *echo]
        return wire.response(200, fields, b"signed off")


class Record:
    """The record of a run: what was sent, answered and run, and the rules that were broken."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()
        self.breaks = []

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} s  {text}\n")
        self.file.flush()

    def broken(self, rule, text):
        self.breaks.append(text)
        self(f"BROKEN {rule}: {text}")
