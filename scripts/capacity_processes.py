"""Measures idle daemons: processor time, memory and calls to the store."""

import json
import os
import pathlib
import sys
import time

from fleet import Fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTLE_SECONDS = 5.0
MEASURED_SECONDS = 20.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_seconds(stat_path):
    fields = stat_path.read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def threads_cpu(pid):
    """Returns the processor seconds of each thread, by thread id."""
    tasks = pathlib.Path(f"/proc/{pid}/task")
    return {int(task.name): cpu_seconds(task / "stat")
            for task in tasks.iterdir()}


def resident_kb(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB


def flatten(counts, prefix=""):
    flat = {}
    for key, value in counts.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{key}."))
        elif isinstance(value, (int, float)) and not isinstance(value, bool):
            flat[prefix + key] = value
    return flat


def store_counts(fleet):
    return flatten(fleet.platform_call("GET", "/control/counts")[1])


def measure(vms):
    with Fleet("norrvik", vms=vms) as fleet:
        fleet.start(timeout=120.0)
        time.sleep(SETTLE_SECONDS)
        pids = [process.child.pid for process in fleet.vms.values()]
        before = {pid: threads_cpu(pid) for pid in pids}
        counts = store_counts(fleet)
        started_at = time.monotonic()
        time.sleep(MEASURED_SECONDS)
        seconds = time.monotonic() - started_at
        after = {pid: threads_cpu(pid) for pid in pids}
        calls = {key: round((value - counts.get(key, 0)) / seconds, 2)
                 for key, value in store_counts(fleet).items()}
        threads = [[after[pid][tid] - before[pid].get(tid, 0.0)
                    for tid in sorted(after[pid])] for pid in pids]
        width = min(len(row) for row in threads)
        return {
            "measure": "processes", "vms": vms,
            "services": len(fleet.service_files()),
            "cpu_us_per_s": round(sum(map(sum, threads)) / vms / seconds * 1e6),
            "threads_us_per_s": [
                round(sum(row[i] for row in threads) / vms / seconds * 1e6)
                for i in range(width)],
            "rss_kb": round(sum(map(resident_kb, pids)) / vms),
            "store_calls_per_s": calls,
            "load_average": os.getloadavg()[0],
        }


def main():
    sizes = [int(word) for word in sys.argv[1:]] or [8, 16, 32]
    with open(ROOT / "docs/capacity/processes.jsonl", "w",
              encoding="utf-8") as out:
        for vms in sizes:
            line = json.dumps(measure(vms))
            print(line, flush=True)
            out.write(line + "\n")


if __name__ == "__main__":
    main()
