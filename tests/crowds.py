#!/usr/bin/env python3
"""Clients that don't behave, against real processes behind the platform's protocol adapter.

  crowds.py BINARY FOLDER CROWD

Starts three controllers, an entry point and two agents with workers, whose settings state a small memory, and plays a crowd
of connections to one address. What must hold while the crowd stays and after it has gone:
 - each process lives, and its resident memory and what the kernel holds of its connections stay below the stated memory;
 - its descriptors stay below the limit of the process;
 - an ordinary job is accepted, and the readiness check passes, while the crowd stays; a job is accepted afterwards; workers
   run all jobs that were accepted;
 - memory is given back afterwards.
Nothing that is asserted depends on how long it takes: WAIT_S only ends a test that has failed.
"""
import asyncio
import glob
import json
import os
import resource
import shutil
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir, "scripts"))
from platform_fleet import CTL, FRONT, NATIVE, READY, Fleet  # noqa: E402
from platform_http import send_once  # noqa: E402

MEMORY_MB = 64  # stated in the settings: the machine's memory, and the bound of each process
MAX_FDS = 1024  # of each process
BODY_BYTES, HEAD_BYTES = 262144, 16384  # the limits of requests, as deployments state them
CTL_BODY_BYTES = 2 * 1024 * 1024
PLAY_S = 4
RECONNECT_S = 0.5
WAIT_S = 30
SAMPLE_S = 0.02
MIB = 1024 * 1024
LISTEN_STATE = "0A"
HOST = "crowd.example"


def post(path, body, length=None):
    """A POST of this body that announces length bytes."""
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
    return (head + f"Content-Length: {len(body) if length is None else length}\r\n\r\n").encode() + body


def chunked(path, chunk, count):
    """A POST of count chunks without the last one."""
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + (f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n") * count


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def http2_frame(kind, flags, stream, payload):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def http2_streams(count, body_bytes):
    """A connection of HTTP/2 with prior knowledge: count requests with a part of a body, none of which ends."""
    data, frame = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0, b""), 16000
    # RFC 7541: POST, http, and a literal :path and :authority
    fields = b"\x83\x86" + b"\x04\x07/quick/" + b"\x41" + bytes([len(HOST)]) + HOST.encode()
    for stream in range(1, 2 * count, 2):
        data += http2_frame(1, 4, stream, fields)
    for stream in range(1, 2 * count, 2):
        for at in range(0, body_bytes, frame):
            data += http2_frame(0, 0, stream, b"x" * min(frame, body_bytes - at))
    return data


def frame(length, sent):
    """A frame of the nodes' own protocol that announces length bytes."""
    return struct.pack(">I", length) + b"\0" * sent


class Crowd:
    """count connections to an address of a machine, or of several by turns, which send data and read next to nothing. machine: the
    beginning of its name; several: whether all machines with this beginning are meant, or the first. trickles: a byte more follows now and then."""

    def __init__(self, machine, offset, count, data, several=False, trickles=False):
        self.machine, self.offset, self.count, self.data = machine, offset, count, data
        self.several, self.trickles = several, trickles


def short(offset, machine="entry", count=300, size=BODY_BYTES):
    return Crowd(machine, offset, count, post("/quick/0123456789abcdef", b"x" * (size - 1), size))


def small_objects(size):
    """Valid JSON of this size, whose values take many times its size in memory."""
    count = (size - 4) // 3
    return b"[" + b"{}," * count + b"{}]"


