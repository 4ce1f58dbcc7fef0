"""Raises deployments of growing size on loopback, drives one kind of load at
a time, reads each process's own counters and the kernel's, and fits slopes.

  scripts/capacity [--quick] [--json FILE]

Writes the rows and slopes to docs/capacity.json and rewrites the tables of
docs/CAPACITY.md between its markers."""

import argparse
import concurrent.futures
import json
import os
import pathlib
import sys
import time

import capacity_page
import cluster

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 3


def processor_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def resident_mb(pid):
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE / 1e6


def sample(fleet):
    """Reads every process of the system: role, processor, memory, control."""
    rows = {}
    admins = dict(zip((f"entry-{i + 1}" for i in range(
        len(fleet.admin_addresses))), fleet.admin_addresses))
    for spec in fleet.upstreams:
        admins[f"sidecar-{spec['id']}"] = spec["admin"]
    for name, admin in admins.items():
        pid = fleet.processes[name].child.pid
        text = cluster.call(admin, "GET", "/metrics")[2]
        gauges = dict(line.rsplit(" ", 1) for line in text.splitlines()
                      if line.startswith("wagtail_") and "{" not in line)

        def gauge(key, values=gauges):
            return float(values.get(key, 0))
        rows[name] = {
            "role": "entry" if name.startswith("entry") else "sidecar",
            "processor_s": processor_s(pid), "resident_mb": resident_mb(pid),
            "control_out": gauge("wagtail_control_bytes_sent"),
            "control_in": gauge("wagtail_control_bytes_received"),
            "platform_reads": gauge("wagtail_platform_reads"),
            "platform_writes": gauge("wagtail_platform_writes")}
    return rows


def rates(before, after, seconds):
    """Means over the processes of a role, a second."""
    out = {}
    for role in ("entry", "sidecar"):
        names = [n for n, row in after.items() if row["role"] == role]

        def mean(field, names=names):
            return sum(after[n][field] - before[n][field]
                       for n in names) / len(names) / seconds
        out[role] = {
            "processor_percent": 100 * mean("processor_s"),
            "control_kb_s": (mean("control_out") + mean("control_in")) / 1e3,
            "platform_reads_s": mean("platform_reads"),
            "platform_writes_s": mean("platform_writes"),
            "resident_mb": sum(after[n]["resident_mb"]
                               for n in names) / len(names)}
    return out


def drive(fleet, requests_s, tokens, seconds):
    """Sends prompts at a steady rate; returns how many were answered."""
    count = int(requests_s * seconds)
    start = time.monotonic()

    def one(i):
        time.sleep(max(0, start + i / requests_s - time.monotonic()))
        got = fleet.chat(i % len(fleet.entry_addresses), "ward-1",
                         [{"role": "user", "content": f"prompt {i}"}], tokens)
        return got["done"]
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        return sum(pool.map(one, range(count)))


def measure(sweep, size, entries, upstreams, seconds, load=None):
    """One run: raises the deployment, waits, measures, ends it."""
    flags = ["--token_interval_us=1000", "--prefill_us_per_token=0"]
    with cluster.Cluster(engines=upstreams, services=0, entries=entries,
                         engine_flags=flags) as fleet:
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        before, began = sample(fleet), time.monotonic()
        answered = drive(fleet, *load, seconds) if load else \
            time.sleep(seconds)
        seconds = time.monotonic() - began
        row = {"sweep": sweep, "size": size, "entries": entries,
               "upstreams": upstreams, "seconds": round(seconds, 2),
               "processes": len(fleet.processes), "answered": answered or 0,
               **rates(before, sample(fleet), seconds)}
    print(json.dumps(row), flush=True)
    return row


def sweep_rows(quick):
    seconds = 5 if quick else 8
    sizes = (3, 10) if quick else (10, 30, 64)
    # All upstreams are one cell here, so the size is that of a cell.
    rows = [measure("cell", n, 1, n, seconds) for n in sizes]
    entries = (1, 3) if quick else (1, 10, 30)
    rows += [measure("entries", n, n, 10, seconds) for n in entries]
    loads = (10, 50) if quick else (50, 100, 200)
    rows += [measure("requests", n, 1, 10, seconds, (n, 8)) for n in loads]
    tokens = (10, 50) if quick else (10, 200, 400)
    rows += [measure("tokens", n * 20, 1, 10, seconds, (20, n))
             for n in tokens]
    return rows


def fit(points):
    """Least squares; returns slope, intercept and the largest residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return {"slope": slope, "intercept": intercept, "residual": residual}


def fit_all(rows):
    slopes = {}
    for sweep in sorted({row["sweep"] for row in rows}):
        chosen = [row for row in rows if row["sweep"] == sweep]
        for role in ("entry", "sidecar"):
            for figure in chosen[0][role]:
                slopes[f"{sweep}.{role}.{figure}"] = fit(
                    [(row["size"], row[role][figure]) for row in chosen])
    return slopes


def main():
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--quick", action="store_true")
    options.add_argument("--json", metavar="FILE",
                         default=cluster.ROOT / "docs" / "capacity.json")
    asked = options.parse_args()
    rows = sweep_rows(asked.quick)
    heartbeat_s = cluster.HEARTBEAT_MS / 1000
    data = {"timing": {"gossip_s": heartbeat_s, "question_s": 2 * heartbeat_s},
            "rows": rows, "slopes": fit_all(rows)}
    pathlib.Path(asked.json).write_text(json.dumps(data, indent=1) + "\n")
    if not asked.quick:
        capacity_page.rewrite(data)
    return 0


if __name__ == "__main__":
    sys.exit(main())
