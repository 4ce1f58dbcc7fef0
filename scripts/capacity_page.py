"""Works out docs/CAPACITY.md from measured slopes: every figure at the size of
two years is a slope times that size, and a test repeats the arithmetic."""

import json
import pathlib

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
DATA = PAGE.with_name("capacity.json")

# The size to design for.
ENTRIES = 330
UPSTREAMS = 3_700
REQUESTS_S = 6_400
TOKENS_S = 1_700_000
CHANGES_DAY = 2_100
RESTARTS_DAY = 1_400 + 32
CELL = 64
DAY_S = 86_400
# Timing that the questionnaire generates at that size.
GOSSIP_S = 2.0
QUESTION_S = 2 * GOSSIP_S
POLL_S = 4.0
# Bounds for control of one node.
PROCESSOR_BOUND, MEMORY_BOUND, BYTES_BOUND = 1.4, 256, 9.0
PLATFORM_READS, PLATFORM_WRITES = 2_000, 400


def figure(data, name):
    return data["slopes"][name]


def at(data, name, size):
    """A fitted line, read at a size; never below zero."""
    line = figure(data, name)
    return max(0.0, line["intercept"] + line["slope"] * size)


def slope(data, name):
    return max(0.0, figure(data, name)["slope"])


def control_entry_kb_s(data):
    """Questions to all cells. The bytes of a question to a cell of n members
    are fitted over the sweep of members; one question a cell a QUESTION_S."""
    measured_s = data["timing"]["question_s"]
    a_question = at(data, "cell.entry.control_kb_s", CELL) * measured_s
    cells = -(-UPSTREAMS // CELL)
    return cells * a_question / QUESTION_S


def control_sidecar_kb_s(data):
    """Gossip in a cell of CELL members plus the questions of all entries."""
    measured_s = data["timing"]["gossip_s"]
    gossip = at(data, "cell.sidecar.control_kb_s", CELL) * measured_s / GOSSIP_S
    question = at(data, "cell.entry.control_kb_s", CELL) * \
        data["timing"]["question_s"]
    return gossip + ENTRIES / CELL * question / QUESTION_S


def control_entry_processor(data):
    measured_s = data["timing"]["question_s"]
    a_cell = max(0.0, at(data, "cell.entry.processor_percent", CELL)) * \
        measured_s / QUESTION_S
    return a_cell * -(-UPSTREAMS // CELL)


def control_sidecar_processor(data):
    measured_s = data["timing"]["gossip_s"]
    return at(data, "cell.sidecar.processor_percent", CELL) * \
        measured_s / GOSSIP_S


def totals(data):
    """Every derived figure of the page, by name."""
    requests = REQUESTS_S / ENTRIES
    tokens = TOKENS_S / ENTRIES
    return {
        "entry.control_kb_s": control_entry_kb_s(data),
        "entry.control_processor_percent": control_entry_processor(data),
        "entry.requests_processor_percent":
            slope(data, "requests.entry.processor_percent") * requests,
        "entry.tokens_processor_percent":
            slope(data, "tokens.entry.processor_percent") * tokens,
        "entry.resident_mb": at(data, "cell.entry.resident_mb", UPSTREAMS),
        "sidecar.control_kb_s": control_sidecar_kb_s(data),
        "sidecar.control_processor_percent": control_sidecar_processor(data),
        "sidecar.resident_mb": at(data, "cell.sidecar.resident_mb", CELL),
        "platform.head_reads_s": ENTRIES / POLL_S,
        "platform.acceptance_writes_s": 3 * CHANGES_DAY / DAY_S,
        "platform.restart_reads_s": RESTARTS_DAY / DAY_S,
    }


def verdict(value, bound):
    return "within" if value <= bound else "**over**"


def totals_table(data):
    t = totals(data)
    rows = [
        ("entry: control traffic", t["entry.control_kb_s"], "KB/s",
         BYTES_BOUND, "questions to cells (`src/cell_gossip`)"),
        ("entry: control processor", t["entry.control_processor_percent"],
         "% of a core", PROCESSOR_BOUND, "the same"),
        ("entry: resident memory", t["entry.resident_mb"], "MB",
         MEMORY_BOUND, "directory of upstreams (`src/entry`)"),
        ("sidecar: control traffic", t["sidecar.control_kb_s"], "KB/s",
         BYTES_BOUND, "gossip within the cell"),
        ("sidecar: control processor",
         t["sidecar.control_processor_percent"], "% of a core",
         PROCESSOR_BOUND, "the same"),
        ("sidecar: resident memory", t["sidecar.resident_mb"], "MB",
         MEMORY_BOUND, "rows of the cell, records of attempts")]
    lines = ["| figure at 330 entries and 3,700 upstreams | value | unit | "
             "bound | | mechanism |", "| --- | --- | --- | --- | --- | --- |"]
    for what, value, unit, bound, mechanism in rows:
        lines.append(f"| {what} | {value:.2f} | {unit} | {bound} | "
                     f"{verdict(value, bound)} | {mechanism} |")
    lines += [
        "", "| data plane of one entry | value |", "| --- | --- |",
        f"| requests, {REQUESTS_S / ENTRIES:.1f} a second | "
        f"{t['entry.requests_processor_percent']:.1f} % of a core |",
        f"| tokens, {TOKENS_S / ENTRIES:.0f} a second | "
        f"{t['entry.tokens_processor_percent']:.1f} % of a core |",
        "", "| platform, all processes | a second | budget |",
        "| --- | --- | --- |",
        f"| reads of the head by {ENTRIES} entries, every {POLL_S:.0f} s | "
        f"{t['platform.head_reads_s']:.1f} | {PLATFORM_READS} reads |",
        f"| reads at {RESTARTS_DAY} restarts a day | "
        f"{t['platform.restart_reads_s']:.3f} | |",
        f"| writes of {CHANGES_DAY} acceptances a day (object, head, "
        f"history) | {t['platform.acceptance_writes_s']:.3f} | "
        f"{PLATFORM_WRITES} writes |"]
    return lines


def slopes_table(data):
    lines = ["| sweep, role, figure | slope | at zero | largest residual |",
             "| --- | --- | --- | --- |"]
    for name, line in sorted(data["slopes"].items()):
        if "platform" in name:
            continue
        lines.append(f"| {name} | {line['slope']:.5g} | "
                     f"{line['intercept']:.4g} | {line['residual']:.3g} |")
    return lines


def runs_table(data):
    lines = ["| sweep | size | entries | upstreams | processes | seconds | "
             "entry % | entry KB/s | entry MB | sidecar % | sidecar KB/s | "
             "sidecar MB |", "|" + " --- |" * 12]
    for row in data["rows"]:
        e, s = row["entry"], row["sidecar"]
        lines.append(
            f"| {row['sweep']} | {row['size']} | {row['entries']} | "
            f"{row['upstreams']} | {row['processes']} | {row['seconds']} | "
            f"{e['processor_percent']:.2f} | {e['control_kb_s']:.2f} | "
            f"{e['resident_mb']:.1f} | {s['processor_percent']:.2f} | "
            f"{s['control_kb_s']:.2f} | {s['resident_mb']:.1f} |")
    return lines


def replace_between(text, mark, lines):
    begin, end = f"<!-- {mark} -->", f"<!-- end of {mark} -->"
    head, rest = text.split(begin)
    _, tail = rest.split(end)
    return head + begin + "\n\n" + "\n".join(lines) + "\n\n" + end + tail


def rendered(text, data):
    for mark, lines in (("totals", totals_table(data)),
                        ("slopes", slopes_table(data)),
                        ("runs", runs_table(data))):
        text = replace_between(text, mark, lines)
    return text


def rewrite(data):
    PAGE.write_text(rendered(PAGE.read_text(), data))


def load():
    return json.loads(DATA.read_text())
