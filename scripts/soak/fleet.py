"""The gateway's processes: settings, signals, restarts."""

import asyncio
import json
import os
import signal
import time

from soak import bounds

PORTS = {"Front": 8104, "Ready": 8108, "Control": 8106, "directory": 8100}
RESTART_S = 0.4
VM_CENTRES = 2  # few, so that in each one VM reads the store for another
CENTRES = ("umea-a", "umea-b", "lulea-a")


class Vm:
    """One gateway VM; its process is restarted whenever it ends."""

    def __init__(self, number, prefix, folder, program, store_address, observer,
                 memory_mb=None, max_descriptors=4096):
        self.name = f"vm{number}"
        self.ip = f"{prefix}.1.{number + 1}"
        self.centre = CENTRES[number % VM_CENTRES]
        self.program = program
        self.observer = observer
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab",
                        buffering=0)
        self.child = None
        self.should_run = True
        self.expected_exits = 0  # kills and stops that the soak requested
        self.started_at = 0.0
        self.supervisor = None
        seeds = [f"{prefix}.1.{k + 1}:{PORTS['Control']}" for k in range(3)]
        limits = {"CpuShare": 1, "Cores": 1, "MaxFds": max_descriptors}
        if memory_mb is not None:
            limits["MemoryMb"] = memory_mb
        self._write_settings(store_address, seeds, limits)

    def _write_settings(self, store_address, seeds, limits):
        content = {
            "Node": self.name, "Role": "gateway", "Class": "front",
            "Ip": self.ip, "Zone": self.centre, "Region": "norrland",
            "Listen": {name: f"{self.ip}:{port}"
                       for name, port in PORTS.items()},
            "InternalPortRange": [7380, 7395], "Seeds": seeds,
            "Limits": limits,
            "HeartbeatMs": 1200,
            "Bounds": {"GraceS": bounds.GRACE_S, "ttl_max_s": 5,
                       "DrainMs": 1000 * bounds.DRAIN_S,
                       "ConfigApplyMs": 1000 * bounds.CONFIG_APPLY_S,
                       "RetryBudgetRatio": bounds.BUDGET_RATIO,
                       "BudgetWindowS": bounds.BUDGET_WINDOW_S,
                       "RetryBudgetSlack": bounds.BUDGET_SLACK},
            "platform": {"Address": store_address}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(content, file)

    def address(self, port="Front"):
        return f"{self.ip}:{PORTS[port]}"

    def start(self):
        self.supervisor = asyncio.ensure_future(self._supervise())

    async def _supervise(self):
        while self.should_run:
            span = self.observer.disruptions.begin(self.name)
            environment = {"CARAWAYPOND_BOOT": self.settings,
                           "PATH": os.environ["PATH"]}
            self.child = await asyncio.create_subprocess_exec(
                self.program, "--gateway", stdout=self.log, stderr=self.log,
                env=environment)
            self.started_at = time.monotonic()
            self.observer.disruptions.end(span)
            code = await self.child.wait()
            self.observer.expect("no own end", self.expected_exits > 0,
                                 f"{self.name} ended by itself with {code}")
            self.expected_exits = 0
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.child is None or self.child.returncode is not None:
            return False
        try:
            os.kill(self.child.pid, number)
        except ProcessLookupError:
            return False  # the process has ended, but asyncio has not noticed yet
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_exits += 1
        return True

    async def shut_down(self):
        self.should_run = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.supervisor:
            self.supervisor.cancel()
        if self.child and self.child.returncode is None:
            await self.child.wait()
        self.log.close()
