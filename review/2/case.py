"""Both replicas of a service are full at times. One of them sends a few of its
answers a second time, late, on the same connection."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import full_replica
import harness as h

CLIENTS = 12
TIME_S = 45
SLOTS = 2
QUEUE = 1
WORK_S = 0.002


async def case(site):
    await site.start_store()
    replicas = [await site.add_replica(full_replica.FullReplica(
        f"i-pay{n}", site, SLOTS, QUEUE, WORK_S, is_faulty=n == 0))
        for n in range(2)]
    site.configure([h.route("r-pay", "/pay/", kind="unsafe", timeout_ms=6000,
                            Service="pay")])
    await site.add_vms(1)
    _, refused = await full_replica.call(site, replicas, CLIENTS, TIME_S)
    return h.BROKEN if refused else h.HELD


h.main(HERE, case)
