#!/usr/bin/env python3
"""Tests of the scenarios in days/, which must be valid and fit every deployment, and of scripts/days.py, which must
generate the same scenario again for the same seed."""
import importlib.util
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCRIPT = ROOT / "scripts" / "days.py"
SHAPES = ["any", "control", "repeat"]
SEEDS = range(1, 31)
DEPLOYMENT_FIELDS = {"zone", "to_zone", "region", "service"}  # fields whose values are specific to one deployment


def check(condition, what):
    if not condition:
        sys.exit(f"tests/days.py: {what}")


def entries_of(day):
    return day.get("plan", []) + day.get("faults", [])


def check_day(text, name):
    days = tomllib.loads(text)["day"]
    check(len(days) == 1, f"{name} contains {len(days)} days, expected 1")
    check(days[0]["name"] == name, f"{name} contains a day with the name {days[0]['name']}")
    check(text.startswith("#"), f"{name} does not begin with a comment that describes it")
    check(len(entries_of(days[0])) > 0, f"{name} contains no entry")
    for entry in entries_of(days[0]):
        check("kind" in entry and entry.get("at", -1) >= 0, f"{name}: entry without kind or time: {entry}")
        check(not DEPLOYMENT_FIELDS & set(entry), f"{name}: entry that fits only one deployment: {entry}")
    return {entry["kind"] for entry in entries_of(days[0])}


def generate(seed, shape):
    command = [sys.executable, str(SCRIPT), str(seed), "--shape", shape]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def load_script():
    spec = importlib.util.spec_from_file_location("drawing", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def check_generated():
    script = load_script()
    listed = {*script.CONTROL, *script.CONFIGS, *script.OTHERS}
    seen = set()
    for shape in SHAPES:
        texts = [script.day_text(seed, shape) for seed in SEEDS]
        check(len(set(texts)) == len(texts), f"two seeds of the shape {shape} generate the same day")
        check(texts[0] == generate(SEEDS[0], shape), f"one seed of the shape {shape} generates two different days")
        for seed, text in zip(SEEDS, texts):
            seen |= check_day(text, f"{shape}-{seed}")
    kinds = (listed - {"disk", "node_kill_any"}) | {"disk_slow", "disk_full", "disk_stall"}
    check(seen == kinds, f"kinds listed but not generated, or generated but not listed: {sorted(seen ^ kinds)}")


def main():
    files = sorted((ROOT / "days").glob("*.toml"))
    check(len(files) > 0, "days/ contains no days")
    for path in files:
        check_day(path.read_text(), path.stem)
    check_generated()


if __name__ == "__main__":
    main()
