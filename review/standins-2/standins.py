"""Stand-ins for the scripts in review/4 to review/8: the platform's store, servers, clients, and the
start of edge hosts as processes. Python's standard library only; everything listens on loopback.

The servers follow the users' pages (PROTOCOL.md). Where a case needs a faulty one, it is made so in the
case's own file."""
import asyncio, json, os, re, random, resource, shutil, signal, socket, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now():9.3f} {event} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP/1.1

class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


def parse_headers(lines):
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """The next request on a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = parse_headers(l for l in lines[1:] if l)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, headers, body)


def answer(status, headers=(), body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=()):
    return answer(status, [("Content-Type", "application/json"), *headers], json.dumps(value))


async def send(writer, data):
    writer.write(data)
    await writer.drain()


class Listener:
    """A TCP server whose connections can be closed with it."""

    def __init__(self):
        self.writers, self.server, self.addr = set(), None, None

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 20)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Store(Listener):
    """Objects by kind and name, with lists, watches and conditional writes. `raw` holds the text of
    objects that are not to be encoded from a value."""

    def __init__(self, record):
        super().__init__()
        self.record, self.revision, self.objects = record, 100, {}
        self.history, self.changed, self.era = [], asyncio.Event(), 1

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": self.revision, "finalizers": [],
                "deleting": False}
        obj = {"metadata": meta, "spec": spec, "status": None}
        self.objects[kind, name] = obj
        self.history.append((self.revision, kind, obj, False))
        self.wake()

    def beat(self, name, spec):
        """A write of a server. If only its `seq` differs, watches are told nothing."""
        old = self.objects.get(("servers", name))
        same = old and {**old["spec"], "seq": 0} == {**spec, "seq": 0}
        if same:
            old["spec"] = spec
        else:
            self.put("servers", name, spec)

    def remove(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj:
            self.revision += 1
            self.history.append((self.revision, kind, obj, True))
            self.wake()

    def copy(self):
        """A copy, as a drill keeps one."""
        return self.revision, json.loads(json.dumps([[*k, o] for k, o in self.objects.items()]))

    async def come_back(self, copy, away_s):
        """Is away for a moment and comes back from a copy: what was written since is gone, and revisions
        are given out again. What the operator and the servers wrote is for them to write again."""
        ip, port = self.addr.split(":")
        await self.close()
        await asyncio.sleep(away_s)
        self.revision, objects = copy
        self.objects = {(kind, name): obj for kind, name, obj in objects}
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.era += 1
        self.wake()
        await self.listen(ip, int(port))

    def encode(self, obj):
        """An object as bytes; its spec may be given as bytes."""
        if isinstance(obj["spec"], bytes):
            rest = json.dumps({"metadata": obj["metadata"], "status": None}).encode()
            return rest[:-1] + b', "spec": ' + obj["spec"] + b"}"
        return json.dumps(obj).encode()

    async def connection(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            await send(writer, await self.reply(request))

    def body(self, head, parts, tail):
        return head + b", ".join(parts) + tail

    async def reply(self, request):
        path, _, query = request.path.partition("?")
        query = dict(q.partition("=")[::2] for q in query.split("&") if q)
        era = [("Store-Era", self.era), ("Content-Type", "application/json")]
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method == "POST":
            name = json.loads(request.body)["metadata"]["name"]
            if (kind, name) in self.objects:
                return answer(409, era, self.encode(self.objects[kind, name]))
            self.put(kind, name, json.loads(request.body).get("spec"))
            return answer(201, era, self.encode(self.objects[kind, name]))
        if request.method in ("PUT", "DELETE"):
            obj = self.objects.get((kind, name))
            if obj is None:
                return answer(404, era)
            given = query.get("revision")
            if request.method == "PUT":
                given = json.loads(request.body)["metadata"].get("revision")
            if given is not None and int(given) != obj["metadata"]["revision"]:
                return answer(409, era, self.encode(obj))
            if request.method == "DELETE":
                self.remove(kind, name)
                return answer(200, era, b"{}")
            self.put(kind, name, json.loads(request.body)["spec"])
            return answer(200, era, self.encode(self.objects[kind, name]))
        if name:
            obj = self.objects.get((kind, name))
            return answer(200, era, self.encode(obj)) if obj else answer(404, era)
        if "watch" in query:
            if int(query["watch"]) > self.revision:
                return answer(410, era)
            since, end = int(query["watch"]), now() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [(o, gone) for at, k, o, gone in self.history if at > since and k == kind]
                left = end - now()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            flag = {True: b"true", False: b"false"}
            parts = [b'{"removed": ' + flag[gone] + b', "object": ' + self.encode(o) + b"}"
                     for o, gone in events]
            tail = b'], "storeRevision": %d}' % self.revision
            return answer(200, era, self.body(b'{"events": [', parts, tail))
        parts = [self.encode(o) for (k, _), o in sorted(self.objects.items()) if k == kind]
        tail = b'], "hasMore": false, "storeRevision": %d}' % self.revision
        return answer(200, era, self.body(b'{"entries": [', parts, tail))


# ---------------------------------------------------------------- servers

class Server(Listener):
    """A server that registers itself in the store and beats there. Subclasses answer requests."""

    def __init__(self, store, record, sid, service, zone, slots=6, heartbeat=1.2, version="v1"):
        super().__init__()
        self.store, self.record, self.sid, self.service = store, record, sid, service
        self.zone, self.slots, self.heartbeat, self.version = zone, slots, heartbeat, version
        self.state, self.seq, self.born = "ready", 0, int(time.time() * 1000)
        self.running = self.waiting = 0
        self.beats = None

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": self.addr, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "warmupLeftMs": 0, "seq": self.seq,
                "born": self.born}

    async def start(self, ip="127.0.0.1"):
        await self.listen(ip)
        self.beats = asyncio.create_task(self._beat())
        return self

    async def _beat(self):
        while True:
            self.store.beat(self.sid, self.entry())
            await asyncio.sleep(self.heartbeat)

    def load(self):
        return [("Server-Load", f"{self.running},{self.waiting},{self.slots}")]

    async def connection(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            expected = request.get("expect-instance")
            if expected is not None and expected != self.sid:
                await send(writer, answer(421, [("Not-Executed", 1), ("Instance-Id", self.sid)]))
            elif request.path == "/healthz":
                await send(writer, answer(200, [("Instance-Id", self.sid), *self.load()]))
            elif request.path == "/api/report":
                await send(writer, json_answer(200, self.report()))
            else:
                await self.serve(request, reader, writer)

    def report(self):
        return {"phase": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": self.seq, "queued": self.waiting, "active": self.running,
                "kvUsed": 0, "kvTotal": 600000, "handles": 0, "born": self.born}

    async def stop(self):
        self.beats.cancel()
        await self.close()


class Plain(Server):
    """A server of plain requests: works for `work_s`, then answers. It echoes the request's id and
    path in its body."""

    work_s = 0.015

    async def serve(self, request, reader, writer):
        rid = request.get("attempt-id", "")
        self.running += 1
        self.record("run", server=self.sid, id=rid, deadline=request.get("deadline-ms"))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        headers = [("Attempt-Id", rid), ("Server-Signature", f"sig.{self.sid}"), *self.load()]
        await send(writer, json_answer(200, {"id": rid, "path": request.path}, headers))


class Stage(Server):
    """A server of a stage: one call at a time, the declared time for each. Keeps what each result was
    made of."""

    results = {}  # handle -> (request, phase, segment, what it was made of)

    def __init__(self, *args, call_ms=240.0, item_ms=26.0, ttl=4.0, queue=2, **kw):
        super().__init__(*args, **kw)
        self.call_ms, self.item_ms, self.ttl, self.queue = call_ms, item_ms, ttl, queue
        self.turn, self.made, self.foreign = asyncio.Lock(), 0, []

    def report(self):
        return {"queued": self.waiting, "busy": self.running, "freeMb": 9.0, "born": self.born}

    async def serve(self, request, reader, writer):
        body = json.loads(request.body or b"{}")
        if request.path == "/api/stage-free":
            for handle in body["handles"]:
                self.results.pop(handle, None)
            self.record("free", server=self.sid, handles=",".join(body["handles"]))
            return await self.give(request, writer, json_answer(200, {}))
        entries = body["entries"]
        if self.waiting + self.running > self.queue:
            return await send(writer, json_answer(503, {}, [("Not-Executed", 1), *self.load()]))
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            self.running += 1
            out = []
            for e in entries:
                made_of = self.sources(e)
                self.made += 1
                handle = f"{self.addr}/{self.sid}{self.made:06x}"
                self.record("piece", server=self.sid, id=e["id"], phase=e["phase"],
                            segment=e["segment"], key=e.get("key"), inputs=e.get("inputs"), handle=handle)
                if made_of is None:
                    out.append({"reason": "gone"})
                else:
                    out.append({"handle": handle})
                    self.results[handle] = (e["id"], e["phase"], e["segment"], made_of)
                    asyncio.get_running_loop().call_later(self.ttl + 0.3, self.results.pop, handle, None)
            await asyncio.sleep((self.call_ms + self.item_ms * len(entries)) / 1000)
            self.running -= 1
        await self.give(request, writer, json_answer(200, {"entries": out}, self.load()))

    def sources(self, e):
        """The keys that a piece is made of; none if an input is gone."""
        if "key" in e:
            return frozenset([e["key"]])
        keys = set()
        for handle in e["inputs"]:
            if handle not in self.results:
                return None
            rid, _, _, made_of = self.results[handle]
            if rid != e["id"]:
                self.foreign.append((e["id"], rid, handle))
                self.record("FOREIGN-INPUT", at=self.sid, id=e["id"], of=rid, handle=handle)
            keys |= made_of
        return frozenset(keys)

    async def give(self, request, writer, reply):
        await send(writer, reply)


class Engine(Server):
    """A model server: waits for the first token, then streams `events` events. Each event tells which
    keys its inputs were made of."""

    def __init__(self, *args, events=10, first_s=0.1, gap_s=0.02, **kw):
        super().__init__(*args, slots=kw.pop("slots", 64), **kw)
        self.events, self.first_s, self.gap_s, self.foreign = events, first_s, gap_s, []

    async def serve(self, request, reader, writer):
        rid = request.get("attempt-id", "")
        handles = [h for h in request.get("inputs", "").split(",") if h]
        keys = set()
        for handle in handles:
            if handle not in Stage.results:
                self.record("gone", server=self.sid, id=rid, handle=handle)
                return await send(writer, answer(409, [("Attempt-Id", rid), ("Not-Executed", 1)]))
            owner, _, _, made_of = Stage.results[handle]
            if owner != rid:
                self.foreign.append((rid, owner, handle))
                self.record("FOREIGN-INPUT", at=self.sid, id=rid, of=owner, handle=handle)
            keys |= made_of
        self.record("run", server=self.sid, id=rid, inputs=",".join(handles), of=",".join(sorted(keys)))
        self.running += 1
        try:
            await self.stream(request, rid, keys, writer)
        finally:
            self.running -= 1

    async def stream(self, request, rid, keys, writer):
        first = int(request.get("last-event-id", -1)) + 1
        await asyncio.sleep(self.first_s)
        await send(writer, stream_head(rid, self.sid, self.load()))
        for i in range(first, self.events):
            await send(writer, chunk(f"id: {i}\ndata: {','.join(sorted(keys))} word{i}\n\n"))
            await asyncio.sleep(self.gap_s)
        await send(writer, b"0\r\n\r\n")


def stream_head(rid, sid, more=()):
    headers = [("Attempt-Id", rid), ("Server-Signature", f"sig.{sid}"),
               ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *more]
    return ("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode()


def chunk(text):
    data = text.encode() if isinstance(text, str) else text
    return b"%x\r\n%s\r\n" % (len(data), data)


# ---------------------------------------------------------------- clients

class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = None, {}, b"", False, None
        self.began = self.ended = None


class Client:
    """A client connection. `call` sends one request and reads the answer to its end."""

    def __init__(self, addr):
        self.host, self.port = addr.rsplit(":", 1)
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, int(self.port), limit=1 << 20), 1.0)

    async def call(self, method, path, headers, body=b"", patience=20.0):
        out = Answer()
        out.began = now()
        try:
            if self.writer is None:
                await self.connect()
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            await send(self.writer, ("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self.read(out), patience)
        except asyncio.TimeoutError:
            out.error = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as err:
            out.error = f"closed ({type(err).__name__})"
        out.ended = now()
        if not out.complete or out.headers.get("connection") == "close":
            self.close()
        return out

    async def read(self, out):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        out.status = int(head[0].split(" ")[1])
        out.headers = parse_headers(l for l in head[1:] if l)
        if out.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                if size == 0:
                    await self.reader.readline()
                    break
                out.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
        else:
            out.body = await self.reader.readexactly(int(out.headers.get("content-length", 0)))
        out.complete = True

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


# ---------------------------------------------------------------- edge hosts

def render(text, fields):
    """Fills in a template of DEPLOY.md, as far as deploy/edge.yaml.in needs it."""
    def look(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if look(match.group(1)) is not None else ""

    def value(match):
        found = look(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 2500, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2500,
          "downgradeSlackMs": 250, "skewMaxMs": 6000, "revokeStrict": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "retryWindowS": 10, "budgetSlack": 52, "recoveryS": 12}


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Edge:
    """An edge host as a process, started with the deploy file's command."""

    def __init__(self, folder, name, zone, zones, store, seeds=None, ip=None):
        self.folder, self.name, self.zone, self.zones, self.store = folder, name, zone, zones, store
        # A loopback address of its own, so that runs side by side don't take each other's ports.
        ip = self.ip = ip or "127.%d.%d.%d" % tuple(random.SystemRandom().randint(1, 254) for _ in range(3))
        self.front, self.ready_at, self.peer = (f"{ip}:{free_port(ip)}" for _ in range(3))
        self.metrics = free_port(ip)
        self.seeds = seeds if seeds is not None else [self.peer]
        self.process, self.pids, self.first = None, [], True

    def settings(self):
        fields = {"nodeName": self.name, "zone": self.zone, "zones": self.zones, "ip": self.ip,
                  "listen": {"frontend": self.front, "readiness": self.ready_at,
                             "controlPlane": self.peer},
                  "platform": {"addr": self.store.addr}, "seedNodes": self.seeds,
                  "bootstrap": self.first, "limits": {"cpuQuota": 0.25}, "bounds": BOUNDS,
                  "heartbeatMs": 1200}
        text = open(os.path.join(ROOT, "deploy", "edge.yaml.in")).read()
        # The metrics' port is fixed in the template; another one lets several cases run at once.
        return render(text, fields).replace(":9464", f":{self.metrics}")

    async def start(self):
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w") as out:
            out.write(self.settings())
        self.first = False
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/siskinwheel-edge"), cwd=ROOT, stdout=self.log,
            stderr=self.log, env={**keep, "SISKINWHEEL_NODE_FILE": path})
        self.pids.append(self.process.pid)

    def signal(self, sig):
        if self.process and self.process.returncode is None:
            self.process.send_signal(sig)

    async def is_ready(self):
        try:
            got = await Client(self.ready_at).call("GET", "/api/readyz", [("Host", "x")], patience=1.0)
            return got.status == 200
        except OSError:
            return False

    async def until_ready(self, within=15.0):
        end = now() + within
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def cpu_s(self):
        """Processor seconds that the process has used."""
        parts = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self):
        for line in open(f"/proc/{self.process.pid}/status"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def service(name, conns=360):
    return {"name": name, "healthPath": "/healthz", "maxConns": conns, "protocol": "h1", "tls": False}


def engine_service(name):
    return {**service(name), "engine": {"slots": 64, "kvCapacity": 607956, "kvBytes": 18432,
                                        "linkMbps": 370000.0, "models": [{"name": "m"}]}}


def stage_service(name, batch=8, call_ms=240.0, item_ms=26.0, mb=9.6):
    return {**service(name), "segments": {"slots": 1, "queue": 2, "batch": batch, "callMs": call_ms,
                                          "itemMs": item_ms, "headroomMb": mb, "handleTtlS": 4.0,
                                          "linkMbps": 10000}}


def route(name, kind, service, **more):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "type": kind,
            "timeoutMs": 20000, "sloMs": 2700, "priority": 1, "service": service, "attempts": 1,
            "public": False, "sticky": kind == "streaming", "resumable": False, "itlTargetMs": 400,
            **more}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def config(version, routes, services, tenants=(("bozi300", ["key1"]),)):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": n, "apiKeys": k, "priority": 1} for n, k in tenants]}


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def main(case, here):
    """Runs a case: `await case(record, folder, trouble)` returns None if it can't run, else the list of
    what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, "target/release/siskinwheel-edge")):
        print("can't run: target/release/siskinwheel-edge isn't built")
        return 2
    record = Record(os.path.join(here, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    random.seed(int(os.environ.get("SEED", "1")))

    async def play():
        try:
            return await asyncio.wait_for(case(record, folder, trouble), 115)
        finally:
            for edge in Edges:
                await edge.kill()

    try:
        broken = asyncio.run(play())
    except (asyncio.TimeoutError, OSError) as err:
        record("can't run", why=repr(err))
        broken = None
    finally:
        for edge in Edges:
            if edge.process and edge.process.returncode is None:
                try:
                    os.kill(edge.process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    if broken is None:
        print("the case couldn't run")
        record("RESULT", code=2)
    else:
        for line in broken[:10]:
            print("BROKEN:", line)
            record("BROKEN", text=line)
        print(f"{len(broken)} breaks" if broken else "the rule held")
        record("RESULT", code=1 if broken else 0, breaks=len(broken))
    record.close()
    return 2 if broken is None else 1 if broken else 0


Edges = []


async def start_edges(folder, store, places, zones):
    """Starts one edge host for each name and zone, as a fleet that starts for the first time."""
    edges = [Edge(folder, name, zone, zones, store) for name, zone in places]
    seeds = [e.peer for e in edges][:3]
    for edge in edges:
        edge.seeds = seeds
        Edges.append(edge)
        await edge.start()
    ready = await asyncio.gather(*(e.until_ready() for e in edges))
    if not all(ready):
        raise OSError("an edge host isn't ready")
    return edges
