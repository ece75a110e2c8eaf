"""The platform's store: objects, lists, watches, writes. Each VM gets an address
of its own, at which calls can be refused or left unanswered."""

import asyncio
import json
import urllib.parse

from . import wire

PAGE_ITEMS = 500
MAX_WATCH_S = 30.0


class Endpoint:
    """An address of the store for one VM."""

    def __init__(self):
        self.address = None
        self.mode = "open"  # open, busy (503), silent (no answer)
        self.delay_s = 0.0
        self.server = None
        self.calls = 0


class Store:
    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.endpoints = []

    async def add_endpoint(self, host, port=0):
        at = Endpoint()
        at.server = await asyncio.start_server(
            lambda r, w: self._accept(at, r, w), host, port)
        at.address = "%s:%d" % at.server.sockets[0].getsockname()[:2]
        self.endpoints.append(at)
        return at

    def close(self):
        for each in self.endpoints:
            each.server.close()

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known["meta"]["Rev"]
        self.revision += 1
        created = known["meta"]["Created"] if known else self.revision
        objects[name] = {"meta": {"Name": name, "Rev": self.revision,
                                  "Created": created, "Finalizers": [],
                                  "Deleting": False},
                         "spec": spec, "status": None}
        self._record(kind, objects[name], False)
        return self.revision

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is None:
            return False
        self.revision += 1
        self._record(kind, gone, True)
        return True

    def _record(self, kind, item, is_deleted):
        self.history.append((self.revision, kind, item, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _accept(self, at, reader, writer):
        try:
            while True:
                asked = await wire.read_message(reader)
                if asked is None:
                    break
                at.calls += 1
                while at.mode == "silent":
                    await asyncio.sleep(0.05)
                if at.delay_s:
                    await asyncio.sleep(at.delay_s)
                if at.mode == "busy":
                    answer = wire.encode("HTTP/1.1 503 Busy", [])
                else:
                    answer = await self._execute(asked)
                while at.mode == "silent":
                    await asyncio.sleep(0.05)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _execute(self, asked):
        method, target, _ = asked.first.split()
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[2:]
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        if method == "GET":
            return await self._read(kind, name, query)
        return self._write(method, kind, name, query, asked.body)

    async def _read(self, kind, name, query):
        if name is not None:
            found = self.kinds.get(kind, {}).get(name)
            return wire.encode_json(200, found) if found else \
                wire.encode("HTTP/1.1 404 None", [])
        if "Watch" in query:
            return await self._watch(kind, query)
        objects = self.kinds.get(kind, {})
        names = sorted(n for n in objects if n > query.get("after", ""))
        return wire.encode_json(200, {
            "items": [objects[n] for n in names[:PAGE_ITEMS]],
            "HasMore": len(names) > PAGE_ITEMS, "AsOf": self.revision})

    async def _watch(self, kind, query):
        since = int(query["Watch"])
        wait_s = min(float(query.get("WaitMs", "0")) / 1000, MAX_WATCH_S)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            events = [{"Object": item, "Deleted": is_deleted}
                      for revision, of, item, is_deleted in self.history
                      if of == kind and revision > since]
            left = end - loop.time()
            if events or left <= 0:
                return wire.encode_json(200, {"events": events,
                                              "AsOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, query, body):
        body = json.loads(body) if body else {}
        if method == "POST":
            name = body["meta"]["Name"]
        known = self.kinds.get(kind, {}).get(name)
        if method == "POST" and known is not None:
            return wire.encode_json(409, known)
        if method != "POST" and known is None:
            return wire.encode("HTTP/1.1 404 None", [])
        asked = body.get("meta", {}).get("Rev") or query.get("Rev")
        if asked and known and int(asked) != known["meta"]["Rev"]:
            return wire.encode_json(409, known)
        if method == "DELETE":
            self.remove(kind, name)
            return wire.encode_json(200, known)
        self.put(kind, name, body.get("spec"))
        return wire.encode_json(200, self.kinds[kind][name])
