/* The replicated log of one node: construction, start and getters. */
#include <talloc.h>

#include "disk.h"
#include "leadership.h"
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
    voter_list_init(replication);
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

int64_t replication_lease_won_ms(const Replication *replication)
{
    return replication->won_ms;
}

Signal *replication_changed_signal(Replication *replication)
{
    return &replication->changed;
}

void replication_step_down(Replication *replication, int64_t rest_ms)
{
    leader_step_down(replication, rest_ms);
}

void replication_start(Replication *replication, Members *members)
{
    replication->settings.members = members;
    voter_handlers_register(replication);
    /* a leader that has restarted no longer leads: it releases its lease, so that the others need not wait until it
     * expires. If its promise is certainly the newest one, it names itself as the successor. */
    if (replication->lock.promised != 0 && replication->lock.holder == replication->disk &&
        replication_is_voter(replication)) {
        replication->term = replication->lock.promised;
        replication->named_successor = replication->lock.promise_certain;
        leader_release_lease(replication, replication->lock.promise_certain ? replication->disk : 0);
    }
    replication_watch_start(replication);
    disk_retry_start(replication);
    reconfiguration_start(replication);
}
