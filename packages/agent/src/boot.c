/* Boots of the worker: distinguishes reports of its current process from those of earlier or second processes. At most
 * one process of a worker has a lease at a time. */
#include "boot.h"

#include <string.h>
#include <talloc.h>

#include "attempts.h"

static bool boot_has_ended(const Agent *agent, const char *boot)
{
    for (size_t i = 0; i < WORKER_STARTS_MAX; i++)
        if (agent->ended_boots[i] != NULL && strcmp(agent->ended_boots[i], boot) == 0)
            return true;
    return false;
}

void boot_end(Agent *agent, bool refuse_later, const char *why)
{
    attempts_end_given(agent, why);
    char **slot = &agent->ended_boots[agent->ended_boot_count % WORKER_STARTS_MAX];
    talloc_free(refuse_later ? *slot : agent->boot);
    if (refuse_later) {
        *slot = agent->boot;
        agent->ended_boot_count++;
    }
    agent->boot = NULL;
    agent->worker_lease_until_ms = loop_now_ms(agent->loop);
}

Status boot_accept(Agent *agent, const WorkerReport *report)
{
    if (report->previous_boot_ended && boot_has_ended(agent, report->boot))
        return STATUS_DUPLICATE_WORKER; /* A late report: a newer boot has reported, or this one has shut down */
    if (agent->boot != NULL && strcmp(agent->boot, report->boot) != 0) {
        /* Another process of this worker: unless the old one is known to have ended, its lease must expire first. */
        if (!report->previous_boot_ended && loop_now_ms(agent->loop) < agent->worker_lease_until_ms) {
            recorder_write(agent->recorder, RECORDER_NOTE, loop_now_ms(agent->loop),
                           "worker %s asks as a second process", agent->worker_name);
            return STATUS_DUPLICATE_WORKER;
        }
        boot_end(agent, report->previous_boot_ended, "the worker's process was replaced");
    }
    if (agent->boot == NULL) {
        agent->boot = talloc_strdup(agent, report->boot);
        agent->seq = 0;
    }
    if (report->seq != 0 && report->seq <= agent->seq)
        return STATUS_CLOSED;
    agent->seq = report->seq;
    return STATUS_OK;
}
