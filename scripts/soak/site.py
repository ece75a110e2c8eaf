"""A whole deployment on loopback: store, replicas behind proxies, VMs and
operator."""

import asyncio
import os
import random
import socket
import time

from loopback.proxy import Proxy
from loopback.replica import Replica
from loopback.store import Store

from soak import bounds
from soak.callers import HOST
from soak.fleet import CENTRES, Vm
from soak.observer import Observer

SHARDS = {"a": [f"shard-a{n}" for n in range(6)],
          "b": [f"shard-b{n}" for n in range(8)]}
SINGLE_SERVICES = ("ledger", "pay", "audit")
SERVICE_TIME_S = {"shard": 0.008, "ledger": 0.02, "pay": 0.02, "audit": 0.02}
MAX_CONNECTIONS = 30
TOP_RECORDS = {"/find/": 10, "/quick/": 5}
MIN_COVERAGE = {"/find/": 0.85, "/quick/": 0.6}
OBJECTIVE_MS = {"/find/": 150, "/quick/": 80}
RESHARD_LEAD_S = 2.0
EXPIRY_S = 3.6  # three heartbeats
CRASH_RETURN_S = 2.0
RESERVATION_PORT = 7000


def reserve_network():
    """Returns a prefix within 127.0.0.0/8 and the socket that reserves it, so
    that no other soak on this machine uses it at the time."""
    for number in range(200):
        prefix = f"127.{20 + (os.getpid() + number) % 200}"
        reserved = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reserved.bind((f"{prefix}.9.9", RESERVATION_PORT))
            return prefix, reserved
        except OSError:
            reserved.close()
    raise RuntimeError("every network of 127.0.0.0/8 that soaks use is taken")


