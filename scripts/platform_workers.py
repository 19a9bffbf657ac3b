#!/usr/bin/env python3
"""Stand-in workers of the platform, for scripts/platform_soak.py: all workers of a fleet, in a process of their own.

  platform_workers.py PLAN RECORD

PLAN is a JSON file with a list of workers: name, ctl (the address of its agent), zone, rack. RECORD gets a line for each
start and end: seconds by the monotonic clock, "start" or "end", worker, task, run, and how it ended. Lines on standard
input are commands: "crash NAME" (the worker ends without a word and returns under another id after a while) and "leave NAME" (it
drains, then leaves, and returns likewise).

A task's spec is JSON: ms is its duration; gang, the number of members that must run at the same time.
"""
import asyncio
import collections
import json
import random
import sys
import time

from platform_http import Connection, Cut

BEAT_S, ANSWER_S, RETRY_S, AFTER_END_S = 1.5, 1.0, 0.3, 0.05
HOLD_MAX_S, GANG_S, STOP_S, DRAIN_S, AWAY_S = 10.0, 5.0, 0.15, 3.0, 2.5
ENDS_AT_ONCE = 500
FREE = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}


class Run:
    """An attempt of a task that runs on a worker."""

    def __init__(self, task, number, spec):
        self.task, self.number, self.spec = task, number, spec
        self.timer, self.stopping = None, False


class Gangs:
    """The members of gangs that are there, by gang and run; they work from the moment all are there."""

    def __init__(self):
        self.members = collections.defaultdict(list)

    @staticmethod
    def key(run):
        return run.task.rsplit(".", 1)[0], run.number

    def join(self, worker, run):
        """Adds a member. Returns the members if all are there, else None."""
        members = self.members[self.key(run)]
        members.append((worker, run))
        return members if len(members) == run.spec["gang"] else None

    def leave(self, worker, run, how):
        """Ends the other members, unless the gang's work is done."""
        members = self.members.pop(self.key(run), [])
        for other, its in members:
            if its is not run:
                other.finish(its, "done" if how == "done" else "broken")


