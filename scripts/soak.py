"""The soak of a fleet of real processes: a seeded series of signals, restarts and configuration changes that overlap,
while clients go on using their open connections until each process is gone. Used by fleet.py run --soak SEED.

Beside the safety properties that fleet.py's replay checks, here must hold:
 - a request that was sent whole on an open connection gets a whole answer, unless its process was killed;
 - a process that gets SIGTERM ends within its grace, counted while it is not frozen;
 - no two changes of the configuration are acknowledged under one version, and the newest that was acknowledged is in
   force at the end.
"""
import http.client
import json
import random
import signal
import threading
import time

GRACE_S = 5  # DRAIN_MS of base/constants.h, with room for a busy machine
ANSWER_S = 10
READ_S = 60
WAKE_S = 0.5  # after SIGCONT a worker has had its first turn, in which it ends what has lapsed
EVENTS_A_SECOND = 0.8
CLIENTS = 8
KINDS = ["term"] * 4 + ["kill"] * 3 + ["freeze"] * 3 + ["hup"]


def schedule(seed, seconds, nodes):
    """What is done when, the same for a seed: (at in s, what, to whom, for how long in s). Each role is drawn as often."""
    draw = random.Random(seed)
    events = []
    for _ in range(max(4, int(seconds * EVENTS_A_SECOND))):
        role = draw.choice(["core", "gate", "agent", "worker"])
        name = draw.choice([name for name, node in nodes.items() if node["role"] == role])
        events.append((draw.uniform(0, seconds), draw.choice(KINDS), name, draw.uniform(0.2, 4)))
    return sorted(events)


