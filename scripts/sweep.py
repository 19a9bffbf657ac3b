#!/usr/bin/env python3
"""Runs the sweep (random failures by seed) for a range of seeds on all CPUs.

  sweep.py FIRST LAST [--mix trentvale|atlas|varied|all] [--site plain|three|six|eight] [--jobs N] [--shrink]

Prints each seed that broke a safety property, with the property and the details; with --shrink also the
timeline of the seed, reduced to the failures that are needed to break the property.
Exit code 1 if a seed broke a safety property.
"""
import argparse
import collections
import concurrent.futures
import os
import re
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
TOOL = os.path.join(HERE, "..", "build", "spancart-sweep")

SITE = ["plain"]  # the chosen site, set by main()


def run_seed(seed, mix, skip=(), verbose=False):
    """Runs one seed. Returns the number of its steps, the violation (None: none) and the output."""
    args = [TOOL, str(seed), str(seed), mix, SITE[0]] + (["-v"] if verbose else [])
    if skip:
        args += ["--skip", ",".join(map(str, sorted(skip)))]
    got = subprocess.run(args, capture_output=True, text=True, errors="replace", check=False)
    broke = re.search(r"BROKE of (\d+) steps: (.*)", got.stdout)
    if got.returncode not in (0, 1) and not broke:
        return 0, f"the run ended with exit code {got.returncode}: {got.stderr[-200:]}", got.stdout
    return (int(broke.group(1)), broke.group(2), got.stdout) if broke else (0, None, got.stdout)


def property_of(why):
    """Returns the name of the safety property, without time and details, to recognize the same violation."""
    return re.sub(r"^at \d+ ms: ", "", why).split(":")[0]


def shrink(seed, mix, steps, why):
    """Returns the steps to skip: leaves out halves, quarters, ... single failures while the same property breaks."""
    skip, size = set(), max(1, steps // 2)
    while size >= 1:
        for begin in range(0, steps, size):
            more = skip | set(range(begin, min(begin + size, steps)))
            if more == skip:
                continue
            _, again, _ = run_seed(seed, mix, more)
            if again and property_of(again) == property_of(why):
                skip = more
        size = size // 2 if size > 1 else 0
    return skip


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--mix", choices=["trentvale", "atlas", "varied", "all"], default="all")
    parser.add_argument("--site", choices=["plain", "three", "six", "eight"], default="plain")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    SITE[0] = options.site
    mixes = ["trentvale", "atlas", "varied"] if options.mix == "all" else [options.mix]
    work = [(seed, mixes[seed % len(mixes)]) for seed in range(options.first, options.last + 1)]
    count, broken, properties = collections.Counter(), [], collections.Counter()
    worst = [0, 0, 0]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for (seed, mix), (steps, why, text) in zip(work, pool.map(lambda w: run_seed(*w), work)):
            count[mix] += 1
            if why:
                broken.append((seed, mix, steps, why))
                properties[property_of(why)] += 1
                print(f"seed {seed} {mix}: {why}", flush=True)
                continue
            total = re.search(r"(\d+) failures, (\d+) starts, (\d+) times served, worst (\d+) (\d+) (\d+)", text)
            for key, value in zip(("failures", "starts", "served"), total.groups()):
                count[key] += int(value)
            worst = [max(a, int(b)) for a, b in zip(worst, total.groups()[3:])]
    if options.shrink:
        for seed, mix, steps, why in broken:
            skip = shrink(seed, mix, steps, why)
            steps, why, text = run_seed(seed, mix, skip, verbose=True)
            print(f"\nseed {seed} {mix} --skip {','.join(map(str, sorted(skip)))}\n{why}")
            print("\n".join(line for line in text.splitlines() if line.startswith("  ")))
    print(", ".join(f"{mix} {count[mix]}" for mix in mixes) + f" seeds; {len(broken)} broke; {count['failures']} failures "
          f"injected, {count['starts']} starts, an entry point had to serve {count['served']} times; "
          f"worst first acceptance {worst[0]}, status {worst[1]}, start {worst[2]} ms")
    for name, times in properties.most_common():
        print(f"  {times} x {name}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
