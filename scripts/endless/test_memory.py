"""The gateway's peak memory while all replicas of a site but one send bytes
without end; see docs/incidents/endless-memory.md."""

import asyncio
import os
import socket
import tempfile
import time
import unittest

from endless.replicas import PIECE_BYTES, EndlessReplica, Gate, SoundReplica
from loopback.store import Store
from soak.fleet import Vm
from soak.observer import Observer
from soak.site import reserve_network

# Settable, to measure an earlier build.
PROGRAM = os.environ.get("PROGRAM", "build/packages/daemon/carawaypond")
HOST = "h.endless.example"
MEMORY_MB = 160  # of the smallest VM that a site has
MAX_DESCRIPTORS = 4_100
SERVICES = 20
REPLICAS_OF_SERVICE = 2
CONNECTIONS_OF_REPLICA = 16  # the most that one VM opens to one replica
CONNECTIONS = SERVICES * REPLICAS_OF_SERVICE * CONNECTIONS_OF_REPLICA
ESTABLISHED = "01"  # in /proc/net/tcp
SOUND_CALLERS = 4
SLOW_CALLERS = 1_000
STORE_PIECE_BYTES = 1 << 20
MAX_BODY_BYTES = 256 << 10  # of a caller's request, as configured
MAX_HEAD_BYTES = 16 << 10
MANY_FIELDS_OF_CALLER = 3_900
SOUND_BODY = b"r" * (32 << 10)
TIMEOUT_MS = 10_000
LOAD_S = 5.0
HEARTBEAT_S = 1.0
OK = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: 3e1b.07\r\n"
ENDLESS_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = (b"POST /sound/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: slow\r\n"
           % HOST.encode())
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"a" * PIECE_BYTES)
FILLER = b"a" * PIECE_BYTES
MANY_FIELDS = b"a:\r\n" * 15_000  # costs far more memory parsed than as sent


def route(prefix, service):
    return {"Name": f"r-{service}", "Host": HOST, "PathPrefix": prefix,
            "Kind": "safe", "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 500,
            "Priority": 1, "MaxAttempts": 2, "Service": service}


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        line = next(each for each in status if each.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def established(addresses):
    """Returns how many connections to these addresses are open on this machine;
    only the gateway opens any."""
    wanted = {"%s:%04X" % (socket.inet_aton(host)[::-1].hex().upper(), int(port))
              for host, port in (each.split(":") for each in addresses)}
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table]
    return sum(1 for row in rows if row[2] in wanted and row[3] == ESTABLISHED)


