"""What a proof tried, checked and found."""

import collections
import threading
import time

MAX_PRINTED = 5  # violations printed in full


class Report:
    """Counts events and checks; keeps violations. Safe for many threads."""

    def __init__(self, name, seed, runs):
        self.name = name
        self.seed = seed
        self.runs = runs
        self.begun = time.monotonic()
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

    def check(self, promise, held, case):
        """Counts one check of `promise`; `case` tells what was seen."""
        with self.lock:
            self.checks[promise] += 1
            if held:
                return
            self.violations.append((promise, case))
            if len(self.violations) <= MAX_PRINTED:
                print(f"VIOLATED {promise} at {self.seconds():.1f} s: {case}",
                      flush=True)

    def seconds(self):
        return time.monotonic() - self.begun

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
