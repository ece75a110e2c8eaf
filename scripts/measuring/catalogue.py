"""The experiments by name."""

from .experiment import Experiment, Phase, Stream

DESK = "caseworker-desk-01"
NEIGHBOUR = "caseworker-desk-02"
# One replica set has 2 replicas with 2 slots; a run takes 3.54 ms on average
# (lognormal, median 3 ms, sigma 0.4; one in 100 ten times as long).
DESK_CAPACITY = 4 / 0.00354  # queries a second
DEFAULT_POLICY = "owner-shard"


def desk(share, service=DESK, name="desk"):
    """Interactive queries of a desk, at a share of its slots' capacity."""
    return Stream(name, service, "interactive", share * DESK_CAPACITY, 110)


def sweep(share, service=DESK):
    return Stream("sweep", service, "sweep", share * DESK_CAPACITY, 1000)


def batch(rate):
    return Stream("batch", "reminder-batch", "batch", rate, 10000)


def straggler(**faults):
    return ({"server": f"{DESK}-g0-r0", "faults": faults},)


EXPERIMENTS = {
    "11-owners": Experiment(
        number="11 and 5",
        question="Do owners keep to slots and connections where direct "
                 "sending does not?",
        policies=("direct", DEFAULT_POLICY),
        phases=(Phase("60%", (desk(0.6), batch(15))),
                Phase("85%", (desk(0.85), batch(15))))),
    "02-straggler": Experiment(
        number="2",
        question="Does one slow or stalled replica show at p99?",
        policies=("direct", DEFAULT_POLICY),
        phases=(Phase("healthy", (desk(0.3),)),
                Phase("10x slower", (desk(0.3),), straggler(slow=10)),
                Phase("stalled", (desk(0.3),), straggler(stall=True)))),
    "04-overload": Experiment(
        number="4",
        question="Does goodput stay at its peak as load passes capacity?",
        policies=("direct", DEFAULT_POLICY),
        seconds=4.0,
        phases=tuple(Phase(f"{share}x",
                           (desk(share), desk(0.2, NEIGHBOUR, "neighbour")))
                     for share in (0.75, 1, 2, 3))
        + (Phase("greedy sweep",
                 (desk(0.5), sweep(2), desk(0.2, NEIGHBOUR, "neighbour"))),)),
    "01-load": Experiment(
        number="1",
        question="What does load cost at the tail without a fault?",
        policies=("direct", "direct-hedge", "owner-replica", DEFAULT_POLICY),
        phases=tuple(Phase(f"{share:.0%}", (desk(share),))
                     for share in (0.3, 0.6, 0.85)),
        seconds=4.0),
    "10-failing": Experiment(
        number="10",
        question="Do retries stay within the budget when half fails?",
        policies=("direct", DEFAULT_POLICY),
        phases=(Phase("healthy", (desk(0.3),)),
                Phase("half fail", (desk(0.3),),
                      ({"service": DESK, "faults": {"fail_ratio": 0.5}},)))),
}
