"""Counters of the stand-ins and the daemons, and their increases."""

from fleet import call

DAEMON_COUNTERS = ("subrequests_sent_total", "hedges_total", "retries_total",
                   "reroutes_total", "late_answers_total",
                   "forwarded_batches_total",
                   "backend_connections_opened_total", "cancels_total")
SERVER_COUNTERS = ("received", "shed", "refused", "cancelled",
                   "accepted_connections", "refused_connections")


def read_daemon(address):
    """Returns one daemon's counters, for any prefix of the metric names."""
    _, text = call(address, "GET", "/metrics")
    counters = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        for wanted in DAEMON_COUNTERS:
            if name.endswith(wanted):
                counters[wanted] = counters.get(wanted, 0) + float(value)
    return counters


def read_servers(fleet, service):
    """Returns the sums over the service's servers, and the most connections of
    one server."""
    _, body = fleet.backends_call("GET", "/control/stats")
    rows = [row for row in body["servers"]
            if row["server"].startswith(service)]
    totals = {name: sum(row[name] for row in rows)
              for name in SERVER_COUNTERS}
    most = max(row["max_connections"] for row in rows)
    return totals, most


class Counters:
    """A snapshot of all counters that concern one service."""

    def __init__(self, fleet, service):
        self.servers, self.most_connections = read_servers(fleet, service)
        self.daemons = {}
        for addresses in fleet.addresses.values():
            for name, value in read_daemon(addresses["operators"]).items():
                self.daemons[name] = self.daemons.get(name, 0) + value

    def since(self, before):
        increases = {name: value - before.servers[name]
                 for name, value in self.servers.items()}
        increases.update({name: value - before.daemons.get(name, 0)
                      for name, value in self.daemons.items()})
        increases["most_connections"] = self.most_connections
        return increases
