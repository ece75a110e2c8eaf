"""A replica that is full at times and, while it is faulty, sends a few of its
answers twice; and clients that keep it busy."""

import asyncio
import random
import time

import harness as h

EXTRA_SHARE = 0.04  # of the answers of a faulty replica, drawn at random
FAULT_S = 5.0  # length of one fault
PAUSE_S = 1.0  # between two faults


class FullReplica(h.Replica):
    """Works on `slots` requests at a time, queues `queue` more, and rejects the
    rest with 503 and X-Not-Executed. The second copy of an answer comes when the
    next answer is expected on its connection, before that answer."""

    def __init__(self, instance, site, slots, queue, work_s, is_faulty):
        super().__init__(instance, "pay", site.store, site.record)
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.is_faulty = is_faulty
        self.random = random.Random(instance)
        self.free = asyncio.Semaphore(slots)
        self.held = 0
        self.answers = 0
        self.rejected = 0
        self.extras = 0
        self.pending = {}  # connection -> (answer, request id)

    def has_fault(self):
        phase = (time.monotonic() - self.record.started) % (FAULT_S + PAUSE_S)
        return h.TROUBLE and self.is_faulty and phase < FAULT_S

    async def send(self, writer, text, request_id, connection):
        self.answers += 1
        writer.write(text)
        await writer.drain()
        if self.has_fault() and self.random.random() < EXTRA_SHARE:
            self.extras += 1
            self.pending[connection] = (text, request_id)

    async def handle(self, asked, reader, writer, connection):
        request_id = asked.get("X-Request-Id")
        late = self.pending.pop(connection, None)
        if late:
            text, late_id = late
            self.record(f"{self.instance} c{connection} sends the second copy "
                        f"of its answer to id={late_id}; id={request_id} waits")
            writer.write(text)
            await writer.drain()
        if self.held >= self.slots + self.queue:
            self.rejected += 1
            self.record(f"{self.instance} c{connection} is full: 503 "
                        f"X-Not-Executed to id={request_id}")
            await self.send(writer, h.answer_text(503, [
                ("X-Request-Id", request_id), ("X-Not-Executed", "1")]),
                request_id, connection)
            return True
        self.held += 1
        try:
            async with self.free:
                self.run(asked)
                await asyncio.sleep(self.work_s)
        finally:
            self.held -= 1
        headers = self.head(asked)
        if self.state != "ready":
            headers.append(("Server-Leaving", "1"))
        await self.send(writer, h.answer_text(200, headers, b"booked"),
                        request_id, connection)
        return True


async def _call_on(site, number, answers, end):
    """One client: one request after the other on a kept connection. It waits
    as a refusal says."""
    reader, writer = await asyncio.open_connection(*site.vms[0].address())
    count = 0
    while time.monotonic() < end:
        count += 1
        request_id = f"c{number:02d}-{count:05d}"
        writer.write(h.text_of(f"POST /pay/{request_id} HTTP/1.1", [
            ("Host", h.HOST), ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "6000"), ("Content-Length", "3")], b"x=1"))
        answer = await h.read_message(reader)
        if answer is None:
            raise h.CannotRun("a client's connection was closed")
        answers[request_id] = answer.status
        site.record(f"POST /pay/{request_id} answered {answer.status}")
        await asyncio.sleep(float(answer.get("Retry-After") or 0))
    writer.close()


async def call(site, replicas, clients, time_s):
    """Lets the clients call; returns the ids that ran twice, and the ids that
    ran and were refused."""
    answers = {}  # id -> status
    end = time.monotonic() + time_s
    await asyncio.gather(*[_call_on(site, number, answers, end)
                           for number in range(clients)])
    await asyncio.sleep(1)
    counts = {}
    for replica in replicas:
        site.record(f"{replica.instance}: {replica.answers} answers, "
                    f"{replica.rejected} of them rejections, "
                    f"{replica.extras} sent twice")
        for each in replica.runs:
            counts[each] = counts.get(each, 0) + 1
    if not any(each.rejected for each in replicas):
        raise h.CannotRun("no replica was full")
    if h.TROUBLE and not any(each.extras for each in replicas):
        raise h.CannotRun("no answer was sent twice")
    twice = [each for each, count in counts.items() if count > 1]
    refused = [each for each, status in answers.items()
               if status in (408, 421, 429, 503) and each in counts]
    site.record(f"{len(answers)} requests")
    site.record(f"TWICE broken by {len(twice)}: {twice}")
    site.record(f"REFUSED broken by {len(refused)}: {refused}")
    return twice, refused
