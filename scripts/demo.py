"""Starts a deployment, serves queries, and stops parts of it under load.

Exits non-zero if a check fails.
"""

import argparse
import collections
import json
import sys
import threading
import time

from fleet import Fleet, FleetError

SAMPLES = {
    "norrvik": ("caseworker-desk-01", "interactive",
                {"match": "household", "value": "H-1007"}),
    "okahandja": ("matchdesk-01", "interactive",
                  {"match": "store", "value": "F-7"}),
}
QUERY_PAUSE = 0.02  # seconds between a caller's queries
CALLERS = 4


class Callers:
    """Callers that request addresses, reuse them, and send queries."""

    def __init__(self, fleet, service, klass, request):
        self.fleet = fleet
        self.query = (service, klass, request)
        self.outcomes = collections.Counter()
        self.problems = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(CALLERS)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        addresses, asked, turn = [], 0.0, number
        while not self.stopping.is_set():
            if time.monotonic() - asked > 2.0:
                addresses = self.fleet.callers_addresses()
                asked = time.monotonic()
            turn += 1
            self.send_query(addresses, turn)
            time.sleep(QUERY_PAUSE)

    def send_query(self, addresses, turn):
        """Sends a query; if the connection fails, tries the next VM."""
        service, klass, request = self.query
        for attempt in range(len(addresses)):
            address = addresses[(turn + attempt) % len(addresses)]
            try:
                status, body = self.fleet.query(
                    service, request, address, **{"class": klass})
            except OSError:
                self.outcomes["connection lost"] += 1
                continue
            self.outcomes[body.get("outcome", status)] += 1
            self.check(body)
            return

    def check(self, body):
        coverage = body.get("coverage")
        if body.get("outcome") == "complete" and (
                coverage["answered"] != coverage["total"]):
            self.problems.append(body)


def show(title, fields):
    print(f"\n== {title}")
    for key, value in fields.items():
        print(f"   {key}: {value}")


def observe(fleet, sample, title, action, seconds=6.0):
    """Runs `action` under load and prints the outcomes that callers got."""
    with Callers(fleet, *sample) as callers:
        time.sleep(1.0)
        detail = action()
        time.sleep(seconds)
    show(title, {"done": detail, "callers saw": dict(callers.outcomes)})
    if callers.problems:
        raise FleetError(f"{title}: false coverage: {callers.problems[0]}")
    return callers.outcomes


def expect(condition, message):
    if not condition:
        raise FleetError(message)


def stop_backend(fleet, service):
    index = json.loads(next(
        file for file in fleet.service_files([service])).read_text())["index"]
    status, body = fleet.platform_call("GET", f"/v1/objects/index/{index}")
    expect(status == 200, f"index \"{index}\" can't be read: {status}")
    server = body["value"]["servers"][0]["name"]
    status, _ = fleet.backends_call("POST", "/control",
                                    {"server": server, "stop": True})
    expect(status == 200, f"server \"{server}\" can't be stopped: {status}")
    return f"backend server {server} stopped"


def stop_one_vm(fleet):
    name = sorted(fleet.vms)[-1]
    code, seconds = fleet.stop_vm(name)
    expect(code == 0, f"{name} ended with exit code {code}")
    return f"{name} stopped gracefully in {seconds:.1f} s"


def kill_one_vm(fleet):
    name = sorted(fleet.vms)[-1]
    fleet.kill_vm(name)
    return f"{name} killed"


def run(fleet, deployment):
    service, klass, request = sample = SAMPLES[deployment]
    fleet.wait_searchable(service, request)
    status, answer = fleet.query(service, request, **{"class": klass})
    expect(status == 200 and answer["outcome"] == "complete",
           f"first answer: {status} {answer}")
    expect(answer["records"], f"first answer has no records: {answer}")
    show("an answer", {key: answer[key] for key in
                       ("outcome", "snapshot", "coverage", "records")})
    seen = observe(fleet, sample, "a backend server stops",
                   lambda: stop_backend(fleet, service))
    expect(seen["complete"] > 0, "no complete answer while a replica is lost")
    expect(not seen["not_run"] + seen["unknown"],
           "callers were refused though another replica lives")
    seen = observe(fleet, sample, "a VM stops", lambda: stop_one_vm(fleet))
    expect(seen["connection lost"] == 0 and not seen["not_run"],
           "a graceful stop cut or refused a request")
    seen = observe(fleet, sample, "a VM is killed", lambda: kill_one_vm(fleet))
    expect(seen["complete"] > 0, "no complete answer after a VM was killed")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", nargs="?", default="norrvik",
                        choices=sorted(SAMPLES))
    parser.add_argument("--keep", action="store_true",
                        help="leave everything running until Ctrl-C")
    arguments = parser.parse_args()
    with Fleet(arguments.deployment) as fleet:
        fleet.start()
        print(f"{len(fleet.vms)} VMs serve "
              f"{len(fleet.service_files())} services; logs in "
              f"{fleet.directory}")
        if arguments.keep:
            for name, value in fleet.exports().items():
                print(f"export {name}={value}")
            for name, addresses in fleet.addresses.items():
                show(name, addresses)
            print("\nCtrl-C ends it", flush=True)
            threading.Event().wait()
        run(fleet, arguments.deployment)
    print("\nall as it should be")


if __name__ == "__main__":
    try:
        main()
    except (FleetError, TimeoutError, OSError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        pass
