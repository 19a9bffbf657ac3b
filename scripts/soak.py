"""Soak test of a fleet of real processes: a seeded series of overlapping signals, restarts and configuration changes,
while clients keep using their open connections until each process ends. Used by fleet.py run --soak SEED.

Besides the safety properties that the replay of fleet.py checks, these must hold:
 - a request that was sent completely on an open connection gets a complete answer, unless its process was killed;
 - a process that receives SIGTERM ends within its grace period, which excludes the time that it is frozen;
 - no two configuration changes are acknowledged with the same version, and the newest acknowledged version is in
   force at the end;
 - accepted jobs of hundreds of small tasks are done at the end.
"""
import http.client
import json
import random
import signal
import threading
import time

GRACE_S = 5  # DRAIN_MS of base/constants.h, with a margin for a busy machine
ANSWER_S = 10
READ_S = 60
WAKE_S = 0.5  # within this time after SIGCONT a worker has run once and has ended the tasks whose leases lapsed
EVENTS_A_SECOND = 0.8
SERIES_SHARE = 0.25  # of the events, which begin a series of up to SERIES_MAX more events of the same kind
SERIES_MAX = 4
SERIES_GAP_S = 0.4
CLIENTS = 8
KINDS = ["term"] * 4 + ["kill"] * 3 + ["freeze"] * 3 + ["hup"]
CROWD_EVERY_S = 5
CROWD_TASKS = 700  # of one job: more than a worker lists at once on any platform, where they run together
LARGE_EVERY = 5  # one seed in so many plays a large fleet
LARGE_WORKERS, LARGE_GATES = 90, 8  # 191 processes


def fleet_shape(seed, workers, gates):
    """Returns the numbers of workers and entry points that a seed plays."""
    return (LARGE_WORKERS, LARGE_GATES) if seed % LARGE_EVERY == 0 else (workers, gates)


def schedule(seed, seconds, nodes):
    """Returns the sorted events of a seed: (time in s, kind, process, duration in s). All roles are equally likely. Some
    events begin a series: the same kind again in quick succession, at the same process or at others of its role."""
    rng = random.Random(seed)
    events = []
    for _ in range(max(4, int(seconds * EVENTS_A_SECOND))):
        role = rng.choice(["core", "gate", "agent", "worker"])
        of_role = [name for name, node in nodes.items() if node["role"] == role]
        name, kind, at = rng.choice(of_role), rng.choice(KINDS), rng.uniform(0, seconds)
        events.append((at, kind, name, rng.uniform(0.2, 4)))
        others = rng.random() < 0.5
        for _ in range(rng.randint(1, SERIES_MAX) if rng.random() < SERIES_SHARE else 0):
            at += rng.uniform(0, SERIES_GAP_S)
            events.append((at, kind, rng.choice(of_role) if others else name, rng.uniform(0.2, 4)))
    return sorted(events)


