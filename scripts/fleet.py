#!/usr/bin/env python3
"""Runs a whole spancart fleet on one machine and stops it cleanly.

  fleet.py start DIR [--mix trentvale|atlas] [--workers 11] [--gates 3]
  fleet.py stop DIR
  fleet.py kill DIR NAME        send SIGKILL to one process
  fleet.py restart DIR NAME     start it again
  fleet.py entries DIR          print the HTTP addresses of the entry points (gates)
  fleet.py run DIR [--mix ...]  start the fleet, run the load of the mix, kill a worker and
                                then the leader meanwhile, stop, check every safety property
                                --hard: freeze an agent and the leader (SIGSTOP), then kill
                                every process at once and start it again
                                --wide: kill an entry point, freeze another, kill a controller
                                that does not lead, kill a whole zone and start it again, then
                                send SIGTERM to one process of each role under load
                                --soak SEED: overlapping signals, restarts and configuration
                                changes (soak.py)

Each process has a settings file of its own with its addresses (free ports), its zone and
three seed addresses. This is all that it knows of the other processes.
"""
import argparse
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.request

import soak

ZONES = ["north", "south", "west"]
PORTS = (10000, 32000)  # range of the blocks' first ports
PORT_BLOCK = 1000
RESERVED_SOCKETS = []  # bound to the first port of each block, until this process ends
HERE = os.path.dirname(os.path.abspath(__file__))


def now_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


def is_free(port):
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) != 0


def free_ports(count):
    """Returns free ports of one block. The blocks lie below the range that the kernel assigns to outgoing connections;
    otherwise a connection could take the port of a process that is down. The first port of the block stays bound until
    this process ends, so that no other fleet uses the block."""
    while True:
        first = random.randrange(*PORTS, PORT_BLOCK)
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        RESERVED_SOCKETS.append(guard)
        ports = [port for port in range(first + 1, first + PORT_BLOCK) if is_free(port)]
        if len(ports) >= count:
            return ports[:count]


class Fleet:
    """The processes of a fleet: `nodes` maps each name to its arguments, HTTP address, role and process ID."""

    def __init__(self, folder, binary):
        self.folder = os.path.abspath(folder)
        self.binary = binary
        self.path = os.path.join(self.folder, "fleet.json")
        self.record = os.path.join(self.folder, "record")
        self.nodes = {}
        self.children = {}

    def load(self):
        with open(self.path) as file:
            self.nodes = json.load(file)

    def save(self):
        with open(self.path, "w") as file:
            json.dump(self.nodes, file, indent=1)

    def plan(self, mix, workers, gates):
        """Assigns an address to each process and writes its settings file."""
        os.makedirs(self.folder, exist_ok=True)
        names = [("core", f"core{i + 1}", i) for i in range(3)]
        names += [("gate", f"gate{i + 1}", i) for i in range(gates)]
        names += [("agent", f"agent{i + 1}", i) for i in range(workers)]
        ports = iter(free_ports(2 * len(names)))
        listen = {name: f"127.0.0.1:{next(ports)}" for _, name, _ in names}
        seeds = ",".join(listen[f"core{i + 1}"] for i in range(3))
        for role, name, i in names:
            http = f"127.0.0.1:{next(ports)}"
            props = os.path.join(self.folder, f"{name}.ini")
            with open(props, "w") as file:
                file.write(f"[spancart]\nname={name}\nzone={ZONES[i % 3]}\nlisten={listen[name]}\nhttp={http}\nseeds={seeds}\n")
                if role == "core":
                    file.write(f"data={self.folder}/{name}-data\n")
                if role == "agent":
                    file.write(f"worker=worker{i + 1}\n")
            args = [role, "--props", props]
            if role == "core":
                args += ["--record", self.record]
            self.nodes[name] = {"args": args, "http": http, "role": role}
        cores, mem = (64, 131072) if mix == "trentvale" else (16, 65536)
        for i in range(workers):
            name = f"worker{i + 1}"
            args = ["worker", "--agent", self.nodes[f"agent{i + 1}"]["http"], "--name", name, "--zone", ZONES[i % 3],
                    "--rack", f"rack{i // 3}", "--cores", str(cores), "--mem", str(mem), "--record", self.record]
            self.nodes[name] = {"args": args, "http": "", "role": "worker"}

    def record_event(self, words):
        """Appends an event to the record that spancart-replay checks."""
        with open(self.record, "a") as file:
            file.write(f"{now_ms()} {words}\n")

    def launch(self, name):
        node = self.nodes[name]
        with open(os.path.join(self.folder, f"{name}.log"), "a") as log:
            child = subprocess.Popen([self.binary] + node["args"], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.children[name] = child
        node["pid"] = child.pid
        self.save()

    def alive(self, name):
        child = self.children.get(name)
        if child is not None:
            return child.poll() is None
        try:
            os.kill(self.nodes[name].get("pid", 0) or 2 ** 22, 0)
            return True
        except OSError:
            return False

    def kill(self, name, how=signal.SIGKILL):
        """Sends a signal to a process that is alive. SIGKILL is recorded once the process has ended."""
        if self.alive(name):
            os.kill(self.nodes[name]["pid"], how)
            if how == signal.SIGKILL:
                if name in self.children:
                    self.children[name].wait()
                self.record_event(f"gone {name}")

    def entry_addresses(self):
        return [node["http"] for node in self.nodes.values() if node["role"] == "gate"]

    def query(self, path, entry=None, timeout=3):
        """Returns the answer of the leader through an entry point as JSON; None if no entry point answers."""
        for http in [entry] if entry else self.entry_addresses():
            try:
                with urllib.request.urlopen(f"http://{http}{path}", timeout=timeout) as answer:
                    return json.load(answer)
            except OSError:
                continue
        return None

    def leader(self, seconds=60):
        """Returns the name of the leader; waits while there is none, for example since this machine's disk is slow."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status = self.query("/v1/status")
            if status and status.get("leader"):
                return status["leader"]
            time.sleep(0.1)
        raise SystemExit("no leader was found")

    def wait_until_ready(self, workers, seconds=60):
        """Returns the status once the live set has enough ready workers; exits if it does not in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status = self.query("/v1/status")
            if status and sum(row["ready"] for row in status["liveset"]) >= workers:
                return status
            time.sleep(0.1)
        raise SystemExit("the fleet did not settle")

    def stop(self):
        """Stops the workers first, so that they leave cleanly, then the other processes."""
        for roles in (["worker"], ["agent", "gate"], ["core"]):
            names = [name for name, node in self.nodes.items() if node["role"] in roles and self.alive(name)]
            for name in names:
                self.kill(name, signal.SIGTERM)
            until = time.monotonic() + 10
            for name in names:
                while self.alive(name) and time.monotonic() < until:
                    time.sleep(0.05)
                if self.alive(name):
                    print(f"{name} did not stop on SIGTERM")
                    self.kill(name)


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))]


