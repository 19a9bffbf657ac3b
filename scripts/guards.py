#!/usr/bin/env python3
"""Mutation tests of the guards (safeguards in the code): removes one guard from a
scratch copy, runs the scenario of the guard and shows the violation that follows.
With the guard in place the same scenario must pass. A removal that no check detects
is a finding: the guard has no effect or the scenario is too weak.

  guards.py [--only NAME,NAME] [--work FOLDER] [--list] [--fit]

Exit code 1 if a removal was not detected, or if a scenario fails with its guard in place.
"""
import argparse
import glob
import os
import re
import shutil
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)


class Guard:
    """One guard and how to remove it.

    name: the guard's name on the command line; what: the rule that it enforces;
    path, original, replacement: the edit of a source that removes it;
    violation: a pattern that matches the violations expected without it;
    scenario: ("explore" or "precise", "seeds", first, last), ("sweep", mix, first, last),
    ("timeline", mix, seeds, text) or ("test", name), a program whose failing test cases are the violations;
    also: further edits, of code that backs the guard and would hide its removal."""

    def __init__(self, name, what, path, original, replacement, violation, *scenario, also=()):
        self.name, self.what = name, what
        self.edits = ((path, original, replacement),) + tuple(also)
        self.violation, self.scenario = violation, scenario


def pattern_of(text):
    """Returns a pattern of the text that ignores line breaks: clang-format moves them when a name gets longer."""
    tokens = [re.escape(token) for token in re.findall(r"\w+|[^\w\s]", text)]
    return re.compile(r"\s*".join(tokens))


SEEDS_PER_PROCESS = 6  # of spancart-explore

CLAIM = "before the lost worker's claim lapsed"

# Timelines for spancart-timeline: time in ms, then a column of events for each process

MACHINE_OFF = """
ms     worker2  agent2  worker5  agent5  callers
0      .        .       .        .       call:20
4000   off      off     .        .       .
7000   .        .       off      off     .
14000  start    start   start    start   .
20000  .        .       .        .       end
"""
OFF_WITH_LEADER = """
ms     worker2  agent2  leader  worker5  agent5  callers
0      .        .       .       .        .       call:20
4000   off      off     kill    off      off     .
14000  start    start   start   start    start   .
20000  .        .       .       .        .       end
"""
AGENTS_FROZEN_THEN_CUT = """
ms     agent1      agent2      agent4      agent5      agent7      agent8      callers
0      .           .           .           .           .           .           call:40+links:20
4000   freeze:780  freeze:780  freeze:780  freeze:780  freeze:780  freeze:780  .
4200   cut         cut         cut         cut         cut         cut         .
14000  join        join        join        join        join        join        links:3
14001  .           .           .           .           .           .           end
"""
AGENT_CUT = """
ms     agent1  agent2  agent4  agent5  callers
0      .       .       .       .       call:40
4000   cut     cut     cut     cut     .
6500   kill    kill    kill    kill    .
14000  join    join    join    join    .
14001  start   start   start   start   .
20000  .       .       .       .       end
"""
VOTERS_RESTART = """
ms     leader  second  third   callers
0      .       .       .       call:20
3000   cut     .       .       .
3010   .       kill    kill    .
3020   .       start   start   .
9000   join    .       .       .
15000  .       .       .       end
"""
POWER_LOST = """
ms     core1      core2      core3      callers
0      lie        lie        lie        links:60
1000   .          .          .          call:20
4000   off        off        off        .
4100   honest     honest     honest     .
5000   start      start      start      .
25000  .          .          .          end
"""
LEADER_CUT = """
ms     leader  callers
0      .       call:20
4000   cut     .
9000   join    .
14000  .       end
"""
LEADER_FROZEN = """
ms     leader       second  callers
0      .            .       call:40
3000   freeze:6000  .       .
15000  .            .       end
"""
ZONE_DRAINED = """
ms     zone:west  callers
0      .          call:40
3000   drain      .
12000  back       .
16000  .          end
"""
LEAVES = """
ms     worker1  worker4  callers
0      .        .        call:40
3000   leave    leave    .
8000   kill     kill     .
9000   start    start    .
12000  .        .        end
"""
LEADER_KILLED = """
ms     leader  second  callers
0      .       .       call:40
3000   kill    .       .
9000   start   .       .
15000  .       kill    .
21000  .       start   .
26000  .       .       end
"""
WORKERS_KILLED = """
ms     worker1  worker3  worker5  worker7  callers
0      .        .        .        .        call:12
4000   kill     .        .        .        .
8000   start    kill     .        .        .
12000  .        start    kill     .        .
16000  .        .        start    kill     .
20000  .        .        .        start    .
24000  .        .        .        .        end
"""

AGENT_CLOCK_SET_BACK = """
ms     agent1       worker1  callers
0      .            .        call:20
4000   jump:-60000  .        .
4010   kill         .        .
4020   start        .        .
6500   .            runs     .
20000  .            .        end
"""

CANCELLED = """
ms     callers
0      call:20/12000
9000   cancel
16000  end
"""

