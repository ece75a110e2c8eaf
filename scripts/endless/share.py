"""How much of a gateway's processor time is left for the other service, while
all replicas of one service answer without end in small pieces and many callers
wait for them. Prints one table; see docs/incidents/processor-share.md.

Usage: PYTHONPATH=scripts:standins python3 -m endless.share [FORM ...]
"""

import asyncio
import multiprocessing
import os
import sys
import tempfile
import time

from endless.replicas import SoundReplica
from endless.test_memory import (HOST, MAX_BODY_BYTES, MAX_DESCRIPTORS,
                                 MAX_HEAD_BYTES, MEMORY_MB, PROGRAM,
                                 peak_memory_mb, route)
from loopback.store import Store
from soak.fleet import Vm
from soak.observer import Observer
from soak.site import reserve_network

FLOODED = "flooded"
SOUND = "sound"
FLOODED_REPLICAS = 40
SOUND_REPLICAS = 2
CALLERS = int(os.environ.get("CALLERS", "1000"))
SOUND_CALLERS = 4
LOAD_S = float(os.environ.get("LOAD_S", "8"))
HEARTBEAT_S = 1.0
CALL_PAUSE_S = 0.1
PROBE_PAUSE_S = 0.05
TIMEOUT_S = 10.0
OBJECTIVE_S = 0.5  # TargetLatencyMs of the routes
READY_BOUND_S = 0.1
MIN_SERVED = 0.95
MAX_MEMORY_SHARE = 0.5
PIECE_BYTES = 64 << 10
SOUND_BODY = b"r" * 1_000
OK = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b.07\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
METRICS_PORT = 7395
REQUEST = b"GET /%s/1 HTTP/1.1\r\nHost: %s\r\n" % (FLOODED.encode(),
                                                   HOST.encode())


