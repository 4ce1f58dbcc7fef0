#!/usr/bin/env python3
"""Turns the rows of wagtail-load into docs/MEASUREMENTS.md and its plots."""
import argparse
import json
import pathlib
import statistics
import sys

BASELINES = ["round_robin", "least_load", "always_import", "never_import"]
POLICIES = BASELINES + ["oracle", "wagtailseam"]
FAULTS = ["store_lost", "link_slow", "event_gaps", "runner_lost",
          "version_swap"]
COLOURS = {"round_robin": "#999999", "least_load": "#555555",
           "always_import": "#cc8800", "never_import": "#3366cc",
           "oracle": "#22aa55", "wagtailseam": "#cc2244"}


class Rows:
    """The mean over seeds of a field, by profile, policy, fault and scale."""

    def __init__(self, rows):
        self.rows = rows
        self.profiles = sorted({row["profile"] for row in rows})
        self.scales = sorted({row["link_scale"] for row in rows})
        self.seeds = sorted({row["seed"] for row in rows})

    def mean(self, field, profile, policy, fault="none", scale=1.0):
        return statistics.mean(
            row[field] for row in self.rows
            if (row["profile"], row["policy"], row["fault"],
                row["link_scale"]) == (profile, policy, fault, scale))

    def peak(self):
        return max(row["link_use"]["peak"] for row in self.rows)


def targets(rows):
    """Yields (target, figure, bound); a target is met at or below its bound."""
    for profile in rows.profiles:
        p95 = {p: rows.mean("ttft_p95_ms", profile, p) for p in POLICIES}
        share = {p: rows.mean("recomputed_share", profile, p)
                 for p in POLICIES}
        ratio = p95["wagtailseam"] / min(p95["round_robin"],
                                         p95["least_load"])
        yield f"{profile}: p95 / better of round robin, least load", ratio, 0.5
        for scale in rows.scales:
            at = {p: rows.mean("ttft_p95_ms", profile, p, scale=scale)
                  for p in POLICIES}
            best = min(at[p] for p in BASELINES)
            yield (f"{profile}: p95 / best baseline, link x {scale:g}",
                   at["wagtailseam"] / best, 1.05)
        yield (f"{profile}: recomputed share / least load",
               share["wagtailseam"] / share["least_load"], 0.4)
        yield (f"{profile}: recomputed share / oracle",
               share["wagtailseam"] / share["oracle"], 1.15)
        for fault in FAULTS:
            for field, what in (("ttft_p95_ms", "p95"),
                                ("ttft_p95_after_fault_ms",
                                 "p95 from 10 s after on")):
                yield (f"{profile}, {fault}: {what} / never import",
                       rows.mean(field, profile, "wagtailseam", fault) /
                       rows.mean(field, profile, "never_import", fault), 1.1)
    yield "peak use of any link in any second", rows.peak(), 1.001


def table(rows, profile, fault="none", scale=1.0):
    lines = ["| policy | p50 ms | p95 ms | p99 ms | p95 returning ms "
             "| recomputed | links mean | engines busy | refused | errors |",
             "|---|---|---|---|---|---|---|---|---|---|"]
    for policy in POLICIES:
        def mean(field, name=policy):
            return rows.mean(field, profile, name, fault, scale)
        link = statistics.mean(
            row["link_use"]["mean"] for row in rows.rows
            if (row["profile"], row["policy"], row["fault"],
                row["link_scale"]) == (profile, policy, fault, scale))
        lines.append(
            f"| {policy} | {mean('ttft_p50_ms'):.0f} "
            f"| {mean('ttft_p95_ms'):.0f} | {mean('ttft_p99_ms'):.0f} "
            f"| {mean('ttft_p95_returning_ms'):.0f} "
            f"| {mean('recomputed_share'):.3f} | {link:.2f} "
            f"| {mean('prefill_use'):.2f} | {mean('refused'):.0f} "
            f"| {mean('errors'):.0f} |")
    return "\n".join(lines)