GUARDS = [
    Guard("hold-counted-late", "the leader counts a worker as lost only when the lease that it granted with its answer, plus slack, has lapsed", "packages/heartbeat/src/liveset.c",
          "const int64_t until_ms = now_ms + lease_claim_ms(lease_ms);", "const int64_t until_ms = now_ms + lease_ms / 3;",
          CLAIM, "timeline", "trentvale", 3, MACHINE_OFF),
    Guard("hold-after-win", "a new leader waits for a whole lease before it counts a worker as lost", "packages/controller/src/log_events.c",
          "liveset_reset(controller->liveset, replication_lease_won_ms(controller->replication) + controller_claim_ms(controller), names, count);",
          "liveset_reset(controller->liveset, replication_lease_won_ms(controller->replication), names, count);",
          CLAIM, "timeline", "trentvale", 6, OFF_WITH_LEADER),
    Guard("hold-counted-from-sending", "an agent counts its lease from the time it sent the heartbeat", "packages/agent/src/heartbeat.c",
          "lease_renewed(&agent->lease, answer->term, heartbeat->sent_ms, answer->lease_ms)",
          "lease_renewed(&agent->lease, answer->term, loop_now_ms(agent->loop), answer->lease_ms)",
          "running twice|" + CLAIM, "timeline", "trentvale", 16, AGENTS_FROZEN_THEN_CUT),
    Guard("hold-handed-on", "an agent grants its worker no more time than is left of its own lease", "packages/agent/src/answer.c",
          "int64_t left_ms = lease_left_ms(&agent->lease, now_ms);",
          "int64_t left_ms = lease_runs(&agent->lease, now_ms) ? AGENT_LEASE_MS : 0;",
          "running twice|" + CLAIM, "timeline", "trentvale", 4, AGENT_CUT),
    Guard("woken-seat-waits", "a restarted voter grants nothing for the length of a lock grant", "packages/replication/src/recover.c",
          "replication->lock.not_before_ms = loop_now_ms(replication->loop) + LOCK_GRANT_MS;", "replication->lock.not_before_ms = 0;",
          "restarted_voter_waits", "test", "explored"),
    Guard("granted-hold", "a voter grants no lock to another node while an earlier grant is running", "packages/lock/src/lock.c",
          "if (voter->holder != holder && lock_held(voter, now_ms))", "if (false && lock_held(voter, now_ms))",
          "two nodes say|lacks what|has changed", "precise", "seeds", 2385, 2390),
    Guard("lock-majority", "holding the lock takes grants of a majority of the voters", "packages/lock/include/lock/lock.h",
          "return voters / 2 + 1;", "return (voters + 1) / 2 - (voters > 1);",
          "two leaders|forgotten|finished well|running twice", "timeline", "trentvale", 6, LEADER_CUT),
    Guard("contact", "a request that others act on is answered only after a majority confirmed the leader, whatever the clock says",
          "packages/callers/src/routes.c",
          "return replication_confirm_leader(request->service->replication, until_ms) == STATUS_OK && replication_led_term(replication) == term;",
          "return until_ms > 0 && replication_led_term(replication) == term;", "clock_stands", "test", "serving"),
    Guard("lease-shorter", "a holder relies on less time than a voter grants", "packages/lock/src/lock.c",
          "sent_ms + lock_lease_ms(grant_ms);", "sent_ms + grant_ms;", "clocks_apart", "test", "lock"),
    Guard("grant-kept", "a voter never shortens a grant", "packages/lock/src/lock.c",
          "    if (until_ms > voter->lease_until_ms)\n        voter->lease_until_ms = until_ms;",
          "    voter->lease_until_ms = until_ms;", "shorter_grant_takes_nothing_back", "test", "lock"),
    Guard("change-base", "a configuration change takes effect only if it is based on the newest revision when it is delivered",
          "packages/state/src/deliver_config.c", "set->base == current && version > current",
          "set->base <= current && version > current", "whole_against|patch_against|eight_at_once", "test", "resends",
          also=[("packages/callers/src/configs.c", "    if (set.base != current) {", "    if (set.base > current) {")]),
    Guard("change-known", "a configuration change that was accepted is recognized when it is sent again", "packages/state/src/deliver_config.c",
          "const uint64_t known = versions_find_digest(versions, set->digest);", "const uint64_t known = 0;",
          "eight_at_once", "test", "resends"),
    Guard("calls-kept", "the digests of a thousand configuration changes are kept, to recognize repeated requests", "packages/state/src/versions.c",
          "    if (versions->count > versions->digest_limit + CONFIG_HISTORY_STEP) {\n        const size_t drop = versions->count - versions->digest_limit;",
          "    if (versions->count > versions->text_limit + CONFIG_HISTORY_STEP) {\n        const size_t drop = versions->count - versions->text_limit;",
          "after_hundreds", "test", "resends"),
    Guard("leader-clock", "a leader checks its lock's lease before each decision", "packages/replication/src/lease.c",
          "return replication->phase == REPLICATION_LEADING && loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);",
          "return replication->phase == REPLICATION_LEADING;", "two leaders|running twice|" + CLAIM, "timeline", "trentvale", 16, LEADER_FROZEN),
    Guard("repair-unknown", "requests about jobs are not answered before the repair has ended", "packages/callers/src/routes.c",
          "if (!request->service->callbacks.repairing(request->service->callbacks.arg) || strcmp(request->task->path, \"/v1/status\") == 0)", "if (true)",
          "forgotten", "timeline", "atlas", 12, POWER_LOST),
    Guard("repair", "a repair submits again what the disks lost", "packages/controller/src/log_events.c",
          "    if (repair && (new_holder || !controller->repairing)) {", "    if (false && (new_holder || !controller->repairing)) {",
          "forgotten|finished well|running twice|" + CLAIM, "timeline", "atlas", 6, POWER_LOST),
    Guard("accepted-after-commit", "a job is accepted only when it is committed", "packages/replication/src/commit.c",
          "    uint64_t least = replication->synced_index;", "    uint64_t least = log_last_index(replication->log);\n    replication->commit_index = least;\n    replication_deliver(replication);\n    signal_raise(replication->loop, &replication->changed);\n    return;",
          "committed on fewer|acknowledged on fewer|lacks what|own disk does not hold", "explore", "seeds", 1, 24),
    Guard("finish-after-commit", "the end of an attempt is acknowledged only when it is committed", "packages/controller/src/attempt_updates.c",
          "    while (!batch->done)\n        signal_wait(controller->loop, &batch->done_signal, INT64_MAX);\n", "",
          "finished well", "timeline", "trentvale", 24, LEADER_KILLED),
    Guard("steps", "a step waits for those it depends on", "packages/queue/src/ready_queue.c",
          "        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {", "        if (!done && first < end) {",
          "before its steps or its due time", "timeline", "trentvale", 2, MACHINE_OFF),
    Guard("due", "no task starts before its due time or delay", "packages/queue/src/ready_queue.c",
          "occurrence < occurrences && queue_due(job, occurrence, clock); occurrence++)", "occurrence < occurrences; occurrence++)",
          "before its steps or its due time", "timeline", "varied", 2, MACHINE_OFF),
    Guard("wall-median", "due times are compared with the median of the voters' clocks", "packages/replication/src/clock.c",
          "replication->wall_offset_ms = offsets[(count - 1) / 2];", "replication->wall_offset_ms = offsets[count - 1];",
          "before its steps or its due time", "timeline", "varied", 4, """
ms     second         callers
0      jump:3600000   call:10
12000  .              end
"""),
    Guard("quota", "a tenant's tasks stay within its quota", "packages/queue/src/queue.c",
          "return (cached->quota.cpu_milli == 0 || use.cpu_milli <= cached->quota.cpu_milli) &&", "return true || (cached->quota.cpu_milli == 0 || use.cpu_milli <= cached->quota.cpu_milli) &&",
          "more of a tenant", "timeline", "varied", 2, WORKERS_KILLED),
    Guard("quota-unconfirmed", "an attempt that may still be running counts towards the quota although it is no longer in the table", "packages/scheduler/src/unconfirmed.c",
          "if (!worker_lease_ended(pass->scheduler, worker))", "if (false)",
          "copies_count_beside_what_they_replace|gang_members_count", "test", "quota"),
    Guard("quota-inherited", "a new leader counts towards the quota what may be running on workers that have not sent it a heartbeat", "packages/scheduler/src/unconfirmed.c",
          "if (now_ms > until_ms || all_workers_listed(pass))", "if (all_workers_listed(pass) || now_ms <= until_ms)",
          "count_for_a_new_leader", "test", "quota"),
    Guard("quota-removed", "the quota of a tenant that was removed from the configuration still applies to its jobs", "packages/queue/src/queue.c",
          "tenant != NULL ? tenant->quota : job->terms.quota", "tenant != NULL ? tenant->quota : (Resources){0}",
          "removed_tenant_keeps_its_limit", "test", "quota"),
    Guard("kind", "a task runs only on a worker of the requested kind", "packages/plan/src/plan.c",
          "if (need->kind[0] != '\\0' && strcmp(need->kind, worker->kind) != 0)", "if (false)",
          "given more than its capacity or work that it can't run", "timeline", "varied", 2, MACHINE_OFF),
    Guard("labels", "a task runs only on a worker with all requested labels", "packages/plan/src/plan.c",
          "        if (!has)\n            return false;", "        (void)has;",
          "given more than its capacity or work that it can't run", "timeline", "varied", 2, MACHINE_OFF),
    Guard("room", "a task is placed only on a worker with enough free resources", "packages/plan/src/plan.c",
          "return resources_fits(need->resources, worker->free) && plan_meets_constraints(worker, need);", "return plan_meets_constraints(worker, need);",
          "given more than its capacity", "timeline", "varied", 2, """
ms     callers
0      call:60
9000   end
"""),
    Guard("stop-confirmed", "resources are reused only after the previous attempt is known to have ended", "packages/state/include/state/job.h",
          "X(STOPPING, \"stopping\", true)", "X(STOPPING, \"stopping\", false)",
          "given more than its capacity|running twice|forgotten|" + CLAIM, "sweep", "varied", 1, 24),
    Guard("unread", "a shutdown closes no connection with a request that was not read", "packages/loop/src/real_serve_end.c",
          " || in_progress(caller) || has_unread(caller))", " || in_progress(caller))", "closing_cuts_no_request", "test", "http_end"),
    Guard("pending-unread", "what the kernel holds is pending, too", "packages/loop/src/http.c",
          "return status.in_progress + status.unread + status.unaccepted;", "return status.in_progress;",
          "unread_request|unaccepted_connection", "test", "http_end"),
    Guard("accept-then-close", "connections that wait are accepted before a listener is closed",
          "packages/loop/src/real_serve_end.c", "        real_accept(endpoint->listener, NULL);\n", "",
          "closing_cuts_no_request|fresh_connection", "test", "http_end"),
    Guard("answers-before-the-end", "no request waits beyond the end of its entry point",
          "packages/entry_point/src/entry_point.c",
          "    forwarder_end_by(entry_point->forwarder, shutdown.answers_until_ms);\n", "", "request_that_waits", "test", "shutdowns"),
    Guard("close-then-transfer", "requests are answered before a process transfers what it holds and ends",
          "packages/entry_point/src/entry_point.c", "    graceful_shutdown_close(&shutdown);\n", "", "during_the_transfer",
          "test", "shutdowns"),
    Guard("hand-over-bounded", "a leader hands over within its grace period", "packages/controller/src/controller.c",
          "replication_barrier(controller->replication, leave_ms);", "replication_barrier(controller->replication, SUBMIT_TIMEOUT_MS);",
          "leader_that_cannot_commit", "test", "shutdowns"),
    Guard("dropped-start", "a start that its agent has dropped is given again", "packages/controller/src/heartbeat_commit.c",
          "return task->phase == TASK_PLACED && has_newest_orders", "return task->attempt == UINT64_MAX && has_newest_orders",
          "order_that_was_dropped", "test", "dropped_orders"),
    Guard("late-order", "an order that comes late is refused and not dropped", "packages/agent/src/orders.c",
          "if (!lease_runs(&agent->lease, now_ms) || (now_ms >= timeout_ms && !agent->settled) || older_may_run(agent, order))",
          "if (!lease_runs(&agent->lease, now_ms) || now_ms >= timeout_ms || older_may_run(agent, order))", "order_that_comes_late", "test", "agent"),
    Guard("leader-crowd", "the leader holds a bounded number of callers' requests", "packages/callers/src/routes.c",
          "service->requests <= LEADER_REQUESTS_MAX", "true", "requests_at_once", "test", "crowd"),
    Guard("small-values", "a document that takes far more memory than its size is refused before it is parsed",
          "packages/config/src/check.c", "    if (takes_too_much(&scan)) {", "    if (false) {", "many_small_values", "test", "parse"),
    Guard("verified-frames", "what verified connections hold is bounded", "packages/loop/src/real_peers.c",
          "list->bytes > budget_bytes(real, kind);", "(kind == PEER_UNVERIFIED && list->bytes > budget_bytes(real, kind));",
          "verified_peers", "test", "memory"),
    Guard("http1-only", "HTTP/2 is not offered", "packages/loop/src/real_serve.c",
          "    real->config.http1.upgrade_to_http2 = 0;", "", "http2", "test", "memory"),
    Guard("drained", "a drained zone gets no new tasks", "packages/scheduler/src/pass.c",
          " && !table_zone_is_drained(scheduler->table, worker->zone);", ";",
          "drained zone", "timeline", "trentvale", 2, ZONE_DRAINED),
    Guard("leaving", "a leaving worker gets no new tasks", "packages/heartbeat/src/liveset.c",
          "!row->leaving && ", "",
          "leaving worker", "timeline", "trentvale", 3, LEAVES,
          also=[("packages/agent/src/worker.c", "    if (leaving)\n        attempts_withdraw(agent, \"the worker leaves\");\n", ""),
                ("packages/agent/src/orders.c",
                 "    else if (agent->worker_leaving && agent->settled)\n        attempt_withdraw(agent, attempt, \"the worker leaves\");\n", "")]),
    Guard("cut-list", "a list of ends that is cut does not show that an attempt has ended", "packages/agent/src/worker.c",
          "    if (report->ends_cut)\n        return;", "    if (false)\n        return;",
          "ends_that_are_not_listed_yet_are_not_lost", "test", "agent_ends"),
    Guard("late-list", "a report that may be older than the agent does not complete its table", "packages/agent/src/worker.c",
          "!(boot_report_is_current(agent) || inherited_leases_expired)", "(inherited_leases_expired && false)",
          "late_report_after_a_restart_is_not_complete", "test", "agent_reports"),
    Guard("inherited-lease", "an agent waits for the leases that its predecessor passed on", "packages/agent/src/agent.c",
          "loop_now_ms(loop) + lease_claim_ms(settings->cluster_settings.worker_lease_ms);", "loop_now_ms(loop);",
          "inherited_lease_is_waited_for", "test", "agent_reports"),
    Guard("boot-alive", "another process of the worker is accepted only once it is known to run", "packages/agent/src/boot.c",
          "if (report->one_process && boot->alive_ms > current->alive_ms && boot->alive_ms > current->current_ms)", "if (report->one_process)",
          "late_report_of_an_earlier_boot_changes_nothing", "test", "agent_reports"),
    Guard("boot-new", "a former process of the worker does not replace one that is too new for a proof", "packages/agent/src/boot.c",
          " && boot->alive_ms > current->current_ms)", ")",
          "late_report_of_a_proven_boot_ends_nothing", "test", "agent_reports", "late_report_of_a_proven_boot_ends_nothing"),
    Guard("departure", "a worker that announces its end keeps its attempts until its lease has expired", "packages/agent/src/worker.c",
          "    agent->boot->departs = true;\n    agent->worker_live = false;",
          "    agent->boot->departs = true;\n    attempts_end_given(agent, \"\");\n    agent->worker_live = false;",
          "departing_worker_keeps_its_attempts", "test", "agent_reports"),
    Guard("answer-bound", "an answer holds no more starts than its worker may take", "packages/agent/src/answer.c",
          "report->starts_bytes_max > 0 && starts_bytes", "false && starts_bytes",
          "starts_beyond_the_answers_bound_follow", "test", "agent"),
    Guard("orders-cut", "starts that exceed a message follow in the next one", "packages/controller/src/orders.c",
          "if (starts_bytes > ORDERS_BYTES_MAX && out->starts_count > 0)", "if (starts_bytes > (size_t)-1)",
          "gang_larger_than_a_message_runs", "test", "large_orders"),
    Guard("reservation-late", "a reservation does not outlast the value of its job", "packages/scheduler/src/reservation.c",
          "if (is_too_late(reservation->rank))", "if (false)",
          "reservation_ends_with_the_value_of_its_job", "test", "reservations"),
    Guard("reservation-apart", "no worker is reserved for a gang that may not be together there", "packages/scheduler/src/reservation.c",
          "    if (step->apart > 0)\n        limit", "    if (false)\n        limit",
          "gang_that_never_fits_reserves_nothing", "test", "reservations"),
    Guard("ejected-admitted", "an ejected worker gets work that no other worker can run", "packages/scheduler/src/withheld.c",
          "return fits_elsewhere_soon(pass, candidate, need, excluded) ? WITHHELD_NONE : WITHHELD_EJECTED;", "return WITHHELD_NONE;",
          "task_whose_other_worker_stays_full", "test", "ejections"),
    Guard("standing-still", "ejections and reservations give way to a job that stands still in a fleet with free capacity",
          "packages/scheduler/src/withheld.c",
          "const bool all = stands_still(pass, candidate) && fleet_has_capacity(pass, need->kind);", "const bool all = false;",
          "reservation_gives_way", "test", "ejections"),
    Guard("admitted-once", "what an ejected worker is admitted for is not given to other work", "packages/scheduler/src/placement.c",
          "    withheld_end(pass);\n    talloc_free(mem);", "    talloc_free(mem);",
          "admission_is_for_one_candidate", "test", "ejections"),
    Guard("ejected-kept-off", "an ejected worker gets no work that another worker can run soon", "packages/scheduler/src/withheld.c",
          "return fits_elsewhere_soon(pass, candidate, need, excluded) ? WITHHELD_NONE : WITHHELD_EJECTED;", "return WITHHELD_EJECTED;",
          "work_with_another_worker_is_kept_off", "test", "ejections"),
    Guard("description-pending", "nothing is placed by the former description of a worker", "packages/heartbeat/src/liveset.c",
          " && !row->description_pending", "",
          "returned_workers_get_no_work_of_their_former_kind", "test", "worker_kinds",
          also=[("packages/controller/src/orders.c", "            worker_is_unfit(controller, heartbeat, job, task->step))", "            false)")]),
    Guard("description-answered", "an order for a worker's earlier description is not carried out", "packages/agent/src/heartbeat.c",
          "if (heartbeat->description_number != agent->description_number) {", "if (false) {",
          "order_for_an_earlier_description_is_asked_for_again", "test", "agent_reports"),
    Guard("orphan-list", "the list of a restarted agent does not show that an orphaned attempt has ended", "packages/heartbeat/src/orphans.c",
          "if (heartbeat->settled && !list", "if (!list",
          "restarted_agents_list_removes_nothing", "test", "orphans"),
    Guard("orphan-apart", "an attempt that was given up counts for the limit of tasks on a worker", "packages/scheduler/src/worker_choice.c",
          "    if (job->spec.steps[job->tasks[task].step].apart > 0)\n        orphans_count(pass, job, first_task, end);\n", "    (void)orphans_count;\n",
          "given_up_attempt_counts", "test", "spread"),
    Guard("cancel-stops", "a cancelled job's tasks are stopped", "packages/state/src/deliver_job.c",
          "        job->ending = JOB_CANCELLED;\n    job_stop_tasks(table, job, at_ms);", "        job->ending = JOB_CANCELLED;",
          "starting long after its job was cancelled|running after its worker's lease|not ended|forgotten", "sweep", "varied", 1, 24),
    Guard("cancel-starts", "a cancelled job's tasks are not started", "packages/queue/src/ready_queue.c",
          "    if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)", "    if (job->sums.waiting == 0)",
          "starting long after its job was cancelled|running after its worker's lease", "sweep", "varied", 1, 24,
          also=[("packages/state/src/deliver_place.c", "if (task == NULL || (*job)->ending != JOB_ACTIVE)", "if (task == NULL)"),
                ("packages/state/src/phase.c", "            task_set_phase(table, job, task, TASK_CANCELLED, \"\", at_ms, PHASE_BY_LEADER);\n        else if", "            (void)task;\n        else if")]),
    Guard("counted-once", "a failure that is reported again is not counted again", "packages/state/src/attempt.c",
          "if (job->spec.lasting || attempt_counted(&gang.tasks[0], attempt))", "if (job->spec.lasting)",
          "late_failure_counts_once", "test", "attempts", "late_failure_counts_once"),
    Guard("counted-each", "the failure of an attempt counts although a newer one has failed before", "packages/state/src/attempt.c",
          "if (job->spec.lasting || attempt_counted(&gang.tasks[0], attempt))", "if (job->spec.lasting || attempt <= task->miss_attempt)",
          "failures_out_of_order_count_once_each", "test", "attempts", "failures_out_of_order_count_once_each"),
    Guard("early-cancels", "a job whose cancellation was answered before its submission arrived is not started",
          "packages/state/src/deliver_job.c", "    if (early_cancel_applies(table, &job->spec))", "    if (false)",
          "submission_held_by_a_frozen_entry_point", "test", "early_cancels", "submission_held_by_a_frozen_entry_point"),
    Guard("early-cancels-repaired", "a repair restores the cancellation of an unknown job", "packages/controller/src/repair.c",
          "            return !cancel.early || table_early_cancel_known(table, &cancel);", "            return true;",
          "cancellation_survives_the_loss_of_the_disks", "test", "early_cancels", "cancellation_survives_the_loss_of_the_disks"),
    Guard("stop-told", "an attempt that is no longer wanted is stopped", "packages/agent/src/orders.c",
          "            attempt->phase = PHASE_STOPPING;\n        signal_raise", "            (void)attempt;\n        signal_raise",
          "running after its worker's lease", "timeline", "trentvale", 3, CANCELLED),
    Guard("gang-whole", "a gang is placed completely or not at all", "packages/scheduler/src/placement.c",
          "            capacity_return(pass, step, where, i);\n            return false;",
          "            ((Candidate *)(uintptr_t)candidate)->count = i;\n            return i > 0;",
          "left waiting alone", "timeline", "varied", 4, """
ms     worker1  worker2  worker3  worker4  worker5  worker6  worker7  worker8  callers
0      kill     kill     kill     kill     kill     kill     kill     kill     call:12/12000
40000  start    start    start    start    start    start    start    start    .
60000  .        .        .        .        .        .        .        .        end
""", also=[("packages/state/src/deliver_place.c", "return together == open ? together : 0;", "return together;"),
           ("packages/scheduler/src/planner.c", "        gangs_repair(scheduler, mem);", "        (void)mem;")]),
    Guard("gang-stopped", "when a gang member is lost, the other members are stopped", "packages/state/src/gang.c",
          "        if (other != task && (other->phase", "        if (false && (other->phase",
          "lost_once_for_an_attempt", "test", "gangs"),
    Guard("base-check", "a configuration change is based on the revision in force", "packages/state/src/deliver_config.c",
          "set->base == current && version > current && (!set->patch", "(!set->patch",
          "configuration", "sweep", "varied", 1, 60),
    Guard("config-refused", "a refused configuration change does not take effect", "packages/callers/src/configs.c",
          "    if (set.base != current) {\n        refuse_stale(request, current);\n        return;\n    }",
          "    if (set.base != current) {\n        refuse_stale(request, current);\n        set.base = current;\n        "
          "request->task = talloc_memdup(request->mem, request->task, sizeof(HttpExchange));\n    }",
          "refused configuration|configuration", "sweep", "varied", 1, 60),
    Guard("key-known", "a request with an unknown key is refused", "packages/callers/src/queue_entry.c",
          "if (request->caller != NULL || place->queue->is_public || !place->cell->keyed)", "if (true)",
          "unknown_key_never_runs|keys_change_at_every_node_at_once", "test", "tenants"),
    Guard("gone-later", "a retry of a job that an earlier leader may have accepted is not answered with 401 or 404", "packages/callers/src/queue_entry.c",
          "if (!request->task->is_retry || table_job(request->service->table, request->name) == NULL)", "if (true)",
          "taken_job_is_not_refused_when_its_key_goes|taken_job_is_not_refused_when_its_queue_goes", "test", "tenants"),
    Guard("job-of-tenant", "a job is visible only to callers of its tenant", "packages/callers/src/queue_entry.c",
          "return !tenant->keyed || tenant == request->caller;", "return true;",
          "job_is_shown_to_its_tenant_only", "test", "tenants"),
    Guard("key-shared", "no two tenants share a key", "packages/config/src/tenants.c",
          "if (other == NULL)", "if (true)", "shared_key_is_refused", "test", "tenants"),
    Guard("key-last", "removing a tenant's last key does not open its queues to callers without a key", "packages/config/src/tenants.c",
          "tenant->keyed = list != NULL;", "tenant->keyed = list != NULL && json_object_array_length(list) > 0;",
          "accepted_jobs_outlive_key_and_tenant", "test", "tenants"),
    Guard("refused-not-run", "a refused job is not submitted", "packages/callers/src/jobs.c",
          "    if (!job_admissible(request->faults, spec, config, service->table)) {\n        request_refuse(request);\n        return NULL;\n    }",
          "    if (!job_admissible(request->faults, spec, config, service->table)) {\n        request_refuse(request);\n        request->task = talloc_memdup(request->mem, request->task, sizeof(HttpExchange));\n    }",
          "a refused job running", "sweep", "varied", 1, 12),
    Guard("read-synced", "data that a restarted process reads is synced before it counts as durable", "packages/sim/src/disk.c",
          "    content_sync(sim_file->machine, from);\n", "", "read_is_synced", "test", "journal", "read_is_synced"),
    Guard("rewrite-queued", "entries written by a journal rewrite count as queued, and the newer of two entries with one index is used",
          "packages/replication/src/disk.c", "    replication->queued_index = log_last_index(replication->log);\n    const Status status = journal_rewrite", "    const Status status = journal_rewrite",
          "snapshot_then_trimmed", "test", "disk_state", "snapshot_then_trimmed",
          also=[("packages/replication/src/log.c", "    log_trim(log, entry->index - 1);\n    if (entry->term <", "    if (entry->index <= log_last_index(log))\n        return STATUS_OK;\n    if (entry->term <")]),
    Guard("log-bytes", "the log is limited in bytes", "packages/replication/src/snapshot.c",
          "return log->count >= most || log->bytes >= bytes;", "return log->count >= most || bytes == 0;",
          "away_for_big", "test", "catch_up", "away_for_big"),
    Guard("fill-pieces", "a large snapshot is sent in pieces", "packages/replication/src/send_snapshot.c",
          "    if (whole.count > SNAPSHOT_SINGLE_BYTES) {", "    if (whole.count > SNAPSHOT_SINGLE_BYTES && false) {",
          "large_state", "test", "catch_up", "large_state"),
    Guard("spoilt-founds-not", "a process with a damaged disk does not found a cluster", "packages/replication/src/recover.c",
          "        replication->settings.founding_mode = FOUNDING_NEVER;", "        (void)replication;",
          "all_spoilt", "test", "disk_state", "all_spoilt"),
    Guard("committed-stays", "committed entries are not dropped, whichever process asks for it", "packages/replication/src/install_snapshot.c",
          "    if (last_index < replication->commit_index && replication->settings.disks_durable)\n        return history_conflict_refuse(replication, last_index + 1);\n", "",
          "committed_stays", "test", "disk_state", "committed_stays"),
    Guard("old-list", "a voter does not vote by a list of voters that is older than a committed one", "packages/replication/src/voter_list.c",
          "    replication->list_reverted = true;", "    replication->list_reverted = false;", "old_list_votes_not", "test", "disk_state", "old_list_votes_not"),
    Guard("other-ways", "an entry point that can't reach the leader forwards requests through other controllers", "packages/routing/src/leader_route_search.c",
          "        if (!leader_route_hop(leader_route, nth, &hop)) {", "        if (nth > 0 || !leader_route_hop(leader_route, nth, &hop)) {",
          "not serving", "sweep", "varied", 86, 86),
    Guard("repair-together", "a repair does not wait for a commit after each change", "packages/controller/src/repair.c",
          "status = replication_submit_async(controller->replication, item->change, payload_to_submit(mem, item));",
          "{\n            ChangeResult one;\n            status = replication_submit(controller->replication, item->change, payload_to_submit(mem, item), &one);\n        }",
          "not serving", "sweep", "varied", 80, 80),
    Guard("gang-one-end", "one successful end of a gang member counts for all members", "packages/state/src/attempt.c",
          "    const Gang gang = gang_of(job, task);\n    const TaskPhase phase", "    const Gang gang = {task, 1};\n    const TaskPhase phase",
          "finished well|not ended|forgotten|left waiting alone", "sweep", "varied", 1, 24),
    Guard("turns", "each occurrence of a periodic job starts when it is due", "packages/queue/src/wait.c",
          "const int64_t occurrence_ms = spec->first_wall_ms != 0 ? spec->first_wall_ms + (int64_t)occurrence * spec->period_ms : 0;",
          "const int64_t occurrence_ms = spec->first_wall_ms != 0 && occurrence == 0 ? spec->first_wall_ms : 0;",
          "before its steps or its due time", "timeline", "varied", 2, MACHINE_OFF),
    Guard("lasting", "a lasting task is restarted however its attempt ends", "packages/state/src/deliver_attempt.c",
          "if (update->word == ATTEMPT_DONE && !job->spec.lasting) {", "if (update->word == ATTEMPT_DONE) {",
          "forgotten", "sweep", "varied", 1, 8),
    Guard("order-known", "a zone order that was accepted is recognized when it is sent again", "packages/state/src/deliver_zone.c",
          "        if (row->order[0] != '\\0' && strcmp(row->order, drain->order) == 0)\n            return DRAIN_DELIVERED;\n", "",
          "leader_lost|callers_name", "test", "drains"),
    Guard("order-based", "a zone order takes effect only if no later order than its base was accepted", "packages/state/src/deliver_zone.c",
          "if (drain->based && row->stamp > drain->base) {", "if (drain->based && row->stamp < 0) {",
          "late_start|overtaken", "test", "drains"),
    Guard("order-late", "an order without an ID that a process reads when it resumes after a pause is refused", "packages/routing/src/order.c",
          "    if (may_be_stale(forwarding)) {", "    if (may_be_stale(forwarding) && forwarding == NULL) {", "late_start_at_a_frozen", "test", "drains"),
    Guard("sent-once", "a request that no row of the retry rules permits is not forwarded again", "packages/routing/src/retry_rules.c",
          "    return RETRY_NEVER;\n}", "    return RETRY_BY_REQUEST_ID;\n}",
          "answers_lost|not_repeated", "test", "repeats"),
    Guard("large-elsewhere", "a large configuration does not pass through an entry point: its caller is redirected to the leader",
          "packages/entry_point/src/entry_point.c",
          "    if (task->body.count <= CONFIG_LARGE_BYTES && !(in_result && config_watch_size(entry_point->config_watch) > CONFIG_LARGE_BYTES))\n",
          "    if (task->body.count > 0 || !in_result || config_watch_size(entry_point->config_watch) > 0)\n",
          "read_at_any_node|others_are_served", "test", "large_config"),
    Guard("large-kept", "a large configuration change is not copied to entry points before it is answered", "packages/callers/src/repair_copy.c",
          "    if (payload_bytes(repair_items) > CONFIG_LARGE_BYTES)", "    if (payload_bytes(repair_items) == 0)",
          "changed_at_an_entry_point", "test", "large_config"),
    Guard("large-pieces", "an entry point fetches a large document in pieces", "packages/routing/src/config_watch.c",
          ".piece_most = CONFIG_WATCH_EAGER_BYTES};", ".piece_most = 0};",
          "held_without_a_stall", "test", "large_config"),
    Guard("large-goes-on", "the transfer of a document continues while newer changes arrive", "packages/routing/src/config_watch.c",
          "(stable || pieces_in_progress(&config_watch->pieces))", "stable",
          "held_through_changes", "test", "large_config"),
    Guard("large-had", "a repairing leader is not sent the configuration that it has already",
          "packages/controller/src/repair.c", "{.config_have = collection->config_have};", "{.config_have = 0};",
          "woken_without_a_stall", "test", "large_config"),
    Guard("answer-kind", "an answer is accepted only if its kind matches the request", "packages/wire/src/answer.c",
          "    if (envelope.kind != request->kind) {", "    if (false) {",
          "wrong_answers", "test", "answers"),
    Guard("answer-cluster", "an answer from another cluster is not accepted", "packages/wire/src/answer.c",
          "    if (!rpc_same_cluster(envelope->cluster, rpc->cluster)) {", "    if (false) {",
          "wrong_answers", "test", "answers"),
    Guard("answer-peer", "an answer from another process or from another incarnation is not accepted", "packages/wire/src/answer.c",
          "    if (!from_target(request, envelope)) {", "    if (false) {",
          "wrong_peers", "test", "answers"),
    Guard("question-meant", "a request addressed to another process is not executed", "packages/wire/src/serve.c",
          "    if (envelope->peer != self->id) {", "    if (false) {",
          "address_reused", "test", "questions"),
    Guard("question-life", "a request addressed to an earlier incarnation is not executed", "packages/wire/src/serve.c",
          "    if (envelope->peer_life != self->incarnation && envelope->peer_life != rpc->first_incarnation) {", "    if (false) {",
          "address_reused", "test", "questions"),
    Guard("know-meant", "a process does not answer for the member that had its address before", "packages/agent/src/isolated.c",
          "        request->peer = member_peer(record);\n", "",
          "answers_for_another", "test", "places"),
    Guard("hello-difference", "an answer to a hello contains only the records that the sender of the hello lacks", "packages/member/src/difference.c",
          "    return both_controllers || ask->digest != difference_digest(members) ? ANSWER_CONTROLLERS : ANSWER_NONE;", "    return both_controllers ? ANSWER_CONTROLLERS : ANSWER_ALIVE;",
          "exchange_fills_narrow_links", "test", "member_exchange"),
    Guard("hello-watermark", "a watermark of another process or incarnation, or from the future, does not hide members", "packages/member/src/difference.c",
          "    return same_process && ask->have <= members->sequence ? ask->have : 0;", "    return ask->have;",
          "watermark_lies", "test", "member_bounds"),
    Guard("hello-asker", "a process that is known with a higher incarnation is told so", "packages/member/src/difference.c",
          "        if (conflicts_with_requester(&row->record, &ask->self) ||\n", "        if (",
          "time_of_day_set_back", "test", "member_bounds"),
    Guard("table-bound", "a full member table accepts no more members except controllers", "packages/member/src/table.c",
          "    if (members->table->count >= MEMBERS_MAX + (controller ? CONTROLLERS_MAX : 0)) {", "    if (false) {",
          "table_is_full", "test", "member_bounds"),
    Guard("record-cluster", "a member's record of a process of another cluster is not accepted", "packages/member/src/hello.c",
          "    if (record->cluster != 0 && own != 0 && record->cluster != own) {", "    if (false) {",
          "stranger_is_named", "test", "member_bounds"),
    Guard("trace-whole", "a trace at an entry point also queries members outside its partial member table", "packages/trace/src/gather.c",
          "const size_t count = members_list_all(trace->members, query, &records);", "const size_t count = members_table(trace->members)->count;\n    MemberRecord *own = talloc_array(query, MemberRecord, (unsigned)count);\n    for (size_t i = 0; i < count; i++)\n        own[i] = members_table(trace->members)->rows[i].record;\n    records = own;",
          "trace_misses_members_beyond_the_view", "test", "traces"),
    Guard("hello-attempts", "a lost hello is sent again before the member counts as silent", "packages/member/src/hello.c",
          "hello_task_spawn(members, address)->attempts = HELLO_ATTEMPTS;", "hello_task_spawn(members, address);",
          "lost_messages_raise_suspicion", "test", "member_exchange"),
    Guard("question-cancelled", "a request that was cancelled before it was sent is not sent", "packages/wire/src/ask.c",
          " || (target->send_state != NULL && target->send_state->cancelled))", ")",
          "cancelled", "test", "questions"),
    Guard("late-answers", "a connection with late answers is not considered dead", "packages/wire/src/answer.c",
          "connection->timed_out = 0; /* the peer is slow, but it responds */", "",
          "late_answers_keep_the_connection", "test", "rpc"),
    Guard("transfer-in-time", "the transfer of a repair buffer takes no longer than the grace period",
          "packages/routing/src/repair_transfer.c", "return left_ms < REQUEST_TIMEOUT_MS ? left_ms : REQUEST_TIMEOUT_MS;",
          "return left_ms < 0 ? left_ms : REQUEST_TIMEOUT_MS;",
          "carrier_that_is_cut_off_ends_in_time", "test", "repair_transfer"),
    Guard("voter-silent", "a silent voter is replaced within a fraction of the time after which it counts as lost", "packages/replication/src/voters.c",
          "const int64_t part_ms = voter_replace_ms(replication) / VOTER_SILENT_DIVISOR;", "const int64_t part_ms = VOTER_REPLACE_MS;",
          "learner_then_loss|attempts", "test", "replaced"),
    Guard("vote-given", "a voter that is told to stop waits until another process has its vote", "packages/replication/src/leave.c",
          "const bool votes = replication_is_voter(replication), given = votes && successor_available(replication);",
          "const bool votes = replication_is_voter(replication), given = votes && until_ms == 0 && successor_available(replication);",
          "leaves_then_loss", "test", "leaving"),
    Guard("successor-first", "a live voter is removed only after its successor was added",
          "packages/replication/src/membership.c", "if (voter->lost && !voter->self && (found == NONE",
          "if ((voter->lost || voter->leaving) && !voter->self && (found == NONE", "no_step_bears_less", "test", "membership",
          also=[("packages/replication/src/membership.c", "if (!now->voters[lost].disk_lost && now->voter_count % 2 != 0", "if (!now->voters[lost].disk_lost && !now->voters[lost].leaving && now->voter_count % 2 != 0")]),
    Guard("silent-successor-first", "a silent voter is removed only after its successor was added",
          "packages/replication/src/membership.c", "if (!now->voters[lost].disk_lost && now->voter_count % 2 != 0", "if (false && now->voter_count % 2 != 0",
          "no_step_bears_less", "test", "membership"),
    Guard("learner-above", "a learner that promised a higher term causes an election with a term above it", "packages/replication/src/view_change.c",
          "bool election_needed = learner_promised_higher(replication, now_ms);", "bool election_needed = learner_promised_higher(replication, now_ms) && now_ms < 0;",
          "learner_with_a_higher_promise", "test", "learners"),
    Guard("learner-settles", "a leaving learner waits until it knows whether it has become a voter", "packages/replication/src/leave.c",
          "    pending_vote_await(replication, until_ms);", "    (void)pending_vote_await;", "learner_leaves_as_it_gets_the_vote", "test", "leaving"),
    Guard("agent-clock", "an agent whose wall clock was set back is not mistaken for an older incarnation", "packages/agent/src/heartbeat.c",
          "    if (agent->heartbeat_answered_ms == 0)\n        agent->incarnation = members_self(agent->members)->incarnation;\n", "",
          "it runs nothing", "timeline", "trentvale", 6, AGENT_CLOCK_SET_BACK),
    Guard("refusing-replaced", "a voter whose disk refuses writes is replaced although it answers", "packages/replication/src/voters.c",
          "if (refuses_ms != INT64_MAX &&", "if (refuses_ms == 0 &&", "refusing_follower_is_replaced", "test", "bad_disks"),
    Guard("disk-backoff", "writes to a full disk are not retried without a pause", "packages/replication/src/disk.c",
          "        if (again)\n            loop_sleep(", "        if (again && rest_ms == 0)\n            loop_sleep(",
          "nearly_full_does_not_go_in_circles", "test", "bad_disks"),
    Guard("handed-on", "a leaving entry point transfers its repair buffer", "packages/entry_point/src/entry_point.c",
          "    if (!entry_point->disks_keep)\n", "    if (entry_point == NULL)\n", "entry_point_leaves", "test", "repair_transfer"),
    Guard("two-copies", "two entry points keep copies of what disks may lose", "packages/callers/src/repair_copy.c",
          "plan.copy_count < REPAIR_COPIES; tries++", "plan.copy_count < 1; tries++", "carrier_is_lost|_carries", "test", "repair_copies"),
    Guard("copies-apart", "the entry points with the copies are in different zones", "packages/callers/src/repair_copy.c",
          "(anywhere == 1 || !zone_has_copy(plan, plan->targets[target].zone))", "(anywhere < 2 || !zone_has_copy(plan, plan->targets[target].zone))",
          "carrier_is_lost|_carries", "test", "repair_copies"),
    Guard("last-block-told", "damage in the last block is not a torn tail if the block was synced", "packages/journal/src/open.c",
          "if (status == STATUS_OK && valid_bytes < synced)", "if (status == STATUS_OK && valid_bytes < synced && synced == 1)",
          "flipped|cut", "test", "last_block"),
    Guard("hint-of-this-file", "a journal hint is valid only for the file that it was written for", "packages/journal/src/hint.c",
          "record->at_ms == hint->journal->generation;", "record->at_ms >= 0;", "hint_may_be_anything", "test", "journal_hint"),
    Guard("state-bounded", "no job is accepted once the state is close to the size limit of a snapshot", "packages/callers/src/jobs.c",
          "if (replication_admit(service->replication, request->task->body.count) != STATUS_OK) {", "if (request == NULL) {",
          "full_then_smaller", "test", "state_full"),
    Guard("state-measured", "the size of the state is measured again when a job is refused", "packages/replication/src/snapshot.c",
          "if (now_ms - replication->size_measured_ms >= STATE_MEASURE_INTERVAL_MS) {", "if (now_ms - replication->size_measured_ms >= STATE_MEASURE_INTERVAL_MS * 1000) {",
          "full_then_smaller", "test", "state_full"),
    Guard("handed-on-by-controllers", "a leaving controller transfers its repair buffer", "packages/controller/src/controller.c",
          "    if (cluster_settings->disks_keep == 0)\n", "    if (controller == NULL)\n", "controller_leaves", "test", "repair_transfer"),
    Guard("lists-one-by-one", "a list of voters is committed before the next one is proposed", "packages/replication/src/reconfigure.c",
          "    if (replication->list_index > replication->commit_index)\n        return false;\n    MembershipInput input;", "    MembershipInput input;",
          "was ordered before the last was committed", "precise", "seeds", 1, 1300,
          also=[("packages/replication/src/reconfigure.c", "|| !replication_may_append(replication) || replication->list_index > replication->commit_index)", "|| !replication_may_append(replication))")]),
    Guard("view-wide", "a leader acknowledges only while enough disks are in the view", "packages/replication/src/lease.c",
          "return copies >= lock_majority(voters_wanted(replication));", "return copies >= 1;",
          "acknowledged on fewer", "explore", "seeds", 1, 60),
    Guard("lease-from-sending", "a leader counts its lease from when it sent the request", "packages/replication/src/lease.c",
          "lock_lease_granted(&replication->lease, slot, sent_ms, grant_ms);", "lock_lease_granted(&replication->lease, slot, loop_now_ms(replication->loop), grant_ms);",
          "far_leader_is_cut_off", "test", "explored",
          also=[("packages/replication/src/election.c", "lock_lease_granted(&replication->lease, i, poll->sent_ms[i], LOCK_GRANT_MS);", "lock_lease_granted(&replication->lease, i, loop_now_ms(replication->loop), LOCK_GRANT_MS);")]),
    Guard("missing-first", "a missing voter is added before the next one is removed", "packages/replication/src/membership.c",
          "    if (missing.step != MEMBERSHIP_KEEP)",
          "    if (missing.step != MEMBERSHIP_KEEP && lost_voter_step(now, ready_count).step == MEMBERSHIP_KEEP)",
          "no_step_bears_less", "test", "membership"),
    Guard("members-asked", "all processes are contacted once more before the voters change", "packages/replication/src/reconfigure.c",
          "    membership_gather(replication, contact, input);", "    membership_gather(replication, contact != 0 ? 0 : contact, input);",
          "learner_lost_just_before_its_vote", "test", "learners"),
    Guard("fill-keeps", "a snapshot that the log covers already replaces no entries", "packages/replication/src/install_snapshot.c",
          "if (snapshot_covered(replication, &ask->snapshot, ask->over))", "if (false && snapshot_covered(replication, &ask->snapshot, ask->over))",
          "has changed|got shorter", "explore", "seeds", 1, 240,
          also=[("packages/replication/src/install_snapshot.c", "    if (shortens_log(replication, snapshot, entry_count)) {", "    if (false && shortens_log(replication, snapshot, entry_count)) {"),
                ("packages/replication/src/install_snapshot.c", "if (last_index < replication->commit_index && replication->settings.disks_durable)",
                 "if (false && last_index < replication->commit_index && replication->settings.disks_durable)")]),
    Guard("promise-synced-first", "a promise is synced before it is given", "packages/replication/src/promise.c",
          "    const Status status = journal_write(replication->journal, &record, 1);\n    if (status != STATUS_OK)\n        return status;\n",
          "    (void)record;\n", "promises that no disk holds", "explore", "seeds", 1, 24),
    Guard("commit-majority", "a change is committed on a majority of the voters", "packages/replication/src/commit.c",
          "    if (majority < least)\n        least = majority;\n", "    (void)majority;\n",
          "committed on fewer disks", "explore", "seeds", 1, 60),
    Guard("first-entry", "a leader commits no entry of an earlier term before the first entry of its own term", "packages/replication/src/commit.c",
          "if (least < replication->term_entry_index || least <= replication->commit_index)", "if (least <= replication->commit_index)",
          "entries_of_earlier_terms_wait", "test", "commit"),
    Guard("ack-disks", "acknowledged changes are on one disk more than the number of losses to tolerate", "packages/replication/src/lease.c",
          "return copies >= lock_majority(voters_wanted(replication));",
          "const size_t there = lock_majority(replication->voter_count > VOTERS_INITIAL ? replication->voter_count : VOTERS_INITIAL);\n"
          "    return copies >= there || copies >= lock_majority(voters_wanted(replication));",
          "acknowledged on fewer", "explore", "seeds", 641, 700),
    Guard("lead-by-lease", "a process that says that it leads has a valid lease", "packages/replication/src/lease.c",
          "return replication->phase == REPLICATION_LEADING && loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);",
          "return replication->phase == REPLICATION_LEADING;", "two nodes say", "explore", "seeds", 1, 60),
    Guard("wiped-votes-not", "a process with a wiped disk does not answer for the voter that had its address", "packages/replication/src/serve.c",
          "return to == 0 || to == replication->disk;", "return to == 0 || to != 0;",
          "promises that no disk|fewer disks|has changed|lacks what", "explore", "seeds", 1, 240),
]


