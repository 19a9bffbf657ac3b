/* Founding: empty disks become a new cluster, either by the votes of the seeds or by three disks that see each other.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "disk.h"
#include "state.h"
#include "voter_list.h"

#define FOUND_CHECK_MS 200 /* interval at which an empty controller checks for three disks, in ms */
#define VOTE_CHECK_PART 6  /* number of times that the seeds' votes are counted in FOUNDER_CANDIDACY_DELAY_MS */

/* A request that an empty controller become part of the cluster with these voters. */
#define FOUND_ASK_FIELDS(X) \
    X(U64, cluster, 0)      \
    X(LST, voters, DiskId)
SHAPE(FoundAsk, FOUND_ASK_FIELDS)
SHAPE_TABLE(FoundAsk, FOUND_ASK_FIELDS)

/* The cluster that the answering node is part of; 0: none. */
#define FOUND_ANSWER_FIELDS(X) X(U64, cluster, 0)
SHAPE(FoundAnswer, FOUND_ANSWER_FIELDS)
SHAPE_TABLE(FoundAnswer, FOUND_ANSWER_FIELDS)

Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters)
{
    if (replication->cluster != 0)
        return replication->cluster == cluster ? STATUS_OK : STATUS_FOREIGN_CLUSTER;
    replication->cluster = cluster;
    voter_list_set_initial(replication, voters);
    voters_reload(replication);
    rpc_set_cluster(replication->settings.rpc, cluster);
    members_set_empty(replication->settings.members, false);
    void *mem = talloc_new(replication);
    size_t count;
    const Record *records = journal_records(replication, mem, &count);
    const Status status = journal_write(replication->journal, records, 1); /* only the record of the cluster */
    talloc_free(mem);
    return status;
}

/* Suspends the coroutine for disk I/O. Founds or joins the cluster that has these voters. */
static Status found_with_disks(Replication *replication, uint64_t cluster, const uint64_t disks[], size_t count)
{
    void *mem = talloc_new(replication);
    const Status status = replication_found(replication, cluster, voter_list_new(replication, mem, disks, count));
    talloc_free(mem);
    return status;
}

static void founded_log(const Replication *replication, uint64_t cluster)
{
    char name[LOG_TEXT_BYTES];
    snprintf(name, sizeof(name), "%016" PRIx64, cluster);
    log_event(replication->settings.recorder, LOG_CLUSTER_FOUNDED, loop_now_ms(replication->loop),
              &(LogFields){.text = name});
}

/* --- founding by the seeds' votes --------------------------------------------------------- */

/* The task that founds a cluster by votes. The empty controller that knows of no lower disk id than its own is the
 * candidate. With the votes of a majority of the seeds it founds the cluster as its only voter, and then adds the other
 * voters as the leader. */
static void found_by_votes_main(void *arg)
{
    Replication *replication = arg;
    Members *members = replication->settings.members;
    const int64_t from_ms = loop_now_ms(replication->loop) + FOUNDER_CANDIDACY_DELAY_MS;
    uint64_t proposal = 1; /* number of the proposal, see members_request_votes */
    bool stands = false;
    while (!loop_stopping(replication->loop) && !replication_founded(replication) &&
           rpc_cluster(replication->settings.rpc) == 0) {
        loop_sleep(replication->loop, FOUNDER_CANDIDACY_DELAY_MS / VOTE_CHECK_PART);
        size_t seeds;
        if (members_lowest_empty_disk(members) != replication->disk) {
            if (stands && members_request_votes(members, replication->disk, proposal, true, &seeds) == seeds) {
                stands = false;
                proposal++;
            }
        } else if (loop_now_ms(replication->loop) >= from_ms) {
            stands = true;
            const size_t granted = members_request_votes(members, replication->disk, proposal, false, &seeds);
            if (granted < seeds / 2 + 1 || rpc_cluster(replication->settings.rpc) != 0)
                continue;
            const uint64_t cluster = loop_random(replication->loop) | 1;
            replication->named_successor = true; /* no election delay is needed: there is no other voter */
            if (found_with_disks(replication, cluster, &replication->disk, 1) == STATUS_OK)
                founded_log(replication, cluster);
        }
    }
}

/* --- founding by three disks --------------------------------------------------------------- */

/* Writes the three empty disks in the order of their ids. Returns false if there are not exactly three, or if any
 * member knows of a cluster. */
