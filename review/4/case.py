"""The core's processes are killed at the same instant and return; meanwhile more than 500 short tasks end on each worker."""
import asyncio
import os
import sys
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand_ins as s

WORKERS = 3
JOBS, TASKS_OF_JOB = 9, 300
TASKS = JOBS * TASKS_OF_JOB  # 135 of the workers' 192 cores
CORE_AWAY_S = 0.9


def run_ms(task, run):
    """From 4 to 5.4 seconds, evenly: without the disruption some 70 ends come to a beat."""
    return 4000 + zlib.crc32(task.encode()) % 1400, "done"


async def case(record):
    fleet = s.Fleet(record, entries=2, workers=WORKERS)
    workers = []
    try:
        fleet.start()
        await fleet.wait_ready()
        await fleet.put_config(s.document(7, [s.route("r-a", "/lohu930/", stretch=5)]), 0)
        workers = [s.Worker(fleet, side, s.SERVICE, f"i-7f3a91c{i}", {"cpu": 64000, "mem_mb": 131072, "gpu": 0}, run_ms,
                            f"r{i + 1}-1") for i, side in enumerate(fleet.sides)]
        for worker in workers:
            worker.start()
        await asyncio.sleep(2)
        jobs = [s.job_id() for _ in range(JOBS)]
        for job in jobs:
            await s.hand_in(fleet, "/lohu930/" + job, [{"count": TASKS_OF_JOB, "cpu": 50, "mem_mb": 32, "est_ms": 5000}])
        for _ in range(60):
            if sum(len(worker.history) for worker in workers) == TASKS:
                break
            await asyncio.sleep(0.05)
        record.say(f"starts: {[len(worker.history) for worker in workers]}")
        first = min(run.at for worker in workers for run in worker.history)
        await asyncio.sleep(max(0, first + 4.25 - record.now()))
        if s.TROUBLE:
            for machine in fleet.core:
                machine.signal(9)
            for machine in fleet.core:
                machine.process.wait()
            await asyncio.sleep(CORE_AWAY_S)
            for machine in fleet.core:
                machine.start()
        end = record.now() + 30
        while record.now() < end:
            shown = [await s.client(record, fleet.entries[0], "GET", "/lohu930/" + job) for job in jobs]
            if all(code == 200 and answer["state"] == "done" for code, answer in shown):
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(1)
        record.say(f"starts at the end: {[len(worker.history) for worker in workers]} of {TASKS} tasks")
        return s.twice(workers)
    finally:
        for worker in workers:
            await worker.stop()
        fleet.end()


s.play(os.path.dirname(os.path.abspath(__file__)), case)