def longest_silence_after(fleet, at_ms):
    """Returns the longest time without an accepted job that begins within 5 s after a kill, in ms; None if no job was
    accepted after the kill."""
    times = []
    with open(fleet.record) as file:
        for line in file:
            words = line.split()
            if words[1] == "accepted" and int(words[0]) > at_ms:
                times.append(int(words[0]))
    if not times:
        return None
    times = [at_ms] + sorted(times)
    return max((b - a for a, b in zip(times, times[1:]) if a < at_ms + 5000), default=None)


def inject_failures(fleet, options):
    """Kills a worker, then the leader. Returns the time of each kill, in ms, and the names of the killed processes."""
    kills = {}
    time.sleep(options.seconds * 0.3)
    kills["worker"] = now_ms()
    fleet.kill("worker2")
    time.sleep(options.seconds * 0.3)
    leader = fleet.leader()
    kills["leader"] = now_ms()
    fleet.kill(leader)
    return kills, [leader, "worker2"]


def inject_hard_failures(fleet, options):
    """Freezes an agent and the leader for longer than every lease, then kills all processes at once."""
    kills = {}
    for what in ("agent3", None):
        time.sleep(options.seconds * 0.1)
        name = what or fleet.leader()
        kills["freeze-of-" + ("agent" if what else "leader")] = now_ms()
        fleet.kill(name, signal.SIGSTOP)
        time.sleep(5)
        fleet.kill(name, signal.SIGCONT)
    time.sleep(options.seconds * 0.1)
    kills["everything"] = now_ms()
    for name in fleet.nodes:
        fleet.kill(name)
    return kills, list(fleet.nodes)


def zone_of(name):
    return (int("".join(c for c in name if c.isdigit())) - 1) % 3


def inject_wide_failures(fleet, options):
    """Kills an entry point, freezes another, kills a controller that does not lead and a whole zone; then sends SIGTERM
    to one process of each role."""
    kills, killed = {}, []

    def restart_after_pause(names):
        """Restarts the processes after 3 s."""
        time.sleep(3)
        for name in names:
            fleet.launch(name)
        time.sleep(options.seconds * 0.08)

    time.sleep(options.seconds * 0.1)
    kills["gate"] = now_ms()
    fleet.kill("gate1")
    kills["freeze-of-gate"] = now_ms()
    fleet.kill("gate2", signal.SIGSTOP)
    time.sleep(3)
    fleet.kill("gate2", signal.SIGCONT)
    restart_after_pause(["gate1"])
    leader = fleet.leader()
    second = next(name for name in ("core1", "core2", "core3") if name != leader)
    kills["second-core"] = now_ms()
    fleet.kill(second)
    restart_after_pause([second])
    zone = [name for name in fleet.nodes if zone_of(name) == zone_of(leader)]
    kills["zone-of-the-leader"] = now_ms()
    for name in zone:
        fleet.kill(name)
    restart_after_pause(zone)
    fleet.wait_until_ready(options.workers)
    leader = fleet.leader()
    for name in ("worker1", "agent1", "gate3", leader):
        kills["term-of-" + name.rstrip("0123456789")] = now_ms()
        fleet.kill(name, signal.SIGTERM)
        until = time.monotonic() + 8
        while fleet.alive(name) and time.monotonic() < until:
            time.sleep(0.02)
        if fleet.alive(name):
            raise SystemExit(f"{name} did not stop on SIGTERM")
        if name.startswith("worker"):
            fleet.record_event(f"gone {name}")
        fleet.launch(name)
        time.sleep(2)
    return kills, killed


