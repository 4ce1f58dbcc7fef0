"""Retries of real processes stay within their budget."""

import concurrent.futures
import json
import unittest

import cluster


class RetryStormTest(unittest.TestCase):
    """Every engine answers each request with an error."""

    REQUESTS = 800

    def test_all_upstreams_failing_attempts_stay_under_a_tenth_more(self):
        with cluster.Cluster(engines=3, services=0, entries=1,
                             engine_flags=["--fail_status=500"]) as fleet:
            fleet.wait_ready()

            def one(i):
                return fleet.chat(0, "ward-1", [
                    {"role": "user", "content": f"question {i}"}])
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                answers = list(pool.map(one, range(self.REQUESTS)))
            attempts = sum(
                json.loads(cluster.call(u["upstream"], "GET",
                                        "/control/counts")[2])["completions"]
                for u in fleet.upstreams)
            print(f"requests={self.REQUESTS} attempts={attempts}")
            self.assertLess(attempts, 1.1 * self.REQUESTS)
            self.assertGreater(attempts, self.REQUESTS)
            self.assertEqual([a for a in answers if a["done"]], [])
            for answer in answers:
                self.assertGreaterEqual(
                    int(answer["headers"]["Retry-After"]), 1)
            self.assertGreater(fleet.metric(
                fleet.admin_addresses[0], "wagtail_retries_refused_total"), 0)


if __name__ == "__main__":
    unittest.main()
