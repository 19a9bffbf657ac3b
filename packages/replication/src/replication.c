/* The replicated log of one node: its construction, its start, and its getters. */
#include <talloc.h>

#include "disk.h"
#include "leading.h"
#include "reconfigure.h"
#include "replication/log.h"
#include "serve.h"
#include "state.h"
#include "voter_list.h"
#include "watch.h"

Replication *replication_new(void *mem, const ReplicationSettings *settings)
{
    Replication *replication = talloc_zero(mem, Replication);
    replication->settings = *settings;
    replication->loop = settings->loop;
    replication->log = log_new(replication);
    voters_first(replication);
    return replication;
}

bool replication_founded(const Replication *replication)
{
    return replication->cluster != 0;
}

uint64_t replication_cluster(const Replication *replication)
{
    return replication->cluster;
}

bool replication_is_voter(const Replication *replication)
{
    return replication_own_voter(replication) >= 0;
}

uint64_t replication_disk(const Replication *replication)
{
    return replication->disk;
}

uint64_t replication_led_term(const Replication *replication)
{
    return replication->term;
}

int64_t replication_won_ms(const Replication *replication)
{
    return replication->won_ms;
}

Signal *replication_changed_signal(Replication *replication)
{
    return &replication->changed;
}

void replication_step_down(Replication *replication, int64_t rest_ms)
{
    lead_down(replication, rest_ms);
}

void replication_start(Replication *replication, Members *members)
{
    replication->settings.members = members;
    voter_serve(replication);
    /* a leader that has restarted leads no more: it releases its lease, so that the others need not wait for the
     * end of it. Where its promise is certainly the last one, it names itself to stand first. */
    if (replication->lock.promised != 0 && replication->lock.holder == replication->disk &&
        replication_is_voter(replication)) {
        replication->term = replication->lock.promised;
        replication->named_successor = replication->lock.promise_certain;
        lead_release(replication, replication->lock.promise_certain ? replication->disk : 0);
    }
    replication_watch(replication);
    disk_start(replication);
    voters_start(replication);
}
