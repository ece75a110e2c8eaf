"""Callers: they request addresses, use only these and send unique queries."""

import random
import threading
import time

from fleet import call

from .answers import Answer

CALL_TIMEOUT = 4.0  # seconds; above every deadline sent
DEADLINE_MS = 600
QUERY_PAUSE = 0.01  # seconds
TICKET_SHARE = 0.3
RETRY_SHARE = 0.4


class Caller(threading.Thread):
    """One caller; `stop()` ends it after the query in flight."""

    def __init__(self, name, fleet, vms, services, auditor, seed):
        super().__init__(name=name)
        self.fleet = fleet
        self.vms = vms
        self.services = services
        self.auditor = auditor
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.addresses = []
        self.valid_until = 0.0
        self.sent = 0

    def stop(self):
        self.stopping.set()

    def run(self):
        while not self.stopping.wait(QUERY_PAUSE):
            address = self.pick_address()
            if address is None:
                continue
            self.sent += 1
            token = f"{self.name}-{self.sent}"
            service = self.random.choice(self.services)
            if self.random.random() < TICKET_SHARE:
                self.send_once(address, service, token)
            else:
                self.send(address, service, token, {"repeatable": True})

    def pick_address(self):
        """Returns a valid address, or None if none could be obtained."""
        if time.monotonic() >= self.valid_until:
            self.refresh_addresses()
        return self.random.choice(self.addresses) if self.addresses else None

    def refresh_addresses(self):
        """Requests new addresses. Their validity counts from the time of the
        request, so that it ends before the validity that the VM counts."""
        self.addresses = []
        candidates = self.vms.caller_addresses()
        requested_at = time.monotonic()
        try:
            status, body = call(self.random.choice(candidates), "GET",
                                "/v1/addresses", timeout=1.0)
        except OSError:
            return
        if status == 200:
            self.addresses = body["addresses"]
            self.valid_until = requested_at + body["valid_ms"] / 1000

    def send_once(self, address, service, token):
        try:
            status, body = call(address, "POST", "/v1/tickets",
                                {"service": service}, timeout=CALL_TIMEOUT)
        except OSError as error:
            self.report_lost(address, error)
            return
        if status != 200:
            return
        fields = {"repeatable": False, "ticket": body["ticket"]}
        answered = self.send(address, service, token, fields)
        retry = self.random.random() < RETRY_SHARE
        while (retry or not answered) and not self.stopping.is_set():
            other = self.pick_address()
            if other is not None:
                self.send(other, service, token, fields, retry=True)
            answered, retry = True, self.random.random() < RETRY_SHARE

    def send(self, address, service, token, fields, retry=False):
        """Sends a query; returns whether an answer came."""
        request = {"service": service, "class": "interactive",
                   "request": {"echo": token}, "deadline_ms": DEADLINE_MS,
                   **fields}
        try:
            _, body = call(address, "POST", "/v1/query", request,
                           timeout=CALL_TIMEOUT)
        except OSError as error:
            self.report_lost(address, error)
            return False
        if not isinstance(body, dict):
            body = {"outcome": f"no JSON: {body}"}
        self.auditor.add(Answer(time.monotonic(), service, token, address,
                                fields["repeatable"], retry, body))
        return True

    def report_lost(self, address, error):
        self.auditor.report.outcome("connection lost")
        if time.monotonic() < self.valid_until:
            self.vms.check_lost(address, error)
