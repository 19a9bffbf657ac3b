#!/usr/bin/env python3
"""The days of days/ can be read and fit every deployment; the script that draws more draws the same again."""
import importlib.util
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCRIPT = ROOT / "scripts" / "days.py"
SHAPES = ["any", "control", "repeat"]
SEEDS = range(1, 31)
PLACES = {"zone", "to_zone", "region", "service"}  # what only one deployment has


def check(holds, what):
    if not holds:
        sys.exit(f"tests/days.py: {what}")


def entries_of(day):
    return day.get("plan", []) + day.get("faults", [])


def check_day(text, name):
    days = tomllib.loads(text)["day"]
    check(len(days) == 1, f"{name} holds {len(days)} days")
    check(days[0]["name"] == name, f"{name} is called {days[0]['name']}")
    check(text.startswith("#"), f"{name} does not say what it brings about")
    check(len(entries_of(days[0])) > 0, f"{name} holds no entry")
    for entry in entries_of(days[0]):
        check("kind" in entry and entry.get("at", -1) >= 0, f"{name}: an entry without kind or moment: {entry}")
        check(not PLACES & set(entry), f"{name}: an entry that fits one deployment alone: {entry}")
    return {entry["kind"] for entry in entries_of(days[0])}


def drawn(seed, shape):
    command = [sys.executable, str(SCRIPT), str(seed), "--shape", shape]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def script_loaded():
    spec = importlib.util.spec_from_file_location("drawing", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def check_drawn():
    script = script_loaded()
    listed = {*script.CONTROL, *script.CONFIGS, *script.OTHERS}
    seen = set()
    for shape in SHAPES:
        texts = [script.day_text(seed, shape) for seed in SEEDS]
        check(len(set(texts)) == len(texts), f"two seeds of the shape {shape} draw one day")
        check(texts[0] == drawn(SEEDS[0], shape), f"one seed of the shape {shape} draws two days")
        for seed, text in zip(SEEDS, texts):
            seen |= check_day(text, f"{shape}-{seed}")
    kinds = (listed - {"disk", "node_kill_any"}) | {"disk_slow", "disk_full", "disk_stall"}
    check(seen == kinds, f"listed and not drawn, or drawn and not listed: {sorted(seen ^ kinds)}")


def main():
    files = sorted((ROOT / "days").glob("*.toml"))
    check(len(files) > 0, "no days")
    for path in files:
        check_day(path.read_text(), path.stem)
    check_drawn()


if __name__ == "__main__":
    main()
