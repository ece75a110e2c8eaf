"""Runs an experiment; each round runs its policies one after the other."""

import argparse
import json
import os
import sys

from fleet import FleetError
from fleet.fleet import ROOT
from measuring import EXPERIMENTS, POLICIES, Runner

DATA = ROOT / "docs/design/experiments/data"
HEADINGS = ("policy", "round", "phase", "stream", "offered", "good/s", "p50",
            "p99", "p99.9", "refused", "refused p99", "cover", "extra",
            "shed", "conns")
ROW = ("{:<14}{:>6} {:<13}{:<10}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>12}{:>8}"
       "{:>8}{:>8}{:>6}")


def table_line(row, name, report):
    latency = report["latency_ms"]
    total = report["shards_total"]
    cover = report["shards_answered"] / total if total else 0
    return ROW.format(
        row["policy"], row["round"], row["phase"], name, report["offered"],
        f"{report['goodput_per_s']:.0f}", f"{latency['p50']:.1f}",
        f"{latency['p99']:.1f}", f"{latency['p999']:.1f}",
        report["outcomes"].get("not_run", 0),
        f"{report['refusal_ms']['p99']:.1f}", f"{cover:.4f}",
        f"{row['extra_load']:.3f}", f"{row['shed_share']:.3f}",
        int(row["counters"]["most_connections"]))


def show(row):
    print(json.dumps(row), flush=True)


def show_table(rows):
    print(ROW.format(*HEADINGS))
    for row in rows:
        for name, report in row["load"]["streams"].items():
            print(table_line(row, name, report))


def store(name, rows):
    DATA.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(row) for row in rows]
    (DATA / f"{name}.jsonl").write_text("\n".join(lines) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS))
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--policy", action="append", choices=sorted(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.list or not arguments.name:
        for name, experiment in EXPERIMENTS.items():
            print(f"{name}: {experiment.question}")
        return
    experiment = EXPERIMENTS[arguments.name]
    runner = Runner(experiment, arguments.policy or experiment.policies,
                    arguments.seed, show)
    before = os.getloadavg()[0]
    runner.run()
    for row in runner.rows:
        row["machine_load"] = before
    show_table(runner.rows)
    store(arguments.name, runner.rows)


if __name__ == "__main__":
    try:
        main()
    except (FleetError, TimeoutError, OSError) as error:
        print(f"measurement failed: {error}", file=sys.stderr)
        sys.exit(1)
