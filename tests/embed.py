#!/usr/bin/env python3
"""Test of embedding libspancart: installs the library, builds the example with nothing
but its pkg-config file, runs three processes of the example, kills the holder of the
lock, and checks that all processes deliver the same changes in the same order."""
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


def wait_until(what, test, seconds=60):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if test():
            return
        time.sleep(0.1)
    raise SystemExit(f"0 passed, 1 failed\ntimeout after {seconds} s: {what}")


with tempfile.TemporaryDirectory() as folder:
    subprocess.run(["cmake", "--install", BUILD, "--prefix", folder], check=True, stdout=subprocess.DEVNULL)
    os.environ["PKG_CONFIG_PATH"] = os.path.join(folder, "lib", "pkgconfig")
    flags = subprocess.run(["pkg-config", "--cflags", "--libs", "spancart"], check=True, capture_output=True,
                           text=True).stdout.split()
    counter = os.path.join(folder, "counter")
    subprocess.run(["cc", "-std=gnu11", "-Wall", "-Wextra", "-Werror", "-o", counter,
                    os.path.join(SOURCE, "examples", "counter.c")] + flags, check=True)
    listen = [f"127.0.0.1:{port}" for port in free_ports(3)]
    output_paths = [os.path.join(folder, f"out{i}") for i in range(3)]
    children = []
    try:
        for i in range(3):
            with open(output_paths[i], "w") as out:
                children.append(subprocess.Popen(
                    [counter, f"c{i}", listen[i], ",".join(listen), os.path.join(folder, f"d{i}")], stdout=out))
        wait_until("all processes deliver changes", lambda: all(len(rows(out)) >= 10 for out in output_paths))
        wait_until("the holder counts two processes as live", lambda: rows(output_paths[0])[-1][2] == 2)
        # The holder is usually ahead of the others; the checks hold whichever process is killed.
        lengths = [len(rows(out)) for out in output_paths]
        victim = lengths.index(max(lengths))
        children[victim].send_signal(signal.SIGKILL)
        children[victim].wait()
        left = [out for i, out in enumerate(output_paths) if i != victim]
        before = [len(rows(out)) for out in left]
        wait_until("the other processes continue", lambda: all(len(rows(out)) >= n + 10 for out, n in zip(left, before)))
    finally:
        for child in children:
            if child.poll() is None:
                child.terminate()
        for child in children:
            child.wait(timeout=20)
    orders = [[row[:2] for row in rows(out)] for out in output_paths]
    longest = max(orders, key=len)
    for order in orders:
        assert order == longest[:len(order)], "two processes delivered different orders"
    sums = [row[1] for row in longest]
    assert sums == list(range(1, len(sums) + 1)), "an addition was lost or delivered twice"
    print(f"{len(sums)} additions, delivered in one order\n1 passed, 0 failed")