static bool three_empty(const Replication *replication, uint64_t disks[VOTERS_INITIAL])
{
    const MemberTable *table = members_table(replication->settings.members);
    const int64_t now_ms = loop_now_ms(replication->loop);
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.cluster != 0)
            return false;
        if (row->record.role != ROLE_CONTROLLER || member_quiet(row, now_ms))
            continue;
        if (!row->record.empty || row->last_direct_contact_ms == INT64_MIN || count == VOTERS_INITIAL)
            return false;
        disks[count++] = row->record.disk;
    }
    for (size_t i = 1; i < count; i++)
        for (size_t k = i; k > 0 && disks[k] < disks[k - 1]; k--) {
            const uint64_t swap = disks[k];
            disks[k] = disks[k - 1];
            disks[k - 1] = swap;
        }
    return count == VOTERS_INITIAL;
}

/* Handles MESSAGE_FOUND: the offer to be one of three voters. */
static Status on_found(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const FoundAsk *ask = question;
    (void)mem;
    const uint64_t known = rpc_cluster(replication->settings.rpc);
    Status status = STATUS_FOREIGN_CLUSTER;
    uint64_t voters[VOTERS_INITIAL] = {0};
    bool mine = false;
    for (size_t i = 0; i < ask->voters_count && i < VOTERS_INITIAL; i++) {
        voters[i] = ask->voters[i].disk;
        mine |= voters[i] == replication_disk(replication);
    }
    if (ask->voters_count == VOTERS_INITIAL && mine && ask->cluster != 0 && (known == 0 || known == ask->cluster))
        status = found_with_disks(replication, ask->cluster, voters, VOTERS_INITIAL);
    ((FoundAnswer *)answer)->cluster = rpc_cluster(replication->settings.rpc);
    return status;
}

/* Suspends the coroutine. Offers the cluster to the other two controllers. */
static void cluster_offer(Replication *replication, const uint64_t disks[VOTERS_INITIAL], uint64_t cluster)
{
    for (int i = 0; i < VOTERS_INITIAL; i++) {
        const Member *member = members_find_disk(replication->settings.members, disks[i]);
        if (disks[i] == replication_disk(replication) || member == NULL || !member->record.empty)
            continue;
        void *mem = talloc_new(replication);
        FoundAsk ask = {cluster, talloc_array(mem, DiskId, VOTERS_INITIAL), VOTERS_INITIAL};
        for (int k = 0; k < VOTERS_INITIAL; k++)
            ask.voters[k].disk = disks[k];
        FoundAnswer answer = {0};
        rpc_call(replication->settings.rpc, mem, talloc_strdup(mem, member->record.address), MESSAGE_FOUND,
                 &FoundAsk_shape, &ask, REQUEST_TIMEOUT_MS, &FoundAnswer_shape, &answer);
        talloc_free(mem);
    }
}

/* The task that founds a cluster by three disks: the controller with the lowest disk id founds the cluster and offers
 * it to the other two. */
static void found_by_three_main(void *arg)
{
    Replication *replication = arg;
    uint64_t before[VOTERS_INITIAL] = {0};
    int64_t since_ms = 0;
    while (!loop_stopping(replication->loop)) {
        loop_sleep(replication->loop, FOUND_CHECK_MS);
        uint64_t disks[VOTERS_MAX];
        const int64_t now_ms = loop_now_ms(replication->loop);
        if (replication_founded(replication)) {
            /* until there is a first leader, the others may not have received the offer */
            if (replication_voters(replication, disks) != VOTERS_INITIAL ||
                members_leader_id(replication->settings.members)[0] != '\0')
                return;
            if (disks[0] == replication_disk(replication))
                cluster_offer(replication, disks, rpc_cluster(replication->settings.rpc));
            continue;
        }
        if (rpc_cluster(replication->settings.rpc) != 0 || !three_empty(replication, disks)) {
            since_ms = 0;
            continue;
        }
        if (since_ms == 0 || memcmp(disks, before, sizeof(before)) != 0) {
            since_ms = now_ms;
            memcpy(before, disks, sizeof(before));
            continue;
        }
        if (now_ms - since_ms < FOUNDING_WAIT_MS || disks[0] != replication_disk(replication))
            continue;
        const uint64_t cluster = loop_random(replication->loop) | 1;
        if (found_with_disks(replication, cluster, disks, VOTERS_INITIAL) == STATUS_OK) {
            founded_log(replication, cluster);
            cluster_offer(replication, disks, cluster);
        }
    }
}

void replication_found_start(Replication *replication)
{
    members_set_voter(replication->settings.members, replication->settings.founding_mode == FOUNDING_BY_VOTES);
    if (replication->settings.founding_mode == FOUNDING_BY_VOTES && !replication_founded(replication))
        loop_spawn(replication->loop, "votes", found_by_votes_main, replication);
    if (replication->settings.founding_mode != FOUNDING_BY_THREE_DISKS)
        return;
    rpc_handle(replication->settings.rpc, MESSAGE_FOUND, &FoundAsk_shape, &FoundAnswer_shape, on_found, replication);
    loop_spawn(replication->loop, "found", found_by_three_main, replication);
}
