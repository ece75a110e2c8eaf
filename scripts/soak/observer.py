"""What callers and replicas saw, and the promises that it breaks."""

import collections
import time

from soak import bounds
from loopback.replica import RECORD_BYTES, records_of, sign


class Disruptions:
    """Spans in which a VM, the store or this process was disturbed."""

    def __init__(self):
        self.spans = collections.defaultdict(list)  # subject -> [start, end]

    def begin(self, subject):
        span = [time.monotonic(), float("inf")]
        self.spans[subject].append(span)
        return span

    @staticmethod
    def end(span):
        span[1] = time.monotonic()

    def calm(self, start, end, *subjects):
        """Whether the subjects were left alone from before `start` to `end`."""
        start -= bounds.STABILITY_S
        return not any(a <= end and b >= start for subject in subjects
                       for a, b in self.spans[subject])


class Answer:
    """How one request of a caller ended."""

    def __init__(self, request_id, vm, path, sent):
        self.id = request_id
        self.vm = vm
        self.path = path
        self.sent = sent
        self.ended = None
        self.status = None  # None: the connection ended without an answer
        self.headers = {}
        self.body = b""
        self.left_at = None  # when the caller gave up
        self.reached_vm = True


class Observer:
    """Takes events as they happen, and checks each promise as soon as it can."""

    def __init__(self):
        self.disruptions = Disruptions()
        self.violations = []
        self.checks = collections.Counter()
        self.instances = {}  # instance -> replica
        self.leaving = {}  # instance -> moment of the store's answer
        self.allowed = collections.defaultdict(set)  # path prefix -> services
        self.shard_sets = []  # each set of shards that was configured
        self.least_share = {}  # path prefix -> share
        self.top_records = {}
        self.unsafe = set()  # path prefixes
        self.runs = collections.defaultdict(list)  # id -> [(time, instance)]
        self.arrivals = collections.defaultdict(list)  # service -> [(time, id)]
        self.arrived = collections.defaultdict(list)  # id -> [time]
        self.requests = collections.defaultdict(list)  # service -> [time]
        self.answers = {}
        self.late_arrivals = 0

    def violated(self, promise, text):
        self.violations.append((promise, text))
        print(f"VIOLATION {promise}: {text}", flush=True)

    def expect(self, promise, holds, text):
        self.checks[promise] += 1
        if not holds:
            self.violated(promise, text)

    @staticmethod
    def prefix_of(path):
        return "/" + path.split("/")[1] + "/"

    # What replicas see.

    def on_arrival(self, replica, request, request_id):
        now = time.monotonic()
        self.arrivals[replica.service].append((now, request_id))
        self.arrived[request_id].append(now)
        asked = self.answers.get(request_id)
        self.expect("unasked", asked is not None and asked.path == request.path,
                    f"{replica.instance} got {request.path} as {request_id}")
        if asked is None:
            return
        prefix = self.prefix_of(request.path)
        self.expect("route", replica.service in self.allowed[prefix],
                    f"{request_id} for {prefix} arrived at {replica.service}")
        self._check_drain(replica, asked, now)
        if asked.left_at and now > asked.left_at + bounds.GONE_S:
            if self.disruptions.calm(asked.sent, now, asked.vm, "process"):
                self.late_arrivals += 1

    def _check_drain(self, replica, asked, now):
        told = self.leaving.get(replica.instance)
        if told is None or asked.sent < told:
            return
        if not self.disruptions.calm(told, now, asked.vm, "store", "process",
                                     replica.instance):
            return
        self.expect("drain", now <= told + bounds.DRAIN_S,
                    f"{replica.instance} got {asked.id} of {asked.vm} "
                    f"{now - told:.2f} s after it began to leave")

    def on_run(self, replica, request, request_id):
        self.runs[request_id].append((time.monotonic(), replica.instance))
        if self.prefix_of(request.path) not in self.unsafe:
            return
        self.expect("at most once", len(self.runs[request_id]) == 1,
                    f"{request_id} ran at {self.runs[request_id]}")
        asked = self.answers.get(request_id)
        was_refused = asked is not None and asked.status in (408, 421, 429, 503)
        self.expect("not run", not was_refused,
                    f"{request_id} ran after it was refused")

    # What callers see.

    def on_sent(self, answer, services):
        self.answers[answer.id] = answer
        for each in services:
            self.requests[each].append(answer.sent)

    def on_answer(self, answer):
        if answer.status is None or answer.left_at:
            return
        prefix = self.prefix_of(answer.path)
        if answer.status == 200 and prefix in self.top_records:
            self._check_gathered(answer, prefix)
        elif answer.status == 200:
            self._check_relayed(answer)
        if prefix in self.unsafe and answer.status in (408, 421, 429, 503):
            self.expect("not run", not self.runs.get(answer.id),
                        f"{answer.id} answered {answer.status} and has run")

    def _check_relayed(self, answer):
        stamp = answer.headers.get("X-Server-Stamp", "")
        replica = self.instances.get(stamp.rsplit(".", 1)[0])
        is_own = replica is not None and stamp == sign(replica.instance,
                                                       answer.id)
        body = b"".join(records_of(replica.service, answer.id)) if is_own else b""
        self.expect("own answer", is_own and answer.body == body,
                    f"{answer.id} got stamp {stamp!r}, {len(answer.body)} bytes")

    def _check_gathered(self, answer, prefix):
        stamps = [each.strip() for each in
                  answer.headers.get("X-Part-Stamps", "").split(",")]
        missing = int(answer.headers.get("X-Missing-Parts", "0"))
        services, records = set(), []
        for stamp in stamps:
            replica = self.instances.get(stamp.rsplit(".", 1)[0])
            is_own = replica is not None and stamp == sign(replica.instance,
                                                           answer.id)
            self.expect("own answer", is_own and replica.service not in services,
                        f"{answer.id} names {stamp!r}")
            if not is_own:
                return
            services.add(replica.service)
            records += records_of(replica.service, answer.id)
        records.sort(reverse=True)
        expected = b"".join(records[:self.top_records[prefix]])
        self.expect("own answer", answer.body == expected,
                    f"{answer.id}: the body is not the merge of its parts")
        fits = [each for each in self.shard_sets if services <= each
                and len(services) + missing == len(each)]
        self.expect("one snapshot", bool(fits),
                    f"{answer.id}: {sorted(services)} and {missing} missing")
        share = len(services) / (len(services) + missing)
        self.expect("coverage", share >= self.least_share[prefix],
                    f"{answer.id}: {share:.2f} of the shards")

    # What can be told only at the end.

    def check_budget(self):
        for service, arrivals in self.arrivals.items():
            seen, extras = set(), []
            for at, request_id in sorted(arrivals):
                if request_id in seen:
                    extras.append(at)
                seen.add(request_id)
            for start in extras:
                end = start + bounds.BUDGET_WINDOW_S
                extra = sum(1 for at in extras if start <= at < end)
                self.expect("budget", extra <= self._budget(service, start),
                            f"{service} got {extra} extra arrivals in "
                            f"{bounds.BUDGET_WINDOW_S:.0f} s")

    def _budget(self, service, start):
        window = bounds.BUDGET_WINDOW_S
        asked = max(sum(1 for at in self.requests[service]
                        if start - back <= at < start - back + window)
                    for back in (0, window / 2, window))
        return bounds.BUDGET_RATIO * asked + bounds.BUDGET_SLACK

    def check_lost(self, stops):
        """`stops` are (VM, moment of SIGTERM)."""
        lost = []
        for answer in self.answers.values():
            if answer.status is not None or answer.left_at or not answer.ended:
                continue
            near = [at for vm, at in stops if vm == answer.vm and
                    at <= answer.ended <= at + bounds.GRACE_S + 1]
            if not near or not self.arrived.get(answer.id):
                continue
            at = near[-1]
            was_early = answer.sent <= at + bounds.GRACE_S / 2
            is_calm = self.disruptions.calm(answer.sent, answer.ended, "store",
                                            "replicas", "process",
                                            answer.vm + " unplanned")
            if was_early and is_calm:
                lost.append(answer.id)
        self.checks["graceful stop"] += len(stops)
        for each in lost:
            self.violated("graceful stop", f"{each} was passed on, then cut")

    def check_gone(self):
        self.expect("caller gone", self.late_arrivals <= bounds.GONE_ARRIVALS,
                    f"{self.late_arrivals} arrivals long after callers left")

    def check_recovered(self, healed_at):
        late = [each for each in self.answers.values()
                if each.sent > healed_at + bounds.RECOVER_S
                and not each.left_at and each.ended]
        served = sum(1 for each in late if each.status == 200)
        self.expect("recover", not late or
                    served >= bounds.RECOVER_SHARE * len(late),
                    f"{served} of {len(late)} served after the last fault")
        return served, len(late)
