"""A job runs though its cancelling was acknowledged before. See claim.txt."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from harness import BOUNDS, FRONT, TROUBLE, document, route, run  # noqa: E402

JOB = "00000000000000c1"
BODY = {"spec": "s", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "est_ms": 2000},
                               {"count": 2, "cpu": 1000, "mem_mb": 100, "est_ms": 2000, "deps": [0]}]}
FROZEN_S = 5.0


async def main(deployment):
    record, starts = deployment.record, []
    deployment.on_start = lambda worker, attempt: starts.append((record.now(), attempt.task))
    await deployment.start(lambda attempt: (2.0, "done"))
    await deployment.configure(document(3, [route("r-sweep", "/sweep/")]), 0)
    await asyncio.sleep(4)  # all machines are in touch
    frozen, other = deployment.entries[0], deployment.entries[1]
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
    began = record.now()
    # the client waits for its deadline, X-Deadline-Ms: 3000
    code, _ = await deployment.client("POST", f"/sweep/{JOB}", BODY, at=frozen.address(FRONT), timeout=3.0)
    # it gives the job up, and cancels it at another node
    cancel, _ = await deployment.client("DELETE", f"/sweep/{JOB}", at=other.address(FRONT))
    if cancel is None or not (cancel // 100 == 2 or cancel == 410):
        raise RuntimeError("the cancelling was not acknowledged")
    acknowledged = record.now()
    await asyncio.sleep(max(0.0, began + FROZEN_S - record.now()))
    if TROUBLE:
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(6)
    await deployment.client("GET", f"/sweep/{JOB}", at=other.address(FRONT))
    late = [(at, task) for at, task in starts if at - acknowledged > BOUNDS["cancel_ms"] / 1000]
    for at, task in late:
        record.write(f"{task} was started {at - acknowledged:.3f} s after the cancelling was acknowledged ({cancel})")
    return not late


run(main, os.path.join(HERE, "record.txt"))
