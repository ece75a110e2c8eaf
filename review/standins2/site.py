"""A small deployment on loopback: store, replicas, VMs, and a record."""

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import time

from . import wire
from .replica import Replica
from .store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/packages/daemon/carawaypond")
HOST = "h.case.example"
PORTS = {"Front": 8104, "Ready": 8108, "Control": 8106, "directory": 8100}
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StabilityWindowMs": 4000,
          "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6,
          "LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeMs": 250,
          "MaxSkewMs": 12000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
          "RetryBudgetSlack": 56, "RecoverS": 12, "ttl_max_s": 5}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
          "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class Unable(Exception):
    """The case cannot run here."""


class Vm:
    """One process of the gateway, with the settings of the platform."""

    def __init__(self, site, number, zone, store_address, memory_mb=260):
        self.site = site
        self.name = f"front-{zone}-{number}"
        self.ip = f"{site.prefix}.1.{number}"
        self.zone = zone
        self.process = None
        self.code = None
        self.settings = os.path.join(site.folder, f"{self.name}.json")
        self.log = os.path.join(site.folder, f"{self.name}.log")
        self.memory_mb = memory_mb
        seeds = [f"{site.prefix}.1.{n}:{PORTS['Control']}" for n in (1, 2, 3)]
        content = {
            "Node": self.name, "Role": "gateway", "Class": "front",
            "Serves": ["front", "control", "directory"], "Ip": self.ip,
            "Zone": zone, "Region": "norrland",
            "Zones": {"umea-a": "norrland", "umea-b": "norrland"},
            "Listen": {name: f"{self.ip}:{port}" for name, port in PORTS.items()},
            "InternalPortRange": [7380, 7395], "Seeds": seeds,
            "Bootstrap": True, "CountsAsLoss": False,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": memory_mb,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "directory",
            "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "platform": {"Address": store_address, "form": "objects",
                         "WritesPerS": 400, "ReadsPerS": 2000,
                         "RetentionS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(content, file)

    def address(self, name="Front"):
        return self.ip, PORTS[name]

    async def start(self):
        environment = {"CARAWAYPOND_BOOT": self.settings, "PATH": "/usr/bin:/bin",
                       "HOME": self.site.folder, "LANG": "C"}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--gateway", stdout=log, stderr=log, cwd=ROOT,
                env=environment)
        self.site.record(f"{self.name} started, process {self.process.pid}")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.site.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def memory_kb(self):
        """Resident memory of the process, or 0."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            answer = await ask(self.address("Ready"), "GET", "/readyz", {}, 1.0)
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return answer.first.split()[1] == "200"

    async def wait_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end or not self.is_running():
                raise Unable(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def ask(address, method, target, headers, timeout_s, body=b"", bind=None):
    """One request on a connection of its own; returns the answer."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            given = [("Host", HOST)] + list(headers.items())
            if body or method == "POST":
                text = wire.encode(f"{method} {target} HTTP/1.1", given, body)
            else:
                text = "\r\n".join([f"{method} {target} HTTP/1.1"] +
                                   [f"{a}: {b}" for a, b in given]) + "\r\n\r\n"
                text = text.encode("latin-1")
            writer.write(text)
            await writer.drain()
            answer = await wire.read_message(reader, True, method == "HEAD")
            if answer is None:
                raise EOFError("closed without an answer")
            return answer
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout_s)


class Site:
    """Subclasses override on_arrival and on_run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "w",
                                encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.prefix, self.reserved = reserve_network()
        self.store = Store()
        self.vms = []
        self.replicas = {}
        self.version = 0

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    async def add_vm(self, number, zone, memory_mb=260):
        at = await self.store.add_endpoint(f"{self.prefix}.3.{number}")
        vm = Vm(self, number, zone, at.address, memory_mb)
        vm.endpoint = at
        self.vms.append(vm)
        return vm

    async def add_replica(self, instance, service, port=0, **options):
        made = Replica(self, instance, service, **options)
        await made.start(f"{self.prefix}.2.1", port)
        self.replicas[instance] = made
        return made

    def configure(self, routes, services, max_connections=26):
        self.version += 1
        self.store.put("config", "main", {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz",
                          "MaxConns": max_connections, "Protocol": "h1",
                          "Tls": False} for name in services],
            "Limits": LIMITS})
        self.record(f"store acknowledges configuration {self.version}")

    def on_arrival(self, replica, asked):
        pass

    def on_run(self, replica, asked):
        pass

    async def close(self):
        for each in self.vms:
            await each.end()
        for each in self.replicas.values():
            each.stop()
        self.store.close()
        self.reserved.close()
        self.record("all processes ended")
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def reserve_network():
    """Returns a prefix within 127.0.0.0/8 that no other case uses at the time,
    and the socket that reserves it."""
    for number in range(200):
        prefix = f"127.{20 + (os.getpid() + number) % 200}"
        reserved = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reserved.bind((f"{prefix}.9.8", 7001))
            return prefix, reserved
        except OSError:
            reserved.close()
    raise Unable("no free loopback addresses")


def run(case, folder):
    """Runs the coroutine case(site, is_troubled), which returns the list of what
    broke the rule; ends with the exit code of the case."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def whole(site):
        try:
            return await case(site, is_troubled)
        finally:
            await site.close()

    if not os.access(PROGRAM, os.X_OK):
        print("the program is not built")
        return 2
    try:
        broken = asyncio.run(whole(site_of(case, folder)))
    except Unable as why:
        print(f"could not run: {why}")
        return 2
    for each in broken:
        print(each)
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


def site_of(case, folder):
    return getattr(case, "site_class", Site)(folder)
