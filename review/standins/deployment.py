"""A small deployment like that of the site file `peinture-coop`: its configuration, servers and
traffic."""

import asyncio
import secrets
import time

import platform_standin as platform
import servers
import wire

# The hosts, and the servers of each service, by zone.
HOSTS = ["dakar-plateau"] * 3 + ["thies-nord"] + ["saint-louis-ile"] * 2
STAGE_ZONES = ["dakar-plateau"] * 2 + ["thies-nord"] * 2 + ["saint-louis-ile"]
ENGINE_ZONES = ["dakar-plateau", "thies-nord", "saint-louis-ile"] * 2
SEGMENTS = {
    "paie-membres": {"batch": 8, "itemMs": 26.0, "headroomMb": 9.6},
    "stock-peinture": {"batch": 14, "itemMs": 15.0, "headroomMb": 1.6},
    "planning-tournees": {"batch": 22, "itemMs": 9.4, "headroomMb": 0.25},
}
ENGINES = "modele-pinceau"
HEARTBEAT = 1.2
KEY = "9dnn2ctnfzs989anu6ws"
# A report of one stage, which runs once, and advice of three stages, which can be resumed.
ROUTES = {"rapport": (15.0, 1), "conseil": (20.0, 3)}


def config():
    stream = {"host": "pule25.example", "type": "streaming", "priority": 1, "service": ENGINES,
              "public": False, "sticky": True, "itlTargetMs": 400}
    phases = [
        {"service": "paie-membres", "after": [], "length": 8000},
        {"service": "stock-peinture", "after": [0], "length": 60000},
        {"service": "planning-tournees", "after": [1], "length": 6000},
    ]
    return {
        "version": 7,
        "routes": [
            {**stream, "name": "rapport-etat", "pathPrefix": "/rapport/", "timeoutMs": 15000,
             "sloMs": 1700, "attempts": 1, "resumable": False, "phases": phases[:1]},
            {**stream, "name": "conseil-teinte", "pathPrefix": "/conseil/", "timeoutMs": 20000,
             "sloMs": 2200, "attempts": 2, "resumable": True, "phases": phases},
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConns": 270, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": 64, "kvCapacity": 584593, "kvBytes": 18432, "linkMbps": 370000.0,
                 "moves": True, "backups": True, "stride": 5, "most": 12, "pinMs": 4000.0,
                 "holdMs": 2000.0, "handleTtlS": 5.0, "models": [{"name": "m"}]}},
            *({"name": name, "healthPath": "/healthz", "maxConns": 270, "protocol": "h1",
               "tls": False, "segments": segments(name)} for name in SEGMENTS),
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "bozi300", "apiKeys": [KEY], "priority": 1}],
    }


def segments(name):
    return {"slots": 1, "queue": 2, "callMs": 240.0, "handleTtlS": 4.0, "linkMbps": 10000,
            **SEGMENTS[name]}


class Deployment:
    """The store, the servers and the hosts."""

    def __init__(self, folder, record, versions=("v1",)):
        self.folder, self.record = folder, record
        # The software versions of the model servers, in turn.
        self.versions = versions
        self.results = servers.Results()
        self.stages, self.engines, self.entries, self.hosts = [], [], [], []

    async def start_servers(self):
        self.store = await platform.Store().start()
        self.store.put("config", "main", config())
        for service in SEGMENTS:
            for i, zone in enumerate(STAGE_ZONES):
                server = servers.StageServer(
                    f"i-{service}-{i}", self.results, segments(service), self.record)
                self.stages.append(await server.start())
                self.register(server, service, zone, {"slots": 1})
        for i, zone in enumerate(ENGINE_ZONES):
            server = await servers.Engine(f"i-engine-{i}", self.results, self.record).start()
            server.version = self.versions[i // len(platform.ZONES) % len(self.versions)]
            self.engines.append(server)
            models = [{"name": "m", "version": 1, "adapters": []}]
            more = {"slots": 64, "phase": "hybrid", "models": models, "version": server.version}
            self.register(server, ENGINES, zone, more)

    def register(self, server, service, zone, more):
        spec = {"service": service, "addr": server.addr, "zone": zone, "version": "v1",
                "born": servers.BORN, **more}
        entry = platform.Registration(self.store, server.name, spec, HEARTBEAT)
        self.entries.append(entry)

    async def start_hosts(self):
        self.hosts = await platform.start_hosts(self.folder, self.store, HOSTS)

    async def stop(self):
        for host in self.hosts:
            await host.stop()

    async def traffic(self, draw, length, per_second, routes=tuple(ROUTES)):
        """Plays clients for some time. Returns the answers by `Attempt-Id`."""
        begun, sent = time.monotonic(), {}
        while time.monotonic() - begun < length:
            number = secrets.token_hex(8)
            request = self.request(number, draw.choice(self.hosts), draw.choice(routes), draw)
            sent[number] = asyncio.create_task(request)
            await asyncio.sleep(draw.expovariate(per_second))
        return dict(zip(sent, await asyncio.gather(*sent.values())))

    async def request(self, number, host, route, draw):
        """Sends a request once, and records its answer."""
        within, stages = ROUTES[route]
        counts = [draw.randint(1, 2) for _ in range(stages)]
        text = (
            f"POST /{route}/2f HTTP/1.1\r\nHost: pule25.example\r\nAttempt-Id: {number}\r\n"
            f"Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{number}:660\r\n"
            f"Deadline-Ms: {within * 1e3:.0f}\r\nApi-Key: {KEY}\r\n"
            f"Chunk-Count: {','.join(map(str, counts))}\r\nChunk-Key: {secrets.token_hex(6)}\r\n"
            "Connection: close\r\nContent-Length: 6\r\n\r\nprompt"
        )
        self.record(f"client sends {number} to {host.name}, /{route}/, pieces {counts}")
        got = await wire.exchange(host.listen, text.encode(), within)
        self.record(f"client gets for {number}: {got.status}, "
                    f"{'whole' if got.whole else 'not whole'}, {got.body[:120]!r}")
        return got


def served(answers):
    return sum(got.status == 200 and got.whole for got in answers.values())


def end(record, answers, extra):
    """Writes the summary. Returns the code of the case."""
    summary = (f"{len(answers)} requests, {served(answers)} served whole; {extra}; "
               f"{len(record.breaks)} times a rule was broken")
    record(summary)
    print(summary)
    if served(answers) < len(answers) / 2:
        return 2
    return 1 if record.breaks else 0
