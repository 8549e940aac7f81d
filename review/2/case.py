"""All hosts lose power at once while model servers of two software versions serve; clients take their
streams up once all hosts are in touch again."""

import asyncio
import os
import random
import secrets
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

import deployment
import platform_standin as platform
import servers
import wire

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The hosts are without power for the longest `for_s` of `herd_kill` in the site file.
POWER_AT, POWER_LOST = 20.0, 2.0
# `stableWindowMs`: so long after the hosts are back, they are in touch.
IN_TOUCH = 4.0
# The route's objective and pause: a client gives up after a gap of two seconds, four times the
# objective or eight times the pause, whichever is longest.
GAP = max(2.0, 4 * 2.2, 8 * 0.4)
DEADLINE = 20.0
TRIES = 4
LENGTH, PER_SECOND = 50.0, 8.9


class Stream:
    """A client's stream, over all its tries."""

    def __init__(self, first):
        self.first = first
        self.begun = time.monotonic()
        self.last = 0
        self.ended = False
        # When it was taken up, and whether it went on then.
        self.tries = []

    def left(self):
        return self.begun + DEADLINE - time.monotonic()


async def read(stream, way, number):
    """One try of a stream. Returns the status, and for how long the client is to wait."""
    resumed = ""
    if stream.last:
        resumed = f"Last-Event-Id: {stream.last}\r\nResumes: {stream.first}\r\n"
    text = (
        f"POST /conseil/2f HTTP/1.1\r\nHost: pule25.example\r\nAttempt-Id: {number}\r\n"
        f"Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{stream.first}:660\r\n"
        f"Deadline-Ms: {stream.left() * 1e3:.0f}\r\nApi-Key: {deployment.KEY}\r\n{resumed}"
        f"Chunk-Count: 1,1,1\r\nChunk-Key: {stream.first[:12]}\r\n"
        "Connection: close\r\nContent-Length: 6\r\n\r\nprompt"
    )
    writer = None
    try:
        async with asyncio.timeout(stream.left()):
            host, port = way.addr.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(text.encode())
            head = wire.Answer(await asyncio.wait_for(wire.read_head(reader), GAP))
            if head.status != 200:
                return head.status, float(head.get("retry-after") or 0.2)
            while True:
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), GAP), 16)
                chunk = await asyncio.wait_for(reader.readexactly(size + 2), GAP)
                if size == 0:
                    stream.ended = True
                    return 200, 0
                for event in chunk[:-2].split(b"\n\n"):
                    if event.startswith(b"id: "):
                        stream.last = int(event.split(b"\n")[0][4:])
    except TimeoutError:
        return "silent", 0
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return "broken", 0.2
    finally:
        if writer:
            writer.close()


async def client(ways, record, draw):
    stream = Stream(secrets.token_hex(8))
    number = stream.first
    for _ in range(TRIES):
        before, at = stream.last, time.monotonic()
        record(f"client sends {number}" + (f", resumes {stream.first} after event {before}"
                                           if before else ""))
        status, wait = await read(stream, draw.choice(ways), number)
        record(f"client gets for {number}: {status}, events {before + 1} to {stream.last}"
               + (", the end" if stream.ended else ""))
        if before:
            stream.tries.append((at, stream.last > before or stream.ended))
        # A stream without an event has nothing to be taken up.
        if stream.ended or not stream.last or stream.left() < 0.5:
            break
        await asyncio.sleep(min(wait, stream.left() / 3))
        number = secrets.token_hex(8)
    return stream


async def lose_power(users, ways, record):
    """Returns when all hosts are in touch again."""
    record("all hosts lose power")
    for way in ways:
        way.cut()
    for host in users.hosts:
        host.signal(signal.SIGKILL)
    await asyncio.sleep(POWER_LOST)
    for host, way in zip(users.hosts, ways):
        await host.process.wait()
        await host.start([h.peer for h in users.hosts[:3]], False)
        way.heal()
    while not all([await host.is_ready() for host in users.hosts]):
        await asyncio.sleep(0.1)
    record("all hosts are back and ready")
    await asyncio.sleep(IN_TOUCH)
    record("all hosts are in touch")
    return time.monotonic()


async def main(folder):
    record = servers.Record(os.path.join(HERE, "record.txt"))
    users = deployment.Deployment(folder, record, ("v1", "v2"))
    await users.start_servers()
    for engine in users.engines:
        engine.first_token, engine.events, engine.pause = 0.2, 60, 0.1
    try:
        await users.start_hosts()
        ways = [await wire.Way(host.listen).start() for host in users.hosts]
        draw, sent = random.Random(2), []
        begun, power = time.monotonic(), None
        while time.monotonic() - begun < LENGTH:
            sent.append(asyncio.create_task(client(ways, record, draw)))
            await asyncio.sleep(draw.expovariate(PER_SECOND))
            if TROUBLE and power is None and time.monotonic() - begun > POWER_AT:
                power = asyncio.create_task(lose_power(users, ways, record))
        streams = await asyncio.gather(*sent)
        in_touch = await power if power else begun
    finally:
        await users.stop()
    new = [stream for stream in streams if stream.begun > in_touch]
    begin = sum(stream.last > 0 for stream in new) / len(new)
    taken = [[ok for at, ok in stream.tries if at > in_touch] for stream in streams]
    taken = [any(tries) for tries in taken if tries]
    share = sum(taken) / len(taken) if taken else 1.0
    extra = (f"in touch, {len(new)} new streams, of which {begin:.2f} begin, and {len(taken)} that "
             f"are taken up, of which {share:.2f} go on")
    if len(taken) >= 12 and share < begin / 2:
        record.broken("LOST", extra)
    record(extra)
    print(f"{len(streams)} streams, {sum(s.ended for s in streams)} whole; {extra}; "
          f"{len(record.breaks)} times a rule was broken")
    if begin < 0.5 or (TROUBLE and len(taken) < 12):
        return 2
    return 1 if record.breaks else 0


if __name__ == "__main__":
    platform.run(main)
