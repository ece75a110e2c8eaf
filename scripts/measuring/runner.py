"""Runs the phases of an experiment under each policy in turn."""

import json
import subprocess
import time

from fleet import Fleet, FleetError

from .counters import Counters

POLICIES = {
    "direct": {"route": "direct", "hedge": False, "budget": True},
    "direct-hedge": {"route": "direct", "hedge": True, "budget": True},
    "owner-replica": {"route": "owner_of_replica", "hedge": True,
                      "budget": True},
    "owner-shard": {"route": "owner_of_shard", "hedge": True, "budget": True},
}
WARM_UP = 2.0  # seconds of the first phase's load before the measurement
SETTLE = 1.2  # seconds for late answers to end between phases


class Runner:
    """Runs one experiment; `rows` holds a record for each measured period."""

    def __init__(self, experiment, policies, seed, show):
        self.experiment = experiment
        self.policies = policies
        self.seed = seed
        self.show = show
        self.rows = []

    def run(self):
        for turn in range(self.experiment.rounds):
            for policy in self.policies:
                self.run_policy(turn, policy)

    def run_policy(self, turn, policy):
        with Fleet(self.experiment.deployment, policy=POLICIES[policy],
                   seed=self.seed) as fleet:
            fleet.start(self.experiment.services())
            self.load(fleet, self.experiment.phases[0], WARM_UP, self.seed)
            for number, phase in enumerate(self.experiment.phases):
                row = {"policy": policy, "round": turn, "phase": phase.label,
                       "seed": self.seed + 100 * turn + number}
                self.rows.append(row)
                self.measure(fleet, phase, row)
                self.show(row)

    def measure(self, fleet, phase, row):
        self.set_faults(fleet, phase)
        time.sleep(SETTLE)
        service = phase.streams[0].service
        before = Counters(fleet, service)
        row["load"] = self.load(fleet, phase, self.experiment.seconds,
                                row["seed"])
        time.sleep(SETTLE)
        row["counters"] = Counters(fleet, service).since(before)
        row.update(self.ratios(fleet, phase, row))

    def ratios(self, fleet, phase, row):
        """Returns extra load and shed share of the phase's first service."""
        service = phase.streams[0].service
        names = {stream.name for stream in phase.streams
                 if stream.service == service}
        run = sum(report["offered"] - report["outcomes"].get("not_run", 0)
                  for name, report in row["load"]["streams"].items()
                  if name in names)
        shape = next(shape for shape in fleet.deployment["shapes"]
                     if service.startswith(shape["name"]))
        received = row["counters"]["received"]
        return {"extra_load": received / max(1, run * shape["shards"]) - 1,
                "shed_share": row["counters"]["shed"] / max(1, received),
                "connection_limit": shape["connections"]}

    def set_faults(self, fleet, phase):
        for body in ({"all": True, "faults": {"clear": True}}, *phase.faults):
            status, answer = fleet.backends_call("POST", "/control", body)
            if status != 200:
                raise FleetError(f"control {body}: {status} {answer}")

    def load(self, fleet, phase, seconds, seed):
        plan = {"vms": [addresses["callers"]
                        for addresses in fleet.addresses.values()],
                "seed": seed, "warm_up_ms": 0,
                "length_ms": int(seconds * 1000),
                "streams": [stream.plan() for stream in phase.streams]}
        path = fleet.directory / "plan.json"
        path.write_text(json.dumps(plan))
        done = subprocess.run(
            [str(fleet.build / "bench/load/carawaypond-bench-load"), "--plan",
             str(path)],
            capture_output=True, text=True, timeout=seconds + 60, check=False)
        if done.returncode != 0:
            raise FleetError(f"load tool: {done.stderr.strip()}")
        return json.loads(done.stdout)
