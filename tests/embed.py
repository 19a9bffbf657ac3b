#!/usr/bin/env python3
"""Installs libspancart into a folder, builds the example against it by its
pkg-config file alone, runs three processes of it, kills the lock's holder, and
checks that all deliver one order."""
import os
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from fleet import free_ports  # noqa: E402

BUILD, SOURCE = sys.argv[1], sys.argv[2]


def rows(path):
    with open(path) as file:
        return [tuple(map(int, line.split())) for line in file if line.endswith("\n")]


def wait(what, test, seconds=60):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if test():
            return
        time.sleep(0.1)
    raise SystemExit(f"0 passed, 1 failed\nnot in time: {what}")


with tempfile.TemporaryDirectory() as folder:
    subprocess.run(["cmake", "--install", BUILD, "--prefix", folder], check=True, stdout=subprocess.DEVNULL)
    os.environ["PKG_CONFIG_PATH"] = os.path.join(folder, "lib", "pkgconfig")
    flags = subprocess.run(["pkg-config", "--cflags", "--libs", "spancart"], check=True, capture_output=True,
                           text=True).stdout.split()
    counter = os.path.join(folder, "counter")
    subprocess.run(["cc", "-std=gnu11", "-Wall", "-Wextra", "-Werror", "-o", counter,
                    os.path.join(SOURCE, "examples", "counter.c")] + flags, check=True)
    listen = [f"127.0.0.1:{port}" for port in free_ports(3)]
    outs = [os.path.join(folder, f"out{i}") for i in range(3)]
    children = []
    try:
        for i in range(3):
            with open(outs[i], "w") as out:
                children.append(subprocess.Popen(
                    [counter, f"c{i}", listen[i], ",".join(listen), os.path.join(folder, f"d{i}")], stdout=out))
        wait("all count", lambda: all(len(rows(out)) >= 10 for out in outs))
        wait("two are live", lambda: rows(outs[0])[-1][2] == 2)
        # the holder is the one that is ahead of the others; kill each in turn would do as well
        lengths = [len(rows(out)) for out in outs]
        victim = lengths.index(max(lengths))
        children[victim].send_signal(signal.SIGKILL)
        children[victim].wait()
        left = [out for i, out in enumerate(outs) if i != victim]
        before = [len(rows(out)) for out in left]
        wait("the others go on", lambda: all(len(rows(out)) >= n + 10 for out, n in zip(left, before)))
    finally:
        for child in children:
            if child.poll() is None:
                child.terminate()
        for child in children:
            child.wait(timeout=20)
    orders = [[row[:2] for row in rows(out)] for out in outs]
    longest = max(orders, key=len)
    for order in orders:
        assert order == longest[:len(order)], "two orders"
    sums = [row[1] for row in longest]
    assert sums == list(range(1, len(sums) + 1)), "an addition was lost or came twice"
    print(f"{len(sums)} additions, one order\n1 passed, 0 failed")
