#!/usr/bin/env python3
"""Rolling update test with two releases. The next release is built from a scratch copy
of the tree, with fields added to messages and records and with a message kind that the
present release does not know. The script rolls the next release out to a running fleet
under load, one process at a time (controllers that do not lead, the leader, entry points,
agents), and then rolls it back. Afterwards the record of the real executions is checked
for every safety property.

  rollout.py FOLDER --binary SPANCART
  rollout.py --fit       check that the sources still contain the places that the next release changes
"""
import argparse
import os
import re
import shutil
import signal
import subprocess
import sys
import time

import fleet as fleet_script

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)

# The additions of the next release: a field at the end of a heartbeat, of an answer with orders, of a
# forwarded request and of records of the log; and a message kind.
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


def edited_text(root, path, pattern, instead):
    """Returns the text of a file with the single match of pattern replaced."""
    with open(os.path.join(root, path)) as file:
        text = file.read()
    text, count = re.subn(pattern, instead, text)
    if count != 1:
        raise SystemExit(f"{path}: expected 1 match for the change of the next release, found {count}: {pattern}")
    return text


def next_edits(root):
    """Yields (path, edit) of each change; a list of fields is one macro with its continued lines."""
    for path, name, field in NEXT_FIELDS:
        yield path, lambda folder, path=path, name=name, field=field: edited_text(
            folder, path, r"(#define " + name + r"\(X\)(?:[^\n]*\\\n)*[^\n]*)\n",
            lambda match: match.group(1) + " \\\n    " + field + "\n")
    path, pattern, instead = NEXT_KIND
    yield path, lambda folder: edited_text(folder, path, pattern, lambda match: instead)


def run(args):
    got = subprocess.run(args, capture_output=True, text=True, errors="replace", check=False)
    if got.returncode != 0:
        raise SystemExit("the next release does not build:\n" + got.stdout[-2000:] + got.stderr[-2000:])


def build_next_release(folder):
    """Copies the tree to a folder, applies the changes and builds the program. Returns its path."""
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
    """Replaces one process at a time: stops it with SIGTERM and starts the given release."""
    fleet.binary = binary
    leader = fleet.query("/v1/status")["leader"]
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
                status = fleet.query("/v1/status")
                if status and all(seat["inView"] for seat in status["seats"]):
                    break
                time.sleep(0.2)
            else:
                raise SystemExit(f"{name} did not rejoin the view")
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
        parser.error("FOLDER is required")
    shutil.rmtree(options.folder, ignore_errors=True)
    os.makedirs(options.folder)
    present = os.path.abspath(options.binary)
    later = build_next_release(os.path.join(os.path.abspath(options.folder), "next"))
    fleet = fleet_script.Fleet(os.path.join(options.folder, "fleet"), present)
    fleet.plan("trentvale", options.workers, 2)
    failed = True
    log_path = os.path.join(fleet.folder, "caller.log")
    try:
        for name in fleet.nodes:
            fleet.launch(name)
        fleet.wait_until_ready(options.workers)
        with open(log_path, "w") as log:
            caller = subprocess.Popen([present, "caller", "--entries", ",".join(fleet.entry_addresses()),
                                       "--mix", "trentvale", "--rate", "5000", "--for", "600000", "--configure",
                                       "--record", fleet.record], stdout=log, stderr=log)
        try:
            time.sleep(2)
            roll(fleet, later)
            print("all processes run the next release")
            roll(fleet, present)
            print("all processes run the present release again")
        finally:
            caller.kill()  # it submits jobs until it is killed
            caller.wait()
        fleet.wait_until_ready(options.workers)
        failed = False
    finally:
        fleet.stop()
    accepted = ended = 0
    with open(fleet.record) as file:
        for line in file:
            accepted += line.split()[1] == "accepted"
            ended += line.split()[1] == "job-ended"
    print(f"{accepted} jobs accepted and {ended} completed during the rollout and the rollback")
    replay = subprocess.run([os.path.join(os.path.dirname(present), "spancart-replay"), fleet.record, "trentvale", "open"], check=False)
    failed |= replay.returncode != 0 or ended == 0
    print("0 passed, 1 failed" if failed else "1 passed, 0 failed")
    return 1 if failed else 0


sys.exit(main())
