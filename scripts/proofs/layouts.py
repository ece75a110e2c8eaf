"""Tracks the shard count of each layout that the stand-ins create."""

import threading


class Layouts:
    """Shard counts by (index, layout)."""

    def __init__(self, fleet, services):
        self.fleet = fleet
        self.services = services
        self.lock = threading.Lock()
        shapes = {shape["name"]: shape["shards"]
                  for shape in fleet.deployment["shapes"]}
        self.counts = {(name, 1): shapes[shape_of(name, shapes)]
                       for name in services}

    def shards(self, service, layout):
        """Returns the number of shards, or None for an unknown layout."""
        with self.lock:
            return self.counts.get((service, layout))

    def repartition(self, service, shards, after):
        self.fleet.backends_call(
            "POST", "/control",
            {"service": service,
             "index": {"repartition": {"shards": shards, "after": after}}})
        _, body = self.fleet.backends_call("GET", "/control/indexes")
        last = {row["name"]: row["last_layout"] for row in body["indexes"]}
        with self.lock:
            self.counts[(service, last[service])] = shards


def shape_of(service, shapes):
    """Returns the shape of a service: its name, without the number that
    services of a shape with several services end in."""
    return service if service in shapes else service.rsplit("-", 1)[0]