class Soak:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.failures = []
        self.answers = {}
        self.killed = {}       # name: when it was last killed
        self.terms = {}        # name: its grace ends then
        self.frozen = {}       # name: goes on then
        self.woken = {}        # a worker: by then what it runs counts as running again
        self.back = {}         # name: is started again then
        self.acknowledged = []
        self.over = threading.Event()
        self.lock = threading.Lock()

    def fail(self, words):
        with self.lock:
            self.failures.append(words)

    # --- clients -------------------------------------------------------------------------

    def one_request(self, connection, draw):
        """Sends a request whole; True: it was answered whole."""
        method, path, body = draw.choice([("GET", "/v1/status", None), ("GET", "/v1/config", None),
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

    def judge(self, name, sent, result):
        """A request without an answer: whether its process may be blamed."""
        now = time.monotonic()
        if self.killed.get(name, 0) >= sent - 0.1 or name in self.frozen:
            return
        if result is None:
            self.fail(f"{name}: no answer within {ANSWER_S} s")
        else:
            self.fail(f"{name}: cut {int((now - sent) * 1000)} ms after a whole request: {result!r}")

    def client(self, number):
        draw = random.Random(f"{self.seed} client {number}")
        serving = [name for name, node in self.fleet.nodes.items() if node["role"] in ("gate", "core")]
        while not self.over.is_set():
            name = draw.choice(serving)
            connection = http.client.HTTPConnection(self.fleet.nodes[name]["http"], timeout=ANSWER_S)
            try:
                connection.connect()
                while not self.over.is_set():  # the connection stays in use until the process ends it
                    sent, result = self.one_request(connection, draw)
                    if not isinstance(result, http.client.HTTPResponse):
                        self.judge(name, sent, result)
                        break
                    if connection.sock is None:
                        break
                    time.sleep(draw.uniform(0.005, 0.08))
            except OSError:
                time.sleep(0.05)
            finally:
                connection.close()

    def operator(self):
        """Changes the configuration again and again, each change on top of the newest that it read."""
        draw = random.Random(f"{self.seed} operator")
        gates = self.fleet.entries()
        count = 0
        while not self.over.is_set():
            time.sleep(draw.uniform(0.2, 0.8))
            count += 1
            try:
                connection = http.client.HTTPConnection(draw.choice(gates), timeout=ANSWER_S)
                connection.request("GET", "/v1/config")
                base = json.loads(connection.getresponse().read()).get("revision", 0)
                connection.request("PATCH", f"/v1/config?base={base}",
                                   json.dumps({"cells": {"soak": {"share": count}}}))
                answer = connection.getresponse()
                text = answer.read()
                if answer.status == 200:
                    self.acknowledged.append(json.loads(text)["revision"])
                connection.close()
            except (OSError, http.client.HTTPException, ValueError):
                continue

    # --- signals and restarts ------------------------------------------------------------

    def act(self, what, name, for_s):
        now = time.monotonic()
        if not self.fleet.alive(name) or name in self.back:
            return
        worker = self.fleet.nodes[name]["role"] == "worker"
        if what == "freeze":
            if name not in self.frozen and name not in self.woken:
                if worker:
                    self.fleet.note(f"frozen {name} -")
                self.fleet.kill(name, signal.SIGSTOP)
                self.frozen[name] = now + for_s
        elif what == "term":
            if name not in self.terms:
                self.fleet.kill(name, signal.SIGTERM)
                self.terms[name] = now + GRACE_S
                self.back[name] = None
        else:  # no handler is set for SIGHUP in these commands: it ends them at once, as SIGKILL does
            self.killed[name] = now
            if what == "hup" and name not in self.frozen:
                self.fleet.kill(name, signal.SIGHUP)
                self.fleet.children[name].wait()
                self.fleet.note(f"gone {name}")
            else:
                self.fleet.kill(name)
            if self.frozen.pop(name, None) is not None and worker:
                self.woken[name] = now
            self.back[name] = now + for_s / 2

    def turn(self):
        """What has become due: thaws, ends of a grace, restarts."""
        now = time.monotonic()
        for name, until in list(self.frozen.items()):
            if now >= until:
                self.fleet.kill(name, signal.SIGCONT)
                if self.fleet.nodes[name]["role"] == "worker":
                    self.woken[name] = now + WAKE_S
                if name in self.terms:
                    self.terms[name] = now + GRACE_S
                self.frozen.pop(name)
        for name, at in list(self.woken.items()):
            if now >= at:
                self.fleet.note(f"woke {name} -")
                self.woken.pop(name)
        for name, until in list(self.terms.items()):
            if not self.fleet.alive(name):
                code = self.fleet.children[name].returncode
                if code != 0:
                    self.fail(f"{name}: ended with {code} after SIGTERM")
                if self.fleet.nodes[name]["role"] == "worker":
                    self.fleet.note(f"gone {name}")
                self.terms.pop(name)
                self.back[name] = now + 0.3
            elif now >= until and name not in self.frozen:
                self.fail(f"{name}: still there {GRACE_S} s after SIGTERM")
                self.killed[name] = now
                self.fleet.kill(name)
                self.terms.pop(name)
                self.back[name] = now + 0.3
        for name, at in list(self.back.items()):
            if at is not None and now >= at:
                self.back.pop(name)
                self.fleet.launch(name)
        for name in self.fleet.nodes:
            if name not in self.back and name not in self.terms and not self.fleet.alive(name):
                self.fail(f"{name}: ended by itself with {self.fleet.children[name].returncode}")
                self.back[name] = now + 0.3

    def run(self, seconds):
        """Plays the schedule; at its end all processes run again."""
        threads = [threading.Thread(target=self.client, args=(i,), daemon=True) for i in range(CLIENTS)]
        threads.append(threading.Thread(target=self.operator, daemon=True))
        for thread in threads:
            thread.start()
        start = time.monotonic()
        events = schedule(self.seed, seconds, self.fleet.nodes)
        while events or self.frozen or self.woken or self.terms or self.back:
            while events and time.monotonic() - start >= events[0][0]:
                _, what, name, for_s = events.pop(0)
                self.act(what, name, for_s)
            self.turn()
            time.sleep(0.02)
        return threads

    def end(self, threads):
        """Ends the clients; what was not as it must be, as lines."""
        time.sleep(2)
        self.over.set()
        for thread in threads:
            thread.join(ANSWER_S + 2)
        if len(set(self.acknowledged)) != len(self.acknowledged):
            self.fail("two changes of the configuration were acknowledged under one version")
        newest, until = 0, time.monotonic() + READ_S
        while newest == 0 and time.monotonic() < until:  # a slow disk of the machine may have cost the fleet its leader
            newest = (self.fleet.ask("/v1/config") or {}).get("revision", 0)
        if self.acknowledged and newest < max(self.acknowledged):
            self.fail(f"version {max(self.acknowledged)} was acknowledged, {newest} is in force")
        print(f"soak {self.seed}: answers {dict(sorted(self.answers.items()))}, "
              f"{len(self.acknowledged)} changes acknowledged")
        return self.failures
