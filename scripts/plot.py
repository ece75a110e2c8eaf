"""Draws p99, goodput and extra load of each phase, by policy, as an SVG."""

import argparse
import json
import statistics
import subprocess

from fleet.fleet import ROOT

FOLDER = ROOT / "docs/design/experiments"
FIGURES = (
    ("p99, ms", lambda row, report: report["latency_ms"]["p99"]),
    ("goodput, queries/s", lambda row, report: report["goodput_per_s"]),
    ("extra load, %", lambda row, report: 100 * row["extra_load"]),
)


def table(rows, stream, figure):
    """Lines of a gnuplot data block: a phase, then each policy's mean."""
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    phases = list(dict.fromkeys(row["phase"] for row in rows))
    lines = [" ".join(["phase", *policies])]
    for phase in phases:
        means = [statistics.mean(figure(row, row["load"]["streams"][stream])
                                 for row in rows if row["policy"] == policy
                                 and row["phase"] == phase)
                 for policy in policies]
        lines.append(" ".join([f'"{phase}"', *map(str, means)]))
    return lines, len(policies)


def script(rows, stream, target):
    parts = ["set terminal svg size 960,320 font 'sans,11'",
             f"set output '{target}'", "set style data histogram",
             "set style fill solid 0.8", "set yrange [0:*]",
             "set key top left", "set multiplot layout 1,3"]
    for number, (title, figure) in enumerate(FIGURES):
        lines, count = table(rows, stream, figure)
        parts += [f"$data{number} << EOD", *lines, "EOD",
                  f"set title '{title}'",
                  f"plot for [i=2:{count + 1}] $data{number} "
                  "using i:xtic(1) title columnheader(i)"]
    return "\n".join(parts + ["unset multiplot"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("stream")
    arguments = parser.parse_args()
    text = (FOLDER / "data" / f"{arguments.name}.jsonl").read_text()
    rows = [json.loads(line) for line in text.splitlines()]
    target = FOLDER / f"{arguments.name}.svg"
    subprocess.run(["gnuplot"], text=True, check=True,
                   input=script(rows, arguments.stream, target))


if __name__ == "__main__":
    main()
