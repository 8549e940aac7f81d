"""Stand-ins for the platform: its store, and the starting of hosts by the deploy file."""

import asyncio
import json
import os
import signal
import time
import tomllib
import urllib.parse

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KINDS = "/api/objects/"


class Store:
    """The metadata store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.addr = None
        # Hosts that are cut off from it; who asked for the servers last; who is told of lists.
        self.cut = set()
        self.asked = {}
        self.listed = lambda host: None

    async def start(self):
        self.server, self.addr = await wire.listen(self.serve)
        return self

    async def address_for(self, host):
        """An address of the store that is used by one host only, so that it can be cut off."""
        _, addr = await wire.listen(lambda reader, writer: self.serve(reader, writer, host))
        return addr

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created"] if old else int(time.time() * 1000)
        found = {
            "metadata": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None,
        }
        self.objects[kind, name] = found
        self.record(kind, found, False)
        return found

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            self.record(kind, found, True)

    def record(self, kind, found, removed):
        self.history.append((self.revision, kind, {"object": found, "removed": removed}))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, reader, writer, host=None):
        while request := await wire.read_request(reader):
            await asyncio.sleep(0.004)
            if host in self.cut:
                await reader.read()
                return
            of_servers = request.path.startswith(f"{KINDS}servers")
            if of_servers:
                self.asked[host] = time.monotonic()
            status, body = await self.answer(request)
            if host in self.cut:
                await reader.read()
                return
            if of_servers and "watch" not in request.path:
                self.listed(host)
            fields = [("Content-Type", "application/json"), ("Store-Era", "1")]
            writer.write(wire.response(status, fields, json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, request):
        path, _, query = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(KINDS).partition("/")
        if request.method == "POST":
            given = json.loads(request.body)
            name = given["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, given.get("spec"))
        found = self.objects.get((kind, name))
        if name and found is None:
            return 404, {}
        if request.method == "DELETE":
            if "revision" in query and int(query["revision"]) != found["metadata"]["revision"]:
                return 409, found
            self.remove(kind, name)
            return 200, found
        if name:
            return 200, found
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), float(query.get("waitMs", 0)) / 1e3)
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        return 200, {"entries": [self.objects[kind, n] for n in names[:500]],
                     "hasMore": len(names) > 500, "storeRevision": self.revision}

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for at, k, event in self.history if at > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Registration:
    """The entry of a server in the store, renewed at each heartbeat."""

    def __init__(self, store, name, spec, heartbeat):
        self.store, self.name, self.heartbeat = store, name, heartbeat
        self.spec = {"state": "ready", "warmupLeftMs": 0, "seq": 0, **spec}
        self.task = asyncio.create_task(self.renew())

    async def renew(self):
        while True:
            self.spec = {**self.spec, "seq": self.spec["seq"] + 1}
            self.store.put("servers", self.name, self.spec)
            await asyncio.sleep(self.heartbeat)

    def remove(self):
        """Removes the entry without a word before, as some servers do that leave."""
        self.task.cancel()
        self.store.remove("servers", self.name)


class Host:
    """One host: its settings, filled in from the deploy file's template, and its process."""

    def __init__(self, folder, name, ports, values):
        self.name = name
        self.folder = folder
        self.listen, self.ready, self.peer, self.metrics = (f"127.0.0.1:{p}" for p in ports)
        self.values = values
        self.process = None

    async def start(self, seeds, first):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["edge"]
        values = {**self.values, "nodeName": self.name, "ip": "127.0.0.1", "bootstrap": first,
                  "listen.frontend": self.listen, "listen.readiness": self.ready,
                  "listen.controlPlane": self.peer, "seedNodes": seeds}
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(os.path.join(ROOT, role["template"])) as file:
            text = fill(file.read(), values)
        # Hosts of one machine can't share the port that the template fixes for metrics.
        text = text.replace('"127.0.0.1:9464"', json.dumps(self.metrics))
        with open(path, "w") as file:
            file.write(text)
        self.log = os.path.join(self.folder, f"{self.name}.log")
        run = role["run"].split()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, run[0]), *run[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "SISKINWHEEL_NODE_FILE": path})

    async def is_ready(self):
        text = f"GET /api/readyz HTTP/1.1\r\nHost: {self.ready}\r\nConnection: close\r\n\r\n"
        return (await wire.exchange(self.ready, text.encode(), 1)).status == 200

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


def fill(text, values):
    """Fills a template as the deploy page tells, as far as the project's template needs it."""
    import re

    def section(match):
        return match[2] if values.get(match[1]) is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(values[m[1]]), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m[1]]), text)


BOUNDS = {
    "bounds.revokeStrict": True, "bounds.revokeMs": 5000, "bounds.configApplyMs": 2500,
    "bounds.drainMs": 2500, "heartbeatMs": 1200, "bounds.graceS": 8,
    "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 52, "bounds.retryWindowS": 10,
    "limits.cpuQuota": 0.25,
}
ZONES = {"dakar-plateau": "dakar", "thies-nord": "thies", "saint-louis-ile": "saint-louis"}


async def start_hosts(folder, store, zones):
    """Starts a host for each zone named, all at once, and waits until all are ready. Each has an
    address of the store of its own."""
    ports = wire.free_ports(4 * len(zones))
    hosts = []
    for i, zone in enumerate(zones):
        name = f"edge-{zone}-{i + 1}"
        values = {**BOUNDS, "zone": zone, "zones": ZONES, "region": ZONES[zone],
                  "platform.addr": await store.address_for(name)}
        hosts.append(Host(folder, name, ports[4 * i:4 * i + 4], values))
    seeds = [host.peer for host in hosts[:3]]
    for host in hosts:
        await host.start(seeds, True)
    end = time.monotonic() + 15
    while not all([await host.is_ready() for host in hosts]):
        if time.monotonic() > end:
            raise RuntimeError("the hosts don't become ready")
        await asyncio.sleep(0.2)
    # The traffic of the sheet starts ten seconds after the machines; by then all know each other.
    await asyncio.sleep(4)
    return hosts


def run(main):
    """Runs a case with a temporary folder, and ends with its code: 2 if it couldn't run."""
    import sys
    import tempfile
    import traceback

    async def whole(folder):
        # Also when it takes too long: the hosts are stopped first.
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        try:
            return await main(folder)
        except BaseException:
            traceback.print_exc()
            return 2

    with tempfile.TemporaryDirectory() as folder, asyncio.Runner() as runner:
        code = runner.run(whole(folder))
        # Connections of stand-ins that are still open end with the process.
        runner.get_loop().set_exception_handler(lambda *_: None)
    sys.stdout.flush()
    os._exit(code)
