#ifndef MODEL_SRC_TOPOLOGY_H
#define MODEL_SRC_TOPOLOGY_H

/* The machines that the product runs on in a modelled deployment. */

#include "adapter/adapter.h"
#include "model/random_source.h"
#include "model/rules.h"
#include "model/codec.h"
#include "sim/checker.h"
#include "sim/world.h"

#define SERVERS_MAX 32
#define SIDES_MAX 40

/* A machine of the product with its one process. Invariant: fault_ms is when its last fault ended or happened,
 * INT64_MAX while one lasts. */
typedef struct TopologyNode {
    struct Topology *topology;
    char name[24];
    const char *zone;
    int machine;
    bool side, disk, counted;
    bool used; /* false: a spare that has not been started */
    bool gone; /* gone for good */
    bool up, leaving;
    uint64_t life;
    int64_t fault_ms;
    int faults; /* faults that last now */
    AdapterSettings place;
    AdapterNode node;
    Recorder *recorder;
    void *mem;            /* of the process that runs */
    uint64_t saw_version; /* the newest document whose effect this process has shown */
    int64_t saw_ms;
} TopologyNode;

/* All machines of a site in one world, and what is known of their health. */
typedef struct Topology {
    SimWorld *world;
    const Site *site;
    const Codec *codec;
    const Adapter *adapter;
    Rules *rules;
    Checker *checker; /* checks leaders only */
    uint64_t seed;
    char folder[32];  /* settings files */
    int64_t began_ms; /* traffic begins */
    TopologyNode servers[SERVERS_MAX], sides[SIDES_MAX];
    size_t server_count, side_count;
    int64_t controller_ms; /* last fault of any controller, as fault_ms */
    int controller_faults;
    int any_faults;
    int64_t any_ms; /* of any machine or worker, beyond what is planned */
    bool loud;
    const char *job; /* the job to follow; null: none */
} Topology;

/* --- topology.c --- */
/* All machines and their checker, on mem; nothing runs yet. */
Topology *topology_new(void *mem, const Site *site, const Codec *codec, uint64_t seed, Rules *rules);
/* Starts all machines but the spares; traffic begins after the site's lead_ms. */
void topology_start(Topology *topology);
/* Prints the flight recorders of all machines, when the day is loud. */
void topology_dump(const Topology *topology);

/* Starts an empty process on a machine of the model's own, for callers and the like: its tasks are spawned later. */
void topology_host(const Topology *topology, int machine);

/* --- topology_log.c --- */
int64_t topology_now_ms(const Topology *topology);
/* Since traffic began; negative before. */
int64_t topology_day_ms(const Topology *topology);
/* Prints a line with its time, when the day is loud. */
void topology_say(const Topology *topology, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Prints what happens to a task, when its job is the one to follow. */
void topology_log(const Topology *topology, const TaskName *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* --- topology_node.c: a machine's process --- */
/* No effect while one runs. */
void node_start(TopologyNode *node);
/* power: the machine loses power, so that what its disk has not synced is lost. */
void node_kill(TopologyNode *node, bool power);
/* A graceful shutdown, by force after the site's grace_ms; then it is started again. */
void node_roll(TopologyNode *node);

/* --- topology_health.c --- */
/* Cuts a machine off from all others, or joins it to them again. */
void node_cut(TopologyNode *node, bool cut);
/* Cuts or joins the link between two machines. */
void topology_cut(TopologyNode *a, TopologyNode *b, bool cut);
/* Its process stands still for this long. */
void node_freeze(TopologyNode *node, int64_t for_ms);
/* A fault of the machine that lasts begins (1) or ends (-1), or one happens (0). */
void node_fault(TopologyNode *node, int change);
/* Most controllers run, and no controller has had a fault for contact_ms. */
bool topology_settled(const Topology *topology);
/* The same of this machine, and topology_settled. */
bool node_in_touch(const TopologyNode *node);
/* Nothing but planned work has happened anywhere for contact_ms. */
bool topology_calm(const Topology *topology);
/* The controller that leads; null: none that runs. */
TopologyNode *topology_leader(Topology *topology);

#endif
