#ifndef EXPLORE_SRC_INSIDE_H
#define EXPLORE_SRC_INSIDE_H

#include "explore/explore.h"
#include "sim/world.h"
#include "replication/window.h"

#define NODES_MAX 24   /* count; machines in one run */
#define DISKS_MAX 96   /* count; disks that ever were, wiped ones too */
#define LIVE_MS 12000  /* ms; after a burst of failures service is back within about 12 s */
#define WHOLE_MS 30000 /* ms; ... and as many voters as are wanted, where there are disks for them */

/* One change of the history, or an entry of a disk. */
typedef struct Item {
    uint64_t term;
    uint64_t hash;
    uint64_t chain;   /* of the state after it; history only */
    uint64_t number;  /* of a client's change; 0: the view's own */
    uint64_t *voters; /* null: it holds no list */
    size_t voter_count;
} Item;

typedef struct Items {
    Item *list;
    size_t count, room;
} Items;

/* What a disk holds, read from the blocks that were synced.
 * Invariant: entry i (from 0) has index base_index + 1 + i. */
typedef struct DiskModel {
    int machine;
    bool lost; /* wiped, or its machine has gone for good */
    uint64_t disk, cluster;
    uint64_t promised;
    uint64_t base_index, base_term;
    Items entries;
} DiskModel;

/* What has been committed, once and for all.
 * Invariant: the item of index i is list[i - 1]. */
typedef struct History {
    Items items;
    uint64_t list_index;
    uint64_t voters[REPLICATION_VOTERS_MAX];
    size_t voter_count;
} History;

/* A client's change. */
typedef struct Order {
    bool refused, acknowledged;
    uint64_t index; /* where it was committed; 0: it was not */
} Order;

/* The state that changes build up. */
typedef struct Chain {
    uint64_t hash;
} Chain;

typedef struct Node {
    struct Explore *explore;
    int machine;
    const char *name, *listen;
    Recorder *recorder;
    bool founds; /* its first start may found the cluster */
    bool leaving, gone;
    DiskModel *model; /* null: its disk is new */
    /* of one life */
    bool up;
    uint64_t life;
    Rpc *rpc;
    Replication *replication;
    Members *members;
    Chain chain;
    uint64_t promised_seen, commit_seen, held_term, led_term, list_seen;
    size_t voters_before; /* in the list that was in force after the step before */
    uint64_t list_before; /* its index */
} Node;

typedef struct Lead {
    uint64_t term, disk;
} Lead;

typedef struct Explore {
    const ExplorePlan *plan;
    ExploreResult *result;
    SimWorld *world;
    bool loud;
    int64_t start_ms; /* the adversary's */
    Node nodes[NODES_MAX];
    int node_count;
    DiskModel *disks[DISKS_MAX];
    size_t disk_count;
    History history;
    uint64_t cluster;
    Order *orders; /* by number - 1 */
    size_t order_count, order_room;
    uint64_t *acks; /* numbers acknowledged in this step */
    size_t ack_count, ack_room;
    Lead *leads;
    size_t lead_count, lead_room;
    bool lost_seen; /* pace: a disk has been lost */
    uint64_t acked_at_loss;
} Explore;

/* The first break stands; later ones follow from it. */
void explore_break(Explore *explore, Rule rule, const char *format, ...) __attribute__((format(printf, 3, 4)));
void explore_say(const Explore *explore, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* Items, in order. */
Item *items_add(void *mem, Items *items, const Item *item);
/* What an entry of the log is. */
Item item_of(void *mem, const Record *entry);
uint64_t chain_next(uint64_t chain, const Item *item);

/* Disks. */
void disk_changed(void *explore, int machine, const char *path, Bytes bytes, bool whole);
/* The disk of the machine is gone. */
void disk_lost(Explore *explore, Node *node);
DiskModel *disk_of(const Explore *explore, uint64_t disk);
/* The entry at the index, or null. */
const Item *disk_item(const DiskModel *model, uint64_t index);
/* How many disks ever held the item at the index. */
size_t disk_holders(const Explore *explore, uint64_t index, uint64_t term);

/* Rules. */
void check_step(void *explore);

/* Nodes. */
Node *node_add(Explore *explore);
void node_start(Node *node);
void node_start_later(Node *node, int64_t after_ms);
void node_kill(Node *node, bool power);
void node_wipe(Node *node);
void node_leave(Node *node);
void node_vanish(Node *node);
bool node_leads(const Node *node);
Node *node_leader(Explore *explore);
bool node_votes(const Explore *explore, const Node *node);
/* Whether the disk may be lost now: what is borne bears it. */
bool node_may_lose(const Explore *explore, const Node *node);
/* How many of the voters are there. */
size_t voters_left(const Explore *explore);
/* How many disks there are. */
size_t disks_left(const Explore *explore);
/* Whether a majority of the voters is there. */
bool voters_there(const Explore *explore);

/* Clients. */
void client_start(Explore *explore);
void client_submit(Explore *explore, Node *node);

/* The adversary. */
void act_do(Explore *explore, const Act *act);
/* Ends all that it does; starts everybody that has not gone. */
void acts_end(Explore *explore);

#endif
