#ifndef EXPLORE_SRC_STATE_H
#define EXPLORE_SRC_STATE_H

/* The state of one run, shared by all files of this package. Layers, each calling only those before it: report (breaks
 * and output), items and moment (steps that acts wait for); disks (what disks hold); nodes; history (what is committed)
 * and client; check (the rules) and act (the adversary); run. draw and shrink stand apart: they make plans. */

#include "explore/explore.h"
#include "sim/world.h"
#include "replication/inspection.h"

#define NODES_MAX 24   /* count; machines in one run */
#define DISKS_MAX 96   /* count; disks that ever existed, wiped ones included */
#define LIVE_MS 12000  /* ms; after a burst of failures service must be back within about 12 s */
#define WHOLE_MS 30000 /* ms; ... and as many voters as are wanted, where there are disks for them */

/* One change of the history, or an entry of a disk. */
typedef struct Item {
    uint64_t term;
    uint64_t hash;
    uint64_t chain;   /* of the state after it; history only */
    uint64_t number;  /* of a client's change; 0: the replicated log's own entry */
    uint64_t *voters; /* the configuration of voters that it holds; null: none */
    size_t voter_count;
} Item;

typedef struct Items {
    Item *list;
    size_t count, capacity;
} Items;

/* What a disk holds, read from the blocks that were synced.
 * Invariant: entry i (from 0) has index base_index + 1 + i. */
typedef struct DiskModel {
    int machine;
    bool lost; /* wiped, or its machine is gone for good */
    uint64_t disk, cluster;
    uint64_t promised;
    uint64_t base_index, base_term;
    Items entries;
} DiskModel;

/* All that has been committed, and the newest committed configuration of voters.
 * Invariant: the item of index i is list[i - 1]. */
typedef struct History {
    Items items;
    uint64_t list_index;
    uint64_t voters[REPLICATION_VOTERS_MAX];
    size_t voter_count;
} History;

/* A client's change and what became of it. */
typedef struct Order {
    bool refused, acknowledged;
    uint64_t index; /* where it was committed; 0: it was not */
} Order;

/* The replicated state: a hash over all changes. */
typedef struct Chain {
    uint64_t hash;
} Chain;

/* A machine with its process. */
typedef struct Node {
    struct Explore *explore;
    int machine;
    const char *name, *listen;
    Recorder *recorder;
    bool founds; /* its first start may found the cluster */
    bool leaving, gone;
    DiskModel *model; /* of its disk; null: the disk is new */
    /* of its present process */
    bool up;
    uint64_t life;
    Rpc *rpc;
    Replication *replication;
    Members *members;
    Chain chain;
    uint64_t promised_seen, commit_seen, held_term, led_term, list_seen;
    size_t voters_before; /* in the configuration in force after the previous step */
    uint64_t list_before; /* its index */
    ReplicationPhase phase_before;
} Node;

/* Who has led in which term. */
typedef struct Lead {
    uint64_t term, disk;
} Lead;

typedef struct Explore {
    const ExplorePlan *plan;
    ExploreResult *result;
    SimWorld *world;
    bool loud;
    int64_t start_ms;          /* when the adversary began */
    bool adversary_over;       /* what still waits for a moment is done no more */
    struct Awaiting *awaiting; /* what waits for a moment */
    Node nodes[NODES_MAX];
    int node_count;
    DiskModel *disks[DISKS_MAX];
    size_t disk_count;
    History history;
    uint64_t cluster;
    Order *orders; /* by number - 1 */
    size_t order_count, order_capacity;
    uint64_t *acks; /* numbers acknowledged in this step */
    size_t ack_count, ack_capacity;
    Lead *leads;
    size_t lead_count, lead_capacity;
    bool lost_seen; /* pace: a disk has been lost */
    uint64_t acked_at_loss;
} Explore;

#endif
