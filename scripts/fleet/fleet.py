"""The processes of one deployment, and operations of tests on them."""

import json
import pathlib
import signal
import subprocess
import tempfile
import time

from .http import call
from .process import Process

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


CTL_NOTHING_SENT = 7  # carawayctl's exit code
SAMPLE_INDEX = {"norrvik": "caseworker-desk-01", "okahandja": "matchdesk-01"}


class FleetError(Exception):
    """A step of starting, changing or stopping the fleet failed."""


class Fleet:
    """Stand-ins and daemons of one deployment; a context manager."""

    def __init__(self, deployment, vms=8, policy=None, build="build",
                 directory=None, seed=1):
        self.folder = ROOT / "examples" / deployment
        self.deployment_file = self.folder / "deployment.json"
        self.deployment = json.loads(self.deployment_file.read_text())
        self.build = ROOT / build
        self.policy = policy
        self.seed = seed
        self.directory = pathlib.Path(
            directory or tempfile.mkdtemp(prefix="carawaypond-"))
        self.directory.mkdir(parents=True, exist_ok=True)
        self.vm_count = vms
        self.vms = {}
        self.addresses = {}
        self.platform = None
        self.backends = None
        self.platform_address = None
        self.backends_control = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # Starting

    def start(self, services=None, timeout=60.0):
        """Starts all processes and creates the services (all or those named)."""
        self.start_standins()
        for number in range(1, self.vm_count + 1):
            self.start_vm(f"vm-{number}")
            self.publish_vms()
        self.wait_known(timeout)
        self.wait_serving(timeout)
        self.create_services(services)
        return self

    def start_standins(self):
        self.platform = Process(
            "platform",
            [str(self.build / "standins/carawaypond-standin-platform"),
             "--port", "0", "--seed", str(self.seed)],
            self.directory / "platform.log")
        self.platform_address = self.platform.wait_for("listening ")
        self.backends = Process(
            "backends",
            [str(self.build / "standins/carawaypond-standin-backends"),
             "--deployment", str(self.deployment_file),
             "--platform", self.platform_address, "--control-port", "0",
             "--seed", str(self.seed)],
            self.directory / "backends.log")
        self.backends_control = self.backends.wait_for("control ")
        self.backends.wait_for("ready ")

    def vm_settings(self, name):
        centres = self.deployment["data_centres"]
        number = int(name.split("-")[1])
        known = self.addresses.get(name, {})
        settings = {
            "vm": name,
            "data_centre": centres[(number - 1) % len(centres)],
            "listen": {kind: known.get(kind, "127.0.0.1:0")
                       for kind in ("callers", "operators", "peers")},
            "platform": self.platform_address,
        }
        seeds = [other["peers"] for vm, other in self.addresses.items()
                 if vm != name]
        if seeds:
            settings["seeds"] = seeds
        if self.policy:
            settings["policy"] = self.policy
        return settings

    def start_vm(self, name):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self.vm_settings(name), indent=1))
        process = Process(
            name,
            [str(self.build / "packages/daemon/carawaypond"), "--settings",
             str(path)],
            self.directory / f"{name}.log")
        self.vms[name] = process
        line = process.wait_for("listening ")
        self.addresses[name] = dict(word.split("=") for word in line.split())
        return process

    def publish_vms(self):
        rows = [{"name": name,
                 "data_centre": self.vm_settings(name)["data_centre"],
                 "address": self.addresses[name]["peers"], "state": "live"}
                for name in self.vms]
        self.platform_call("PUT", "/control/vms", {"vms": rows})

    def wait_known(self, timeout=60.0):
        """Waits until every VM reports every VM as live."""
        end = time.monotonic() + timeout
        while not all(self.knows_all(name) for name in self.vms):
            if time.monotonic() > end:
                raise FleetError("not every VM reports all VMs live")
            time.sleep(0.1)

    def knows_all(self, name):
        try:
            _, body = call(self.addresses[name]["operators"], "GET",
                           "/v1/vms", timeout=2.0)
        except OSError:
            return False
        live = {vm["name"] for vm in body["vms"] if vm["state"] == "live"}
        return live >= set(self.vms)

    def wait_serving(self, timeout=60.0, names=None):
        end = time.monotonic() + timeout
        waiting = set(names or self.vms)
        while waiting:
            if time.monotonic() > end:
                raise FleetError(f"not serving: {sorted(waiting)}")
            for name in sorted(waiting):
                if self.state_of(name) == "serving":
                    waiting.discard(name)
            time.sleep(0.05)

    def state_of(self, name):
        try:
            _, body = call(self.addresses[name]["operators"], "GET",
                           "/v1/live", timeout=2.0)
            return body["state"]
        except (OSError, KeyError, TypeError):
            return "silent"

    def service_files(self, services=None):
        files = sorted((self.folder / "services").glob("*.json"))
        if services is None:
            return files
        return [file for file in files if file.stem in services]

    def create_services(self, services=None):
        for file in self.service_files(services):
            self.create_service(file)
        for file in self.service_files(services):
            code, output = self.ctl("service", "wait", file.stem, "--version",
                                    "1")
            if code != 0:
                raise FleetError(f"wait {file.stem}: exit {code}: {output}")

    def create_service(self, file, timeout=30.0):
        """Creates one service; retries while VMs that have just started accept
        no change."""
        end = time.monotonic() + timeout
        code, output = self.ctl("service", "create", str(file))
        while code == CTL_NOTHING_SENT and time.monotonic() < end:
            time.sleep(0.5)
            code, output = self.ctl("service", "create", str(file))
        if code != 0:
            raise FleetError(f"create {file.stem}: exit {code}: {output}")

    def wait_searchable(self, service, request, timeout=20.0):
        """Waits until every VM knows which versions the replicas serve."""
        end = time.monotonic() + timeout
        waiting = set(self.vms)
        while waiting:
            for name in sorted(waiting):
                address = self.addresses[name]["callers"]
                status, body = self.query(service, request, address)
                if status == 200 and body["outcome"] == "complete":
                    waiting.discard(name)
                elif time.monotonic() > end:
                    raise FleetError(f"{name}: {service}: {status} {body}")
            time.sleep(0.1)

    def exports(self):
        """The shell variables that docs/INTERFACE.md's examples use."""
        first, second = (self.addresses[name] for name in list(self.vms)[:2])
        index = self.service_files()[0].stem
        index = SAMPLE_INDEX.get(self.deployment["name"], index)
        _, body = self.platform_call("GET", f"/v1/objects/index/{index}")
        return {"CALLERS": first["callers"],
                "OTHER_CALLERS": second["callers"],
                "OPERATORS": first["operators"],
                "PLATFORM": self.platform_address,
                "BACKEND": body["value"]["servers"][0]["address"]}

    # Operations of tests

    def ctl(self, *words, vms=None, timeout=60.0):
        """Runs carawayctl; returns (exit code, output)."""
        operators = ",".join(self.addresses[name]["operators"]
                             for name in (vms or self.vms))
        done = subprocess.run(
            [str(self.build / "packages/ctl/carawayctl"), "--operator",
             operators, "--json", *words],
            capture_output=True, text=True, timeout=timeout, check=False)
        return done.returncode, done.stdout + done.stderr

    def platform_call(self, method, path, body=None):
        return call(self.platform_address, method, path, body)

    def backends_call(self, method, path, body=None):
        return call(self.backends_control, method, path, body)

    def callers_addresses(self, vm=None):
        """Returns the addresses that a VM advertises to callers."""
        for name in ([vm] if vm else list(self.vms)):
            try:
                status, body = call(self.addresses[name]["callers"], "GET",
                                    "/v1/addresses", timeout=2.0)
            except OSError:
                continue
            if status == 200:
                return body["addresses"]
        raise FleetError("no VM answers callers")

    def query(self, service, request, address=None, **fields):
        """Sends one query; returns (status, body)."""
        body = {"service": service, "request": request, "repeatable": True,
                "deadline_ms": 1000}
        body.update(fields)
        address = address or self.callers_addresses()[0]
        return call(address, "POST", "/v1/query", body)

    def kill_vm(self, name):
        self.vms.pop(name).kill()

    def pause_vm(self, name):
        self.vms[name].send(signal.SIGSTOP)

    def resume_vm(self, name):
        self.vms[name].send(signal.SIGCONT)

    def stop_vm(self, name, timeout=60.0):
        """Stops a VM gracefully; returns (exit code, seconds it took)."""
        process = self.vms.pop(name)
        started_at = time.monotonic()
        process.send(signal.SIGTERM)
        code = process.wait(timeout)
        return code, time.monotonic() - started_at

    def close(self):
        for process in [*self.vms.values(), self.backends, self.platform]:
            if process is not None and process.running():
                process.kill()
        self.vms = {}
