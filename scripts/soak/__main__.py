"""Command line: one seed, or several seeds side by side."""

import argparse
import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time

from soak import bounds
from soak.callers import Callers
from soak.faults import Faults
from soak.site import Site

VM_COUNT = 4
CALLERS = 16
WARM_UP_S = 5.0
PROBE_INTERVAL_S = 0.5
SETTLE_S = 3.0  # time in which requests are counted, after RECOVER_S
LAG_STEP_S = 0.05


async def record_event_loop_lag(site):
    """Records spans in which the event loop of this process was delayed."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(LAG_STEP_S)
        if time.monotonic() - before > LAG_STEP_S + bounds.CLOCK_LAG_S:
            span = site.observer.disruptions.begin("process")
            site.observer.disruptions.end(span)
            span[0] = before


async def probe(site, callers):
    """Requests the newest two routes from every VM; each must be served once it
    is due to be in force."""
    served = {}  # (VM, start) -> newest route that it knew
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        for vm in site.vms:
            for number in range(max(0, len(site.added) - 2), len(site.added)):
                await probe_one(site, callers, vm, number, served)


async def probe_one(site, callers, vm, number, served):
    observer = site.observer
    accepted_at, process_key = site.acknowledged_at, (vm.name, vm.started_at)
    answer = await callers.ask(vm, site.added[number], gives_up=False)
    if answer.status == 200:
        served[process_key] = max(number, served.get(process_key, -1))
    if answer.status != 404 or (vm.name, vm.started_at) != process_key:
        return
    observer.expect("never reverts", number > served.get(process_key, -1),
                    f"{vm.name} answered 404 to route {number}, "
                    f"after it had served {served.get(process_key)}")
    is_due = answer.sent > accepted_at + bounds.CONFIG_APPLY_S
    is_undisturbed = observer.disruptions.is_undisturbed(
        accepted_at, answer.ended, vm.name, "store", "process")
    if is_due and is_undisturbed:
        observer.violated("configuration", f"{vm.name} answered 404 to route "
                          f"{number} {answer.sent - accepted_at:.1f} s after "
                          "it was accepted")


async def inject(site, seconds, only):
    """Starts faults at random times; they may overlap."""
    faults = Faults(site)
    kinds = only or Faults.kinds()
    running = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(site.random.expovariate(1 / 2.2))
        for _ in range(site.random.choice([1, 1, 1, 2, 3])):
            kind = site.random.choice(kinds)
            print(f"{time.monotonic():.2f} fault {kind}", flush=True)
            running.append(asyncio.ensure_future(faults.run(kind)))
    for each in running:
        await each


async def soak(seed, seconds, only, folder, program):
    site = Site(seed, VM_COUNT, folder, program)
    callers = Callers(site.vms, site.observer, seed, site.targets)
    site.callers = callers
    background_tasks = []
    try:
        await site.start()
        callers.by_address = {vm.address(): vm for vm in site.vms}
        await asyncio.sleep(WARM_UP_S)
        background_tasks.append(
            asyncio.ensure_future(record_event_loop_lag(site)))
        await callers.start(CALLERS)
        background_tasks.append(asyncio.ensure_future(probe(site, callers)))
        await inject(site, seconds, only)
        faults_ended_at = time.monotonic()
        await asyncio.sleep(bounds.RECOVER_S + SETTLE_S)
        for each in background_tasks:
            if each.done():
                each.result()
    finally:
        for each in background_tasks:
            each.cancel()
        if callers.session:
            await callers.stop()
        await site.stop()
    return site, faults_ended_at


def report(site, faults_ended_at, seed):
    observer = site.observer
    observer.check_budget()
    observer.check_lost(site.stops)
    observer.check_late_arrivals()
    served, asked = observer.check_recovered(faults_ended_at)
    answers = list(observer.answers.values())
    good = sum(1 for each in answers if each.status == 200)
    checks = ", ".join(f"{name} {count}"
                       for name, count in sorted(observer.checks.items()))
    print(f"checks: {checks}")
    print(f"seed {seed}: {len(answers)} requests, {good} served, after the "
          f"faults {served} of {asked}; held up "
          f"{len(observer.disruptions.spans['process'])} times; "
          f"{len(observer.violations)} violations")
    return 1 if observer.violations else 0


def run_one(arguments):
    folder = arguments.folder or tempfile.mkdtemp(prefix="carawaypond-soak-")
    os.makedirs(folder, exist_ok=True)
    random.seed(arguments.seed)
    print(f"seed {arguments.seed}; logs in {folder}", flush=True)
    only = arguments.only.split(",") if arguments.only else None
    site, faults_ended_at = asyncio.run(
        soak(arguments.seed, arguments.seconds, only, folder,
             arguments.program))
    return report(site, faults_ended_at, arguments.seed)


def run_many(arguments):
    """Runs a process for each seed; its output goes to a file of its own."""
    first, last = (int(each) for each in arguments.seeds.split("-"))
    waiting, running, failed = list(range(first, last + 1)), {}, []
    os.makedirs(arguments.folder or "out", exist_ok=True)
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            seed = waiting.pop(0)
            folder = os.path.join(arguments.folder or "out", f"soak-{seed}")
            os.makedirs(folder, exist_ok=True)
            output = open(os.path.join(folder, "soak.log"), "wb")
            command = [sys.executable, "-m", "soak", "--seed", str(seed),
                       "--seconds", str(arguments.seconds), "--folder", folder,
                       "--program", arguments.program]
            running[seed] = subprocess.Popen(command, stdout=output,
                                             stderr=subprocess.STDOUT)
        for seed, child in list(running.items()):
            if child.poll() is None:
                continue
            del running[seed]
            verdict = "holds" if child.returncode == 0 else "BROKEN"
            print(f"seed {seed}: {verdict}", flush=True)
            if child.returncode != 0:
                failed.append(seed)
        time.sleep(0.2)
    print(f"{last - first + 1} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(prog="scripts/run-soak")
    parser.add_argument("--seed", type=int, help="one seed; drawn if missing")
    parser.add_argument("--seeds", help="FIRST-LAST, each in a process")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=25,
                        help="how long faults are injected")
    parser.add_argument("--only", help="kinds of faults, separated by commas")
    parser.add_argument("--folder", help="where logs go")
    parser.add_argument("--program", default="build/packages/daemon/carawaypond")
    arguments = parser.parse_args()
    if arguments.seeds:
        return run_many(arguments)
    if arguments.seed is None:
        arguments.seed = random.SystemRandom().randrange(1, 1_000_000)
    return run_one(arguments)


if __name__ == "__main__":
    sys.exit(main())
