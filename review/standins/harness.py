"""Stand-ins for the platform's store, replicas and clients, and a launcher of
the gateway's processes. Only the standard library is used; every address is a
loopback address."""

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# The command of deploy/system.toml.
COMMAND = ["target/packages/daemon/carawaypond", "--gateway"]
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        print(line, file=self.file, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def pick_network():
    """Returns a prefix of loopback addresses that no other run uses, and the
    socket that reserves it."""
    for number in range(200):
        prefix = f"127.{30 + (os.getpid() + number) % 200}.7"
        reserved = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reserved.bind((f"{prefix}.250", 7001))
            return prefix, reserved
        except OSError:
            reserved.close()
    raise CannotRun("no free loopback network")


# HTTP on raw streams, so that a stand-in controls each byte.


class Message:
    """A request or an answer as it was read."""

    def __init__(self, first, headers, body, whole=True):
        self.first = first
        self.headers = headers  # list of (name, value)
        self.body = body
        self.whole = whole

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, is_answer=False):
    """Returns the next message, or None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers, b"")
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                message.body += data[:-2]
        elif message.get("Content-Length"):
            message.body = await reader.readexactly(
                int(message.get("Content-Length")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False
    return message


def text_of(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def answer_text(status, headers=(), body=b""):
    return text_of(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                   list(headers) + [("Content-Length", str(len(body)))], body)


class Server:
    """Accepts connections and hands each of them to serve()."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._accept, ip, port,
                                                 backlog=256)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        """Closes the listening socket and resets all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: objects with revisions, lists and watches."""

    PAGE_ITEMS = 500

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.kinds = {}
        self.revision = 10
        self.history = []  # (revision, kind, object, was deleted)
        self.changed = asyncio.Event()
        self.is_down = False
        self.calls = []  # (time, method, target)

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and known["spec"] == spec:
            return
        self.revision += 1
        made = {"meta": {"Name": name, "Rev": self.revision,
                         "Created": known["meta"]["Created"] if known
                         else self.revision, "Finalizers": [],
                         "Deleting": False}, "spec": spec, "status": None}
        objects[name] = made
        self._notify(kind, made, False)

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is None:
            return
        self.revision += 1
        gone = json.loads(json.dumps(gone))
        gone["meta"]["Rev"] = self.revision
        self._notify(kind, gone, True)

    def _notify(self, kind, made, deleted):
        self.history.append((self.revision, kind, made, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            asked = await read_message(reader)
            if asked is None:
                return
            self.calls.append((time.monotonic(), asked.method, asked.target))
            if self.is_down:
                status, body = 503, None
            else:
                status, body = await self._execute(asked)
            text = b"" if body is None else json.dumps(body).encode()
            writer.write(answer_text(
                status, [("Content-Type", "application/json")], text))
            await writer.drain()

    async def _execute(self, asked):
        path, _, query = asked.target.partition("?")
        parts = path.strip("/").split("/")
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        options = dict(each.split("=") for each in query.split("&") if each)
        objects = self.kinds.setdefault(kind, {})
        if asked.method == "GET":
            if name:
                return (200, objects[name]) if name in objects else (404, None)
            if "Watch" in options:
                return await self._watch(kind, options)
            names = sorted(n for n in objects if n > options.get("after", ""))
            items = [objects[n] for n in names[:self.PAGE_ITEMS]]
            return 200, {"items": items, "AsOf": self.revision,
                         "HasMore": len(names) > self.PAGE_ITEMS}
        if asked.method == "DELETE":
            if name not in objects:
                return 404, None
            known = objects[name]
            self.remove(kind, name)
            return 200, known
        body = json.loads(asked.body)
        if asked.method == "POST":
            name = body["meta"]["Name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, None
        self.put(kind, name, body["spec"])
        return 200, self.kinds[kind][name]

    async def _watch(self, kind, options):
        since = int(options["Watch"])
        end = time.monotonic() + int(options.get("WaitMs", "0")) / 1000
        while True:
            events = [{"Object": made, "Deleted": deleted}
                      for revision, of, made, deleted in self.history
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """A replica of one service. Runs each request at once; subclasses change
    what it answers."""

    def __init__(self, instance, service, store, record, zone="north-a"):
        super().__init__()
        self.instance = instance
        self.service = service
        self.store = store
        self.record = record
        self.zone = zone
        self.state = "ready"
        self.slots = 4
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # request ids, in order
        self.connections = 0

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.instance, {
            "Service": self.service, "Address": self.address,
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "WarmupLeftMs": 0,
            "Sequence": self.sequence, "born": self.born})

    def stamp(self, request_id):
        return f"{self.instance}.{request_id}"

    def head(self, asked):
        request_id = asked.get("X-Request-Id")
        return [("X-Request-Id", request_id),
                ("X-Server-Stamp", self.stamp(request_id))]

    def run(self, asked):
        """Records that work on a request began."""
        request_id = asked.get("X-Request-Id")
        self.runs.append(request_id)
        self.record(f"{self.instance} RUNS {asked.method} {asked.target} "
                    f"id={request_id}")

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while True:
            asked = await read_message(reader)
            if asked is None or not asked.whole:
                return
            expected = asked.get("X-Expect-Instance", self.instance)
            if expected != self.instance:
                self.record(f"{self.instance} answers 421 to "
                            f"id={asked.get('X-Request-Id')}")
                writer.write(answer_text(421, [
                    ("X-Request-Id", asked.get("X-Request-Id")),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Id", self.instance)]))
                continue
            if not await self.handle(asked, reader, writer, number):
                return

    async def handle(self, asked, reader, writer, connection):
        """Answers one request; returns whether the connection stays open."""
        self.run(asked)
        writer.write(answer_text(200, self.head(asked), b"done"))
        await writer.drain()
        return True


class Vm:
    """One gateway process."""

    PORTS = ("Front", "Ready", "Control", "directory")

    def __init__(self, number, prefix, store, folder, record, zone="north-a",
                 ports=None, bounds=None):
        self.name = f"front-{zone}-{number}"
        self.ip = f"{prefix}.{number + 1}"
        self.zone = zone
        self.folder = folder
        self.record = record
        self.ports = ports or {each: free_port(self.ip) for each in self.PORTS}
        self.store_address = store.address
        self.bounds = bounds or {}
        self.seeds = []
        self.internal = [7380, 7395]
        self.process = None
        self.log = None

    def address(self, port="Front"):
        return self.ip, self.ports[port]

    def write_settings(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        bounds = {"SeedLagS": 3, "ReuseAfterS": 2, "StabilityWindowMs": 4000,
                  "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6,
                  "LossSlackMs": 200, "ConfigApplyMs": 3000,
                  "DowngradeMs": 250, "MaxSkewMs": 12000,
                  "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
                  "RetryBudgetSlack": 56, "RecoverS": 12, "ttl_max_s": 5}
        bounds.update(self.bounds)
        content = {
            "Node": self.name, "Role": "gateway", "Class": "front",
            "Serves": ["front", "control", "directory"], "Ip": self.ip,
            "Zone": self.zone, "Region": "north",
            "Zones": {self.zone: "north"},
            "Listen": {name: f"{self.ip}:{port}"
                       for name, port in self.ports.items()},
            "InternalPortRange": self.internal, "Seeds": self.seeds,
            "Bootstrap": True, "CountsAsLoss": False,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "directory",
            "HeartbeatMs": 1200, "Bounds": bounds,
            "platform": {"Address": self.store_address, "form": "objects",
                         "WritesPerS": 400, "ReadsPerS": 2000,
                         "RetentionS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000}}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file)
        return path

    async def start(self):
        path = self.write_settings()
        if self.log is None:
            self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"CARAWAYPOND_BOOT": path, "PATH": os.environ["PATH"]})
        self.record(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def await_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                answer = await asyncio.wait_for(
                    ask(self.address("Ready"), "GET", "/readyz"), 1)
                if answer and answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        if self.log:
            self.log.close()
            self.log = None


async def ask(address, method, target, headers=(), body=b""):
    """Sends one request on a new connection; returns the answer, or None if the
    connection ended without one."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = [("Host", HOST)] + list(headers)
        if body:
            head.append(("Content-Length", str(len(body))))
        writer.write(text_of(f"{method} {target} HTTP/1.1", head, body))
        return await read_message(reader)
    finally:
        writer.close()


class Site:
    """A small deployment; run() executes a case and returns its exit code."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.prefix, self.reservation = pick_network()
        self.store = Store(self.record)
        self.replicas = []
        self.vms = []
        self.version = 3

    async def start_store(self):
        await self.store.start(f"{self.prefix}.200")

    async def add_replica(self, replica, register=True):
        await replica.start(f"{self.prefix}.201")
        self.replicas.append(replica)
        if register:
            replica.register()
        return replica

    def configure(self, routes, max_conns=26):
        self.version += 4
        names = set()
        for route in routes:
            names |= set(route.get("Gather", []))
            names |= {each["Service"] for each in route.get("Backends", [])}
            if "Service" in route:
                names.add(route["Service"])
        self.store.put("config", "main", {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz",
                          "MaxConns": max_conns, "Protocol": "h1",
                          "Tls": False} for name in sorted(names)],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})

    async def add_vms(self, count, zones=("north-a",), **options):
        ports = None
        for number in range(count):
            vm = Vm(number, self.prefix, self.store, self.folder, self.record,
                    zone=zones[number % len(zones)], ports=ports, **options)
            ports = vm.ports  # ports are the same on all machines
            self.vms.append(vm)
        for vm in self.vms:
            vm.seeds = ["%s:%d" % each.address("Control")
                        for each in self.vms[:3]]
            await vm.start()
        for vm in self.vms:
            await vm.await_ready()

    async def close(self):
        for vm in self.vms:
            await vm.kill()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        self.reservation.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind="safe", timeout_ms=4000, target_ms=400,
          max_attempts=2, **target):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms,
            "Priority": 1, "MaxAttempts": max_attempts, **target}


def main(case_folder, case, limit_s=110):
    """Runs the coroutine function `case` on a Site and exits with its code."""

    async def run():
        site = Site(case_folder)
        try:
            return await asyncio.wait_for(case(site), limit_s)
        except (CannotRun, asyncio.TimeoutError) as error:
            site.record(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await site.close()

    try:
        code = asyncio.run(run())
    except OSError as error:
        print(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    raise SystemExit(code)
