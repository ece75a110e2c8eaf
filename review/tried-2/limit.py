"""LIMIT (issue 21): replicas that name a low limit, and 8 VMs that ask at once after
a pause. No case: the rule is not in RULES.md. Exits like a case."""

import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins2.replica import Replica
from standins2.site import HOST, ask, run

LIMIT = float(os.environ.get("LIMIT", "0.2"))  # requests a second
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * LIMIT + 5
ZONES = ["umea-a", "umea-b", "lulea-a", "lulea-b"]


class Limited(Replica):
    def __init__(self, *given, **options):
        super().__init__(*given, **options)
        self.arrivals = []

    async def answer(self, asked):
        self.arrivals.append(time.monotonic())
        text = await super().answer(asked)
        return text.replace(b"\r\n", b"\r\nServer-Limit: %g\r\n" % LIMIT, 1)


async def case(site, _):
    vms = [await site.add_vm(n + 1, ZONES[n % 4]) for n in range(8)]
    for n in range(2):
        made = Limited(site, f"i-{n}", "desk", work_s=0.005)
        await made.start(f"{site.prefix}.2.1")
        site.replicas[made.instance] = made
    site.configure([{"Name": "d", "Host": HOST, "PathPrefix": "/d/",
                     "Kind": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 100,
                     "Priority": 1, "Service": "desk", "MaxAttempts": 2}],
                   ["desk"])
    for vm in vms:
        await vm.start()
    for vm in vms:
        await vm.wait_ready()
    await asyncio.sleep(2)
    sent = 0

    async def send(vm):
        nonlocal sent
        sent += 1
        await ask(vm.address(), "GET", f"/d/{sent}", {
            "X-Request-Id": f"q{sent}", "X-Deadline-Ms": "1500"}, 3)

    for vm in vms * 2:
        await send(vm)
    await asyncio.sleep(40)
    began = time.monotonic()
    while time.monotonic() < began + 6:
        await asyncio.gather(*[send(vm) for vm in vms])
        await asyncio.sleep(0.3)
    broken = []
    for made in site.replicas.values():
        late = [at for at in made.arrivals if at >= began]
        most = max(sum(1 for at in late if first <= at < first + WINDOW_S)
                   for first in late)
        if most > ALLOWED:
            broken.append(f"{made.instance}: {most} requests in 4 s, "
                          f"{ALLOWED:.1f} allowed")
    return broken


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(run(case, folder))
