#!/usr/bin/env python3
"""Clients that hang: half a request, idle connections, a body that never comes.
They hold up nobody: others are served meanwhile, at once.

  hang.py SPANCART SCRIPTS FOLDER
"""
import json
import os
import shutil
import socket
import sys
import time
import urllib.request

sys.path.insert(0, sys.argv[2])
import fleet as fleets  # noqa: E402

HALF = [
    b"",
    b"GET /v1/st",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Le",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{\"id\":",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n{",
]


def main():
    shutil.rmtree(sys.argv[3], ignore_errors=True)  # disks of an earlier run would be repaired first
    fleet = fleets.Fleet(sys.argv[3], os.path.abspath(sys.argv[1]))
    fleet.plan("trentvale", 2, 1)
    held = []
    try:
        for name in fleet.nodes:
            fleet.launch(name)
        fleet.settle(2)
        entries = [node["http"] for node in fleet.nodes.values() if node["role"] in ("gate", "core")]
        for entry in entries:
            host, port = entry.split(":")
            for i in range(100):
                sock = socket.create_connection((host, int(port)), timeout=5)
                sock.sendall(HALF[i % len(HALF)])
                held.append(sock)
        spans = []
        for i in range(40):
            start = time.monotonic()
            with urllib.request.urlopen(f"http://{entries[i % len(entries)]}/v1/status", timeout=5) as answer:
                assert json.load(answer)["leader"]
            spans.append(time.monotonic() - start)
        print(f"{len(held)} connections hang; 40 requests answered, the slowest in {max(spans) * 1000:.0f} ms")
        # none of the half requests was taken for a whole one
        with urllib.request.urlopen(f"http://{entries[0]}/v1/jobs", timeout=5) as answer:
            assert json.load(answer)["jobs"] == []
    finally:
        for sock in held:
            sock.close()
        fleet.stop()
    print("1 passed, 0 failed")
    return 0


sys.exit(main())
