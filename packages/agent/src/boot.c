/* Boots of the worker: distinguishes reports of its current process from those of earlier or second processes. At most
 * one process of a worker has a lease at a time.
 *
 * Reports may arrive seconds late, after a newer boot's, or as the first that a restarted agent receives. So neither an
 * unknown boot nor the order of arrival shows which process is running. What does is a report whose sender had the
 * answer to an earlier one: its boot was alive after that one had arrived. Without that proof another boot is accepted
 * only once the current boot's lease has expired. */
#include "boot.h"

#include <string.h>
#include <talloc.h>

#include "attempts.h"

static Boot *boot_find(Agent *agent, const char *name)
{
    for (size_t i = 0; i < WORKER_STARTS_MAX; i++)
        if (agent->boots[i] != NULL && strcmp(agent->boots[i]->name, name) == 0)
            return agent->boots[i];
    return NULL;
}

/* Adds a boot in place of the oldest one that is not the current one. */
static Boot *boot_add(Agent *agent, const char *name)
{
    Boot **slot = &agent->boots[agent->boot_count++ % WORKER_STARTS_MAX];
    if (*slot != NULL && *slot == agent->boot)
        slot = &agent->boots[agent->boot_count++ % WORKER_STARTS_MAX];
    talloc_free(*slot);
    *slot = talloc_zero(agent, Boot);
    (*slot)->name = talloc_strdup(*slot, name);
    return *slot;
}

void boot_end(Agent *agent, const char *why)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    attempts_end_given(agent, why);
    agent->boot = NULL;
    agent->worker_lease_until_ms = now_ms > agent->inherited_lease_until_ms ? now_ms : agent->inherited_lease_until_ms;
}

/* Records the report's number, and when its sender was last known to be alive. Returns false if the report is late. */
static bool report_record(const Agent *agent, Boot *boot, const WorkerReport *report)
{
    if (report->seq == 0)
        return true;
    if (report->seq <= boot->seq)
        return false;
    /* A report reaches one agent process only, so the answer was this process's. */
    if (boot->seq != 0 && report->answered_seq == boot->seq)
        boot->alive_ms = boot->arrived_ms;
    boot->seq = report->seq;
    boot->arrived_ms = loop_now_ms(agent->loop);
    return true;
}

/* Decides whether the report's boot may replace the current one. The current one may be too new for a proof of its own:
 * another boot is no newer for having one from before. */
static bool may_replace(const Agent *agent, const Boot *boot, const WorkerReport *report)
{
    const Boot *current = agent->boot;
    if (report->one_process && boot->alive_ms > current->alive_ms && boot->alive_ms > current->current_ms)
        return true; /* It was alive after the current one: the current one has ended */
    const bool known_older = boot->alive_ms != 0 && boot->alive_ms < current->alive_ms;
    return !known_older && loop_now_ms(agent->loop) >= agent->worker_lease_until_ms;
}

Status boot_accept(Agent *agent, const WorkerReport *report)
{
    Boot *boot = boot_find(agent, report->boot);
    if (boot == NULL)
        boot = boot_add(agent, report->boot);
    if (!report_record(agent, boot, report))
        return STATUS_CLOSED;
    if (boot->ended)
        return STATUS_DUPLICATE_WORKER;
    if (agent->boot == boot)
        return STATUS_OK;
    if (agent->boot != NULL) {
        if (!may_replace(agent, boot, report)) {
            recorder_write(agent->recorder, RECORDER_NOTE, loop_now_ms(agent->loop),
                           "worker %s: a report of boot %s while boot %s is the current one", agent->worker_name,
                           boot->name, agent->boot->name);
            return STATUS_DUPLICATE_WORKER;
        }
        boot_end(agent, "the worker's process was replaced");
    }
    agent->boot = boot;
    boot->current_ms = loop_now_ms(agent->loop);
    return STATUS_OK;
}

bool boot_report_is_current(const Agent *agent)
{
    return agent->boot != NULL && agent->boot->alive_ms != 0;
}