class EndlessSite:
    """A gateway, the store, endless replicas and a sound one."""

    def __init__(self, folder, head, piece):
        self.prefix, self.reservation = reserve_network()
        self.store = Store(1)
        self.gate = Gate(CONNECTIONS)
        self.busy = 0  # connections to endless replicas as they began to send
        self.endless = [
            EndlessReplica(f"i-{service}-{number}", f"s{service}", head, piece,
                           self.gate)
            for service in range(SERVICES)
            for number in range(REPLICAS_OF_SERVICE)]
        self.sound = SoundReplica("i-sound", "sound", SOUND_BODY)
        self.observer = Observer()
        self.folder = folder
        self.vm = None
        self.sequence = 0
        self.sound_answers = []

    async def start(self):
        await self.store.start(f"{self.prefix}.3.1")
        for each in self.endless + [self.sound]:
            await each.start(f"{self.prefix}.2.1")
        services = {each.service for each in self.endless + [self.sound]}
        self.store.put("config", "main", {
            "Version": 1,
            "Routes": [route(f"/{each}/", each) for each in sorted(services)],
            "Services": [{"Name": each, "MaxConns": 1_000}
                         for each in sorted(services)],
            "Limits": {"MaxHeaderBytes": MAX_HEAD_BYTES,
                       "MaxBodyBytes": MAX_BODY_BYTES,
                       "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000}})
        self._write_entries()
        address = "%s:%d" % self.store.runner.addresses[0][:2]
        self.vm = Vm(0, self.prefix, self.folder, PROGRAM, address,
                     self.observer, memory_mb=MEMORY_MB,
                     max_descriptors=MAX_DESCRIPTORS)
        self.vm.start()
        await self._await_ready()

    def _write_entries(self):
        self.sequence += 1
        for each in self.endless + [self.sound]:
            self.store.put("servers", each.instance, {
                "Service": each.service, "Address": each.address,
                "Zone": "umea-a", "Version": "v1", "Slots": 100,
                "State": "ready", "WarmupLeftMs": 0,
                "Sequence": self.sequence})

    async def _await_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                if await self._ask("sound", "ready") == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise AssertionError("the gateway did not become ready")

    async def _ask(self, service, request_id):
        """Returns the status, or None if there is no whole answer."""
        host, port = self.vm.address().split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write((f"GET /{service}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"X-Request-Id: {request_id}\r\n"
                          f"X-Deadline-Ms: {TIMEOUT_MS}\r\n"
                          "Connection: close\r\n\r\n").encode())
            answer = await asyncio.wait_for(reader.read(-1), 2 * TIMEOUT_MS / 1000)
            return int(answer.split(b" ")[1]) if answer else None
        finally:
            writer.close()

    async def _call(self, service, name, answers, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            try:
                answers.append(await self._ask(service, f"{name}-{number}"))
            except (OSError, asyncio.TimeoutError):
                answers.append(None)
            await asyncio.sleep(0.02)

    async def _send_heartbeats(self, end):
        while time.monotonic() < end:
            self._write_entries()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_slowly(self, text, at, end):
        """Sends a request that does not end, and waits for the answer to it."""
        while time.monotonic() < end:
            host, port = self.vm.address(at).split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                for begin in range(0, len(text), PIECE_BYTES):
                    writer.write(text[begin:begin + PIECE_BYTES])
                    await writer.drain()
                    await asyncio.sleep(0)
                await asyncio.wait_for(reader.read(1), end - time.monotonic())
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                writer.close()

    async def _load(self, calls, end):
        """Runs the calls beside those of the sound service, until the last of
        these is answered."""
        calls.append(self._send_heartbeats(end))
        background = [asyncio.ensure_future(each) for each in calls]
        await asyncio.gather(*[
            self._call("sound", f"w{number}", self.sound_answers, end)
            for number in range(SOUND_CALLERS)])
        for each in background:
            each.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    async def _count_busy(self):
        await self.gate.opened.wait()
        self.busy = established([each.address for each in self.endless])

    async def load_replicas(self):
        end = time.monotonic() + LOAD_S
        counting = asyncio.ensure_future(self._count_busy())
        await self._load([
            self._call(f"s{service}", f"e{service}-{number}", [], end)
            for service in range(SERVICES)
            for number in range(REPLICAS_OF_SERVICE * CONNECTIONS_OF_REPLICA)],
            end)
        counting.cancel()

    async def load_callers(self, text, port="Front"):
        end = time.monotonic() + LOAD_S
        await self._load([self._send_slowly(text, port, end)
                          for _ in range(SLOW_CALLERS)], end)

    async def stop(self):
        await self.vm.shut_down()
        for each in self.endless + [self.sound]:
            await each.stop()
        await self.store.stop()
        self.reservation.close()

    async def load_store(self):
        """The store's address answers all calls with bytes without end."""
        host, port = self.store.runner.addresses[0][:2]
        await self.store.stop()
        chunk = b"%x\r\n%s\r\n" % (STORE_PIECE_BYTES, b"[" * STORE_PIECE_BYTES)
        endless = EndlessReplica("store", "store", ENDLESS_CHUNKS, chunk, Gate(1))
        await endless.start(host, port)
        try:
            await self._load([], time.monotonic() + LOAD_S)
        finally:
            await endless.stop()


async def play(folder, head, piece, load):
    site = EndlessSite(folder, head, piece)
    try:
        await site.start()
        await load(site)
        peak = peak_memory_mb(site.vm.child.pid)
        return peak, site.busy, site.sound_answers, site.observer.violations
    finally:
        await site.stop()


class MemoryTest(unittest.TestCase):
    """LOST: bytes without end ended the process of other callers' requests."""

    def check(self, head, piece):
        """All replicas are endless, and all connections to them busy."""
        busy = self.check_load(head, piece, EndlessSite.load_replicas)
        self.assertEqual(busy, CONNECTIONS)

    def check_callers(self, text, port="Front"):
        """Many callers send a request that does not end."""
        self.check_load(OK, FILLER, lambda site: site.load_callers(text, port))

    def check_load(self, head, piece, load):
        with tempfile.TemporaryDirectory(prefix="endless-") as folder:
            peak, busy, answers, violations = asyncio.run(
                play(folder, head, piece, load))
        served = sum(1 for each in answers if each == 200)
        print(f"{self._testMethodName}: peak {peak:.0f} MB of {MEMORY_MB}, "
              f"{busy} connections to endless replicas, {served} of {len(answers)} other "
              "requests served", flush=True)
        self.assertEqual(violations, [])
        self.assertLess(peak, MEMORY_MB)
        self.assertGreater(len(answers), 0)
        self.assertEqual(served, len(answers))
        return busy

    def test_head_of_one_field(self):
        self.check(OK + b"X-Long: ", FILLER)

    def test_head_of_many_fields(self):
        self.check(OK, b"X-More: and more\r\n" * (PIECE_BYTES // 18))

    def test_body_without_length(self):
        self.check(OK + b"\r\n", FILLER)

    def test_body_with_length(self):
        self.check(OK + b"Content-Length: 2000000\r\n\r\n", FILLER)

    def test_body_with_huge_length(self):
        self.check(OK + b"Content-Length: 1000000000000\r\n\r\n", FILLER)

    def test_chunked_body(self):
        self.check(OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK)

    def test_body_after_many_fields(self):
        self.check(OK + MANY_FIELDS + b"\r\n", FILLER)

    def test_store(self):
        self.check_load(OK, FILLER, EndlessSite.load_store)

    def test_bodies_of_callers(self):
        self.check_callers(REQUEST + b"Content-Length: %d\r\n\r\n" %
                           MAX_BODY_BYTES + b"a" * (MAX_BODY_BYTES - 1))

    def test_bodies_at_the_directory(self):
        self.check_callers(REQUEST + b"Content-Length: %d\r\n\r\n" %
                           MAX_BODY_BYTES + b"a" * (MAX_BODY_BYTES - 1),
                           "directory")

    def test_heads_of_callers(self):
        self.check_callers(REQUEST + b"a:\r\n" * MANY_FIELDS_OF_CALLER +
                           b"Content-Length: 9\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