class Worker:
    """One worker, over several lives, each with an id of its own."""

    def __init__(self, plan, record, gangs):
        self.plan, self.record, self.gangs = plan, record, gangs
        self.life = 0
        self.up, self.state, self.wake = False, "up", asyncio.Event()
        self.begin()

    def begin(self):
        """Begins a life: it runs nothing and has seen no fence."""
        self.life += 1
        self.name = f"{self.plan['name']}-{self.life}"
        self.running, self.ends, self.highest = {}, [], {}
        self.seq = self.end_number = self.fence = 0
        self.hold_until, self.state, self.up = 0.0, "up", True

    def write(self, words):
        self.record.write(f"{time.monotonic():.3f} {words}\n")

    # --- heartbeats ----------------------------------------------------------------------

    def report(self):
        self.seq += 1
        return {"service": "soak", "addr": "127.0.0.1:9", "zone": self.plan["zone"], "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "free": FREE, "labels": ["a", self.plan["rack"]],
                "clock_ms": int(time.monotonic() * 1000), "seq": self.seq, "leave_ms": int(DRAIN_S * 1000),
                "running": [[run.task, run.number, "", 0] for run in self.running.values()],
                "ended": self.ends[:ENDS_AT_ONCE]}

    async def beat(self, connection):
        """Sends a heartbeat; returns the connection and the seconds until the next is due, or None twice."""
        life, sent = self.life, time.monotonic()
        try:
            connection = connection or await Connection.open(self.plan["ctl"], ANSWER_S)
            answer = await asyncio.wait_for(
                connection.request("POST", f"/spancart/workers/{self.name}/beat", self.report()), ANSWER_S)
        except (Cut, OSError, asyncio.TimeoutError):
            if connection:
                connection.close()
            return None, None
        orders = answer.json() or {}
        if answer.code == 200 and life == self.life and time.monotonic() - sent <= ANSWER_S:
            self.apply(orders, sent)
        if answer.closes():
            connection.close()
            connection = None
        return connection, orders.get("retry_ms", BEAT_S * 1000) / 1000 if answer.code == 200 else None

    async def beat_loop(self):
        connection = None
        while True:
            if not self.up:
                await asyncio.sleep(RETRY_S)
                continue
            self.wake.clear()
            connection, wait_s = await self.beat(connection)
            if wait_s is None:
                await asyncio.sleep(RETRY_S)
                continue
            try:
                await asyncio.wait_for(self.wake.wait(), min(wait_s, BEAT_S))
                await asyncio.sleep(AFTER_END_S)
            except asyncio.TimeoutError:
                pass

    def apply(self, orders, sent):
        if orders.get("fence", 0) < self.fence:
            return
        self.check_hold()
        self.fence = orders.get("fence", 0)
        self.ends = [end for end in self.ends if end[0] > orders.get("seen", 0)]
        for task, number in orders.get("stop", []):
            self.stop(task, number)
        hold_s = min(orders.get("hold_ms", 0) / 1000, HOLD_MAX_S)
        if hold_s > 0:
            self.hold_until = max(self.hold_until, sent + hold_s)
            for task, number, spec, _ in orders.get("start", []):
                self.start(task, number, spec)

    def check_hold(self):
        if time.monotonic() >= self.hold_until:
            for run in list(self.running.values()):
                self.finish(run, "lapsed")

    # --- attempts ------------------------------------------------------------------------

    def start(self, task, number, spec):
        if (task, number) in self.running:
            return
        run = Run(task, number, json.loads(spec))
        if number <= self.highest.get(task, 0):
            self.add_end(run, "refused")
            return
        self.highest[task] = number
        self.running[task, number] = run
        self.write(f"start {self.name} {task} {number} -")
        loop = asyncio.get_running_loop()
        if run.spec.get("gang", 0) < 2:
            run.timer = loop.call_later(run.spec["ms"] / 1000, self.finish, run, "done")
            return
        run.timer = loop.call_later(GANG_S, self.finish, run, "alone")
        for worker, member in self.gangs.join(self, run) or []:
            member.timer.cancel()
            member.timer = loop.call_later(run.spec["ms"] / 1000, worker.finish, member, "done")

    def stop(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_S, self.finish, run, "stopped")

    def finish(self, run, how):
        if self.running.get((run.task, run.number)) is not run:
            return
        run.timer.cancel()
        del self.running[run.task, run.number]
        self.add_end(run, how)
        if run.spec.get("gang", 0) > 1:
            self.gangs.leave(self, run, how)

    def add_end(self, run, how):
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.write(f"end {self.name} {run.task} {run.number} {how}")
        self.wake.set()

    # --- ends of a life ------------------------------------------------------------------

    async def crash(self):
        self.up = False
        for run in list(self.running.values()):
            self.finish(run, "gone")
        await asyncio.sleep(AWAY_S)
        self.begin()

    async def leave(self):
        self.state = "draining"
        self.wake.set()
        await asyncio.sleep(DRAIN_S * 1.2)
        try:
            connection = await Connection.open(self.plan["ctl"], ANSWER_S)
            await asyncio.wait_for(connection.request("POST", f"/spancart/workers/{self.name}/leave"), ANSWER_S)
            connection.close()
        except (Cut, OSError, asyncio.TimeoutError):
            pass
        await self.crash()


async def hold_loop(workers):
    while True:
        await asyncio.sleep(0.02)
        for worker in workers:
            worker.check_hold()


async def main():
    with open(sys.argv[1]) as file:
        plans = json.load(file)
    with open(sys.argv[2], "a", buffering=1) as record:
        gangs = Gangs()
        workers = {plan["name"]: Worker(plan, record, gangs) for plan in plans}
        tasks = [asyncio.create_task(hold_loop(list(workers.values())))]
        for worker in workers.values():
            tasks.append(asyncio.create_task(worker.beat_loop()))
            await asyncio.sleep(random.uniform(0, BEAT_S / len(workers)))
        commands = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        while (line := await commands.readline()):  # until the soak ends
            verb, name = line.decode().split()
            worker = workers[name]
            if worker.up and worker.state == "up":
                tasks.append(asyncio.create_task(worker.crash() if verb == "crash" else worker.leave()))


if __name__ == "__main__":
    asyncio.run(main())
