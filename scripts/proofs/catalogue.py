"""The process proofs by name."""

import collections
import functools

from . import mixed

ProcessProof = collections.namedtuple("ProcessProof",
                                      "name property runs run broken_by")
FOCUSED_RUNS = 30
MIXED_RUNS = 150


def focused(name, checked_property, broken_by, *kinds):
    """Returns a proof with only the failures that threaten one property."""
    return ProcessProof(f"process-{name}", checked_property, FOCUSED_RUNS,
                        functools.partial(mixed.run, kinds=kinds), broken_by)


ALL = [
    focused("one-snapshot", "Every answer comes from one snapshot.",
            "one-snapshot", "advance", "versions", "withdraw", "repartition"),
    focused("true-coverage", "The coverage reported is true.",
            "true-coverage", "repartition", "server_stop", "server_fault"),
    focused("own-answer", "A caller gets the answer to its own request.",
            "own-answer", "server_fault"),
    focused("not-run", "What was refused as not run did not run.",
            "not-run", "kill", "pause", "server_fault", "server_stop"),
    focused("at-most-once", "What is not repeatable runs at most once.",
            "at-most-once", "kill", "pause", "replace", "server_fault"),
    focused("leaving-server", "A leaving server gets no work after 3 s.",
            "leaving-server", "drain", "leave", "pause", "kill"),
    focused("graceful-stop", "A planned stop cuts no request in flight.",
            "graceful-stop", "replace"),
    focused("configuration", "A change is in force within 5 s and stays.",
            "configuration", "store", "kill", "pause", "replace"),
    ProcessProof("mixed", "Every property, under random failures of every kind.",
                 MIXED_RUNS, mixed.run, "not-run"),
]
PROOFS = {proof.name: proof for proof in ALL}
