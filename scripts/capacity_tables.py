"""Recomputes the tables of docs/CAPACITY.md from docs/capacity/*.jsonl."""

import json
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"

# The size to design for, and the resources a VM may use for control.
VMS = 2700
CENTRES = 34
REPLICAS = 140_000
SERVICES = 10_000  # an assumption; the requirements give no number
QUERIES_PER_SECOND = 3.6e6
FAN_OUT = 960
CHANGES_PER_DAY = 9400
RESTARTS_PER_DAY = 23_000 + 630
DAY_SECONDS = 86_400
CPU_LIMIT_US = 26_000  # a second
MEMORY_LIMIT_MB = 64
BYTES_LIMIT = 26_000  # a second

# Values that the code sets.
WATCHERS = 40  # WatchPlanOptions: two per data centre, at most this many
PROBE_SPACING = 0.02  # seconds; ProbeSpacing of the scheduler of store reads
WATCHED_KINDS = 2  # services and indexes
CALLS_PER_WATCHER = {"service list": 1.0, "service watch": 0.1,
                     "index list": 0.05, "index watch": 0.1, "VM list": 0.5}
OTHER_VM_LISTS = 1 / 30
FULL_EXCHANGES = 40  # a second: MembershipOptions, 20 in each 0.5 s


def rows(name):
    path = ROOT / f"docs/capacity/{name}.jsonl"
    return [json.loads(line) for line in path.read_text().splitlines()]


