"""Replicas of a service reject part of their requests (503, X-Not-Executed). One
of the two sends a few of its answers a second time, late, on the same
connection."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import harness as h

REQUESTS = 2000
INTERVAL_S = 0.04  # between requests
WORK_S = 0.004
SHED_SHARE = 0.25  # of the requests
MAX_EXTRA_SHARE = 0.04  # of the answers of the faulty replica
FAULT_S = 5.0  # length of one fault
PAUSE_S = 1.0  # between two faults


class Ledger(h.Replica):
    """Rejects SHED_SHARE of its requests. While it is faulty, it sends at most
    MAX_EXTRA_SHARE of its answers twice: the second copy comes when the next
    answer is expected on the connection, before that answer."""

    def __init__(self, instance, service, store, record, is_faulty):
        super().__init__(instance, service, store, record)
        self.is_faulty = is_faulty
        self.random = random.Random(self.instance)
        self.answers = 0
        self.faulty_answers = 0  # during faults
        self.extras = 0
        self.pending = {}  # connection -> (answer, request id)

    def has_fault(self):
        phase = (time.monotonic() - self.record.started) % (FAULT_S + PAUSE_S)
        return h.TROUBLE and self.is_faulty and phase < FAULT_S

    def may_send_twice(self):
        return (self.has_fault() and
                self.extras + 1 <= MAX_EXTRA_SHARE * self.faulty_answers)

    async def handle(self, asked, reader, writer, connection):
        request_id = asked.get("X-Request-Id")
        late = self.pending.pop(connection, None)
        if late:
            text, late_id = late
            self.record(f"{self.instance} c{connection} sends the second copy "
                        f"of its 503 to id={late_id}; id={request_id} waits")
            writer.write(text)
            await writer.drain()
        self.answers += 1
        self.faulty_answers += self.has_fault()
        if self.random.random() < SHED_SHARE:
            text = h.answer_text(503, [("X-Request-Id", request_id),
                                       ("X-Not-Executed", "1")])
            self.record(f"{self.instance} c{connection} rejects "
                        f"id={request_id}: 503 X-Not-Executed")
            writer.write(text)
            await writer.drain()
            if self.may_send_twice():
                self.extras += 1
                self.pending[connection] = (text, request_id)
            return True
        self.run(asked)
        await asyncio.sleep(WORK_S)
        writer.write(h.answer_text(200, self.head(asked), b"booked"))
        await writer.drain()
        return True


async def case(site):
    await site.start_store()
    replicas = [await site.add_replica(
        Ledger(f"i-pay{n}", "pay", site.store, site.record, is_faulty=n == 0))
        for n in range(2)]
    site.configure([h.route("r-pay", "/pay/", kind="unsafe", timeout_ms=6000,
                            Service="pay")])
    await site.add_vms(1)
    answers = {}  # id -> status, None without an answer
    begin = time.monotonic()
    for number in range(REQUESTS):
        due = begin + number * INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        request_id = f"c{number:05d}"
        site.record(f"client sends POST /pay/{number} id={request_id}")
        answer = await h.ask(
            site.vms[0].address(), "POST", f"/pay/{number}",
            [("X-Request-Id", request_id), ("X-Deadline-Ms", "6000")], b"x=1")
        answers[request_id] = answer.status if answer else None
        site.record(f"client got {answers[request_id]} for id={request_id}")
    await asyncio.sleep(1)
    runs = [each for replica in replicas for each in replica.runs]
    for each in replicas:
        site.record(f"{each.instance}: {each.answers} answers, "
                    f"{each.faulty_answers} of them during faults, "
                    f"{each.extras} of these sent twice")
    if h.TROUBLE and not any(each.extras for each in replicas):
        raise h.CannotRun("no answer was sent twice")
    counts = {}
    for each in runs:
        counts[each] = counts.get(each, 0) + 1
    refused = [each for each, status in answers.items()
               if status in (408, 421, 429, 503) and each in counts]
    twice = [each for each, count in counts.items() if count > 1]
    site.record(f"REFUSED broken by {len(refused)}: {refused}")
    site.record(f"TWICE broken by {len(twice)}: {twice}")
    return h.BROKEN if refused or twice else h.HELD


h.main(HERE, case)