CROWDS = {
    "short_bodies": short(FRONT),
    "short_bodies_at_a_controller": short(FRONT, "core"),
    "short_bodies_at_ready": short(READY),
    "short_bodies_at_ctl": short(CTL, count=100, size=CTL_BODY_BYTES),
    "short_bodies_at_an_agent": short(CTL, "agent", count=100, size=CTL_BODY_BYTES),
    "chunks": Crowd("entry", FRONT, 300, chunked("/quick/0123456789abcdef", b"x" * 4000, 65)),
    "chunks_of_one_byte": Crowd("entry", FRONT, 300, chunked("/quick/0123456789abcdef", b"x", 250000)),
    "bodies_ahead": Crowd("entry", FRONT, 200, post("/none/0123456789abcdef", b"x" * 200000) * 10),
    "json_ahead": Crowd("entry", FRONT, 200, post("/none/0123456789abcdef", b"[" + b"{},{},1," * 25000) * 10),
    "small_objects": Crowd("entry", FRONT, 100, post("/quick/0123456789abcdef", small_objects(BODY_BYTES))),
    "small_objects_at_ctl": Crowd("entry", CTL, 20, post("/spancart/config/put", small_objects(CTL_BODY_BYTES))),
    "small_objects_at_the_controllers": Crowd("core", CTL, 30, post("/spancart/config/put", small_objects(CTL_BODY_BYTES)),
                                              several=True),
    "small_objects_at_an_agent": Crowd("agent", CTL, 20, post("/spancart/workers/w0/beat", small_objects(CTL_BODY_BYTES))),
    "requests_ahead": Crowd("entry", FRONT, 200, get("/none/0123456789abcdef") * 8000),
    "unknown_jobs_ahead": Crowd("entry", FRONT, 200, get("/quick/0123456789abcdef") * 8000),
    "large_answers_unread": Crowd("entry", CTL, 200, get("/spancart/config/get") * 200),
    "http2_streams": Crowd("entry", FRONT, 60, http2_streams(98, 60000)),
    "more_connections_than_descriptors": Crowd("entry", FRONT, 1200, post("/quick/0123456789abcdef", b"x", 2)),
    "trickled_bodies": Crowd("entry", FRONT, 1200, post("/quick/0123456789abcdef", b"x", BODY_BYTES), trickles=True),
    "frames_at_an_entry_point": Crowd("entry", NATIVE, 200, frame(900001, 900000)),
    "frames_at_a_controller": Crowd("core", NATIVE, 200, frame(900001, 900000)),
    "frames_at_an_agent": Crowd("agent", NATIVE, 200, frame(900001, 900000)),
    "silent_connections_at_the_nodes_port": Crowd("entry", NATIVE, 1200, b""),
}


def resident_bytes(machine, field="VmRSS"):
    with open(f"/proc/{machine.process.pid}/status") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
    return 0


def kernel_bytes():
    """The bytes that the kernel holds of each local address's connections: received and not read, or sent and not taken."""
    held = {}
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[3] == LISTEN_STATE:
                continue
            ip = ".".join(str(part) for part in reversed(bytes.fromhex(fields[1].split(":")[0])))
            sent, received = fields[4].split(":")
            held[ip] = held.get(ip, 0) + int(sent, 16) + int(received, 16)
    return held