def sweep(rows, profile):
    head = "| policy | " + " | ".join(f"x {s:g}" for s in rows.scales) + " |"
    lines = [head, "|---" * (len(rows.scales) + 1) + "|"]
    for policy in POLICIES:
        cells = [f"{rows.mean('ttft_p95_ms', profile, policy, scale=s):.0f}"
                 f" / {rows.mean('recomputed_share', profile, policy, scale=s):.3f}"
                 for s in rows.scales]
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot(rows, profile):
    """Draws p95 over link rate, both axes logarithmic, as an SVG."""
    import math
    width, height, left, top = 640, 360, 60, 20
    wide, high = width - left - 150, height - top - 50
    low, span = 500.0, math.log10(100)

    def place(scale, value):
        x = left + wide * (math.log10(scale / rows.scales[0]) /
                           math.log10(rows.scales[-1] / rows.scales[0]))
        y = top + high * (1 - math.log10(max(low, value) / low) / span)
        return f"{x:.1f},{y:.1f}"

    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height}" font-family="sans-serif" font-size="11">',
             f'<rect width="{width}" height="{height}" fill="white"/>']
    for value in (500, 1000, 2000, 5000, 10000, 20000, 50000):
        x, y = place(rows.scales[0], value).split(",")
        parts.append(f'<path d="M{x},{y} h{wide}" stroke="#ddd"/>'
                     f'<text x="8" y="{y}">{value} ms</text>')
    for scale in rows.scales:
        x = place(scale, low).split(",")[0]
        parts.append(f'<text x="{x}" y="{height - 30}">x {scale:g}</text>')
    for i, policy in enumerate(POLICIES):
        points = " ".join(
            place(s, rows.mean("ttft_p95_ms", profile, policy, scale=s))
            for s in rows.scales)
        parts.append(
            f'<polyline points="{points}" fill="none" stroke-width="2" '
            f'stroke="{COLOURS[policy]}"/><text x="{width - 140}" '
            f'y="{40 + 18 * i}" fill="{COLOURS[policy]}">{policy}</text>')
    parts.append(f'<text x="{left}" y="{height - 8}">{profile}: p95 time to '
                 'first token over link rate</text></svg>')
    return "\n".join(parts) + "\n"


def page(rows):
    out = ["# Measurements", "",
           "Written by `scripts/experiment`; means over seeds "
           + ", ".join(map(str, rows.seeds))
           + ". A model of the systems served, in virtual time: figures "
           "compare policies and are no promise for a real engine. "
           "`docs/design/routing.md` says what is modelled and what was "
           "tried.", "", "## Targets", "",
           "| target | measured | at most | met |", "|---|---|---|---|"]
    for name, figure, bound in targets(rows):
        met = "yes" if figure <= bound else "**no**"
        out.append(f"| {name} | {figure:.3f} | {bound:g} | {met} |")
    for profile in rows.profiles:
        out += ["", f"## Profile {profile}", "", table(rows, profile), "",
                "p95 in ms / recomputed share over the links' rate:", "",
                sweep(rows, profile), "", f"![p95](plots/{profile}.svg)"]
        for fault in FAULTS:
            out += ["", f"### {profile}, {fault}", "",
                    table(rows, profile, fault)]
    return "\n".join(out) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("rows", type=pathlib.Path)
    parser.add_argument("--write", type=pathlib.Path)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    rows = Rows(json.loads(options.rows.read_text(encoding="utf-8")))
    missed = [(n, f, b) for n, f, b in targets(rows) if f > b]
    for name, figure, bound in missed:
        print(f"missed: {name}: {figure:.3f}, at most {bound:g}")
    if options.write:
        plots = options.write / "plots"
        plots.mkdir(exist_ok=True)
        (options.write / "MEASUREMENTS.md").write_text(page(rows), "utf-8")
        for profile in rows.profiles:
            (plots / f"{profile}.svg").write_text(plot(rows, profile), "utf-8")
    return 1 if missed and options.check else 0


if __name__ == "__main__":
    sys.exit(main())
