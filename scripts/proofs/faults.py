"""A seeded schedule of failures."""

import heapq
import itertools
import time

GAP = (0.1, 0.9)  # seconds between two failures
MAX_DISTURBED_VMS = 3  # of 8, so that the others are a majority
MAX_DISTURBED_SERVERS = 3
LEAVING_LIMIT_US = 3_000_000  # to the last new subrequest
LEAVING_CHECK_DELAY = 6.0  # seconds after a server begins to leave
PAUSE = (2.0, 14.0)  # seconds; the longest is above every timeout
OUTAGE = (0.5, 12.0)  # seconds

STORE_FAULTS = {
    "store down": ({"down": True}, {"down": False}),
    "store slow": ({"delay_ms": 1500}, {"delay_ms": 0}),
    "lost answers": ({"lose_answer_after_write": 0.5},
                     {"lose_answer_after_write": 0.0}),
    "stale watch": ({"stale_watch": True, "stale_watch_ms": 4000},
                    {"stale_watch": False}),
    "VM list lag": ({"vm_list_lag_ms": 8000}, {"vm_list_lag_ms": 0}),
    "store rejects": ({"reject_reads": 0.5, "reject_writes": 0.5},
                      {"reject_reads": 0.0, "reject_writes": 0.0}),
}
SERVER_FAULTS = {
    "stall": {"stall": True}, "slow": {"slow": 20.0},
    "drop after run": {"drop_after_run": 0.3}, "garbage": {"garbage": 0.3},
    "truncate": {"truncate": 0.3}, "stale answer": {"stale_answer": 0.3},
    "shed": {"shed_ratio": 0.5}, "fail": {"fail_ratio": 0.3},
    "reorder": {"reorder_ms": 200}, "health lies": {"lie_health": "healthy"},
}


