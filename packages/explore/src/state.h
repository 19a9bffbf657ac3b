#ifndef EXPLORE_SRC_STATE_H
#define EXPLORE_SRC_STATE_H

/* The state of one run, shared by all files of this package. Layers, each calling only those before it: report
 * (broken rules and log output), items and moment (steps of the protocol that acts wait for); disks (contents of the
 * disks); nodes; history (committed entries) and client; check (the rules) and act (the adversary); run. draw and
 * shrink are independent of these layers: they produce plans. */

#include "explore/explore.h"
#include "sim/world.h"
#include "replication/inspection.h"

#define NODES_MAX 24 /* machines in one run at most */
#define DISKS_MAX 96 /* disks in one run at most, wiped ones included */
/* Required recovery time, in ms: after a burst of failures, a change must be committed within about 12 s. */
#define LIVENESS_LIMIT_MS 12000
/* Time after the failures within which the configured number of voters must be present, if there are enough disks,
 * in ms. */
#define VOTERS_COMPLETE_LIMIT_MS 30000

/* An entry of the history or of a disk's log. */
typedef struct Item {
    uint64_t term;
    uint64_t hash;       /* of the term, the kind of change and the payload */
    uint64_t state_hash; /* state hash after the entry; set in the history only */
    uint64_t number;     /* number of the client's change; 0: an entry of the replicated log itself */
    uint64_t *voters;    /* the configuration of voters in the entry; null: none */
    size_t voter_count;
} Item;

typedef struct Items {
    Item *list;
    size_t count, capacity;
} Items;

/* The contents of a disk, read from the synced blocks of its journal.
 *
 * Invariant: entry i (counted from 0) has index base_index + 1 + i. */
typedef struct DiskModel {
    int machine;
    bool lost;                      /* the disk was wiped, or its machine is permanently removed */
    uint64_t disk, cluster;         /* id of the disk and of its cluster; 0: not yet known */
    uint64_t promised;              /* highest term that the disk has promised */
    uint64_t base_index, base_term; /* last entry covered by the snapshot; 0: no snapshot */
    Items entries;
} DiskModel;

/* All committed entries, and the newest committed configuration of voters.
 *
 * Invariant: the entry of index i is list[i - 1]. */
typedef struct History {
    Items items;
    uint64_t list_index; /* index of the entry that holds the voters */
    uint64_t voters[REPLICATION_VOTERS_MAX];
    size_t voter_count;
} History;

/* A change submitted by a client, and its outcome. */
typedef struct ClientChange {
    bool refused, acknowledged;
    uint64_t index; /* index at which the change was committed; 0: not committed */
} ClientChange;

/* The replicated state: a hash over all delivered changes. */
typedef struct StateHash {
    uint64_t hash;
} StateHash;

/* A machine, its disk and its current process. */
typedef struct Node {
    struct Explore *explore;
    int machine;
    const char *name, *listen;
    Recorder *recorder;
    bool may_found;     /* the node's first start may found the cluster */
    bool leaving, gone; /* shutting down gracefully; permanently removed */
    DiskModel *model;   /* model of its disk; null: nothing has been synced to the disk yet */
    /* State of the current process; reset at each start. */
    bool up;              /* the process has booted and its disk is open */
    uint64_t start_count; /* number of process starts */
    Rpc *rpc;
    Replication *replication;
    Members *members;
    StateHash state_hash;
    /* Values that the checks saw in the previous step; terms in which the node last won the lease and last led;
     * index of the configuration of voters that was last checked on a leader. */
    uint64_t promised_seen, commit_seen, last_lease_term, last_led_term, voters_index_seen;
    size_t voter_count_before;    /* number of voters in the configuration in force after the previous step */
    uint64_t voters_index_before; /* index of that configuration */
    /* Phase after the previous step. */
    ReplicationPhase phase_before;
} Node;

/* The disk that led in a term. */
typedef struct TermLeader {
    uint64_t term, disk;
} TermLeader;

/* The state of a run. */
typedef struct Explore {
    const ExplorePlan *plan;
    ExploreResult *result;
    SimWorld *world;
    bool verbose;                    /* prints what happens */
    int64_t start_ms;                /* time at which the adversary started */
    bool adversary_over;             /* the adversary has ended: acts that still wait for a moment are not performed */
    struct MomentWait *moment_waits; /* calls that wait for a moment, newest first */
    Node nodes[NODES_MAX];
    int node_count;
    DiskModel *disks[DISKS_MAX];
    size_t disk_count;
    History history;
    uint64_t cluster;             /* id of the cluster that was founded first; 0: none yet */
    ClientChange *client_changes; /* indexed by the change's number - 1 */
    size_t client_change_count, client_change_capacity;
    uint64_t *acks; /* numbers of the changes acknowledged in this step */
    size_t ack_count, ack_capacity;
    TermLeader *term_leaders;
    size_t term_leader_count, term_leader_capacity;
    bool lost_seen;         /* pace plans only: a disk has been lost */
    uint64_t acked_at_loss; /* pace plans only: changes acknowledged before the last loss */
} Explore;

#endif
