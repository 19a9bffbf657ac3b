"""A gang that two sound, idle workers could run stands still because one of them is ejected. See claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from harness import BOUNDS, TROUBLE, document, route, run  # noqa: E402

SPELLS_S = (0.0, 13.0, 35.0)  # when the worker begins to fail its work, from the first spell on
SPELL_S = 6.5
GANG = "00000000000000ff"
STILL_S = 3.0
LABELS = [("a", f"r{i // 3 + 1}") for i in range(6)] + [("b", "r3"), ("b", "r4")]


async def main(deployment):
    record, sick, runs, gang = deployment.record, set(), {}, []

    def behave(attempt):
        worker = next(worker for worker in deployment.workers if attempt in worker.running.values())
        return (0.1, "failed") if worker.plan_name in sick else (0.4, "done")

    def on_start(worker, attempt):
        runs[attempt.task, attempt.number] = worker
        if attempt.task.startswith(GANG):
            gang.append(record.now())

    def on_end(worker, attempt, how):
        runs.pop((attempt.task, attempt.number), None)

    deployment.on_start, deployment.on_end = on_start, on_end
    await deployment.start(behave, labels=LABELS)
    await deployment.configure(document(3, [route("r-sweep", "/sweep/", tries=10)]), 0)
    await asyncio.sleep(3)
    began, number = record.now(), 0
    for spell in SPELLS_S:
        await asyncio.sleep(max(0.0, began + spell - record.now()))
        if TROUBLE:
            record.write("worker i-8 fails all that it runs from now on; it keeps beating")
            sick.add("i-8")
        until = record.now() + SPELL_S
        for _ in range(4):  # each job takes both workers of kind b
            number += 1
            await deployment.hand_in(f"/sweep/{number:016x}", {"spec": "s", "steps": [
                {"count": 4, "cpu": 8000, "mem_mb": 100, "needs": "b", "est_ms": 400}]})
            await asyncio.sleep(1.3)
        await asyncio.sleep(max(0.0, until - record.now()))
        sick.clear()
        record.write("worker i-8 is sound")
    await asyncio.sleep(2)
    assert not runs, "something still runs"
    assert await deployment.hand_in(f"/sweep/{GANG}", {"spec": "s", "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 100, "needs": "b", "gang": True, "apart": 1, "est_ms": 400}]})
    handed_in = record.now()  # the end of the traffic
    while record.now() - handed_in < BOUNDS["finish_s"] and not gang:
        await asyncio.sleep(0.05)
    await deployment.client("GET", f"/sweep/{GANG}")
    still_s = (gang[0] if gang else record.now()) - handed_in
    record.write(f"nothing of the gang ran for {still_s:.3f} s; nothing else ran, all workers beat")
    # the rule: finish_s after the traffic the job has nothing running, for 3 s and more, beside free room
    return bool(gang) or still_s < STILL_S


run(main, os.path.join(HERE, "record.txt"), workers=8)
