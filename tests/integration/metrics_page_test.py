"""The page of metrics names what the programs count, and nothing else."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
NAME = re.compile(r'"(wagtail_[a-z_]+)"')


def names_in_sources():
    found = set()
    for folder in ("src", "platform", "programs"):
        for path in (ROOT / folder).rglob("*.[ch]pp"):
            if "test" not in path.parts:
                found.update(NAME.findall(path.read_text()))
    return found


def names_on_page():
    text = (ROOT / "docs" / "METRICS.md").read_text()
    return set(re.findall(r"^\| `(wagtail_[a-z_]+)`", text, re.MULTILINE))


class MetricsPageTest(unittest.TestCase):
    def test_every_metric_of_the_sources_is_on_the_page(self):
        self.assertEqual(names_in_sources() - names_on_page(), set())

    def test_every_metric_on_the_page_is_in_the_sources(self):
        self.assertEqual(names_on_page() - names_in_sources(), set())


if __name__ == "__main__":
    unittest.main()