class Scratch:
    """A scratch copy of the tree with its own build."""

    def __init__(self, folder):
        self.folder = os.path.abspath(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        shutil.copytree(ROOT, self.folder, ignore=lambda at, names: [
            name for name in names
            if name == ".git" or name.startswith(("build", "run", "target")) and at == ROOT])
        self.build = os.path.join(self.folder, "build")
        self.run(["cmake", "-S", self.folder, "-B", self.build, "-G", "Ninja"], check=True)
        self.make()

    @staticmethod
    def run(args, check=False):
        return subprocess.run(args, capture_output=True, text=True, errors="replace", check=check)

    def make(self):
        """Builds the programs that the scenarios run."""
        tests = sorted({"test-" + guard.scenario[1] for guard in GUARDS if guard.scenario[0] == "test"})
        got = self.run(["cmake", "--build", self.build, "--target", "spancart-sweep", "spancart-timeline",
                        "spancart-explore"] + tests)
        if got.returncode != 0:
            raise SystemExit("the build of the scratch copy failed:\n" + got.stdout[-3000:])

    def edit(self, guard):
        """Removes a guard. Returns (path, text before) of each edit, for restore()."""
        before = []
        for path, original, replacement in guard.edits:
            path = os.path.join(self.folder, path)
            with open(path) as file:
                text = file.read()
            found = pattern_of(original).search(text)
            if not found:
                raise SystemExit(f"{guard.name}: {path} does not contain the text to remove")
            before.append((path, text))
            with open(path, "w") as file:
                file.write(text[:found.start()] + replacement + text[found.end():])
        return before

    @staticmethod
    def restore(before):
        for path, text in reversed(before):  # in reverse, so that a file with two edits gets its first text back
            with open(path, "w") as file:
                file.write(text)

    def scenario(self, guard):
        """Yields (seed or test program, violation or failed test case) of each run that failed."""
        kind, mix = guard.scenario[:2]
        if kind == "test":
            got = self.run([os.path.join(self.build, "test-" + mix)])
            yield from ((mix, case) for case in re.findall(r"\[  FAILED  \] (\w+)$", got.stdout, re.M))
            return
        if kind == "timeline":
            path = os.path.join(self.folder, "scenario.txt")
            with open(path, "w") as file:
                file.write(guard.scenario[3])
            runs = [["spancart-timeline", path, str(seed), str(seed), mix] for seed in range(1, guard.scenario[2] + 1)]
        elif kind in ("explore", "precise"):
            how = ["--precise"] if kind == "precise" else []
            runs = [["spancart-explore", *how, "--seeds", f"{seed}..{min(seed + SEEDS_PER_PROCESS - 1, guard.scenario[3])}", "--no-shrink"]
                    for seed in range(guard.scenario[2], guard.scenario[3] + 1, SEEDS_PER_PROCESS)]
        else:
            runs = [["spancart-sweep", str(seed), str(seed), mix] for seed in range(guard.scenario[2], guard.scenario[3] + 1)]
        at = os.cpu_count() or 1
        for begin in range(0, len(runs), at):
            children = [subprocess.Popen([os.path.join(self.build, run[0])] + run[1:], stdout=subprocess.PIPE,
                                         stderr=subprocess.DEVNULL, text=True, errors="replace")
                        for run in runs[begin:begin + at]]
            texts = [child.communicate()[0] for child in children]
            for child, text in zip(children, texts):
                broke = (re.search(r"seed (\d+) BROKE (.*)", text) if kind in ("explore", "precise")
                         else re.search(r"seed (\d+).*BROKE[^:]*: (.*)", text))
                if broke:
                    yield broke.group(1), broke.group(2)
                elif child.returncode not in (0, 1):
                    yield "?", f"the run ended with exit code {child.returncode}"


def cases_of(test):
    """Returns the test cases in the source of a test program."""
    found = []
    for folder in glob.glob(os.path.join(ROOT, "packages", "*", "test")) + [os.path.join(ROOT, "platform", "test")]:
        path = os.path.join(folder, test + ".c")
        if os.path.exists(path):
            with open(path) as file:
                found += re.findall(r"^(?:static )?void (\w+)\(void \*\*state\)", file.read(), re.M)
    return found


def fit_errors(guard):
    """Yields an error for each text of a guard that does not occur exactly once in the sources, and for each
    pattern that matches no test case."""
    for path, original, _ in guard.edits:
        with open(os.path.join(ROOT, path)) as file:
            count = len(pattern_of(original).findall(file.read()))
        if count != 1:
            yield f"{guard.name}: expected once in {path}, found {count} times: {original.strip().splitlines()[0][:90]}"
    if guard.scenario[0] == "test":
        cases = cases_of(guard.scenario[1])
        for pattern in guard.violation.split("|"):
            if not any(re.search(pattern, case) for case in cases):
                yield f"{guard.name}: test {guard.scenario[1]} has no case that matches {pattern}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="")
    parser.add_argument("--work", default="/tmp/spancart-guards")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--fit", action="store_true", help="only check that each guard's text occurs once in the sources")
    options = parser.parse_args()
    names = [name for name in options.only.split(",") if name]
    unknown = set(names) - {guard.name for guard in GUARDS}
    if unknown:
        print("unknown guard: " + ", ".join(sorted(unknown)), file=sys.stderr)
        return 2
    chosen = [guard for guard in GUARDS if not names or guard.name in names]
    if options.list:
        for guard in chosen:
            print(f"{guard.name}: {guard.what}")
        return 0
    if options.fit:
        bad = [line for guard in chosen for line in fit_errors(guard)]
        print("\n".join(bad) or f"{len(chosen)} guards fit the sources")
        return 1 if bad else 0
    scratch = Scratch(options.work)
    bad = 0
    for guard in chosen:
        with_it = next(scratch.scenario(guard), None)
        before = scratch.edit(guard)
        scratch.make()
        others, found, last = 0, None, ""
        for seed, why in scratch.scenario(guard):
            if re.search(guard.violation, why):
                found = (seed, why)
                break
            others, last = others + 1, why
        scratch.restore(before)
        scratch.make()
        detected = found is not None and with_it is None
        bad += not detected
        print(f"{'detected' if detected else 'FINDING'} {guard.name}: {guard.what}\n     without it: "
              + (f"seed {found[0]}, {found[1][:150]}" if found else f"no expected violation ({others} others{': ' + last[:120] if last else ''})")
              + (f"\n     WITH it: seed {with_it[0]}, {with_it[1][:150]}" if with_it else ""), flush=True)
    print(f"{len(chosen) - bad} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
