"""A task with at_most_once has failed `tries` times and is started once more. See claim.txt."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from harness import TROUBLE, document, route, run  # noqa: E402

TRIES = 4
JOB = "00000000000000a1"
FROZEN_S = 2.2  # the worker's hold, which is renewed until the freeze, outlasts this
WHOLE = {"cpu": 16000, "mem_mb": 65536}


async def main(deployment):
    record, starts, fails = deployment.record, [], []
    started, urgent = asyncio.Event(), []

    def behave(attempt):
        if not attempt.task.startswith(JOB):
            return 6.0, "done"  # an urgent job
        return {1: 1.0, TRIES: 2.5}.get(attempt.number, 0.2), "failed"

    def on_start(worker, attempt):
        if attempt.task.startswith(JOB):
            starts.append((record.now(), worker, attempt.number))
            started.set()

    def on_end(worker, attempt, how):
        if attempt.task.startswith(JOB) and how == "failed":
            fails.append((worker, attempt.task, attempt.number))
            # with the last of the tries: urgent jobs come, as many as there are workers
            if attempt.number == TRIES and not urgent:
                urgent.extend(asyncio.create_task(deployment.hand_in(
                    f"/urgent/00000000000000b{i}", {"spec": "u", "steps": [{"count": 1, **WHOLE, "est_ms": 6000}]}))
                    for i in range(len(deployment.workers)))

    deployment.on_start, deployment.on_end = on_start, on_end
    await deployment.start(behave)
    await deployment.configure(document(3, [route("r-batch", "/batch/", prio=2, tries=TRIES),
                                            route("r-urgent", "/urgent/", prio=0)]), 0)
    await asyncio.sleep(4)  # all workers are known, all machines are in touch
    assert await deployment.hand_in(f"/batch/{JOB}", {"spec": "s", "at_most_once": True,
                                                      "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_ms": 1000}]})
    await asyncio.wait_for(started.wait(), 10)
    if TROUBLE:
        await asyncio.sleep(0.3)
        agent = starts[0][1].machine
        agent.send(signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        agent.send(signal.SIGCONT)
    await asyncio.sleep(14)
    await deployment.client("GET", f"/batch/{JOB}")
    if not fails:
        raise RuntimeError("no run of the task has failed")
    # the rule: no start after `tries` ends 'failed', more than a second after the last of them was taken note of
    noted = sorted(worker.seen_at[task, number] for worker, task, number in fails if (task, number) in worker.seen_at)
    held = True
    for at, worker, number in starts:
        before = [when for when in noted if when < at]
        if len(before) >= TRIES and at - before[TRIES - 1] > 1.0:
            record.write(f"run {number} started {at - before[TRIES - 1]:.3f} s after {len(before)} failures were taken note of")
            held = False
    return held


run(main, os.path.join(HERE, "record.txt"))
