"""The platform's store: objects with revisions, lists, watches, conditional
writes, and injected faults."""

import asyncio
import collections
import copy
import random
import time

from aiohttp import web

PAGE_ITEMS = 500
MAX_WATCH_S = 30.0
WATCH_STEP_S = 0.02
COPY_INTERVAL_S = 0.5
MAX_COPY_AGE_S = 10.0
READ_ONLY_KINDS = ("config", "servers")


class StoreState:
    """The injected faults of the store."""

    def __init__(self):
        self.is_down = False  # answers 503
        self.is_silent = False  # answers nothing
        self.delay_s = 0.0
        self.lost_share = 0.0  # of the answers, after the call was executed
        self.refused = set()  # source addresses that get 503


class Store:
    """Holds objects by kind and name; every change increments one revision.

    It can come back from an older copy, which begins its next era."""

    def __init__(self, seed):
        self.state = StoreState()
        self.random = random.Random(seed)
        self.kinds = collections.defaultdict(dict)
        self.revision = 1
        self.history = []  # (revision, kind, object, was deleted)
        self.forgotten = 0  # newest revision whose history was dropped
        self.era = 1
        self.copies = collections.deque()  # (time, kinds, revision)
        self.copying = None
        self.calls = collections.Counter()
        self.runner = None

    async def start(self, host, port=0):
        application = web.Application(client_max_size=4 << 20)
        application.router.add_route("*", "/objects/{kind}", self._serve)
        application.router.add_route("*", "/objects/{kind}/{name}", self._serve)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port, shutdown_timeout=0.1)
        await site.start()
        self.copying = asyncio.ensure_future(self._keep_copies())
        return self.runner.addresses[0][:2]

    async def stop(self):
        self.copying.cancel()
        await self.runner.cleanup()

    def put(self, kind, name, spec):
        """Writes an object without a condition; returns its revision."""
        known = self.kinds[kind].get(name)
        if known is not None and known["spec"] == spec:
            return known["meta"]["Rev"]
        self.revision += 1
        created = known["meta"]["Created"] if known else self.revision
        made = {"meta": {"Name": name, "Rev": self.revision,
                         "Created": created, "Finalizers": [],
                         "Deleting": False},
                "spec": spec, "status": None}
        self.kinds[kind][name] = made
        self.history.append((self.revision, kind, made, False))
        return self.revision

    def remove(self, kind, name):
        gone = self.kinds[kind].pop(name, None)
        if gone is None:
            return False
        self.revision += 1
        self.history.append((self.revision, kind, gone, True))
        return True

    def forget_history(self):
        """Drops the history; watches from an older revision get 410."""
        self.history.clear()
        self.forgotten = self.revision

    def _take_copy(self):
        self.copies.append((time.monotonic(), copy.deepcopy(self.kinds),
                            self.revision))

    async def _keep_copies(self):
        while True:
            self._take_copy()
            while self.copies[0][0] < time.monotonic() - MAX_COPY_AGE_S:
                self.copies.popleft()
            await asyncio.sleep(COPY_INTERVAL_S)

    def restore(self, age_s):
        """Goes back to the newest copy that is at least that old, or else to the
        oldest one. Later revisions are given out again."""
        limit = time.monotonic() - age_s
        usable = [each for each in self.copies if each[0] <= limit]
        _, kinds, self.revision = usable[-1] if usable else self.copies[0]
        self.kinds = copy.deepcopy(kinds)
        self.history = [each for each in self.history
                        if each[0] <= self.revision]
        self.forgotten = min(self.forgotten, self.revision)
        self.copies.clear()
        self._take_copy()
        self.era += 1

    async def _serve(self, request):
        answer = await self._answer(request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request):
        state = self.state
        if request.remote in state.refused or state.is_down:
            return web.Response(status=503)
        if state.is_silent:
            await asyncio.sleep(3600)
        if state.delay_s:
            await asyncio.sleep(state.delay_s)
        kind = request.match_info["kind"]
        name = request.match_info.get("name")
        answer = await self._execute(request, kind, name)
        if self.random.random() < state.lost_share:
            request.transport.abort()
        return answer

    async def _execute(self, request, kind, name):
        if request.method == "GET":
            self.calls["watch" if "Watch" in request.query else "read"] += 1
            return await self._read(request, kind, name)
        self.calls["write"] += 1
        if kind in READ_ONLY_KINDS:
            return web.Response(status=403)
        return await self._write(request, kind, name)

    async def _read(self, request, kind, name):
        if name is not None:
            found = self.kinds[kind].get(name)
            if found is None:
                return web.Response(status=404)
            return web.json_response(found)
        if "Watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for n in self.kinds[kind] if n > after)
        items = [self.kinds[kind][n] for n in names[:PAGE_ITEMS]]
        return web.json_response({"items": items, "AsOf": self.revision,
                                  "HasMore": len(names) > PAGE_ITEMS})

    async def _watch(self, request, kind):
        since = int(request.query["Watch"])
        wait_s = min(int(request.query.get("WaitMs", "0")) / 1000, MAX_WATCH_S)
        end = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.state.is_down or self.era != era:
                return web.Response(status=503)
            if since < self.forgotten or since > self.revision:
                return web.Response(status=410)
            events = [{"Object": made, "Deleted": was_deleted}
                      for revision, of, made, was_deleted in self.history
                      if of == kind and revision > since]
            if events or time.monotonic() >= end:
                return web.json_response({"events": events,
                                          "AsOf": self.revision})
            await asyncio.sleep(WATCH_STEP_S)

    async def _write(self, request, kind, name):
        body = {}
        if request.method in ("POST", "PUT"):
            body = await request.json()
        if request.method == "POST":
            name = body["meta"]["Name"]
            if name in self.kinds[kind]:
                return web.json_response(self.kinds[kind][name], status=409)
        known = self.kinds[kind].get(name)
        if request.method != "POST" and known is None:
            return web.Response(status=404)
        asked = body.get("meta", {}).get("Rev") or request.query.get("Rev")
        if asked and known and int(asked) != known["meta"]["Rev"]:
            return web.json_response(known, status=409)
        if request.method == "DELETE":
            self.remove(kind, name)
            return web.json_response(known)
        self.put(kind, name, body["spec"])
        return web.json_response(self.kinds[kind][name])
