"""The VMs of a proof: which are unwell, by whose hand, and since when."""

import signal
import threading
import time

from fleet import FleetError, call

HURT_MEMORY = 12.0  # seconds after a kill or pause in which calls may be lost
STOP_LIMIT = 30.0  # seconds a graceful stop may take


class Vms:
    """Kills, pauses, stops and restarts VMs; one thread changes them."""

    def __init__(self, fleet, report):
        self.fleet = fleet
        self.report = report
        self.lock = threading.Lock()
        self.known = {}
        self.hurt = {}
        self.stopping = {}
        self.away = set()
        for name in fleet.vms:
            self.learn(name)

    def learn(self, name):
        with self.lock:
            self.known[name] = dict(self.fleet.addresses[name])

    def serving(self):
        """Returns (name, addresses, process) of VMs that nothing holds."""
        with self.lock:
            return [(name, dict(self.known[name]), process)
                    for name, process in list(self.fleet.vms.items())
                    if name not in self.away]

    def well(self):
        return [name for name, _, _ in self.serving()]

    def caller_addresses(self):
        with self.lock:
            return [known["callers"] for known in self.known.values()]

    def mark_hurt(self, name):
        with self.lock:
            self.away.add(name)
            self.hurt[self.known[name]["callers"]] = time.monotonic()

    def check_lost(self, address, error):
        """A call that a caller lost, though it obeyed its addresses."""
        if isinstance(error, TimeoutError):
            return
        with self.lock:
            since = time.monotonic() - self.hurt.get(address, -HURT_MEMORY)
        self.report.check("only a kill or a pause cuts a request",
                          since < HURT_MEMORY, (address, repr(error)))

    # Changes

    def kill(self, name):
        self.mark_hurt(name)
        self.fleet.kill_vm(name)

    def restart(self, name, fresh):
        if fresh:
            self.fleet.addresses.pop(name, None)
        self.fleet.start_vm(name)
        self.fleet.publish_vms()
        self.learn(name)
        with self.lock:
            self.away.discard(name)

    def pause(self, name):
        self.mark_hurt(name)
        self.fleet.pause_vm(name)

    def resume(self, name):
        self.mark_hurt(name)
        self.fleet.resume_vm(name)
        with self.lock:
            self.away.discard(name)

    def begin_stop(self, name):
        with self.lock:
            self.away.add(name)
            self.stopping[name] = (self.fleet.vms.pop(name), time.monotonic())
        self.stopping[name][0].send(signal.SIGTERM)

    def end_stops(self):
        """Returns the names of the VMs whose stop has ended."""
        ended = []
        for name, (process, begun) in list(self.stopping.items()):
            late = time.monotonic() - begun > STOP_LIMIT
            if process.running() and not late:
                continue
            self.report.check("a graceful stop ends by itself",
                              not late and process.wait(1.0) == 0,
                              (name, "late" if late else process.wait(1.0)))
            del self.stopping[name]
            ended.append(name)
        return ended

    def wait_settled(self, service, timeout=60.0):
        """Waits until every VM answers a query completely."""
        end = time.monotonic() + timeout
        waiting = set(self.well())
        while waiting and time.monotonic() < end:
            waiting = {name for name in waiting
                       if not self.completes(name, service)}
            time.sleep(0.2)
        self.report.check("all VMs serve completely in the end", not waiting,
                          (service, sorted(waiting)))

    def completes(self, name, service):
        try:
            _, body = self.fleet.query(service, {"echo": "settled"},
                                       self.known[name]["callers"],
                                       **{"class": "interactive"})
        except (OSError, FleetError):
            return False
        return body.get("outcome") == "complete"
