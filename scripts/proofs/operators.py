"""Operators that submit conflicting patches, and checks of the versions
that are in force."""

import random
import threading
import time

from fleet import call

ROLLOUT_LIMIT = 5.0  # seconds from acceptance to force on every serving VM
RACE_PAUSE = 0.5  # seconds
PROBE_PAUSE = 0.2  # seconds
SUBMIT_TIMEOUT = 15.0  # seconds


class Operators:
    """Two operators patch the same version at two VMs at the same time."""

    def __init__(self, fleet, vms, services, report, seed):
        self.fleet = fleet
        self.vms = vms
        self.services = services
        self.report = report
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.accepted = {name: [(1, time.monotonic())] for name in services}
        self.rounds = 0
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.race_loop),
                        threading.Thread(target=self.probe_loop)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    # Racing patches

    def race_loop(self):
        while not self.stopping.wait(RACE_PAUSE):
            self.race(self.random.choice(self.services))

    def race(self, service):
        current = self.read_stored(service)
        serving = self.vms.serving()
        if current is None or len(serving) < 2:
            return
        base = current["version"]
        self.rounds += 1
        answers = {}
        threads = [threading.Thread(
            target=self.submit, args=(answers, f"race-{self.rounds}-{number}",
                                      addresses["operators"], service, base))
            for number, (_, addresses, _) in enumerate(
                self.random.sample(serving, 2))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.check_race(service, base, answers)

    def submit(self, answers, submission, operator, service, base):
        burst = self.random.randint(1, 100)
        try:
            status, body = call(
                operator, "PATCH", f"/v1/services/{service}",
                {"submission": submission, "version": base,
                 "patch": {"extra_load": {"burst": burst}}},
                timeout=SUBMIT_TIMEOUT)
        except OSError:
            status, body = 0, {}
        if status == 200:
            self.accept(service, body["version"])
        self.report.event(f"patch answered {status or 'by silence'}")
        answers[submission] = status

    def accept(self, service, version):
        with self.lock:
            self.accepted[service].append((version, time.monotonic()))

    def check_race(self, service, base, answers):
        after = self.read_stored(service)
        if after is None:
            return
        history = {row["submission"]: row["version"]
                   for row in after["history"]}
        stored = [name for name in answers if name in history]
        case = (service, base, answers, after["history"][-4:])
        self.report.check("of two racing patches at most one is stored",
                          len(stored) <= 1, case)
        for name, status in answers.items():
            self.report.check("an accepted patch is stored, a stale one not",
                              status not in (200, 409) or
                              (status == 200) == (name in stored), case)
        if all(status in (200, 409) for status in answers.values()):
            self.report.check("of two racing patches one is accepted",
                              len(stored) == 1, case)

    def read_stored(self, service):
        """Returns the service's object, or None during a store outage."""
        try:
            status, body = call(self.fleet.platform_address, "GET",
                                f"/v1/objects/service/{service}", timeout=5.0)
        except OSError:
            return None
        return body["value"] if status == 200 else None

    # Versions in force

    def probe_loop(self):
        seen = {}
        while not self.stopping.wait(PROBE_PAUSE):
            for name, addresses, process in self.vms.serving():
                self.probe(seen, name, addresses, process)

    def probe(self, seen, name, addresses, process):
        """Checks that a VM that runs a query has applied every change that was
        due when the query was sent."""
        service = self.random.choice(self.services)
        started_at = time.monotonic()
        try:
            _, answer = call(addresses["callers"], "POST", "/v1/query",
                             {"service": service, "class": "interactive",
                              "request": {"echo": "probe"},
                              "deadline_ms": 500, "repeatable": True},
                             timeout=2.0)
            status, body = call(addresses["operators"], "GET",
                                f"/v1/services/{service}", timeout=2.0)
        except OSError:
            return
        if self.fleet.vms.get(name) is not process:
            return
        version = body["version"] if status == 200 else 0
        key = (id(process), service)
        self.report.check("a version seen on a VM never goes down",
                          version >= seen.get(key, 0), (name, service))
        seen[key] = version
        if answer["outcome"] in ("complete", "partial"):
            due = self.due_version(service, started_at)
            self.report.check("accepted is in force within 5 s",
                              version >= due, (name, service, version, due))

    def due_version(self, service, started_at):
        with self.lock:
            return max(version for version, at in self.accepted[service]
                       if at + ROLLOUT_LIMIT < started_at or version == 1)
