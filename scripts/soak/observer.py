"""Records what callers and replicas observe, and reports violated properties."""

import collections
import time

from soak import bounds
from loopback.replica import CRASHING, RECORD_BYTES, records_of, sign


class Disruptions:
    """Time spans in which a VM, the store or this process was disturbed."""

    def __init__(self):
        self.spans = collections.defaultdict(list)  # subject -> [start, end]

    def begin(self, subject):
        span = [time.monotonic(), float("inf")]
        self.spans[subject].append(span)
        return span

    @staticmethod
    def end(span):
        span[1] = time.monotonic()

    def is_undisturbed(self, start, end, *subjects):
        """Whether no disruption of the subjects overlaps the time from
        STABILITY_S before `start` to `end`."""
        start -= bounds.STABILITY_S
        return not any(a <= end and b >= start for subject in subjects
                       for a, b in self.spans[subject])


class Answer:
    """One request of a caller, and its outcome."""

    def __init__(self, request_id, vm, path, sent):
        self.id = request_id
        self.vm = vm
        self.path = path
        self.sent = sent
        self.ended = None
        self.status = None  # None: the connection ended without an answer
        self.headers = {}
        self.body = b""
        self.gave_up_at = None  # when the caller's timeout expired
        self.reached_vm = True


class ReplicaLimit:
    """The limit that a replica names, and what reached it meanwhile."""

    def __init__(self, limit, named_at):
        self.limit = limit
        self.named_at = named_at
        self.told = {}  # VM -> time of the first answer with the limit
        self.arrivals = []  # times, of VMs that had been told


