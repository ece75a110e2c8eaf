"""SIGHUP to a process that has just been started. No case: a window of
milliseconds. Exits like a case."""

import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins2.site import run

DELAYS_MS = (1, 2, 3, 4, 5, 10, 20)
STARTS = 5


async def case(site, _):
    vm = await site.add_vm(1, "umea-a")
    broken = []
    for delay_ms in DELAYS_MS:
        ended = 0
        for _ in range(STARTS):
            await vm.start()
            await asyncio.sleep(delay_ms / 1000)
            vm.signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            ended += not vm.is_running()
            await vm.end()
        if ended:
            broken.append(f"SIGHUP {delay_ms} ms after the start ended {ended} of "
                          f"{STARTS} processes")
    return broken


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(run(case, folder))
