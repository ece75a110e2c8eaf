"""Command line of the process proofs; scripts/prove calls it."""

import argparse
import random
import sys

from .catalogue import PROOFS
from .report import Report

EXIT_HELD = 0
EXIT_VIOLATED = 1
EXIT_USAGE = 2
EXIT_NO_SUCH_PROOF = 1


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/prove")
    parser.add_argument("name", nargs="?")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--has", metavar="NAME")
    parser.add_argument("--broken-by", metavar="NAME")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int)
    parser.add_argument("--build", default="build")
    options = parser.parse_args(arguments)
    if options.runs is not None and options.runs < 1:
        parser.error(f"--runs {options.runs} must be at least 1")
    return options


def list_proofs():
    for proof in PROOFS.values():
        print(f"{proof.name}\t{proof.property}")
    return EXIT_HELD


def run(proof, options):
    runs = options.runs or proof.runs
    report = Report(proof.name, options.seed, runs)
    print(f"{proof.name}: seed {options.seed}, {runs} runs", flush=True)
    proof.run(report, random.Random(options.seed), options.build)
    report.print()
    return EXIT_VIOLATED if report.violations else EXIT_HELD


def main(arguments):
    options = parse(arguments)
    if options.list:
        return list_proofs()
    if options.has:
        return EXIT_HELD if options.has in PROOFS else EXIT_NO_SUCH_PROOF
    if options.broken_by:
        print(PROOFS[options.broken_by].broken_by)
        return EXIT_HELD
    if options.name not in PROOFS:
        print(f"scripts/prove: no proof is named \"{options.name}\"; "
              "--list prints them", file=sys.stderr)
        return EXIT_USAGE
    return run(PROOFS[options.name], options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