class Faults:
    """Starts random failures and ends each after its duration."""

    def __init__(self, fleet, vms, layouts, services, report, random):
        self.fleet = fleet
        self.vms = vms
        self.layouts = layouts
        self.services = services
        self.report = report
        self.random = random
        self.scheduled = []
        self.sequence = itertools.count()
        self.disturbed_vms = set()
        self.disturbed_servers = set()
        self.active_store_faults = 0
        self.leaving_count = 0
        self.servers = [server for service in services
                        for server in self.servers_of(service)]
        self.kinds = [self.kill, self.pause, self.replace, self.store,
                      self.server_fault, self.server_fault, self.server_stop,
                      self.drain, self.leave, self.advance, self.withdraw,
                      self.repartition, self.versions]

    def servers_of(self, service):
        _, body = self.fleet.platform_call("GET",
                                           f"/v1/objects/index/{service}")
        return [server["name"] for server in body["value"]["servers"]]

    # The schedule

    def run(self, count):
        for _ in range(count):
            self.random.choice(self.kinds)()
            self.wait(self.random.uniform(*GAP))

    def wait(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.run_due()
            time.sleep(0.05)

    def run_due(self):
        while self.scheduled and self.scheduled[0][0] <= time.monotonic():
            heapq.heappop(self.scheduled)[2]()
        for name in self.vms.end_stops():
            self.restart(name)

    def end_all(self):
        while self.scheduled or self.vms.stopping:
            self.wait(0.2)

    def schedule(self, seconds, action):
        heapq.heappush(self.scheduled, (time.monotonic() + seconds,
                                        next(self.sequence), action))

    # VMs

    def pick_vm(self):
        healthy = sorted(set(self.vms.healthy()) - self.disturbed_vms)
        if not healthy or len(self.disturbed_vms) >= MAX_DISTURBED_VMS:
            return None
        name = self.random.choice(healthy)
        self.disturbed_vms.add(name)
        return name

    def restart(self, name):
        self.vms.restart(name, fresh=self.random.random() < 0.5)
        self.schedule(2.0, lambda: self.disturbed_vms.discard(name))

    def kill(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM killed")
        self.vms.kill(name)
        self.schedule(self.random.uniform(0.0, 6.0), lambda: self.restart(name))

    def pause(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM paused")
        self.vms.pause(name)
        self.schedule(self.random.uniform(*PAUSE), lambda: self.resume(name))

    def resume(self, name):
        self.vms.resume(name)
        self.schedule(2.0, lambda: self.disturbed_vms.discard(name))

    def replace(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM stopped gracefully and replaced")
        self.vms.begin_stop(name)

    # The platform

    def store(self):
        if self.leaving_count:
            return
        kind = self.random.choice(sorted(STORE_FAULTS))
        begin, end = STORE_FAULTS[kind]
        self.report.event(kind)
        self.active_store_faults += 1
        self.fleet.platform_call("POST", "/control", begin)
        self.schedule(self.random.uniform(*OUTAGE),
                      lambda: self.end_store_fault(end))

    def end_store_fault(self, end):
        self.fleet.platform_call("POST", "/control", end)
        self.active_store_faults -= 1

    # Backend servers

    def pick_server(self):
        healthy = [name for name in self.servers
                   if name not in self.disturbed_servers]
        if len(self.disturbed_servers) >= MAX_DISTURBED_SERVERS:
            return None
        name = self.random.choice(healthy)
        self.disturbed_servers.add(name)
        return name

    def control(self, server, **fields):
        return self.fleet.backends_call("POST", "/control",
                                        {"server": server, **fields})

    def server_fault(self):
        if (name := self.pick_server()) is None:
            return
        kind = self.random.choice(sorted(SERVER_FAULTS))
        self.report.event(f"server {kind}")
        self.control(name, faults=SERVER_FAULTS[kind])
        self.schedule(self.random.uniform(0.5, 6.0),
                      lambda: self.restore_server(
                          name, faults={"clear": True}))

    def restore_server(self, name, **fields):
        self.control(name, **fields)
        self.disturbed_servers.discard(name)

    def server_stop(self):
        if (name := self.pick_server()) is None:
            return
        self.report.event("server lost")
        self.control(name, action="stop")
        self.schedule(self.random.uniform(0.5, 6.0),
                      lambda: self.restore_server(name, action="start"))

    def drain(self):
        self.begin_leaving("drain", "undrain", {"grace_ms": 30_000})

    def leave(self):
        if not self.active_store_faults:
            self.begin_leaving("leave", "return", {})

    def begin_leaving(self, begin, end, fields):
        if (name := self.pick_server()) is None:
            return
        self.report.event(f"server sign {begin}")
        self.leaving_count += 1
        self.control(name, action=begin, **fields)
        self.schedule(LEAVING_CHECK_DELAY,
                      lambda: self.check_leaving(name, begin, end))

    def check_leaving(self, name, begin, end):
        _, body = self.fleet.backends_call("GET", "/control/stats")
        row = next(row for row in body["servers"] if row["server"] == name)
        late = (row["last_received_after_leaving_us"]
                - row["leaving_since_us"])
        self.report.check("no new work 3 s after the sign",
                          late <= LEAVING_LIMIT_US, (name, begin, row))
        self.leaving_count -= 1
        self.control(name, action=end)
        self.restore_server(name, action="undrain")

    # Indexes

    def change_index(self, event, change):
        service = self.random.choice(self.services)
        self.report.event(event)
        self.fleet.backends_call("POST", "/control",
                                 {"service": service, "index": change})

    def advance(self):
        self.change_index("index advances at once",
                   {"advance": self.random.randint(1, 5)})

    def versions(self):
        self.change_index("index advances steadily",
                   {"version_every_ms": self.random.choice([50, 200, 1000])})

    def withdraw(self):
        service = self.random.choice(self.services)
        _, body = self.fleet.backends_call("GET", "/control/indexes")
        newest = {row["name"]: row["newest"] for row in body["indexes"]}
        self.report.event("version withdrawn")
        self.fleet.backends_call(
            "POST", "/control", {"service": service, "index": {
                "withdraw": newest[service], "advance": 1}})

    def repartition(self):
        service = self.random.choice(self.services)
        self.report.event("repartitioned")
        self.layouts.repartition(service, self.random.randint(2, 8), 2)
        self.schedule(1.0, lambda: self.fleet.backends_call(
            "POST", "/control", {"service": service,
                                 "index": {"advance": 3}}))