class Observer:
    """Records events and checks each property as soon as its data is complete."""

    def __init__(self):
        self.disruptions = Disruptions()
        self.violations = []
        self.checks = collections.Counter()
        self.instances = {}  # instance -> replica
        self.leaving = {}  # instance -> time of the store's answer
        self.allowed = collections.defaultdict(set)  # path prefix -> services
        self.shard_sets = []  # each set of shards that was configured
        self.min_coverage = {}  # path prefix -> share
        self.top_records = {}
        self.unsafe = set()  # path prefixes
        self.runs = collections.defaultdict(list)  # id -> [(time, instance)]
        self.arrivals = collections.defaultdict(list)  # service -> [(time, id)]
        self.arrivals_by_id = collections.defaultdict(list)  # id -> [time]
        self.requests = collections.defaultdict(list)  # service -> [time]
        self.answers = {}
        self.late_arrivals = 0
        self.pauses = {}  # (instance, VM) -> (start, end)
        self.arrivals_in_pause = collections.Counter()  # (instance, VM, start)
        self.limits = {}  # instance -> ReplicaLimit
        self.crashes = collections.defaultdict(dict)  # path -> instance -> time
        self.sent_on = collections.Counter()  # path -> arrivals after that
        self.told_leaving = {}  # (instance, VM) -> when it passed that on

    def forget(self, instance):
        """Drops what an earlier incarnation of the instance has said."""
        self.leaving.pop(instance, None)
        self.limits.pop(instance, None)
        for told in (self.pauses, self.told_leaving):
            for key in [each for each in told if each[0] == instance]:
                del told[key]

    def violated(self, property_name, text):
        self.violations.append((property_name, text))
        print(f"VIOLATION {property_name}: {text}", flush=True)

    def expect(self, property_name, holds, text):
        self.checks[property_name] += 1
        if not holds:
            self.violated(property_name, text)

    @staticmethod
    def prefix_of(path):
        return "/" + path.split("/")[1] + "/"

    # Events at replicas.

    def on_arrival(self, replica, request, request_id):
        now = time.monotonic()
        self.arrivals[replica.service].append((now, request_id))
        self.arrivals_by_id[request_id].append(now)
        answer = self.answers.get(request_id)
        self.expect("unasked",
                    answer is not None and answer.path == request.path,
                    f"{replica.instance} got {request.path} as {request_id}")
        if answer is None:
            return
        prefix = self.prefix_of(request.path)
        self.expect("route", replica.service in self.allowed[prefix],
                    f"{request_id} for {prefix} arrived at {replica.service}")
        self._check_drain(replica, answer, now)
        self._check_crashing(answer, now)
        self._check_told_leaving(replica, answer, now)
        self._check_pause(replica, answer, now)
        self._check_limit(replica, answer, now)
        if answer.gave_up_at and now > answer.gave_up_at + bounds.LATE_ARRIVAL_S:
            if self.disruptions.is_undisturbed(answer.sent, now, answer.vm,
                                               "process"):
                self.late_arrivals += 1

    def _check_drain(self, replica, answer, now):
        drain_started_at = self.leaving.get(replica.instance)
        if drain_started_at is None or answer.sent < drain_started_at:
            return
        if not self.disruptions.is_undisturbed(drain_started_at, now, answer.vm,
                                               "store", "process",
                                               replica.instance):
            return
        self.expect("drain", now <= drain_started_at + bounds.DRAIN_S,
                    f"{replica.instance} got {answer.id} of {answer.vm} "
                    f"{now - drain_started_at:.2f} s after it began to leave")

    def _check_crashing(self, answer, now):
        crashed_at = sorted(self.crashes.get(answer.path, {}).values())
        if len(crashed_at) < bounds.MIN_CRASHES:
            return
        third = crashed_at[bounds.MIN_CRASHES - 1]
        if now > third + bounds.STABILITY_S and self.disruptions.is_undisturbed(
                third, now, answer.vm, "store", "process"):
            self.sent_on[answer.path] += 1
            self.expect("crashing request", self.sent_on[answer.path]
                        <= bounds.MAX_SENT_ON,
                        f"{answer.path} was sent {self.sent_on[answer.path]} "
                        "times more after it had ended three replicas")

    def _check_told_leaving(self, replica, answer, now):
        """Holds in touch with the store or not; a restart or a freeze of the VM
        excuses it."""
        told = self.told_leaving.get((replica.instance, answer.vm))
        if told is None or answer.sent <= told + bounds.DRAIN_S:
            return
        if self.disruptions.is_undisturbed(told, now, answer.vm + " process",
                                           "process"):
            self.violated("told leaving",
                          f"{replica.instance} got {answer.id} of {answer.vm} "
                          f"{now - told:.2f} s after it had said that it leaves")

    def on_pause_asked(self, replica, request_id, pause_s):
        """The replica refuses a request and names the pause that it wants."""
        answer = self.answers.get(request_id)
        key = (replica.instance, answer.vm if answer else None)
        now = time.monotonic()
        self.checks["pause"] += 1
        if self.pauses.get(key, (0, 0))[1] < now:
            self.pauses[key] = (now, now + pause_s)

    def _check_pause(self, replica, answer, now):
        start, end = self.pauses.get((replica.instance, answer.vm), (0, 0))
        if not start + bounds.NOTICE_S < now < end:
            return
        if not self.disruptions.is_undisturbed(start, now, answer.vm,
                                               "replicas", "process"):
            return
        key = (replica.instance, answer.vm, start)
        self.arrivals_in_pause[key] += 1
        self.expect("pause", self.arrivals_in_pause[key]
                    <= bounds.MAX_ARRIVALS_IN_PAUSE,
                    f"{replica.instance} got {answer.id} of {answer.vm} "
                    f"{now - start:.2f} s into a pause of {end - start:.2f} s")

    def on_limit_named(self, replica, request_id):
        """The replica names its limit in the answer to a request."""
        answer = self.answers.get(request_id)
        known = self.limits.get(replica.instance)
        if known is None or known.limit != replica.limit:
            known = ReplicaLimit(replica.limit, time.monotonic())
            self.limits[replica.instance] = known
        if answer:
            known.told.setdefault(answer.vm, time.monotonic())

    def _check_limit(self, replica, answer, now):
        known = self.limits.get(replica.instance)
        if known is None or known.limit != replica.limit:
            return
        told = known.told.get(answer.vm)
        is_counted = (told is not None and now >= told + bounds.NOTICE_S
                      and now >= known.named_at + bounds.STABILITY_S
                      and self.disruptions.is_undisturbed(
                          told, now, answer.vm, "replicas", "process"))
        if not is_counted:
            return
        known.arrivals.append(now)
        recent = sum(1 for at in known.arrivals
                     if at > now - bounds.LIMIT_WINDOW_S)
        allowed = (bounds.LIMIT_FACTOR * bounds.LIMIT_WINDOW_S * known.limit
                   + bounds.LIMIT_SLACK)
        self.expect("limit", recent <= allowed,
                    f"{replica.instance} named {known.limit:.1f} a second and "
                    f"got {recent} in {bounds.LIMIT_WINDOW_S:.0f} s")

    def on_run(self, replica, request, request_id):
        self.runs[request_id].append((time.monotonic(), replica.instance))
        if CRASHING in request.path:
            self.crashes[request.path][replica.instance] = time.monotonic()
            self.checks["crash"] += 1
        if self.prefix_of(request.path) not in self.unsafe:
            return
        self.expect("at most once", len(self.runs[request_id]) == 1,
                    f"{request_id} ran at {self.runs[request_id]}")
        answer = self.answers.get(request_id)
        was_refused = answer is not None and answer.status in (408, 421, 429, 503)
        self.expect("not run", not was_refused,
                    f"{request_id} ran after it was refused")

    # Events at callers.

    def on_sent(self, answer, services):
        self.answers[answer.id] = answer
        for each in services:
            self.requests[each].append(answer.sent)

    def on_answer(self, answer):
        if answer.status is None or answer.gave_up_at:
            return
        self._note_leaving(answer)
        prefix = self.prefix_of(answer.path)
        if answer.status == 200 and prefix in self.top_records:
            self._check_gathered(answer, prefix)
        elif answer.status == 200:
            self._check_relayed(answer)
        if prefix in self.unsafe and answer.status in (408, 421, 429, 503):
            self.expect("not run", not self.runs.get(answer.id),
                        f"{answer.id} answered {answer.status} and has run")

    def _note_leaving(self, answer):
        """Records which replicas the VM of this answer has heard leave: those
        that had said so before the request was sent."""
        stamps = (answer.headers.get("X-Part-Stamps", "") + "," +
                  answer.headers.get("X-Server-Stamp", "")).split(",")
        for stamp in stamps:
            instance = stamp.strip().rsplit(".", 1)[0]
            leaves_since = self.leaving.get(instance)
            if leaves_since is not None and leaves_since < answer.sent:
                self.checks["told leaving"] += 1
                self.told_leaving.setdefault((instance, answer.vm),
                                             time.monotonic())

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
        self.expect("coverage", share >= self.min_coverage[prefix],
                    f"{answer.id}: {share:.2f} of the shards")

    # Checks that need the data of the whole run.

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
        """Checks that a graceful stop cut no request in flight; `stops` holds
        (VM, time of SIGTERM)."""
        lost = []
        for answer in self.answers.values():
            if answer.status is not None or answer.gave_up_at or not answer.ended:
                continue
            stop_times = [at for vm, at in stops if vm == answer.vm and
                          at <= answer.ended <= at + bounds.GRACE_S + 1]
            if not stop_times or not self.arrivals_by_id.get(answer.id):
                continue
            at = stop_times[-1]
            was_early = answer.sent <= at + bounds.GRACE_S / 2
            is_undisturbed = self.disruptions.is_undisturbed(
                answer.sent, answer.ended, "store", "replicas", "process",
                answer.vm + " unplanned")
            if was_early and is_undisturbed:
                lost.append(answer.id)
        self.checks["graceful stop"] += len(stops)
        for each in lost:
            self.violated("graceful stop", f"{each} was passed on, then cut")

    def check_late_arrivals(self):
        self.expect("caller gone",
                    self.late_arrivals <= bounds.MAX_LATE_ARRIVALS,
                    f"{self.late_arrivals} arrivals long after callers left")

    def check_recovered(self, faults_ended_at):
        late = [each for each in self.answers.values()
                if each.sent > faults_ended_at + bounds.RECOVER_S
                and not each.gave_up_at and each.ended]
        served = sum(1 for each in late if each.status == 200)
        self.expect("recover", not late or
                    served >= bounds.RECOVER_SHARE * len(late),
                    f"{served} of {len(late)} served after the last fault")
        return served, len(late)
