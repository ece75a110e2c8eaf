"""A seeded schedule of failures."""

import heapq
import itertools
import time

GAP = (0.1, 0.9)  # seconds between failures
MAX_HURT_VMS = 3  # of 8; the rest stay a majority
MAX_HURT_SERVERS = 3
SIGN_LIMIT_US = 3_000_000  # from a sign to the last new subrequest
JUDGE_AFTER = 6.0  # seconds from a sign
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
    """Begins failures at random and ends each when its time is over."""

    def __init__(self, fleet, vms, layouts, services, report, random):
        self.fleet = fleet
        self.vms = vms
        self.layouts = layouts
        self.services = services
        self.report = report
        self.random = random
        self.ends = []
        self.order = itertools.count()
        self.hurt_vms = set()
        self.hurt_servers = set()
        self.store_hurt = 0
        self.signs = 0
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
            self.turn()
            time.sleep(0.05)

    def turn(self):
        while self.ends and self.ends[0][0] <= time.monotonic():
            heapq.heappop(self.ends)[2]()
        for name in self.vms.end_stops():
            self.restart(name)

    def end_all(self):
        while self.ends or self.vms.stopping:
            self.wait(0.2)

    def later(self, seconds, act):
        heapq.heappush(self.ends, (time.monotonic() + seconds,
                                   next(self.order), act))

    # VMs

    def pick_vm(self):
        well = sorted(set(self.vms.well()) - self.hurt_vms)
        if not well or len(self.hurt_vms) >= MAX_HURT_VMS:
            return None
        name = self.random.choice(well)
        self.hurt_vms.add(name)
        return name

    def restart(self, name):
        self.vms.restart(name, fresh=self.random.random() < 0.5)
        self.later(2.0, lambda: self.hurt_vms.discard(name))

    def kill(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM killed")
        self.vms.kill(name)
        self.later(self.random.uniform(0.0, 6.0), lambda: self.restart(name))

    def pause(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM paused")
        self.vms.pause(name)
        self.later(self.random.uniform(*PAUSE), lambda: self.resume(name))

    def resume(self, name):
        self.vms.resume(name)
        self.later(2.0, lambda: self.hurt_vms.discard(name))

    def replace(self):
        if (name := self.pick_vm()) is None:
            return
        self.report.event("VM stopped gracefully and replaced")
        self.vms.begin_stop(name)

    # The platform

    def store(self):
        if self.signs:
            return
        kind = self.random.choice(sorted(STORE_FAULTS))
        begin, end = STORE_FAULTS[kind]
        self.report.event(kind)
        self.store_hurt += 1
        self.fleet.platform_call("POST", "/control", begin)
        self.later(self.random.uniform(*OUTAGE), lambda: self.heal(end))

    def heal(self, end):
        self.fleet.platform_call("POST", "/control", end)
        self.store_hurt -= 1

    # Backend servers

    def pick_server(self):
        well = [name for name in self.servers if name not in self.hurt_servers]
        if len(self.hurt_servers) >= MAX_HURT_SERVERS:
            return None
        name = self.random.choice(well)
        self.hurt_servers.add(name)
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
        self.later(self.random.uniform(0.5, 6.0), lambda: self.mend(
            name, faults={"clear": True}))

    def mend(self, name, **fields):
        self.control(name, **fields)
        self.hurt_servers.discard(name)

    def server_stop(self):
        if (name := self.pick_server()) is None:
            return
        self.report.event("server lost")
        self.control(name, action="stop")
        self.later(self.random.uniform(0.5, 6.0), lambda: self.mend(
            name, action="start"))

    def drain(self):
        self.sign("drain", "undrain", {"grace_ms": 30_000})

    def leave(self):
        if not self.store_hurt:
            self.sign("leave", "return", {})

    def sign(self, begin, end, fields):
        if (name := self.pick_server()) is None:
            return
        self.report.event(f"server sign {begin}")
        self.signs += 1
        self.control(name, action=begin, **fields)
        self.later(JUDGE_AFTER, lambda: self.judge_sign(name, begin, end))

    def judge_sign(self, name, begin, end):
        _, body = self.fleet.backends_call("GET", "/control/stats")
        row = next(row for row in body["servers"] if row["server"] == name)
        late = (row["last_received_after_leaving_us"]
                - row["leaving_since_us"])
        self.report.check("no new work 3 s after the sign",
                          late <= SIGN_LIMIT_US, (name, begin, row))
        self.signs -= 1
        self.control(name, action=end)
        self.mend(name, action="undrain")

    # Indexes

    def index(self, event, change):
        service = self.random.choice(self.services)
        self.report.event(event)
        self.fleet.backends_call("POST", "/control",
                                 {"service": service, "index": change})

    def advance(self):
        self.index("index advances at once",
                   {"advance": self.random.randint(1, 5)})

    def versions(self):
        self.index("index advances steadily",
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
        self.later(1.0, lambda: self.fleet.backends_call(
            "POST", "/control", {"service": service,
                                 "index": {"advance": 3}}))
