"""Runs a whole deployment under a schedule of failures."""

import contextlib

from fleet import Fleet

from .answers import Auditor
from .callers import Caller
from .faults import Faults
from .layouts import Layouts
from .operators import Operators
from .runlog import RunLog
from .vms import Vms

DEPLOYMENT = "okahandja"
SERVICES = ["matchdesk-01", "matchdesk-02", "store-portal-01"]
CALLERS = 5
QUIET_PERIOD = 3.0  # seconds without failures before and after the schedule


@contextlib.contextmanager
def running(callers):
    for caller in callers:
        caller.start()
    try:
        yield
    finally:
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.join()


def run(report, random, build, kinds=None):
    """Runs failures of `kinds` (names of methods of Faults), or of any."""
    with Fleet(DEPLOYMENT, build=build, seed=report.seed) as fleet:
        fleet.start(SERVICES)
        print(f"  logs in {fleet.directory}", flush=True)
        vms = Vms(fleet, report)
        layouts = Layouts(fleet, SERVICES)
        with RunLog(fleet) as log, Auditor(report, layouts, log) as auditor:
            faults = Faults(fleet, vms, layouts, SERVICES, report, random)
            if kinds:
                faults.kinds = [getattr(faults, kind) for kind in kinds]
            callers = [Caller(f"caller-{number}", fleet, vms, SERVICES,
                              auditor, random.random())
                       for number in range(CALLERS)]
            drive(report, random, fleet, vms, faults, callers)
        auditor.check_settled()


def drive(report, random, fleet, vms, faults, callers):
    operators = Operators(fleet, vms, SERVICES, report, random.random())
    with operators, running(callers):
        faults.wait(QUIET_PERIOD)
        faults.run(report.runs)
        faults.end_all()
        faults.wait(QUIET_PERIOD)
    for service in SERVICES:
        vms.wait_settled(service)
