"""Faults of a soak, drawn from its seed; several may be active at once."""

import asyncio
import signal
import time

from loopback.replica import CRASHING
from loopback.store import StoreState

from soak.site import CRASH_RETURN_S


class Faults:
    """Each public method is one kind of fault; it returns once it is over."""

    def __init__(self, site):
        self.site = site
        self.random = site.random
        self.disruptions = site.observer.disruptions

    @classmethod
    def kinds(cls):
        return sorted(name for name in vars(cls)
                      if not name.startswith("_") and name not in
                      ("kinds", "run"))

    async def run(self, kind):
        await getattr(self, kind)()

    # VMs.

    def _vm(self):
        return self.random.choice(self.site.vms)

    def _begin_all(self, *subjects):
        return [self.disruptions.begin(each) for each in subjects]

    async def _kill(self, vm):
        spans = self._begin_all(vm.name, vm.name + " unplanned",
                                vm.name + " process")
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        for each in spans:
            self.disruptions.end(each)

    async def vm_killed(self):
        for vm in self.random.sample(self.site.vms, self.random.randint(1, 2)):
            await self._kill(vm)
            await asyncio.sleep(self.random.uniform(0, 0.6))

    async def all_vms_killed(self):
        await asyncio.gather(*[self._kill(vm) for vm in self.site.vms])

    async def _stop(self, vm):
        loop = asyncio.get_running_loop()
        spans = self._begin_all(vm.name, vm.name + " process")
        child = vm.child
        if vm.signal(signal.SIGTERM):
            self.site.stops.append((vm.name, loop.time()))
            end = loop.time() + 7.0
            while child.returncode is None and loop.time() < end:
                await asyncio.sleep(0.05)
            self.site.observer.expect(
                "graceful stop", child.returncode is not None,
                f"{vm.name} still runs after its grace period")
            if child.returncode is None:
                vm.signal(signal.SIGKILL)
        for each in spans:
            self.disruptions.end(each)

    async def vm_stopped(self):
        await self._stop(self._vm())

    async def vms_replaced(self):
        for vm in self.random.sample(self.site.vms, 2):
            await self._stop(vm)
            await asyncio.sleep(self.random.uniform(0.5, 2))

    async def vm_paused(self):
        vm = self._vm()
        spans = self._begin_all(vm.name, vm.name + " unplanned",
                                vm.name + " process")
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        vm.signal(signal.SIGCONT)
        for each in spans:
            self.disruptions.end(each)

    async def settings_reread(self):
        for vm in self.site.vms:
            vm.signal(signal.SIGHUP)

    # The store.

    async def _store_state(self, seconds, **values):
        span = self.disruptions.begin("store")
        for name, value in values.items():
            setattr(self.site.store.state, name, value)
        await asyncio.sleep(seconds)
        for name in values:
            setattr(self.site.store.state, name,
                    getattr(StoreState(), name))
        self.disruptions.end(span)

    async def store_down(self):
        await self._store_state(self.random.uniform(1, 6), is_down=True)

    async def store_silent(self):
        await self._store_state(self.random.uniform(1, 4), is_silent=True)

    async def store_slow(self):
        await self._store_state(self.random.uniform(2, 5),
                                delay_s=self.random.uniform(0.1, 0.9))

    async def store_answers_lost(self):
        await self._store_state(self.random.uniform(2, 5), lost_share=0.4)

    async def store_forgets(self):
        for _ in range(self.random.randint(1, 3)):
            self.site.store.forget_history()
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    async def store_restored(self):
        """The store comes back from a copy; its writers write again later."""
        span = self.disruptions.begin("store")
        store = self.site.store
        store.state.is_down = True
        await asyncio.sleep(self.random.uniform(0.1, 2))
        store.restore(self.random.uniform(1, 9))
        store.state.is_down = False
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await self.site.write_again()
        self.disruptions.end(span)

    async def _disturb_store_link(self, seconds, vm=None, **values):
        vm = vm or self._vm()
        proxy = self.site.store_proxies[vm.name]
        spans = [self.disruptions.begin(vm.name),
                 self.disruptions.begin(vm.name + " unplanned")]
        for name, value in values.items():
            setattr(proxy, name, value)
        await asyncio.sleep(seconds)
        proxy.heal()
        for each in spans:
            self.disruptions.end(each)

    async def store_cut_one_way(self):
        direction = self.random.choice(["is_cut_up", "is_cut_down"])
        await self._disturb_store_link(self.random.uniform(1, 5),
                                       **{direction: True})

    async def store_refuses_one(self):
        await self._disturb_store_link(self.random.uniform(1, 5), refuses=True)

    async def store_connections_reset(self):
        for name, proxy in self.site.store_proxies.items():
            span = self.disruptions.begin(name)
            proxy.reset()
            self.disruptions.end(span)

    async def store_connections_silent(self):
        for name, proxy in self.site.store_proxies.items():
            span = self.disruptions.begin(name)
            proxy.silence()
            self.disruptions.end(span)

    # Replicas.

    def _replica(self):
        ready = [(replica, proxy)
                 for replica, proxy in self.site.replicas.values()
                 if replica.state == "ready"]
        return self.random.choice(ready)

    async def _with_replica(self, target, seconds, **values):
        span = self.disruptions.begin("replicas")
        before = {name: getattr(target, name) for name in values}
        for name, value in values.items():
            setattr(target, name, value)
        await asyncio.sleep(seconds)
        for name, value in before.items():
            setattr(target, name, value)
        self.disruptions.end(span)

    async def replica_slow(self):
        await self._with_replica(self._replica()[0], self.random.uniform(1, 5),
                                 slowness=12.0)

    async def replica_fails(self):
        await self._with_replica(self._replica()[0], self.random.uniform(1, 5),
                                 failed_share=0.5)

    async def replica_answers_lost(self):
        await self._with_replica(self._replica()[0], self.random.uniform(1, 5),
                                 lost_share=0.5)

    async def replica_garbles(self):
        await self._with_replica(self._replica()[0], self.random.uniform(1, 5),
                                 garbled_share=0.3)

    async def replica_delayed(self):
        await self._with_replica(self._replica()[1], self.random.uniform(1, 4),
                                 delay_s=self.random.uniform(0.05, 0.4))

    async def replica_cut_one_way(self):
        direction = self.random.choice(["is_cut_up", "is_cut_down"])
        await self._with_replica(self._replica()[1], self.random.uniform(1, 4),
                                 **{direction: True})

    async def replica_asks_for_pause(self):
        replica = self._replica()[0]
        replica.pause_s = self.random.uniform(1, 3)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        replica.pause_s = 0.0

    async def replica_names_limit(self):
        replica = self._replica()[0]
        replica.limit = self.random.uniform(2, 20)
        await asyncio.sleep(self.random.uniform(6, 12))
        replica.limit = None

    async def replicas_paused(self):
        loop = asyncio.get_running_loop()
        for replica, _ in list(self.site.replicas.values()):
            if self.random.random() < 0.3:
                replica.paused_until = loop.time() + self.random.uniform(0.1, 1)

    async def replica_connections_reset(self):
        span = self.disruptions.begin("replicas")
        self._replica()[1].reset()
        self.disruptions.end(span)

    async def replica_connections_silent(self):
        span = self.disruptions.begin("replicas")
        for _, proxy in self.random.sample(list(self.site.replicas.values()), 4):
            proxy.silence()
        await asyncio.sleep(0.1)
        self.disruptions.end(span)

    async def replica_crashes(self):
        span = self.disruptions.begin("replicas")
        replica, _ = self._replica()
        service = replica.service
        await self.site.end_replica(replica)
        asyncio.ensure_future(self.site.expire_entry(replica))
        await asyncio.sleep(self.random.uniform(0.5, 4))
        await self.site.add_replica(service)
        self.disruptions.end(span)

    async def crashing_request(self):
        """A request that ends each replica that runs it comes again and again."""
        span = self.disruptions.begin("replicas")
        prefix = self.random.choice(["/one/", "/find/"])
        path = f"{prefix}{CRASHING}{self.random.randint(1, 1_000_000)}"
        end = time.monotonic() + self.random.uniform(6, 12)
        while time.monotonic() < end:
            await self.site.callers.ask(self._vm(), prefix, path=path)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
        await asyncio.sleep(CRASH_RETURN_S)
        self.disruptions.end(span)

    async def replica_restarts_same_id(self):
        span = self.disruptions.begin("replicas")
        replica, _ = self._replica()
        proxy = await self.site.end_replica(replica, stops_proxy=False)
        await asyncio.sleep(self.random.uniform(0.1, 1))
        await self.site.add_replica(replica.service, replica.instance, proxy)
        self.disruptions.end(span)

    async def address_reused(self):
        """Starts a replica of another service at the address of one that ended."""
        span = self.disruptions.begin("replicas")
        replica, _ = self._replica()
        other, _ = self._replica()
        proxy = await self.site.end_replica(replica, stops_proxy=False)
        asyncio.ensure_future(self.site.expire_entry(replica))
        await asyncio.sleep(2.0)
        await self.site.add_replica(other.service, proxy=proxy)
        await self.site.add_replica(replica.service)
        self.disruptions.end(span)

    async def replicas_drained(self):
        replica, _ = self._replica()
        await self.site.add_replica(replica.service)
        await asyncio.sleep(0.5)
        await self.site.drain(replica)

    async def replica_leaves_silently(self):
        replica, _ = self._replica()
        await self.site.add_replica(replica.service)
        await asyncio.sleep(0.5)
        await self.site.leave_silently(replica)

    async def replicas_leave_unseen(self):
        """Replicas leave while the VM that reads the store for its data centre
        is partitioned off from the store."""
        reader = self.site.vms[0]  # the first by name reads for the others
        cut = asyncio.ensure_future(self._disturb_store_link(
            self.random.uniform(3, 6), reader, is_cut_down=True))
        await asyncio.sleep(self.random.uniform(0, 2))
        leave = self.random.choice(
            [self.replicas_drained, self.replica_leaves_silently])
        await asyncio.gather(leave(), leave())
        await cut

    async def forged_entry(self):
        name = f"forged-{self.random.randint(1, 99)}"
        self.site.store.put("servers", name, self.random.choice(
            [{"Service": "nobody", "State": "asleep"}, [1, 2], "text",
             {"Service": 7, "Address": True}]))
        await asyncio.sleep(2.0)
        self.site.store.remove("servers", name)

    # Planned changes.

    async def configurations(self):
        for _ in range(self.random.randint(1, 4)):
            self.site.change_routes()
            await asyncio.sleep(self.random.uniform(0.05, 1.5))

    async def repartitioned(self):
        await self.site.reshard()
