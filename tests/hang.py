#!/usr/bin/env python3
"""Hanging clients (incomplete requests, idle connections, bodies that are never sent)
must not delay the requests of other clients.

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
import fleet as fleet_script  # noqa: E402

INCOMPLETE_REQUESTS = [
    b"",
    b"GET /v1/st",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Le",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{\"id\":",
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n{",
]


def main():
    shutil.rmtree(sys.argv[3], ignore_errors=True)  # data of an earlier run would start a repair first
    fleet = fleet_script.Fleet(sys.argv[3], os.path.abspath(sys.argv[1]))
    fleet.plan("trentvale", 2, 1)
    hanging = []
    try:
        for name in fleet.nodes:
            fleet.launch(name)
        fleet.wait_until_ready(2)
        entries = [node["http"] for node in fleet.nodes.values() if node["role"] in ("gate", "core")]
        for entry in entries:
            host, port = entry.split(":")
            for i in range(100):
                sock = socket.create_connection((host, int(port)), timeout=5)
                sock.sendall(INCOMPLETE_REQUESTS[i % len(INCOMPLETE_REQUESTS)])
                hanging.append(sock)
        durations_s = []
        for i in range(40):
            start = time.monotonic()
            with urllib.request.urlopen(f"http://{entries[i % len(entries)]}/v1/status", timeout=5) as answer:
                assert json.load(answer)["leader"]
            durations_s.append(time.monotonic() - start)
        print(f"{len(hanging)} hanging connections; 40 requests answered, the slowest in {max(durations_s) * 1000:.0f} ms")
        # no incomplete request was accepted as a complete one
        with urllib.request.urlopen(f"http://{entries[0]}/v1/jobs", timeout=5) as answer:
            assert json.load(answer)["jobs"] == []
    finally:
        for sock in hanging:
            sock.close()
        fleet.stop()
    print("1 passed, 0 failed")
    return 0


sys.exit(main())
