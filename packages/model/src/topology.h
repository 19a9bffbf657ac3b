#ifndef MODEL_SRC_TOPOLOGY_H
#define MODEL_SRC_TOPOLOGY_H

#include "adapter/adapter.h"
#include "model/random_source.h"
#include "model/rules.h"
#include "model/codec.h"
#include "sim/checker.h"
#include "sim/world.h"

#define EDGES_MAX 32
#define SIDES_MAX 40

/* A machine of the system with its one process.
 * Invariant: fault_ms is when its last trouble ended or happened, INT64_MAX while one lasts. */
typedef struct TopologyNode {
    struct Topology *topology;
    char name[24];
    const char *zone;
    int machine;
    bool side, disk, counted;
    bool used; /* a spare is not before it is started */
    bool gone; /* taken away for good */
    bool up, leaving;
    uint64_t life;
    int64_t fault_ms;
    int faults; /* that last now */
    AdapterPlace place;
    AdapterNode node;
    Recorder *recorder;
    void *mem;            /* of the process that runs */
    uint64_t saw_version; /* the newest document whose effect it has shown in this life */
    int64_t saw_ms;
} TopologyNode;

/* All machines of a site in one world, and what is known of their health. */
typedef struct Topology {
    SimWorld *world;
    const Site *site;
    const Codec *codec;
    const Adapter *adapter;
    Rules *rules;
    Checker *checker; /* of leaders alone */
    uint64_t seed;
    char folder[32];  /* settings files */
    int64_t began_ms; /* traffic begins */
    TopologyNode edges[EDGES_MAX], sides[SIDES_MAX];
    size_t edge_count, side_count;
    int64_t controller_ms; /* last trouble of the controller, as fault_ms */
    int controller_faults;
    int any_faults;
    int64_t any_ms; /* of any machine or worker, beyond what is planned */
    bool loud;
    const char *job; /* what happens to it is told */
} Topology;

Topology *topology_new(void *mem, const Site *site, const Codec *codec, uint64_t seed, Rules *rules);
/* Starts all machines but the spares. */
void topology_start(Topology *topology);
int64_t topology_now_ms(const Topology *topology);
/* Since traffic began. */
int64_t topology_day_ms(const Topology *topology);
void topology_say(const Topology *topology, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* What happens to a task, when its job is the one that is looked at. */
void topology_tell(const Topology *topology, const TaskName *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* The log rings of all machines, when it is loud. */
void topology_dump(const Topology *topology);

void node_start(TopologyNode *node);
void node_kill(TopologyNode *node, bool power);
/* A polite stop, by force after grace; then it is started again. */
void node_roll(TopologyNode *node);
void node_cut(TopologyNode *node, bool cut);
void node_freeze(TopologyNode *node, int64_t for_ms);
/* A trouble that lasts begins or ends; or one happens. */
void node_fault(TopologyNode *node, int change);
/* The ways between two machines of the system. */
void topology_cut(TopologyNode *a, TopologyNode *b, bool cut);

/* Health, as the rules reckon it. */
bool topology_settled(const Topology *topology);
bool node_in_touch(const TopologyNode *node);
/* Nothing but planned work has happened anywhere for contact_ms. */
bool topology_calm(const Topology *topology);
TopologyNode *topology_leader(Topology *topology);

#endif
