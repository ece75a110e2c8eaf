"""Polls the stand-ins' log of executions."""

import collections
import threading

LOG_PAUSE = 0.2  # seconds between reads
LOG_PAGE = 20_000  # entries per read


class RunLog:
    """Executions started and finished for each token; a context manager."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.started = collections.defaultdict(collections.Counter)
        self.finished = collections.defaultdict(set)
        self.position = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.poll)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def poll(self):
        while not self.stopping.wait(LOG_PAUSE):
            while self.read() == LOG_PAGE:
                pass

    def read(self):
        _, body = self.fleet.backends_call(
            "GET", f"/control/log?after={self.position}&limit={LOG_PAGE}")
        for entry in body["entries"]:
            self.add(entry)
        self.position = body["next"]
        return len(body["entries"])

    def add(self, entry):
        if entry["event"] == "started":
            self.started[entry["token"]][entry["shard"]] += 1
        elif entry["event"] == "finished":
            self.finished[entry["token"]].add(
                (entry["shard"], entry["version"]))

    def runs(self, token):
        """Requests the number of executions of `token` by shard."""
        _, body = self.fleet.backends_call(
            "GET", f"/control/runs?token={token}")
        return {row["shard"]: row["runs"] for row in body["shards"]}