def slope(points):
    """Returns (slope, intercept) of the least-squares line through [(x, y)]."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return rise, mean_y - rise * mean_x


def table(header, body):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |"
              for row in body]
    return "\n".join(lines)


def verdict(value, limit):
    if value <= limit:
        return "within"
    return f"over, {value / limit:.1f} times"


def memory_slopes():
    kinds = {}
    for row in rows("memory"):
        kinds.setdefault(row["kind"], []).append((row["count"], row["bytes"]))
    return {kind: slope(points)[0] for kind, points in kinds.items()}


def memory_table():
    counts = {"vm_record": VMS, "config": SERVICES, "index_replica": REPLICAS,
              "version_row": REPLICAS, "board_row": REPLICAS,
              "drain_sign": REPLICAS / 100}
    body, total = [], 0.0
    for kind, each in memory_slopes().items():
        megabytes = each * counts[kind] / 1e6
        total += megabytes
        body.append((kind, f"{each:.0f}", f"{counts[kind]:.0f}",
                     f"{megabytes:.1f}",
                     verdict(megabytes, MEMORY_LIMIT_MB)))
    body.append(("all of them", "", "", f"{total:.1f}",
                 verdict(total, MEMORY_LIMIT_MB)))
    return table(("state", "bytes each", "at the size", "MB a node",
                  f"of {MEMORY_LIMIT_MB} MB"), body)


def fleet_table():
    body = []
    for row in rows("fleet"):
        body.append((row["centres"], row["vms_per_centre"], row["known_vms"],
                     row["services"], row["replicas"], row["changes_per_s"],
                     "yes" if row["versions_move"] else "no",
                     f"{row['exchanges_per_s']:.0f}",
                     f"{row['cpu_us_per_s'] / 1e4:.2f}",
                     f"{row['digest_bytes_per_s'] / 1e3:.0f}",
                     verdict(row["digest_bytes_per_s"], BYTES_LIMIT)))
    return table(("centres", "VMs each", "further VMs known", "services",
                  "replicas", "changes/s", "versions move", "exchanges/s",
                  "% of a core", "KB/s out", "of 26 KB/s"), body)


def control_slope(column, exchanges, **fixed):
    """Returns us/s per unit of `column`, for the exchanges of a full data
    centre."""
    unchanging = [row for row in rows("fleet") if row["centres"] == 1
                  and not row["versions_move"] and row["changes_per_s"] == 0]
    points = [(row[column], row["cpu_us_per_s"]) for row in unchanging
              if all(row[key] == value for key, value in fixed.items())]
    return slope(points)[0] * FULL_EXCHANGES / exchanges


def slope_table():
    found = [
        ("VM known", VMS, control_slope(
            "known_vms", 30, vms_per_centre=16, services=100, replicas=1000)),
        ("service", SERVICES, control_slope(
            "services", 14, vms_per_centre=8, known_vms=0, replicas=1000)),
        ("replica", REPLICAS, control_slope(
            "replicas", 14, vms_per_centre=8, known_vms=0, services=100))]
    body = [(f"each {what}", f"{each:.2f}", count,
             f"{each * count / 1e4:.1f}", verdict(each * count, CPU_LIMIT_US))
            for what, count, each in found]
    return table(("slope", "us/s each, at 40 exchanges/s", "at the size",
                  "% of a core", "of 2.6%"), body)


def list_table():
    found = rows("list")
    cpu = slope([(row["services"], row["cpu_us"]) for row in found])[0]
    size = slope([(row["services"], row["bytes"]) for row in found])[0]
    return table(
        ("a watcher's list of services, once a second", "each service",
         f"{SERVICES} services", "verdict"),
        [("processor, us", f"{cpu:.1f}", f"{cpu * SERVICES:.0f}",
          verdict(cpu * SERVICES, CPU_LIMIT_US)),
         ("bytes in", f"{size:.0f}", f"{size * SERVICES:.0f}",
          verdict(size * SERVICES, BYTES_LIMIT))])


def decision_table():
    per_second = QUERIES_PER_SECOND / VMS
    parts = {}
    for row in rows("decisions"):
        parts.setdefault(row["part"], {})[row["fan_out"]] = row["us_per_query"]
    fans = sorted(next(iter(parts.values())))
    body = []
    for part, costs in parts.items():
        cores = costs[FAN_OUT] * per_second / 1e6
        body.append((part, *(f"{costs[fan]:.0f}" for fan in fans),
                     "once a change" if part == "pin_anew"
                     else f"{cores:.1f}"))
    return table(("part", *(f"us/query at {fan}" for fan in fans),
                  f"cores at {per_second:.0f} queries/s a node"), body)


def store_table():
    body = []
    steady = 0.0
    for kind, rate in CALLS_PER_WATCHER.items():
        total = rate * WATCHERS
        total += (VMS - WATCHERS) * OTHER_VM_LISTS if kind == "VM list" else 0
        steady += total
        body.append((kind, "read", f"{total:.1f}"))
    body.append(("all reads, steady", "read", f"{steady:.1f}"))
    probes = WATCHED_KINDS / PROBE_SPACING
    body.append(("probes while no watcher hears the store, and until it is "
                 "heard again", "read, besides", f"up to {probes:.0f}"))
    changes = CHANGES_PER_DAY / DAY_SECONDS
    body.append(("changes of configuration", "write, and one read",
                 f"{changes:.2f}"))
    restarts = RESTARTS_PER_DAY / DAY_SECONDS
    body.append(("a VM that starts: lists before it hears peers",
                 "read, at most 3 each", f"{3 * restarts:.2f}"))
    return table(("call", "kind", "a second"), body)


def process_table():
    body = []
    for row in rows("processes"):
        calls = row["store_calls_per_s"]
        body.append((row["vms"], f"{row['cpu_us_per_s'] / 1e4:.2f}",
                     ", ".join(f"{us / 1e4:.2f}"
                               for us in row["threads_us_per_s"]),
                     f"{row['rss_kb'] / 1024:.0f}", calls.get("total", ""),
                     f"{row['load_average']:.0f}"))
    return table(("daemons", "% of a core each", "of these by thread",
                  "resident MB each", "store calls/s, all",
                  "load of the machine"), body)


TABLES = {"memory": memory_table, "fleet": fleet_table,
          "slopes": slope_table, "list": list_table,
          "decisions": decision_table, "store": store_table,
          "processes": process_table}


def main():
    text = PAGE.read_text()
    for name, make_table in TABLES.items():
        pattern = rf"(<!-- table {name} -->\n).*?(<!-- end -->)"
        text, found = re.subn(
            pattern, lambda match, make_table=make_table:
            match.group(1) + make_table() + "\n" + match.group(2), text,
            flags=re.DOTALL)
        if found != 1:
            raise SystemExit(f"docs/CAPACITY.md has no place for {name}")
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