def inject_soak_failures(fleet, options):
    """Runs a seeded series of signals and configuration changes and prints the violations that the soak found."""
    soak_run = soak.Soak(fleet, options.soak)
    threads = soak_run.run(options.seconds)
    fleet.wait_until_ready(options.workers)
    violations = soak_run.end(threads)
    for words in violations:
        print(f"soak {options.soak}: {words}")
    options.violations = len(violations)
    return {}, []


def run(fleet, options):
    if options.soak is not None:
        options.workers, options.gates = soak.fleet_shape(options.soak, options.workers, options.gates)
    workers = options.workers
    # Each run starts with empty disks, because the job IDs are the same in each run.
    shutil.rmtree(fleet.folder, ignore_errors=True)
    fleet.plan(options.mix, workers, options.gates)
    for name in fleet.nodes:
        fleet.launch(name)
    failed = False
    try:
        fleet.wait_until_ready(workers)
        rate = 10000 if options.mix == "trentvale" else 9000
        caller_log = os.path.join(fleet.folder, "caller.log")
        with open(caller_log, "w") as log:
            caller = subprocess.Popen([fleet.binary, "caller", "--entries", ",".join(fleet.entry_addresses()),
                                       "--mix", options.mix,
                                       "--rate", str(rate), "--for", str(options.seconds * 1000), "--configure",
                                       "--record", fleet.record], stdout=log, stderr=log)
        inject = inject_hard_failures if options.hard else inject_wide_failures if options.wide else inject_failures
        kills, killed = (inject_soak_failures if options.soak is not None else inject)(fleet, options)
        if options.hard:
            for name in killed:
                fleet.launch(name)
        caller.wait(timeout=options.seconds + 150)
        with open(caller_log) as log:
            print(log.read().rstrip())
        for what, at_ms in kills.items():
            print(f"{what}: longest-silence-after {longest_silence_after(fleet, at_ms)} ms")
        failed |= caller.returncode != 0 or options.violations > 0
        for name in [] if options.hard else killed:
            fleet.launch(name)
        fleet.wait_until_ready(workers)
        print("recovered: the killed processes serve again")
    finally:
        fleet.stop()
    replay = subprocess.run([os.path.join(os.path.dirname(fleet.binary), "spancart-replay"), fleet.record,
                             options.mix], check=False)
    failed |= replay.returncode != 0
    print("fleet run: " + ("FAILED" if failed else "good"))
    return 1 if failed else 0


def main():
    # Started with SIGHUP ignored (nohup), the processes would ignore it too, and a soak would wait for them forever.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("verb", choices=["start", "stop", "kill", "restart", "entries", "run"])
    parser.add_argument("folder")
    parser.add_argument("name", nargs="?")
    parser.add_argument("--mix", choices=["trentvale", "atlas"], default="trentvale")
    parser.add_argument("--workers", type=int, default=11)
    parser.add_argument("--gates", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--hard", action="store_true")
    parser.add_argument("--wide", action="store_true")
    parser.add_argument("--soak", type=int, metavar="SEED")
    parser.set_defaults(violations=0)
    parser.add_argument("--binary", default=os.path.join(HERE, "..", "build", "spancart"))
    options = parser.parse_args()
    fleet = Fleet(options.folder, os.path.abspath(options.binary))
    if options.verb == "run":
        return run(fleet, options)
    if options.verb == "start":
        fleet.plan(options.mix, options.workers, options.gates)
        for name in fleet.nodes:
            fleet.launch(name)
        fleet.wait_until_ready(options.workers)
        print("the fleet is ready; entry points: " + " ".join(fleet.entry_addresses()))
        return 0
    fleet.load()
    if options.verb == "stop":
        fleet.stop()
    elif options.verb == "entries":
        print(" ".join(fleet.entry_addresses()))
    elif options.name not in fleet.nodes:
        print(f"unknown process {options.name}", file=sys.stderr)
        return 2
    elif options.verb == "kill":
        fleet.kill(options.name)
    else:
        fleet.launch(options.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
