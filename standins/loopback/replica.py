"""A replica: runs requests in slots, signs its answers, writes its entry to
the store, and injects the failures that the published protocol defines."""

import asyncio
import hashlib
import random
import time

from aiohttp import web

RECORD_BYTES = 16
RECORDS = 12
QUEUE_LENGTH = 8
HEARTBEAT_S = 1.2
CRASHING = "crash-"  # in the path of a request that ends the replica


def sign(instance, request_id):
    """Returns the signature by an instance of its answer to one request."""
    text = f"{instance}|{request_id}".encode()
    return f"{instance}.{hashlib.sha256(text).hexdigest()[:12]}"


def records_of(service, request_id):
    """Returns the records in the answer of every replica of a service."""
    seed = f"{service}|{request_id}".encode()
    return [hashlib.sha256(seed + bytes([n])).digest()[:RECORD_BYTES]
            for n in range(RECORDS)]


def body_of(service, request_id):
    return b"".join(records_of(service, request_id))


def left_until(end):
    return max(0.0, end - time.monotonic())


class Replica:
    """One incarnation of a replica behind a proxy."""

    def __init__(self, instance, service, centre, store, journal, work_s,
                 slots=2):
        self.instance = instance
        self.service = service
        self.centre = centre
        self.store = store
        self.journal = journal
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.slowness = 1.0
        self.failed_share = 0.0  # of the requests, answered 500
        self.lost_share = 0.0  # of the answers, connection reset after the run
        self.garbled_share = 0.0  # of the answers, not valid HTTP
        self.paused_until = 0.0
        self.pause_s = 0.0  # refuses with Retry-After for so long
        self.limit = None  # requests per second that all answers name
        self.is_leaving = False  # all answers say so
        self.state = "ready"
        self.is_alive = True
        self.sequence = 0
        self.address = None
        self.random = random.Random(instance)
        self.runner = None
        self.heartbeat_task = None
        self.on_crash = lambda replica: None  # ends the process

    async def start(self, host):
        application = web.Application()
        application.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(application, access_log=None,
                                    keepalive_timeout=8)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, 0,
                          shutdown_timeout=0.1).start()
        return self.runner.addresses[0][:2]

    def register(self, address):
        """Writes the entry with the given address and starts the heartbeat."""
        self.address = "%s:%d" % tuple(address)
        self.heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    async def crash(self):
        self.is_alive = False
        self.heartbeat_task.cancel()
        await self.runner.cleanup()

    def drain(self):
        """Writes the state "draining" to the store; returns the time."""
        self.state = "draining"
        self.is_leaving = True
        self._write_entry()
        return time.monotonic()

    def leave(self):
        """Removes the entry; the replica still serves. Returns the time."""
        self.heartbeat_task.cancel()
        self.is_leaving = True
        self.store.remove("servers", self.instance)
        return time.monotonic()

    def _write_entry(self):
        self.sequence += 1
        self.store.put("servers", self.instance, {
            "Service": self.service, "Address": self.address,
            "Zone": self.centre, "Version": "v1", "Slots": self.slot_count,
            "State": self.state, "WarmupLeftMs": 0,
            "Sequence": self.sequence})

    async def _send_heartbeats(self):
        while True:
            if not (self.store.state.is_down or self.store.state.is_silent):
                self._write_entry()
            await asyncio.sleep(HEARTBEAT_S * self.random.uniform(0.9, 1.1))

    async def _serve(self, request):
        request_id = request.headers.get("X-Request-Id", "")
        expected = request.headers.get("X-Expect-Instance", self.instance)
        if expected != self.instance:
            return web.Response(status=421, headers={
                "X-Not-Executed": "1", "X-Instance-Id": self.instance})
        self.journal.on_arrival(self, request, request_id)
        answer = await self._queue_and_work(request, request_id)
        if self.is_leaving:
            answer.headers["Server-Leaving"] = "1"
        if self.limit is not None:
            answer.headers["Server-Limit"] = f"{self.limit:.1f}"
            self.journal.on_limit_named(self, request_id)
        return answer

    async def _queue_and_work(self, request, request_id):
        if self.pause_s > 0:
            self.journal.on_pause_asked(self, request_id, self.pause_s)
            return web.Response(status=503, headers={
                "X-Not-Executed": "1", "Retry-After": f"{self.pause_s:.2f}"})
        if not request_id or self.waiting >= QUEUE_LENGTH:
            return web.Response(status=503 if request_id else 400,
                                headers={"X-Not-Executed": "1"})
        left_s = int(request.headers.get("X-Deadline-Ms", "1000")) / 1000
        end = time.monotonic() + left_s
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._work(request, request_id, end)
        finally:
            self.slots.release()

    async def _work(self, request, request_id, end):
        if time.monotonic() >= end:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.journal.on_run(self, request, request_id)
        if CRASHING in request.path:
            self.on_crash(self)
            await asyncio.sleep(left_until(end))
        pause = max(0.0, self.paused_until - time.monotonic())
        work = self.work_s * self.slowness * self.random.uniform(0.7, 1.4)
        await asyncio.sleep(min(pause + work, left_until(end)))
        headers = {"X-Request-Id": request_id,
                   "X-Server-Stamp": sign(self.instance, request_id)}
        if time.monotonic() >= end:
            return web.Response(status=504, headers=headers)
        chance = self.random.random()
        if chance < self.failed_share:
            return web.Response(status=500, headers=headers, body=b"failed")
        chance -= self.failed_share
        if chance < self.lost_share:
            request.transport.abort()
        chance -= self.lost_share
        if 0 <= chance < self.garbled_share and request.transport:
            request.transport.write(b"\x16\x03 no answer at all\r\n\r\n")
            request.transport.close()
        return web.Response(headers=headers,
                            body=body_of(self.service, request_id))