class Soak:
    """A soak run on a fleet. Times are those of time.monotonic(), in s."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.violations = []
        self.answers = {}
        self.killed_at = {}       # name: time of the last kill
        self.term_deadline = {}   # name: end of the grace period after SIGTERM
        self.frozen_until = {}    # name: time of SIGCONT
        self.woken_until = {}     # worker: time from which its tasks count as running again
        self.restart_at = {}      # name: time of the restart; None: not known yet
        self.acknowledged = []
        self.accepted_crowds = []
        self.stopped = threading.Event()
        self.lock = threading.Lock()

    def report(self, message):
        with self.lock:
            self.violations.append(message)

    # --- clients -------------------------------------------------------------------------

    def send_request(self, connection, rng):
        """Sends a request. Returns when it was sent, and the answer, the error, or None on a timeout."""
        method, path, body = rng.choice([("GET", "/v1/status", None), ("GET", "/v1/config", None),
                                          ("GET", "/v1/jobs/none", None), ("POST", "/v1/jobs", b"{\"id\":")])
        connection.request(method, path, body)
        sent = time.monotonic()
        try:
            answer = connection.getresponse()
            answer.read()
        except TimeoutError:
            return sent, None
        except (http.client.HTTPException, OSError) as error:
            return sent, error
        with self.lock:
            self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
        return sent, answer

    def check_unanswered(self, name, sent, result):
        """Reports a request without an answer, unless its process was killed or is frozen."""
        now = time.monotonic()
        if self.killed_at.get(name, 0) >= sent - 0.1 or name in self.frozen_until:
            return
        if result is None:
            self.report(f"{name}: no answer within {ANSWER_S} s")
        else:
            self.report(f"{name}: connection lost {int((now - sent) * 1000)} ms after a complete request: {result!r}")

    def client(self, number):
        rng = random.Random(f"{self.seed} client {number}")
        serving = [name for name, node in self.fleet.nodes.items() if node["role"] in ("gate", "core")]
        while not self.stopped.is_set():
            name = rng.choice(serving)
            connection = http.client.HTTPConnection(self.fleet.nodes[name]["http"], timeout=ANSWER_S)
            try:
                connection.connect()
                while not self.stopped.is_set():  # uses the connection until the process closes it
                    sent, result = self.send_request(connection, rng)
                    if not isinstance(result, http.client.HTTPResponse):
                        self.check_unanswered(name, sent, result)
                        break
                    if connection.sock is None:
                        break
                    time.sleep(rng.uniform(0.005, 0.08))
            except OSError:
                time.sleep(0.05)
            finally:
                connection.close()

    def operator(self):
        """Changes the configuration repeatedly, each change based on the newest revision that it read."""
        rng = random.Random(f"{self.seed} operator")
        gates = self.fleet.entry_addresses()
        count = 0
        while not self.stopped.is_set():
            time.sleep(rng.uniform(0.2, 0.8))
            count += 1
            try:
                connection = http.client.HTTPConnection(rng.choice(gates), timeout=ANSWER_S)
                connection.request("GET", "/v1/config")
                base = json.loads(connection.getresponse().read()).get("revision", 0)
                connection.request("PATCH", f"/v1/config?base={base}",
                                   json.dumps({"cells": {"soak": {"share": count, "tenants": {"soak": {}}, "queues": {"crowd": {}}}}}))
                answer = connection.getresponse()
                text = answer.read()
                if answer.status == 200:
                    self.acknowledged.append(json.loads(text)["revision"])
                connection.close()
            except (OSError, http.client.HTTPException, ValueError):
                continue

    def crowds(self):
        """Submits jobs of hundreds of small tasks that end together."""
        rng = random.Random(f"{self.seed} crowd")
        count = 0
        while not self.stopped.wait(rng.uniform(0.5, 1.5) * CROWD_EVERY_S):
            count += 1
            job = {"id": f"crowd-{self.seed}-{count}", "cell": "soak", "tenant": "soak", "queue": "crowd", "steps": [
                {"name": "a", "count": CROWD_TASKS, "room": {"cpu": 0.01, "memMb": 1},
                 "payload": {"runMs": rng.randint(300, 1500), "padding": "x" * rng.randint(0, 3000)}}]}
            try:
                connection = http.client.HTTPConnection(rng.choice(self.fleet.entry_addresses()), timeout=ANSWER_S)
                connection.request("POST", "/v1/jobs", json.dumps(job))
                answer = connection.getresponse()
                answer.read()
                if 200 <= answer.status < 300:
                    self.accepted_crowds.append(job["id"])
                connection.close()
            except (OSError, http.client.HTTPException, ValueError):
                continue

    def check_crowds(self):
        """Reports accepted jobs that are not done READ_S after the series."""
        until = time.monotonic() + READ_S
        waiting = list(self.accepted_crowds)
        while waiting and time.monotonic() < until:
            shown = [self.fleet.query(f"/v1/jobs/{name}") or {} for name in waiting]
            waiting = [name for name, job in zip(waiting, shown) if job.get("phase") != "done"]
            time.sleep(0.5 if waiting else 0)
        for name in waiting:
            self.report(f"job {name} was accepted and is not done {READ_S} s after the series: "
                        f"{(self.fleet.query(f'/v1/jobs/{name}') or {}).get('phase')}")

    # --- signals and restarts ------------------------------------------------------------

    def apply_event(self, what, name, for_s):
        now = time.monotonic()
        if not self.fleet.alive(name) or name in self.restart_at:
            return
        worker = self.fleet.nodes[name]["role"] == "worker"
        if what == "freeze":
            if name not in self.frozen_until and name not in self.woken_until:
                if worker:
                    self.fleet.record_event(f"frozen {name} -")
                self.fleet.kill(name, signal.SIGSTOP)
                self.frozen_until[name] = now + for_s
        elif what == "term":
            if name not in self.term_deadline:
                self.fleet.kill(name, signal.SIGTERM)
                self.term_deadline[name] = now + GRACE_S
                self.restart_at[name] = None
        else:  # these commands have no SIGHUP handler, so that it ends them at once, as SIGKILL does
            self.killed_at[name] = now
            if what == "hup" and name not in self.frozen_until:
                self.fleet.kill(name, signal.SIGHUP)
                self.fleet.children[name].wait()
                self.fleet.record_event(f"gone {name}")
            else:
                self.fleet.kill(name)
            if self.frozen_until.pop(name, None) is not None and worker:
                self.woken_until[name] = now
            self.restart_at[name] = now + for_s / 2

    def handle_due(self):
        """Handles what is due: SIGCONT, ends of grace periods, restarts."""
        now = time.monotonic()
        for name, until in list(self.frozen_until.items()):
            if now >= until:
                self.fleet.kill(name, signal.SIGCONT)
                if self.fleet.nodes[name]["role"] == "worker":
                    self.woken_until[name] = now + WAKE_S
                if name in self.term_deadline:
                    self.term_deadline[name] = now + GRACE_S
                self.frozen_until.pop(name)
        for name, at in list(self.woken_until.items()):
            if now >= at:
                self.fleet.record_event(f"woke {name} -")
                self.woken_until.pop(name)
        for name, until in list(self.term_deadline.items()):
            if not self.fleet.alive(name):
                code = self.fleet.children[name].returncode
                if code != 0:
                    self.report(f"{name}: exit code {code} after SIGTERM")
                if self.fleet.nodes[name]["role"] == "worker":
                    self.fleet.record_event(f"gone {name}")
                self.term_deadline.pop(name)
                self.restart_at[name] = now + 0.3
            elif now >= until and name not in self.frozen_until:
                self.report(f"{name}: still running {GRACE_S} s after SIGTERM")
                self.killed_at[name] = now
                self.fleet.kill(name)
                self.term_deadline.pop(name)
                self.restart_at[name] = now + 0.3
        for name, at in list(self.restart_at.items()):
            if at is not None and now >= at:
                self.restart_at.pop(name)
                self.fleet.launch(name)
        for name in self.fleet.nodes:
            if name not in self.restart_at and name not in self.term_deadline and not self.fleet.alive(name):
                self.report(f"{name}: ended unexpectedly with exit code {self.fleet.children[name].returncode}")
                self.restart_at[name] = now + 0.3

    def run(self, seconds):
        """Runs the schedule until all processes run again. Returns the threads of the clients."""
        threads = [threading.Thread(target=self.client, args=(i,), daemon=True) for i in range(CLIENTS)]
        threads.append(threading.Thread(target=self.operator, daemon=True))
        threads.append(threading.Thread(target=self.crowds, daemon=True))
        for thread in threads:
            thread.start()
        start = time.monotonic()
        events = schedule(self.seed, seconds, self.fleet.nodes)
        while events or self.frozen_until or self.woken_until or self.term_deadline or self.restart_at:
            while events and time.monotonic() - start >= events[0][0]:
                _, what, name, for_s = events.pop(0)
                self.apply_event(what, name, for_s)
            self.handle_due()
            time.sleep(0.02)
        return threads

    def end(self, threads):
        """Stops the clients. Returns the violations, a line each."""
        time.sleep(2)
        self.stopped.set()
        for thread in threads:
            thread.join(ANSWER_S + 2)
        if len(set(self.acknowledged)) != len(self.acknowledged):
            self.report("two configuration changes were acknowledged with the same version")
        self.check_crowds()
        newest, until = 0, time.monotonic() + READ_S
        # repeated, because a slow disk of this machine may have caused the fleet to lose its leader
        while newest == 0 and time.monotonic() < until:
            newest = (self.fleet.query("/v1/config") or {}).get("revision", 0)
        if self.acknowledged and newest < max(self.acknowledged):
            self.report(f"version {max(self.acknowledged)} was acknowledged, but version {newest} is in force")
        print(f"soak {self.seed}: answers {dict(sorted(self.answers.items()))}, "
              f"{len(self.acknowledged)} changes acknowledged, {len(self.accepted_crowds)} crowds done")
        return self.violations