class Site:
    """The VMs, and the store, replicas and proxies that they use."""

    def __init__(self, seed, vm_count, folder, program):
        self.random = random.Random(seed)
        self.folder = folder
        self.program = program
        self.vm_count = vm_count
        self.prefix, self.reservation = reserve_network()
        self.observer = Observer()
        self.store = Store(seed)
        self.store_proxies = {}  # VM name -> proxy between it and the store
        self.replicas = {}  # instance -> (replica, proxy)
        self.vms = []
        self.version = 0
        self.config = None  # as last written
        self.callers = None
        self.layout = "a"
        self.moved_service = "ledger"  # current target of the route /move/
        self.added = []  # prefixes of routes that were added
        self.acknowledged_at = 0.0
        self.next_instance = 0
        self.stops = []  # (VM name, time of SIGTERM)

    async def start(self):
        await self.store.start(f"{self.prefix}.3.1")
        store_address = self.store.runner.addresses[0][:2]
        for service in SHARDS["a"]:
            await self.add_replicas(service, 2)
        for service in SINGLE_SERVICES:
            await self.add_replicas(service, 3)
        self.configure()
        for number in range(self.vm_count):
            proxy = Proxy(store_address)
            address = await proxy.start(f"{self.prefix}.4.{number + 1}")
            vm = Vm(number, self.prefix, self.folder, self.program,
                    "%s:%d" % address, self.observer)
            self.store_proxies[vm.name] = proxy
            self.vms.append(vm)
        for vm in self.vms:
            vm.start()

    async def stop(self):
        await asyncio.gather(*[vm.shut_down() for vm in self.vms])
        for replica, proxy in list(self.replicas.values()):
            await proxy.stop()
            await replica.crash()
        for proxy in self.store_proxies.values():
            await proxy.stop()
        await self.store.stop()
        self.reservation.close()

    # Replicas.

    async def add_replicas(self, service, count):
        for _ in range(count):
            await self.add_replica(service)

    async def add_replica(self, service, instance=None, proxy=None):
        """Starts a replica, behind `proxy` and at its address if one is given."""
        if instance is None:
            self.next_instance += 1
            instance = f"i-{self.next_instance:04d}"
        kind = service.split("-")[0]
        replica = Replica(instance, service, self.random.choice(CENTRES),
                          self.store, self.observer, SERVICE_TIME_S[kind],
                          slots=2 if kind == "shard" else 4)
        target = await replica.start(f"{self.prefix}.2.1")
        if proxy is None:
            proxy = Proxy(target, MAX_CONNECTIONS)
            proxy.address = await proxy.start(f"{self.prefix}.5.1")
        proxy.target = target
        replica.on_crash = self.crash_replica
        self.observer.instances[instance] = replica
        self.observer.forget(instance)
        self.replicas[instance] = (replica, proxy)
        replica.register(proxy.address)
        return replica

    async def end_replica(self, replica, stops_proxy=True):
        """Ends the replica's process; its entry stays in the store until it is
        removed (see expire_entry)."""
        _, proxy = self.replicas.pop(replica.instance)
        await replica.crash()
        proxy.reset()
        if stops_proxy:
            await proxy.stop()
        return proxy

    def crash_replica(self, replica):
        """The request that the replica runs ends it; another one follows."""
        if replica.instance in self.replicas and replica.is_alive:
            replica.is_alive = False
            asyncio.ensure_future(self._crash_and_return(replica))

    async def _crash_and_return(self, replica):
        await self.end_replica(replica)
        asyncio.ensure_future(self.expire_entry(replica))
        await asyncio.sleep(CRASH_RETURN_S)
        await self.add_replica(replica.service)

    async def expire_entry(self, replica):
        """Removes the entry of an ended replica after three heartbeats, unless the
        instance runs again."""
        await asyncio.sleep(EXPIRY_S)
        if replica.instance not in self.replicas:
            self.store.remove("servers", replica.instance)

    def of_service(self, service):
        return [replica for replica, _ in self.replicas.values()
                if replica.service == service and replica.state == "ready"]

    # The operator.

    def targets(self, prefix):
        """Returns the services that a request to the prefix currently goes to."""
        if prefix in TOP_RECORDS:
            return SHARDS[self.layout]
        if prefix == "/move/":
            return [self.moved_service]
        return {"/one/": ["ledger"], "/pay/": ["pay"],
                "/split/": ["ledger", "audit"]}.get(prefix, ["audit"])

    def _route(self, prefix, kind="safe", **target):
        for service in (target.get("Gather") or [target.get("Service")]):
            if service:
                self.observer.allowed[prefix].add(service)
        for part in target.get("Backends", []):
            self.observer.allowed[prefix].add(part["Service"])
        return {"Name": f"r{prefix.strip('/')}", "Host": HOST,
                "PathPrefix": prefix, "Kind": kind, "Priority": 1,
                "TimeoutMs": 3_000, "MaxAttempts": bounds.MAX_ATTEMPTS,
                "TargetLatencyMs": OBJECTIVE_MS.get(prefix, 300), **target}

    def configure(self):
        """Writes the next version of the configuration."""
        self.version += self.random.randint(1, 3)
        shards = SHARDS[self.layout]
        routes = [self._route(prefix, Gather=shards, TopK=TOP_RECORDS[prefix],
                              OldestVersion=MIN_COVERAGE[prefix])
                  for prefix in TOP_RECORDS]
        routes += [
            self._route("/one/", Service="ledger"),
            self._route("/pay/", kind="unsafe", Service="pay"),
            self._route("/move/", Service=self.moved_service),
            self._route("/split/", Backends=[
                {"Service": "ledger", "Weight": 3},
                {"Service": "audit", "Weight": 1}])]
        routes += [self._route(prefix, Service="audit") for prefix in self.added]
        self.observer.shard_sets.append(set(shards))
        self.observer.unsafe.add("/pay/")
        self.observer.top_records.update(TOP_RECORDS)
        self.observer.min_coverage.update(MIN_COVERAGE)
        services = sorted({name for layout in SHARDS.values()
                           for name in layout} | set(SINGLE_SERVICES))
        self.config = {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz",
                          "MaxConns": MAX_CONNECTIONS} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        self.store.put("config", "main", self.config)
        self.acknowledged_at = time.monotonic()

    async def write_again(self):
        """The operator, and replicas that wrote their last entry, write again what
        a restored store has lost. The others do so by their heartbeats."""
        self.store.put("config", "main", self.config)
        for instance in list(self.store.kinds["servers"]):
            replica, _ = self.replicas.get(instance, (None, None))
            if replica and replica.heartbeat_task.cancelled():
                self.store.remove("servers", instance)
        await asyncio.sleep(EXPIRY_S)
        for instance in list(self.store.kinds["servers"]):
            if instance not in self.replicas:
                self.store.remove("servers", instance)

    def change_routes(self):
        """Adds a route, and points the route /move/ to another service."""
        self.added.append(f"/added-{len(self.added)}/")
        self.moved_service = self.random.choice(
            [name for name in ("ledger", "audit") if name != self.moved_service])
        self.configure()

    async def reshard(self):
        """Starts the replicas of the other layout, switches the configuration to
        it, then drains the replicas of the old layout."""
        old = self.layout
        new = "b" if old == "a" else "a"
        for service in SHARDS[new]:
            if not self.of_service(service):
                await self.add_replicas(service, 2)
        await asyncio.sleep(RESHARD_LEAD_S)
        self.layout = new
        self.configure()
        await asyncio.sleep(bounds.CONFIG_APPLY_S + 1)
        for service in SHARDS[old]:
            for replica in self.of_service(service):
                await self.drain(replica)

    async def drain(self, replica):
        """The replica reports that it drains, keeps serving, then exits."""
        self.observer.leaving[replica.instance] = replica.drain()
        asyncio.ensure_future(self._exit_later(replica))

    async def leave_silently(self, replica):
        """The replica's entry is removed without a drain status before."""
        self.observer.leaving[replica.instance] = replica.leave()
        asyncio.ensure_future(self._exit_later(replica))

    async def _exit_later(self, replica):
        await asyncio.sleep(bounds.DRAIN_S + self.random.uniform(1, 4))
        if replica.instance in self.replicas:
            await self.end_replica(replica)
        self.store.remove("servers", replica.instance)
