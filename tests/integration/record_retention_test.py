"""Sidecars free the records of ended attempts some time after their end."""

import time
import unittest

import cluster

FILINGS = 400
# Records stay for 15 s after the end of their attempt.
RETENTION_S = 15


class RecordRetentionTest(unittest.TestCase):
    def setUp(self):
        self.fleet = cluster.Cluster(engines=1, services=1, entries=1)
        self.addCleanup(self.fleet.close)
        self.fleet.wait_ready()

    def file_all(self, name):
        """Returns the number of filings that were answered."""
        answered = 0
        for number in range(FILINGS):
            try:
                status, _, _ = self.fleet.call_service(
                    0, "ward-1", "issue", {"coupon": number},
                    f"{name}-{number}")
            except OSError:
                status = 0
            answered += status == 200
            if number % 20 == 0:
                self.fleet.chat(0, "ward-1", [
                    {"role": "user", "content": f"{name} {number}"}])
        return answered

    # Guards against a crash of each sidecar that lives for longer than its
    # records: the record of an attempt was freed twice.
    def test_sidecar_outlives_the_records_of_its_attempts(self):
        self.assertEqual(self.file_all("first"), FILINGS)
        time.sleep(RETENTION_S + 2)
        self.assertEqual(
            self.file_all("second"), FILINGS, self.fleet.describe())
        time.sleep(RETENTION_S + 2)
        ended = [process.describe()
                 for process in self.fleet.processes.values()
                 if not process.running()]
        self.assertEqual(ended, [])


if __name__ == "__main__":
    unittest.main()
