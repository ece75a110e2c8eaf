"""Callers: they resolve addresses, reuse connections and report each answer to
the observer, which checks it."""

import asyncio
import random
import time

import aiohttp

from soak.observer import Answer

HOST = "h.soak.example"
TIMEOUT_MS = {"/find/": 1_500, "/quick/": 800, "/one/": 3_000,
              "/pay/": 3_000, "/split/": 3_000, "/move/": 3_000}
GIVE_UP_SHARE = 0.04
DIRECTORY_S = 2.0
PAUSE_S = (0.02, 0.12)


class Callers:
    """A number of callers, each with one request at a time."""

    def __init__(self, vms, observer, seed, targets):
        self.vms = vms
        self.observer = observer
        self.targets = targets  # path prefix -> services that it goes to
        self.random = random.Random(seed)
        self.by_address = {vm.address(): vm for vm in vms}
        self.number = 0
        self.tasks = []
        self.session = None

    async def start(self, count):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=10),
            auto_decompress=False)
        self.tasks = [asyncio.ensure_future(self._run())
                      for _ in range(count)]

    async def stop(self):
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()

    async def _run(self):
        addresses, asked_at = [], 0.0
        while True:
            if time.monotonic() - asked_at > DIRECTORY_S or not addresses:
                addresses = await self._resolve() or addresses
                asked_at = time.monotonic()
            if not addresses:
                await asyncio.sleep(0.2)
                continue
            vm = self.by_address.get(self.random.choice(addresses))
            prefix = self.random.choice(list(TIMEOUT_MS))
            answer = await self.ask(vm, prefix)
            if answer.status is None or answer.status >= 500:
                addresses = []
            await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def _resolve(self):
        for vm in self.random.sample(self.vms, 3):
            url = (f"http://{vm.address('directory')}/resolve?Name={HOST}"
                   f"&Region=norrland&Zone={vm.centre}")
            try:
                async with self.session.get(
                        url, timeout=aiohttp.ClientTimeout(1)) as got:
                    return (await got.json())["addrs"]
            except (OSError, asyncio.TimeoutError, aiohttp.ClientError,
                    KeyError, ValueError):
                continue
        return []

    async def ask(self, vm, prefix, gives_up=True, path=None):
        """Sends one request to a VM, to a path of its own unless one is given;
        returns how it ended."""
        self.number += 1
        answer = Answer(f"q{self.number:06d}", vm.name,
                        path or f"{prefix}{self.number}", time.monotonic())
        self.observer.on_sent(answer, self.targets(prefix))
        timeout_ms = TIMEOUT_MS.get(prefix, 2_000)
        wait_s = timeout_ms / 1000 + 1.0
        gives_up_early = gives_up and self.random.random() < GIVE_UP_SHARE
        if gives_up_early:
            wait_s = self.random.uniform(0.002, 0.05)
        method = "POST" if prefix in self.observer.unsafe else "GET"
        headers = {"Host": HOST, "X-Request-Id": answer.id,
                   "X-Deadline-Ms": str(timeout_ms)}
        try:
            async with self.session.request(
                    method, f"http://{vm.address()}{answer.path}",
                    headers=headers, data=b"x" if method == "POST" else None,
                    timeout=aiohttp.ClientTimeout(wait_s)) as got:
                answer.body = await got.read()
                answer.headers = dict(got.headers)
                answer.headers["X-Part-Stamps"] = ",".join(
                    got.headers.getall("X-Part-Stamps", []))
                answer.status = got.status
        except asyncio.TimeoutError:
            answer.gave_up_at = time.monotonic()
        except (OSError, aiohttp.ClientError):
            pass
        answer.ended = time.monotonic()
        self.observer.on_answer(answer)
        return answer
