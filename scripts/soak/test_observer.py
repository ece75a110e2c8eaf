"""Tests that the observer reports violations of its properties, and reports
none where they hold."""

import time
import unittest

from loopback.replica import body_of, records_of, sign
from soak import bounds
from soak.observer import Answer, Observer


class FakeReplica:
    def __init__(self, instance, service):
        self.instance = instance
        self.service = service
        self.limit = None


class FakeRequest:
    def __init__(self, path):
        self.path = path


class ObserverTest(unittest.TestCase):
    def setUp(self):
        self.observer = Observer()
        self.observer.unsafe.add("/pay/")
        self.observer.top_records["/find/"] = 5
        self.observer.min_coverage["/find/"] = 0.5
        self.observer.shard_sets.append({"s1", "s2"})
        self.replicas = []
        for number, service in enumerate(["s1", "s2", "pay", "ledger"]):
            replica = FakeReplica(f"i-{number}", service)
            self.replicas.append(replica)
            self.observer.instances[replica.instance] = replica
        self.observer.allowed.update({"/find/": {"s1", "s2"}, "/pay/": {"pay"},
                                      "/one/": {"ledger"}})

    def sent_request(self, request_id, path, sent_ago=0.0):
        answer = Answer(request_id, "vm0", path, time.monotonic() - sent_ago)
        self.observer.on_sent(answer, [])
        return answer

    def violated_properties(self):
        return [name for name, _ in self.observer.violations]

    def arrive(self, replica, answer, runs=True):
        request = FakeRequest(answer.path)
        self.observer.on_arrival(replica, request, answer.id)
        if runs:
            self.observer.on_run(replica, request, answer.id)

    def test_runs_twice(self):
        answer = self.sent_request("q1", "/pay/1")
        self.arrive(self.replicas[2], answer)
        self.assertEqual(self.violated_properties(), [])
        self.arrive(self.replicas[2], answer)
        self.assertEqual(self.violated_properties(), ["at most once"])

    def test_requests_in_a_pause(self):
        replica = self.replicas[3]
        self.observer.on_pause_asked(replica, self.sent_request("q0", "/one/0").id, 5.0)
        start, end = self.observer.pauses[(replica.instance, "vm0")]
        self.observer.pauses[(replica.instance, "vm0")] = (start - 1.0, end)
        for number in range(2):
            self.arrive(replica, self.sent_request(f"q{number + 1}", "/one/1"))
        self.assertEqual(self.violated_properties(), [])
        self.arrive(replica, self.sent_request("q3", "/one/1"))
        self.assertEqual(self.violated_properties(), ["pause"])

    def test_requests_beyond_a_limit(self):
        replica = self.replicas[3]
        replica.limit = 1.0
        self.observer.on_limit_named(replica, self.sent_request("q0", "/one/0").id)
        known = self.observer.limits[replica.instance]
        known.named_at -= 10.0
        known.told["vm0"] -= 10.0
        for number in range(11):
            self.arrive(replica, self.sent_request(f"q{number + 1}", "/one/1"))
        self.assertEqual(self.violated_properties(), [])
        self.arrive(replica, self.sent_request("q12", "/one/1"))
        self.assertEqual(self.violated_properties(), ["limit"])

    def test_request_after_the_replica_said_that_it_leaves(self):
        replica = self.replicas[3]
        self.observer.leaving[replica.instance] = time.monotonic() - 9.0
        answer = self.sent_request("q1", "/one/1", sent_ago=8.0)
        answer.status = 200
        answer.headers = {"X-Server-Stamp": sign(replica.instance, "q1")}
        answer.body = body_of(replica.service, "q1")
        answer.ended = time.monotonic()
        self.observer.on_answer(answer)
        key = (replica.instance, "vm0")
        self.assertIn(key, self.observer.told_leaving)
        self.observer.disruptions.begin("store")
        self.arrive(replica, self.sent_request("q2", "/one/1"))
        self.assertEqual(self.violated_properties(), [])
        self.observer.told_leaving[key] -= bounds.DRAIN_S + 1.0
        self.arrive(replica, self.sent_request("q3", "/one/1"))
        self.assertEqual(self.violated_properties(), ["told leaving"])

    def test_refused_but_run(self):
        answer = self.sent_request("q1", "/pay/1")
        self.arrive(self.replicas[2], answer)
        answer.status = 503
        self.observer.on_answer(answer)
        self.assertEqual(self.violated_properties(), ["not run"])

    def test_refused_then_run(self):
        answer = self.sent_request("q1", "/pay/1")
        answer.status = 429
        self.observer.on_answer(answer)
        self.arrive(self.replicas[2], answer)
        self.assertEqual(self.violated_properties(), ["not run"])

    def test_wrong_service_and_unknown_request(self):
        self.arrive(self.replicas[0], self.sent_request("q1", "/one/1"), runs=False)
        self.assertEqual(self.violated_properties(), ["route"])
        self.observer.on_arrival(self.replicas[3], FakeRequest("/one/2"), "q9")
        self.assertEqual(self.violated_properties(), ["route", "unasked"])

    def relayed(self, stamp_id, body):
        answer = self.sent_request("q1", "/one/1")
        answer.status = 200
        answer.headers = {"X-Server-Stamp": sign("i-3", stamp_id)}
        answer.body = body
        self.observer.on_answer(answer)
        return self.violated_properties()

    def test_whole_answer_holds(self):
        self.assertEqual(self.relayed("q1", body_of("ledger", "q1")), [])

    def test_answer_of_another_request(self):
        self.assertEqual(self.relayed("q2", body_of("ledger", "q2")),
                         ["own answer"])

    def test_answer_cut_short(self):
        self.assertEqual(self.relayed("q1", body_of("ledger", "q1")[:-1]),
                         ["own answer"])

    def gathered(self, instances, missing, body=None):
        answer = self.sent_request("q1", "/find/1")
        answer.status = 200
        answer.headers = {
            "X-Part-Stamps": ", ".join(sign(each, "q1") for each in instances),
            "X-Missing-Parts": str(missing)}
        records = []
        for each in instances:
            records += records_of(self.observer.instances[each].service, "q1")
        records.sort(reverse=True)
        answer.body = b"".join(records[:5]) if body is None else body
        self.observer.on_answer(answer)
        return self.violated_properties()

    def test_merge_holds(self):
        self.assertEqual(self.gathered(["i-0", "i-1"], 0), [])

    def test_merge_with_true_coverage_holds(self):
        self.assertEqual(self.gathered(["i-0"], 1), [])

    def test_hidden_shard(self):
        self.assertEqual(self.gathered(["i-0"], 0), ["one snapshot"])

    def test_same_shard_twice(self):
        self.assertIn("own answer", self.gathered(["i-0", "i-0"], 0))

    def test_other_body(self):
        self.assertEqual(self.gathered(["i-0", "i-1"], 0, b"x" * 80),
                         ["own answer"])

    def test_too_few_shards(self):
        self.observer.min_coverage["/find/"] = 0.9
        self.assertEqual(self.gathered(["i-0"], 1), ["coverage"])

    def test_work_for_a_replica_that_left(self):
        drain_started_at = time.monotonic() - bounds.DRAIN_S - 1
        self.observer.leaving["i-3"] = drain_started_at
        self.arrive(self.replicas[3], self.sent_request("q1", "/one/1"))
        self.assertEqual(self.violated_properties(), ["drain"])

    def test_disturbed_vm_is_excused(self):
        self.observer.leaving["i-3"] = time.monotonic() - bounds.DRAIN_S - 1
        self.observer.disruptions.begin("vm0")
        self.arrive(self.replicas[3], self.sent_request("q1", "/one/1"))
        self.assertEqual(self.violated_properties(), [])

    def test_extra_arrivals(self):
        for number in range(bounds.BUDGET_SLACK + 2):
            answer = self.sent_request(f"q{number}", f"/one/{number}")
            self.arrive(self.replicas[3], answer, runs=False)
            self.arrive(self.replicas[3], answer, runs=False)
        self.observer.check_budget()
        self.assertIn("budget", self.violated_properties())

    def test_cut_by_a_graceful_stop(self):
        answer = self.sent_request("q1", "/one/1", sent_ago=0.5)
        self.arrive(self.replicas[3], answer)
        answer.ended = time.monotonic()
        self.observer.check_lost([("vm0", time.monotonic() - 1)])
        self.assertEqual(self.violated_properties(), ["graceful stop"])

    def test_arrivals_after_callers_left(self):
        for number in range(bounds.MAX_LATE_ARRIVALS + 1):
            answer = self.sent_request(f"q{number}", "/one/1")
            answer.gave_up_at = time.monotonic() - bounds.LATE_ARRIVAL_S - 0.1
            self.arrive(self.replicas[3], answer)
        self.observer.check_late_arrivals()
        self.assertEqual(self.violated_properties(), ["caller gone"])

    def test_no_recovery(self):
        self.sent_request("q1", "/one/1").ended = time.monotonic()
        self.observer.check_recovered(time.monotonic() - bounds.RECOVER_S - 1)
        self.assertEqual(self.violated_properties(), ["recover"])


if __name__ == "__main__":
    unittest.main()
