#!/usr/bin/env python3
"""Two releases side by side: builds the present tree and a scratch copy of it with
a field added to messages and records and a message that the other does not know,
then rolls the next release over a running fleet under load, one process at a time
(cores that do not lead, the leader, gates, agents), and back again. Afterwards the
record of what really ran is checked for every never.

  rollout.py FOLDER --binary SPANCART
  rollout.py --fit       whether the sources still have what the next release changes
"""
import argparse
import os
import re
import shutil
import signal
import subprocess
import sys
import time

import fleet as fleets

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)

# What the next release adds: fields at the end, of a heartbeat, of an answer with
# orders, of a carried request, of a record of the log; and a message kind.
NEXT_FIELDS = [
    ("packages/heartbeat/include/heartbeat/messages.h", "HEARTBEAT_ASK_FIELDS", "X(U64, added_later, 0)"),
    ("packages/heartbeat/include/heartbeat/messages.h", "FETCH_ANSWER_FIELDS", "X(TXT, noteLater, 0)"),
    ("packages/routing/include/routing/messages.h", "FORWARD_ASK_FIELDS", "X(U64, added_later, 0)"),
    ("packages/replication/include/replication/messages.h", "TERM_RECORD_FIELDS", "X(U64, added_later, 0)"),
    ("packages/state/include/state/change.h", "PLACEMENT_FIELDS", "X(U64, added_later, 0)"),
]
NEXT_KIND = ("packages/agent/src/heartbeat.c", r"\n    const Status status = rpc_call_peer\(",
             "\n    /* a message that the release before does not know */\n"
             "    rpc_call(agent->rpc, heartbeat, heartbeat->address, (MessageKind)250, &HeartbeatAsk_shape, &ask, 50, &HeartbeatAnswer_shape, &answer);\n"
             "    const Status status = rpc_call_peer(")


def edited(root, path, pattern, instead):
    """The text of path with the one place that pattern finds changed."""
    with open(os.path.join(root, path)) as file:
        text = file.read()
    text, count = re.subn(pattern, instead, text)
    if count != 1:
        raise SystemExit(f"{path} has {count} places that the next release changes, wanted 1: {pattern}")
    return text


def next_edits(root):
    """(path, edit) of each; a list of fields is one macro, with its continued lines."""
    for path, name, field in NEXT_FIELDS:
        yield path, lambda folder, path=path, name=name, field=field: edited(
            folder, path, r"(#define " + name + r"\(X\)(?:[^\n]*\\\n)*[^\n]*)\n",
            lambda match: match.group(1) + " \\\n    " + field + "\n")
    path, pattern, instead = NEXT_KIND
    yield path, lambda folder: edited(folder, path, pattern, lambda match: instead)


def run(args):
    got = subprocess.run(args, capture_output=True, text=True, errors="replace", check=False)
    if got.returncode != 0:
        raise SystemExit("the next release does not build:\n" + got.stdout[-2000:] + got.stderr[-2000:])


def next_release(folder):
    shutil.copytree(ROOT, folder, ignore=lambda at, names: [
        name for name in names if name == ".git" or name.startswith(("build", "run", "target")) and at == ROOT])
    for path, edit in next_edits(folder):
        text = edit(folder)
        with open(os.path.join(folder, path), "w") as file:
            file.write(text)
    run(["cmake", "-S", folder, "-B", os.path.join(folder, "build"), "-G", "Ninja"])
    run(["cmake", "--build", os.path.join(folder, "build"), "--target", "spancart"])
    return os.path.join(folder, "build", "spancart")


def roll(fleet, binary):
    """One process at a time; each is asked to stop, and the other release started."""
    fleet.binary = binary
    leader = fleet.ask("/v1/status")["leader"]
    cores = [name for name in ("core1", "core2", "core3") if name != leader] + [leader]
    for name in cores + [name for name, node in fleet.nodes.items() if node["role"] in ("gate", "agent")]:
        fleet.kill(name, signal.SIGTERM)
        until = time.monotonic() + 8
        while fleet.alive(name) and time.monotonic() < until:
            time.sleep(0.02)
        if fleet.alive(name):
            raise SystemExit(f"{name} did not stop on SIGTERM")
        fleet.launch(name)
        if name.startswith("core"):
            until = time.monotonic() + 20
            while time.monotonic() < until:
                status = fleet.ask("/v1/status")
                if status and all(seat["inView"] for seat in status["seats"]):
                    break
                time.sleep(0.2)
            else:
                raise SystemExit(f"{name} did not come back into the view")
        else:
            time.sleep(0.3)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", nargs="?")
    parser.add_argument("--binary", default=os.path.join(ROOT, "build", "spancart"))
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument("--fit", action="store_true")
    options = parser.parse_args()
    if options.fit:
        for _, edit in next_edits(ROOT):
            edit(ROOT)
        return 0
    if options.folder is None:
        parser.error("a folder is needed")
    shutil.rmtree(options.folder, ignore_errors=True)
    os.makedirs(options.folder)
    present = os.path.abspath(options.binary)
    later = next_release(os.path.join(os.path.abspath(options.folder), "next"))
    fleet = fleets.Fleet(os.path.join(options.folder, "fleet"), present)
    fleet.plan("trentvale", options.workers, 2)
    failed = True
    log_path = os.path.join(fleet.folder, "caller.log")
    try:
        for name in fleet.nodes:
            fleet.launch(name)
        fleet.settle(options.workers)
        with open(log_path, "w") as log:
            caller = subprocess.Popen([present, "caller", "--entries", ",".join(fleet.entries()), "--mix", "trentvale", "--rate",
                                       "5000", "--for", "600000", "--configure", "--record", fleet.record], stdout=log, stderr=log)
        try:
            time.sleep(2)
            roll(fleet, later)
            print("the next release runs everywhere")
            roll(fleet, present)
            print("and the present one again")
        finally:
            caller.kill()  # it hands in without end
            caller.wait()
        fleet.settle(options.workers)
        failed = False
    finally:
        fleet.stop()
    accepted = ended = 0
    with open(fleet.record) as file:
        for line in file:
            accepted += line.split()[1] == "accepted"
            ended += line.split()[1] == "job-ended"
    print(f"{accepted} jobs accepted and {ended} seen to their end while the releases were rolled up and down")
    replay = subprocess.run([os.path.join(os.path.dirname(present), "spancart-replay"), fleet.record, "trentvale", "open"], check=False)
    failed |= replay.returncode != 0 or ended == 0
    print("0 passed, 1 failed" if failed else "1 passed, 0 failed")
    return 1 if failed else 0


sys.exit(main())
