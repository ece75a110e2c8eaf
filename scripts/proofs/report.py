"""Counts of a proof's events, checks and outcomes, and its violations."""

import collections
import threading
import time

MAX_PRINTED = 5  # violations printed in full


class Report:
    """Counts events and checks, and records violations. Thread-safe."""

    def __init__(self, name, seed, runs):
        self.name = name
        self.seed = seed
        self.runs = runs
        self.started_at = time.monotonic()
        self.events = collections.Counter()
        self.checks = collections.Counter()
        self.outcomes = collections.Counter()
        self.violations = []
        self.lock = threading.Lock()

    def event(self, kind):
        with self.lock:
            self.events[kind] += 1

    def outcome(self, kind):
        with self.lock:
            self.outcomes[kind] += 1

    def check(self, property_name, held, case):
        """Counts one check of a property; `case` is printed on a violation."""
        with self.lock:
            self.checks[property_name] += 1
            if held:
                return
            self.violations.append((property_name, case))
            if len(self.violations) <= MAX_PRINTED:
                print(f"VIOLATED {property_name} at {self.seconds():.1f} s: {case}",
                      flush=True)

    def seconds(self):
        return time.monotonic() - self.started_at

    def print(self):
        verdict = "VIOLATED" if self.violations else "held"
        print(f"{self.name} {verdict}: seed {self.seed}, {self.runs} runs, "
              f"{sum(self.events.values())} events, "
              f"{sum(self.checks.values())} invariants checked, "
              f"{len(self.violations)} violations, {self.seconds():.0f} s")
        self.print_counts("event", self.events)
        self.print_counts("check", self.checks)
        self.print_shares()

    @staticmethod
    def print_counts(title, counts):
        for kind, count in sorted(counts.items()):
            print(f"  {title} {kind}: {count}")

    def print_shares(self):
        total = sum(self.outcomes.values())
        for kind, count in self.outcomes.most_common():
            print(f"  outcome {kind}: {count} ({100 * count / total:.2f}%)")
