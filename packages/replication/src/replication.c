/* The replicated log of one node: how it is made and started, and its plain readings. */
#include <talloc.h>

#include "disk.h"
#include "leading.h"
#include "replication/log.h"
#include "state.h"
#include "reconfigure.h"
#include "serve.h"
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

bool replication_seated(const Replication *replication)
{
    return replication_own_voter(replication) >= 0;
}

uint64_t replication_disk(const Replication *replication)
{
    return replication->disk;
}

uint64_t configuration_term(const Replication *replication)
{
    return replication->term;
}

int64_t replication_won_ms(const Replication *replication)
{
    return replication->won_ms;
}

Signal *replication_update(Replication *replication)
{
    return &replication->updates;
}

void replication_step_down(Replication *replication, int64_t rest_ms)
{
    lead_down(replication, rest_ms);
}

void replication_start(Replication *replication, Members *members)
{
    replication->settings.members = members;
    voter_serve(replication);
    /* a leader that has restarted leads no more: its lease is released, so that the others need
     * not wait it out. Where its promise is known to be the last, it may stand again first. */
    if (replication->lock.promised != 0 && replication->lock.holder == replication->disk &&
        replication_seated(replication)) {
        replication->term = replication->lock.promised;
        replication->named = replication->lock.sure;
        lead_release(replication, replication->lock.sure ? replication->disk : 0);
    }
    replication_watch(replication);
    disk_start(replication);
    voters_start(replication);
}
