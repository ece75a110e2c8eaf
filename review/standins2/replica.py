"""A replica: takes requests on kept connections, works on them in slots, queues
a few more, signs its answers, and writes its entry to the store."""

import asyncio
import hashlib
import random
import time

from . import wire

RECORD_BYTES = 16
HEARTBEAT_S = 1.2


def sign(instance, request_id):
    text = f"{instance}|{request_id}".encode()
    return f"{instance}.{hashlib.sha256(text).hexdigest()[:12]}"


class Replica:
    def __init__(self, site, instance, service, slots=2, queue=12, work_s=0.01,
                 max_connections=26, zone="umea-a", born=None):
        self.site = site
        self.instance = instance
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.max_connections = max_connections
        self.zone = zone
        self.state = "ready"
        self.says_leaving = False
        self.born = born or int(time.time() * 1000)
        self.sequence = 0
        self.busy = asyncio.Semaphore(slots)
        self.waiting = 0
        self.connections = set()
        self.most_connections = 0
        self.server = None
        self.address = None
        self.beats = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._accept, host, port,
                                                 limit=1 << 20, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.ensure_future(self._beat())

    def stop(self):
        """Ends like a process that is killed: connections break, no word."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for each in list(self.connections):
            wire.abort(each)

    def write_entry(self):
        self.sequence += 1
        self.site.store.put("servers", self.instance, {
            "Service": self.service, "Address": self.address,
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "WarmupLeftMs": 0,
            "Sequence": self.sequence, "born": self.born})

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _accept(self, reader, writer):
        if len(self.connections) >= self.max_connections:
            return wire.abort(writer)
        self.connections.add(writer)
        self.most_connections = max(self.most_connections,
                                    len(self.connections))
        try:
            while True:
                asked = await wire.read_message(reader)
                if asked is None:
                    break
                writer.write(await self.answer(asked))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def time_of_work(self):
        """work_s is a time, or a range of times."""
        if isinstance(self.work_s, tuple):
            return random.uniform(*self.work_s)
        return self.work_s

    async def answer(self, asked):
        request_id = asked.headers.get("x-request-id", "")
        own = [("X-Instance-Id", self.instance), ("X-Request-Id", request_id)]
        if self.says_leaving:
            own.append(("Server-Leaving", "1"))
        expected = asked.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            return wire.encode("HTTP/1.1 421 Misdirected",
                               own + [("X-Not-Executed", "1")])
        self.site.on_arrival(self, asked)
        if self.waiting >= self.queue or not request_id:
            return wire.encode("HTTP/1.1 503 Full", own + [("X-Not-Executed", "1")])
        left_s = float(asked.headers.get("x-deadline-ms", "1000")) / 1000
        end = time.monotonic() + left_s
        self.waiting += 1
        try:
            await self.busy.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= end:
                return wire.encode("HTTP/1.1 503 Late",
                                   own + [("X-Not-Executed", "1")])
            self.site.on_run(self, asked)
            await asyncio.sleep(self.time_of_work())
        finally:
            self.busy.release()
        own.append(("X-Server-Stamp", sign(self.instance, request_id)))
        return wire.encode("HTTP/1.1 200 OK", own, self.body(request_id))

    def body(self, request_id):
        seed = f"{self.service}|{request_id}".encode()
        return b"".join(hashlib.sha256(seed + bytes([n])).digest()[:RECORD_BYTES]
                        for n in range(8))