def repeat(text):
    return text * (PIECE_BYTES // len(text))


# What a replica sends: once, then without end.
ANSWERS = {
    "tiny chunks": (CHUNKED, repeat(b"1\r\na\r\n")),
    "chunk extensions": (CHUNKED, repeat(b"1;a=b;c=d\r\na\r\n")),
    "interim answers": (b"", repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "header after header": (OK, repeat(b"a:\r\n")),
    "answers a byte at a time": (OK + b"Content-Length: 1000000\r\n\r\n",
                                 b"a"),
    "heads of 15,000 fields": (OK + b"a:\r\n" * 15_000 + b"\r\n",
                               b"a" * PIECE_BYTES),
}
# What a caller sends without waiting for answers, and in which pieces.
CALLS = {
    "pipelined requests": ((REQUEST + b"X-Request-Id: p\r\n\r\n") * 100, None),
    "a byte at a time": (REQUEST + b"X-Request-Id: b\r\nContent-Length: 100000"
                         b"\r\n\r\n" + b"a" * 100_000, 1),
    "tiny chunks of callers": (
        REQUEST.replace(b"GET", b"POST") + b"X-Request-Id: c\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + repeat(b"1\r\na\r\n"), None),
}


class FloodingReplica:
    """Answers each request with bytes without end, as fast as they are read."""

    def __init__(self, head, piece):
        self.head = head
        self.piece = piece

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while True:
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def ask(address, path, request_id):
    """Returns the status, or None without an answer, and the text."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write((f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"X-Request-Id: {request_id}\r\n"
                      f"X-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n"
                      "Connection: close\r\n\r\n").encode())
        answer = await asyncio.wait_for(reader.read(-1), 2 * TIMEOUT_S)
        return int(answer.split(b" ")[1]) if answer else None, answer
    finally:
        writer.close()


async def call_flooded(address, name, end):
    number = 0
    while time.monotonic() < end:
        number += 1
        try:
            await ask(address, f"/{FLOODED}/1", f"{name}-{number}")
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(CALL_PAUSE_S)


async def send_flood(address, text, piece, end):
    """Sends `text` again and again on new connections."""
    host, port = address.rsplit(":", 1)
    step = piece or len(text)
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            reading = asyncio.ensure_future(reader.read(-1))
            for begin in range(0, len(text), step):
                if reading.done() or time.monotonic() > end:
                    break
                writer.write(text[begin:begin + step])
                await writer.drain()
                await asyncio.sleep(0)
            await asyncio.wait([reading], timeout=1)
            reading.cancel()
            writer.close()
        except OSError:
            await asyncio.sleep(CALL_PAUSE_S)


async def flood(pipe, network, form):
    """The flooded service's replicas and callers, in a process of their own."""
    host = f"{network}.2.1"
    addresses = []
    for number in range(FLOODED_REPLICAS):
        if form in ANSWERS:
            serve = FloodingReplica(*ANSWERS[form]).serve
            server = await asyncio.start_server(serve, host, 0, backlog=200)
            addresses.append("%s:%d" % server.sockets[0].getsockname()[:2])
        else:
            sound = SoundReplica(f"i-{number}", FLOODED, SOUND_BODY)
            await sound.start(host)
            addresses.append(sound.address)
    pipe.send(addresses)
    loop = asyncio.get_running_loop()
    address = await loop.run_in_executor(None, pipe.recv)
    end = time.monotonic() + LOAD_S
    if form in CALLS:
        calls = [send_flood(address, *CALLS[form], end)
                 for _ in range(CALLERS)]
    else:
        calls = [call_flooded(address, f"e{number}", end)
                 for number in range(CALLERS)]
    tasks = [asyncio.ensure_future(each) for each in calls]
    await asyncio.wait(tasks, timeout=LOAD_S + 1)
    os._exit(0)  # the replicas' connections end with the process


def run_flood(pipe, network, form):
    asyncio.run(flood(pipe, network, form))


class ShareSite:
    """A gateway, the store, a sound service and a flooded one."""

    def __init__(self, folder, form):
        self.folder = folder
        self.network, self.reservation = reserve_network()
        self.store = Store(1)
        self.sound = [SoundReplica(f"i-sound-{number}", SOUND, SOUND_BODY)
                      for number in range(SOUND_REPLICAS)]
        self.observer = Observer()
        self.vm = None
        self.sequence = 0
        self.entries = []
        self.answers = []  # (status, seconds) of the sound service
        self.ready_s = []
        self.pipe, far_end = multiprocessing.Pipe()
        self.child = multiprocessing.Process(
            target=run_flood, args=(far_end, self.network, form), daemon=True)

    async def start(self):
        self.child.start()
        flooded = await asyncio.get_running_loop().run_in_executor(
            None, self.pipe.recv)
        await self.store.start(f"{self.network}.3.1")
        for each in self.sound:
            await each.start(f"{self.network}.2.1")
        self.entries = [(f"i-{number}", FLOODED, address)
                        for number, address in enumerate(flooded)]
        self.entries += [(each.instance, SOUND, each.address)
                         for each in self.sound]
        self.store.put("config", "main", {
            "Version": 1,
            "Routes": [route(f"/{each}/", each) for each in (FLOODED, SOUND)],
            "Services": [{"Name": each, "MaxConns": 1_000}
                         for each in (FLOODED, SOUND)],
            "Limits": {"MaxHeaderBytes": MAX_HEAD_BYTES,
                       "MaxBodyBytes": MAX_BODY_BYTES,
                       "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000}})
        self._write_entries()
        address = "%s:%d" % self.store.runner.addresses[0][:2]
        self.vm = Vm(0, self.network, self.folder, PROGRAM, address,
                     self.observer, memory_mb=MEMORY_MB,
                     max_descriptors=MAX_DESCRIPTORS)
        self.vm.start()
        await self._await_ready()

    def _write_entries(self):
        self.sequence += 1
        for instance, service, address in self.entries:
            self.store.put("servers", instance, {
                "Service": service, "Address": address, "Zone": "umea-a",
                "Version": "v1", "Slots": 100, "State": "ready",
                "WarmupLeftMs": 0, "Sequence": self.sequence})

    async def _await_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                if (await ask(self.vm.address(), f"/{SOUND}/1", "r"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise AssertionError("the gateway did not become ready")

    async def _call_sound(self, name, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            began = time.monotonic()
            try:
                status, _ = await ask(self.vm.address(), f"/{SOUND}/1",
                                      f"{name}-{number}")
            except (OSError, asyncio.TimeoutError):
                status = None
            self.answers.append((status, time.monotonic() - began))
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _probe_ready(self, end):
        while time.monotonic() < end:
            began = time.monotonic()
            try:
                await ask(self.vm.address("Ready"), "/ready", "r")
            except (OSError, asyncio.TimeoutError):
                pass
            self.ready_s.append(time.monotonic() - began)
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _send_heartbeats(self):
        while True:
            self._write_entries()
            await asyncio.sleep(HEARTBEAT_S)

    async def load(self):
        self.pipe.send(self.vm.address())
        end = time.monotonic() + LOAD_S
        beating = asyncio.ensure_future(self._send_heartbeats())
        await asyncio.gather(
            self._probe_ready(end),
            *[self._call_sound(f"w{number}", end)
              for number in range(SOUND_CALLERS)])
        beating.cancel()

    async def over_work(self):
        """Returns the metrics of connections closed for too much work."""
        _, text = await ask(f"{self.vm.ip}:{METRICS_PORT}", "/metrics", "m")
        return sum(int(line.split(b" ")[1]) for line in text.split(b"\n")
                   if b"_over_work_total " in line)

    async def stop(self):
        self.child.terminate()
        self.child.join()
        if self.vm:
            await self.vm.shut_down()
        for each in self.sound:
            await each.stop()
        await self.store.stop()
        self.reservation.close()


async def play(folder, form):
    site = ShareSite(folder, form)
    try:
        await site.start()
        await site.load()
        served = sum(1 for status, seconds in site.answers
                     if status == 200 and seconds <= OBJECTIVE_S)
        ended = await site.over_work()
        return (served, len(site.answers), max(site.ready_s),
                peak_memory_mb(site.vm.child.pid), ended)
    finally:
        await site.stop()


def measure(form):
    """Plays a form, prints its row, and returns whether it holds."""
    with tempfile.TemporaryDirectory(prefix="endless-") as folder:
        served, asked, ready_s, peak, ended = asyncio.run(play(folder, form))
    holds = (0 < asked and served >= MIN_SERVED * asked
             and ready_s <= READY_BOUND_S and peak < MAX_MEMORY_SHARE * MEMORY_MB)
    print(f"| {form} | {served} of {asked} | {1000 * ready_s:.0f} | {peak:.0f} "
          f"| {ended} | {'holds' if holds else 'FAILS'} |", flush=True)
    return holds


def main(forms):
    unknown = [each for each in forms if each not in {**ANSWERS, **CALLS}]
    if unknown:
        sys.exit("unknown form: " + ", ".join(unknown))
    print(f"{CALLERS} callers, {LOAD_S:.0f} s each\n\n"
          "| form | other requests served within the objective | readiness, "
          "longest, ms | peak, MB | closed for work | |\n|---|---|---|---|---|"
          "---|", flush=True)
    results = [measure(form) for form in forms or [*ANSWERS, *CALLS]]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
