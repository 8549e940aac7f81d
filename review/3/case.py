"""The host that reads the store for its zone is cut off from the store for a moment; just after it is
back, servers leave whose entries are removed without a word before."""

import asyncio
import os
import random
import secrets
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

import deployment
import platform_standin as platform
import servers
import wire

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "dakar-plateau"
SERVICE = "registre-chantiers"
# The dose of the site file: `core_cut` of one machine for 4.0 s, here that which read the list last.
CUT_FOR, EACH, CYCLES = 4.5, 12.0, 7
# How long after the cut a server leaves.
LEAVES_AFTER = 0.15
# `drainMs`, and how much longer a server serves that leaves.
DRAIN, LONGER = 2.5, 0.4
WORK, DEADLINE = 0.015, 1.0
# More than twice the requests of the sheet for this service, all the time.
PER_SECOND = 28.0


def config():
    found = deployment.config()
    found["routes"] = [
        {"name": "validation-chantier", "host": "jepu9.example", "pathPrefix": "/validation/",
         "type": "unsafe", "timeoutMs": 1000, "sloMs": 200, "priority": 2, "service": SERVICE,
         "attempts": 1, "public": False, "sticky": False, "resumable": False}]
    found["services"] = [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 48,
                          "protocol": "h1", "tls": False}]
    return found


class Case:
    def __init__(self, folder):
        self.folder = folder
        self.record = servers.Record(os.path.join(HERE, "record.txt"))
        self.servers, self.entries = [], []
        # By server: when the store accepted that it is gone.
        self.gone = {}
        # By host: when it was cut off, and when that ended.
        self.cuts = {}
        # By request: the host that took it, when it was sent, and the answer.
        self.sent = {}

    async def add_server(self, zone):
        name = f"i-registre-{len(self.servers)}"
        server = await servers.PlainServer(name, WORK, self.record).start()
        spec = {"service": SERVICE, "addr": server.addr, "zone": zone, "version": "v1", "slots": 6,
                "born": servers.BORN}
        self.servers.append(server)
        self.entries.append(platform.Registration(self.store, name, spec, 1.2))

    async def replace(self, number):
        """A server leaves whose entry is removed; it goes on serving for a time, and exits."""
        self.entries[number].remove()
        server = self.servers[number]
        self.gone[server.name] = time.monotonic()
        self.record(f"the entry of {server.name} is removed")
        await asyncio.sleep(DRAIN + LONGER)
        await server.exit()
        self.record(f"server {server.name} exits")

    async def cut(self, leaves):
        """One cut of the host that reads the store for its zone, and what leaves after it."""
        zone = [host.name for host in self.hosts if host.values["zone"] == ZONE]
        reader = max(zone, key=lambda name: self.store.asked.get(name, 0))
        self.store.listed = lambda host: self.record(f"{host} lists the servers")
        # The new one starts first.
        await self.add_server(ZONE)
        if TROUBLE:
            self.record(f"{reader} is cut off from the store")
            self.store.cut.add(reader)
        at = time.monotonic()
        await asyncio.sleep(CUT_FOR)
        self.store.cut.discard(reader)
        if TROUBLE:
            self.cuts.setdefault(reader, []).append((at, time.monotonic()))
            self.record(f"{reader} reaches the store again")
        await asyncio.sleep(LEAVES_AFTER)
        await self.replace(leaves)

    async def request(self, host, draw):
        number = secrets.token_hex(8)
        text = (
            f"POST /validation/2f HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: {number}\r\n"
            f"Deadline-Ms: {DEADLINE * 1e3:.0f}\r\nApi-Key: {deployment.KEY}\r\n"
            "Connection: close\r\nContent-Length: 8\r\n\r\nsign-off")
        at = time.monotonic()
        self.record(f"client sends {number} to {host.name}")
        got = await wire.exchange(host.listen, text.encode(), DEADLINE + 0.5)
        self.record(f"client gets for {number}: {got.status}, {got.body[:60]!r}")
        self.sent[number] = (host.name, at, got)

    def in_touch(self, host, at):
        """Whether a host reached the store for the whole `stableWindowMs` before."""
        return all(at < begun or at > ended + 4.0 for begun, ended in self.cuts.get(host, []))

    def judge(self):
        for server in self.servers:
            gone = self.gone.get(server.name)
            for number, at in server.arrived.items() if gone else []:
                host, _, got = self.sent[number]
                late = at - gone
                if late > DRAIN and self.in_touch(host, at) and self.in_touch(host, gone):
                    self.record.broken("DRAIN", (
                        f"request {number} reaches {server.name} from {host}, which is in touch, "
                        f"{late * 1e3:.0f} ms after the store had accepted that it is gone; the "
                        f"client gets {got.status or 'nothing'}"))

    async def run(self):
        self.store = await platform.Store().start()
        self.store.put("config", "main", config())
        for zone in platform.ZONES:
            await self.add_server(zone)
        self.hosts = await platform.start_hosts(self.folder, self.store, deployment.HOSTS)
        try:
            draw, tasks = random.Random(2), []
            begun, cycles = time.monotonic(), 0
            while time.monotonic() - begun < 3 + EACH * CYCLES:
                tasks.append(asyncio.create_task(self.request(draw.choice(self.hosts), draw)))
                await asyncio.sleep(draw.expovariate(PER_SECOND))
                if cycles < CYCLES and time.monotonic() - begun > 3 + EACH * cycles:
                    # The server of the zone: the first, and then each time the newest.
                    leaves = 0 if cycles == 0 else len(self.servers) - 1
                    tasks.append(asyncio.create_task(self.cut(leaves)))
                    cycles += 1
            await asyncio.gather(*tasks)
        finally:
            for host in self.hosts:
                await host.stop()
        self.judge()
        good = sum(got.status == 200 and got.whole for _, _, got in self.sent.values())
        summary = (f"{len(self.sent)} requests, {good} answered with success; "
                   f"{len(self.record.breaks)} times a rule was broken")
        self.record(summary)
        print(summary)
        if good < len(self.sent) / 2:
            return 2
        return 1 if self.record.breaks else 0


async def main(folder):
    return await Case(folder).run()


if __name__ == "__main__":
    platform.run(main)
