"""The capacity page's totals follow from its slopes."""

import unittest

import capacity_page


class CapacityPageTest(unittest.TestCase):
    def test_tables_follow_from_committed_slopes(self):
        text = capacity_page.PAGE.read_text()
        self.assertEqual(
            capacity_page.rendered(text, capacity_page.load()), text)

    def test_slopes_follow_from_committed_rows(self):
        import capacity
        data = capacity_page.load()
        fitted = capacity.fit_all(data["rows"])
        for name, line in data["slopes"].items():
            for part, value in line.items():
                self.assertAlmostEqual(fitted[name][part], value, 6, name)

    def test_totals_of_a_known_line_are_its_values_at_the_size(self):
        line = {"slope": 0.01, "intercept": 0.36, "residual": 0}
        data = {"timing": {"gossip_s": 0.25, "question_s": 0.5},
                "slopes": {f"{s}.{r}.{f}": line for s in
                           ("cell", "requests", "tokens")
                           for r in ("entry", "sidecar") for f in
                           ("control_kb_s", "processor_percent",
                            "resident_mb")}}
        totals = capacity_page.totals(data)
        # 58 cells, each 1.0 KB/s x 0.5 s a question, a question in 4 s.
        self.assertAlmostEqual(totals["entry.control_kb_s"], 58 * 0.5 / 4)
        self.assertAlmostEqual(totals["platform.head_reads_s"], 82.5)


if __name__ == "__main__":
    unittest.main()