class Play:
    """The play of a crowd. peak, peak_fds: by machine, the most that was seen."""

    def __init__(self, fleet, crowd):
        self.fleet, self.crowd = fleet, crowd
        targets = [machine for machine in fleet.machines.values() if machine.name.startswith(crowd.machine)]
        self.targets = targets if crowd.several else targets[:1]
        self.peak, self.peak_fds, self.resting = {}, {}, {}
        self.faults = []
        self.jobs = 0
        self.accepted = []  # paths of the accepted jobs

    def sample(self):
        held = kernel_bytes()
        for name, machine in self.fleet.machines.items():
            if not machine.is_up():
                continue
            total = resident_bytes(machine) + held.get(machine.ip, 0)
            self.peak[name] = max(self.peak.get(name, 0), total, resident_bytes(machine, "VmHWM"))
            self.peak_fds[name] = max(self.peak_fds.get(name, 0), len(glob.glob(f"/proc/{machine.process.pid}/fd/*")))

    async def watch(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    async def client(self, number):
        """A connection of the crowd; a new one as often as it is refused or closed, which is allowed."""
        target = self.targets[number % len(self.targets)]
        while True:
            with socket.socket() as sock:
                sock.setblocking(False)
                try:
                    await self.connection(sock, target.address(self.crowd.offset))
                except OSError:
                    pass
            await asyncio.sleep(RECONNECT_S)

    async def connection(self, sock, address):
        """Sends the crowd's data, and then either more of it or looks for the end of the connection, byte by byte."""
        loop = asyncio.get_running_loop()
        host, port = address.rsplit(":", 1)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, self.crowd.data)
        while self.crowd.trickles:
            await asyncio.sleep(RECONNECT_S)
            await loop.sock_sendall(sock, b"x")
        while await loop.sock_recv(sock, 1):
            await asyncio.sleep(RECONNECT_S)

    async def job(self, machine):
        """Submits an ordinary job; returns whether it was accepted."""
        self.jobs += 1
        step = {"count": 1, "cpu": 100, "mem_mb": 10, "est_ms": 100}
        body = {"spec": json.dumps({"ms": 100, "gang": 0}), "steps": [step]}
        path = f"/quick/{self.jobs:016x}"
        answer = await send_once(machine.address(FRONT), "POST", path, body, {"Host": HOST}, timeout=10)
        if answer is None or answer.code != 201:
            return False
        self.accepted.append(path)
        return True

    async def done(self, path):
        """Whether the workers have run the job."""
        answer = await send_once(self.fleet.entries[0].address(FRONT), "GET", path, headers={"Host": HOST}, timeout=10)
        return answer is not None and answer.code == 200 and (answer.json() or {}).get("state") == "done"

    async def ready(self, machine):
        answer = await send_once(machine.address(READY), "GET", "/spancart/ready", timeout=10)
        return answer is not None and answer.code == 200

    async def until(self, what, check):
        """Repeats the check until it holds; a fault if it doesn't within WAIT_S."""
        deadline = asyncio.get_running_loop().time() + WAIT_S
        while not await check():
            if asyncio.get_running_loop().time() > deadline:
                self.faults.append(what)
                return
            await asyncio.sleep(0.05)

    async def ordinary_calls(self, when):
        for machine in self.fleet.edges:
            await self.until(f"{machine.name}: no ordinary job is accepted {when}", lambda m=machine: self.job(m))
            await self.until(f"{machine.name}: is not ready {when}", lambda m=machine: self.ready(m))

    async def configure(self):
        """Hands the configuration in; its limits are those of deployments."""
        services = [{"name": "soak", "health_path": "/health", "max_conns": 64, "proto": "h1", "tls": False, "guards": False}]
        route = {"host": HOST, "kind": "mutating", "timeout_ms": 8000, "target_ms": 4000, "prio": 1, "service": "soak",
                 "tries": 4, "stretch": 2.0}
        routes = [{**route, "name": "quick", "prefix": "/quick/"}]
        routes += [{**route, "name": f"r{i}", "prefix": f"/r{i}/"} for i in range(200)]
        limits = {"hdr_bytes": HEAD_BYTES, "body_bytes": BODY_BYTES, "hdr_ms": 3000, "idle_ms": 15000}
        body = {"version": 1, "routes": routes, "services": services, "limits": limits}

        async def put():
            answer = await send_once(self.fleet.cores[0].address(CTL), "POST", "/spancart/config/put", body, {"X-Based-On": "0"})
            return answer is not None and answer.code == 200
        await self.until("the configuration is not taken", put)

    async def given_back(self, machine):
        self.sample()
        return resident_bytes(machine) <= self.resting[machine.name] + MEMORY_MB * MIB // 4

    def check_bounds(self):
        for name, machine in self.fleet.machines.items():
            if not machine.is_up():
                self.faults.append(f"{name}: the process has ended")
            if self.peak[name] > MEMORY_MB * MIB:
                self.faults.append(f"{name}: {self.peak[name] / MIB:.1f} MiB, its machine has {MEMORY_MB}")
            if self.peak_fds[name] >= MAX_FDS:
                self.faults.append(f"{name}: {self.peak_fds[name]} descriptors")

    async def run(self):
        await self.configure()
        await self.ordinary_calls("before the crowd")
        self.sample()
        self.resting = {name: resident_bytes(machine) for name, machine in self.fleet.machines.items()}
        watch = asyncio.create_task(self.watch())
        clients = [asyncio.create_task(self.client(number)) for number in range(self.crowd.count)]
        await asyncio.sleep(PLAY_S)
        await self.ordinary_calls("while the crowd stays")
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await self.ordinary_calls("after the crowd")
        for path in self.accepted:
            await self.until(f"{path}: an accepted job is not done", lambda p=path: self.done(p))
        for machine in self.fleet.machines.values():
            await self.until(f"{machine.name}: memory is not given back", lambda m=machine: self.given_back(m))
        watch.cancel()
        self.check_bounds()


async def main(binary, folder, crowd):
    shutil.rmtree(folder, ignore_errors=True)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    fleet = Fleet(folder, binary, entries=1, agents=2, cores=3, limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
    try:
        await fleet.start()
        resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
        play = Play(fleet, crowd)
        await play.run()
    finally:
        fleet.stop()
    for name in fleet.machines:
        print(f"{name}: peak {play.peak[name] / MIB:.1f} MiB, at rest {play.resting[name] / MIB:.1f} MiB, "
              f"{play.peak_fds[name]} descriptors")
    for fault in play.faults:
        print(f"FAULT: {fault}")
    return 1 if play.faults else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2], CROWDS[sys.argv[3]])))
