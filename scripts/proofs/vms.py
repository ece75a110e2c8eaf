"""The VMs of a proof, and which of them the proof has disturbed, and when."""

import signal
import threading
import time

from fleet import FleetError, call

# Seconds after a kill, pause or resume in which calls may be lost.
DISTURBANCE_WINDOW = 12.0
STOP_LIMIT = 30.0  # seconds a graceful stop may take


class Vms:
    """Kills, pauses, stops and restarts VMs; one thread changes them."""

    def __init__(self, fleet, report):
        self.fleet = fleet
        self.report = report
        self.lock = threading.Lock()
        self.addresses = {}
        self.disturbed_at = {}
        self.stopping = {}
        self.unavailable = set()
        for name in fleet.vms:
            self.record_addresses(name)

    def record_addresses(self, name):
        with self.lock:
            self.addresses[name] = dict(self.fleet.addresses[name])

    def serving(self):
        """Returns (name, addresses, process) of the VMs that run and are not
        paused or stopping."""
        with self.lock:
            return [(name, dict(self.addresses[name]), process)
                    for name, process in list(self.fleet.vms.items())
                    if name not in self.unavailable]

    def healthy(self):
        return [name for name, _, _ in self.serving()]

    def caller_addresses(self):
        with self.lock:
            return [addresses["callers"]
                    for addresses in self.addresses.values()]

    def mark_disturbed(self, name):
        with self.lock:
            self.unavailable.add(name)
            self.disturbed_at[self.addresses[name]["callers"]] = time.monotonic()

    def check_lost(self, address, error):
        """Checks that a kill or a pause explains a call lost at a valid address."""
        if isinstance(error, TimeoutError):
            return
        with self.lock:
            since = time.monotonic() - self.disturbed_at.get(
                address, -DISTURBANCE_WINDOW)
        self.report.check("only a kill or a pause cuts a request",
                          since < DISTURBANCE_WINDOW, (address, repr(error)))

    # Changes

    def kill(self, name):
        self.mark_disturbed(name)
        self.fleet.kill_vm(name)

    def restart(self, name, fresh):
        if fresh:
            self.fleet.addresses.pop(name, None)
        self.fleet.start_vm(name)
        self.fleet.publish_vms()
        self.record_addresses(name)
        with self.lock:
            self.unavailable.discard(name)

    def pause(self, name):
        self.mark_disturbed(name)
        self.fleet.pause_vm(name)

    def resume(self, name):
        self.mark_disturbed(name)
        self.fleet.resume_vm(name)
        with self.lock:
            self.unavailable.discard(name)

    def begin_stop(self, name):
        with self.lock:
            self.unavailable.add(name)
            self.stopping[name] = (self.fleet.vms.pop(name), time.monotonic())
        self.stopping[name][0].send(signal.SIGTERM)

    def end_stops(self):
        """Returns the names of the VMs whose stop has ended."""
        ended = []
        for name, (process, started_at) in list(self.stopping.items()):
            late = time.monotonic() - started_at > STOP_LIMIT
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
        waiting = set(self.healthy())
        while waiting and time.monotonic() < end:
            waiting = {name for name in waiting
                       if not self.completes(name, service)}
            time.sleep(0.2)
        self.report.check("all VMs serve completely in the end", not waiting,
                          (service, sorted(waiting)))

    def completes(self, name, service):
        try:
            _, body = self.fleet.query(service, {"echo": "settled"},
                                       self.addresses[name]["callers"],
                                       **{"class": "interactive"})
        except (OSError, FleetError):
            return False
        return body.get("outcome") == "complete"
