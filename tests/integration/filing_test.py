"""Filings through real processes that are killed, before a table that is
down, slow or loses answers: none runs twice, and no refusal as not run is
untrue."""

import collections
import json
import os
import random
import threading
import time
import unittest

import cluster

FILINGS = int(os.environ.get("WAGTAIL_FILINGS", "1000"))
CALLERS = 16
RECOVERY_TRIES = 40
SEED = 20261204
FILING_STORE_UNAVAILABLE = 307
IDEMPOTENCY_CONFLICT = 204
UNKNOWN_CODES = range(500, 600)


def code_of(status, text):
    """The result code of an answer; 0 for an outcome."""
    if status == 200:
        return 0
    return json.loads(text)["error"]["code"]


def executions(fleet):
    """How often the services ran each key, by their own count."""
    total = collections.Counter()
    for upstream in fleet.upstreams:
        _, _, text = cluster.call(
            upstream["upstream"], "GET", "/control/executions")
        total.update(json.loads(text))
    return total


class Faults(threading.Thread):
    """Brings one fault after the other until it is told to stop."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet
        self.over = threading.Event()
        self.done = collections.Counter()

    def table(self, **faults):
        cluster.call(
            self.fleet.platform, "POST", "/control/faults", faults)

    def restart(self, name):
        self.fleet.processes[name].kill()
        self.over.wait(0.5)
        self.fleet.processes[name].start()

    def run(self):
        steps = [
            ("answers_lost", lambda: self.table(lose_answer=0.5)),
            ("entry_killed", lambda: self.restart("entry-1")),
            ("table_down", lambda: self.table(down=True)),
            ("sidecar_killed", lambda: self.restart("sidecar-ledger-1")),
            ("table_slow", lambda: self.table(delay_ms=700)),
            ("entry_killed", lambda: self.restart("entry-2")),
            ("refusals", lambda: self.table(refuse=0.5)),
        ]
        turn = 0
        while not self.over.is_set():
            name, bring = steps[turn % len(steps)]
            bring()
            self.done[name] += 1
            self.over.wait(1)
            self.table()
            self.over.wait(1)
            turn += 1
        self.table()


class Callers:
    """Callers that file each key once to three times, at any entry."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = collections.defaultdict(list)
        self.lock = threading.Lock()

    def file(self, entry, number):
        key = f"filing-{number}"
        try:
            status, _, text = self.fleet.call_service(
                entry, "ward-1", "issue", {"coupon": number}, key)
            answer = (code_of(status, text), text)
        except (OSError, cluster.http.client.HTTPException):
            # The entry was killed: the caller knows nothing.
            answer = (501, "")
        with self.lock:
            self.answers[key].append(answer)
        return answer

    def work(self, caller):
        rng = random.Random(SEED + caller)
        for number in range(caller, FILINGS, CALLERS):
            calls = rng.choice((1, 1, 2, 3))
            threads = [threading.Thread(
                target=self.file, args=(rng.randrange(3), number))
                for _ in range(calls)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def run(self):
        threads = [threading.Thread(target=self.work, args=(caller,))
                   for caller in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


class FilingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = cluster.Cluster(
            engines=0, services=2, entries=3, service_flags=["--delay_ms=5"])
        self.addCleanup(self.fleet.close)
        self.fleet.wait_ready()

    def issue(self, entry, key, body):
        status, _, text = self.fleet.call_service(
            entry, "ward-1", "issue", body, key)
        return code_of(status, text), text

    def test_repeat_at_other_entry_gets_the_stored_outcome(self):
        first = self.issue(0, "k", {"coupon": 1})
        self.assertEqual(first[0], 0)
        for entry in range(3):
            self.assertEqual(self.issue(entry, "k", {"coupon": 1}), first)
        self.assertEqual(executions(self.fleet)["k"], 1)

    def test_other_body_with_the_same_key_conflicts(self):
        self.assertEqual(self.issue(0, "k", {"coupon": 1})[0], 0)
        self.assertEqual(
            self.issue(1, "k", {"coupon": 2})[0], IDEMPOTENCY_CONFLICT)

    def test_table_that_is_down_refuses_as_not_run(self):
        cluster.call(self.fleet.platform, "POST", "/control/faults",
                     {"down": True})
        status, headers, text = self.fleet.call_service(
            0, "ward-1", "issue", {}, "k")
        self.assertEqual(code_of(status, text), FILING_STORE_UNAVAILABLE)
        self.assertIn("Retry-After", headers)
        self.assertEqual(executions(self.fleet)["k"], 0)

    def test_filings_under_faults_run_at_most_once(self):
        callers, faults = Callers(self.fleet), Faults(self.fleet)
        faults.start()
        began = time.monotonic()
        callers.run()
        took = time.monotonic() - began
        faults.over.set()
        faults.join()
        before = executions(self.fleet)
        self.check_refusals(callers.answers, before)
        self.fleet.wait_ready()
        last = self.repeat_all(callers)
        after = executions(self.fleet)
        codes = collections.Counter(
            code for answers in callers.answers.values()
            for code, _ in answers)
        print(f"\nfilings={FILINGS} seconds={took:.1f} "
              f"faults={dict(faults.done)} answers={dict(codes)} "
              f"executed={sum(after.values())} "
              f"executed_twice={sum(n > 1 for n in after.values())} "
              f"last_codes={dict(collections.Counter(c for c, _ in last.values()))}")
        self.check_outcomes(callers.answers, last, after)

    def check_refusals(self, answers, ran):
        for key, given in answers.items():
            if all(100 <= code < 500 for code, _ in given):
                self.assertEqual(ran[key], 0, f"{key} was told not run")

    def repeat_all(self, callers):
        """Calls each key again, after the faults, until it has an end. One
        whose outcome a caller has seen may still wait for its record."""
        last = {}
        for number in range(FILINGS):
            key = f"filing-{number}"
            seen = any(code == 0 for code, _ in callers.answers[key])
            for attempt in range(RECOVERY_TRIES):
                answer = callers.file(attempt % 3, number)
                unknown = answer[0] in (501, 502, 503)
                if answer[0] == 0 or (unknown and not seen):
                    break
                time.sleep(0.5)
            else:
                self.fail(f"{key} has no end after {RECOVERY_TRIES} calls, the "
                          f"last one got {answer}\n{self.fleet.describe()}")
            last[key] = answer
        return last

    def check_outcomes(self, answers, last, ran):
        self.assertEqual([k for k, n in ran.items() if n > 1], [])
        for key, (code, _) in last.items():
            bodies = {text for given, text in answers[key] if given == 0}
            self.assertLessEqual(len(bodies), 1, key)
            if bodies:
                self.assertEqual(ran[key], 1, key)
                self.assertEqual(code, 0, f"{key} lost its outcome")
            else:
                self.assertIn(code, UNKNOWN_CODES, key)


if __name__ == "__main__":
    unittest.main()
