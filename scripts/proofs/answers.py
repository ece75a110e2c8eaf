"""Checks answers against the layouts and the stand-ins' log of executions."""

import collections
import threading
import time

SETTLE = 2.0  # seconds from an answer to its check, so that the log is complete
AUDIT_PAUSE = 0.2  # seconds
# Reasons with which the listener refuses an HTTP request before it reads the
# query. Such a refusal does not say whether an earlier request with the same
# ticket ran.
LISTENER_REASONS = {"too_many_connections", "timeout", "header_too_large",
                    "body_too_large", "malformed", "closing"}

Answer = collections.namedtuple(
    "Answer", "at service token vm repeatable retry body")


class Auditor:
    """Checks each answer after SETTLE seconds, when the log is complete."""

    def __init__(self, report, layouts, log):
        self.report = report
        self.layouts = layouts
        self.log = log
        self.pending = collections.deque()
        self.not_run = []
        self.at_most_once_tokens = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.audit)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def add(self, answer):
        outcome = str(answer.body.get("outcome", answer.body))
        self.report.outcome(outcome)
        if outcome in ("not_run", "unknown"):
            self.report.event(f"{outcome}: {answer.body.get('reason')}")
        self.pending.append(answer)

    def audit(self):
        while not (self.stopping.wait(AUDIT_PAUSE) and not self.pending):
            while self.pending and (
                    time.monotonic() - self.pending[0].at > SETTLE):
                self.check(self.pending.popleft())

    def check(self, answer):
        outcome = answer.body.get("outcome")
        self.report.check("one of four outcomes", outcome in (
            "complete", "partial", "not_run", "unknown"), answer)
        if outcome in ("complete", "partial"):
            self.check_records(answer)
        if outcome == "not_run" and self.is_about_query(answer):
            self.not_run.append(answer)
            self.check_not_run(answer)
        if not answer.repeatable:
            self.at_most_once_tokens.add(answer.token)
            self.check_once(answer.token)

    @staticmethod
    def is_about_query(answer):
        return not (answer.retry
                    and answer.body["reason"] in LISTENER_REASONS)

    def check_records(self, answer):
        body = answer.body
        missing = {row["shard"] for row in body.get("missing", [])}
        total = self.layouts.shards(answer.service, body["layout"])
        self.report.check("every shard of the layout is accounted for",
                          body["coverage"]["total"] == total, answer)
        answered = set(range(body["coverage"]["total"])) - missing
        self.report.check("coverage counts the shards that answered",
                          body["coverage"]["answered"] == len(answered)
                          and (bool(missing) ==
                               (body["outcome"] == "partial")), answer)
        self.report.check("one version and one layout", all(
            (record["version"], record["layout"]) ==
            (body["snapshot"], body["layout"])
            for record in body["records"]), answer)
        seen = sorted((record["shard"], record["echo"])
                      for record in body["records"])
        self.report.check("exactly the token's records", seen == sorted(
            (shard, answer.token) for shard in answered), answer)
        ran = {(shard, body["snapshot"]) for shard in answered}
        self.report.check("the log shows each answered shard's run",
                          ran <= self.log.finished[answer.token],
                          (answer, self.log.finished[answer.token]))

    def check_not_run(self, answer):
        runs = self.log.runs(answer.token)
        self.report.check("not run means no run", not runs, (answer, runs))

    def check_once(self, token):
        runs = self.log.runs(token)
        self.report.check("not repeatable runs at most once",
                          all(count <= 1 for count in runs.values()),
                          (token, runs))

    def check_settled(self):
        """Repeats the checks whose result a later execution could change."""
        for answer in self.not_run:
            self.check_not_run(answer)
        for token in self.at_most_once_tokens:
            self.check_once(token)
