"""The parts of an experiment: streams of queries and phases."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Stream:
    """Queries of one service and class; streams with one name are reported together."""

    name: str
    service: str
    klass: str
    rate: float  # queries a second
    deadline_ms: int

    def plan(self):
        return {"name": self.name, "service": self.service,
                "class": self.klass, "rate": self.rate,
                "deadline_ms": self.deadline_ms,
                "request": {"match": "household", "value": "H-1007"}}


@dataclasses.dataclass(frozen=True)
class Phase:
    """One measured period: a load, and the faults that are active during it."""

    label: str
    streams: tuple
    faults: tuple = ()  # bodies for the backend servers' POST /control


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Phases that run under each policy, one policy after the other."""

    number: str
    question: str
    policies: tuple
    phases: tuple
    rounds: int = 2
    seconds: float = 3.0  # of each phase
    deployment: str = "norrvik"

    def services(self):
        return sorted({stream.service for phase in self.phases
                       for stream in phase.streams})
