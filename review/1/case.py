"""One of two replicas is taken away as planned; the other is full at times, and
sends a few of its answers a second time, late, on the same connection."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import full_replica
import harness as h

CLIENTS = 9
TIME_S = 75
SLOTS = 2
QUEUE = 4
WORK_S = 0.002
DRAIN_S = 3.0  # DrainMs


async def case(site):
    await site.start_store()
    replicas = [await site.add_replica(full_replica.FullReplica(
        f"i-pay{n}", site, SLOTS, QUEUE, WORK_S, is_faulty=n == 0))
        for n in range(2)]
    site.configure([h.route("r-pay", "/pay/", kind="unsafe", timeout_ms=6000,
                            Service="pay")])
    await site.add_vms(1)
    leaving = replicas[1]
    leaving.state = "draining"
    leaving.register()
    await asyncio.sleep(DRAIN_S + 1)
    leaving.stop()
    site.store.remove("servers", leaving.instance)
    site.record(f"{leaving.instance} has left as planned")
    twice, _ = await full_replica.call(site, replicas, CLIENTS, TIME_S)
    return h.BROKEN if twice else h.HELD


h.main(HERE, case)
