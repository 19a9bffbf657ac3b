#ifndef MODEL_SRC_TOPOLOGY_H
#define MODEL_SRC_TOPOLOGY_H

/* The machines of a modelled deployment that run the product. */

#include "adapter/adapter.h"
#include "model/model.h"
#include "model/random_source.h"
#include "sim/checker.h"
#include "sim/world.h"

#define SERVERS_MAX 32 /* maximum number of controllers, spares and entry points together */
#define AGENTS_MAX 40  /* maximum number of agents, and of workers */

/* A machine of the product with its one process.
 *
 * Invariant: fault_ms is the time at which its last fault ended or occurred, INT64_MAX while one lasts. */
typedef struct TopologyNode {
    struct Topology *topology;
    char name[24];
    const char *zone;
    int machine;
    bool is_agent, disk;  /* an agent; a controller */
    bool used;            /* false: a spare machine that has not been started */
    bool gone;            /* permanently removed */
    bool up, leaving;     /* the process has started; it is shutting down gracefully */
    uint64_t incarnation; /* number of its current process */
    int64_t fault_ms;
    int faults;            /* number of lasting faults */
    AdapterSettings place; /* settings as the adapter reads them */
    AdapterNode node;
    Recorder *recorder;
    void *mem;              /* of the running process */
    uint64_t shown_version; /* newest document whose effect the process has shown */
    int64_t shown_version_ms;
} TopologyNode;

/* All machines of a site in one world, and the state of their health. */
typedef struct Topology {
    SimWorld *world;
    const Site *site;
    const Codec *codec;
    const Adapter *adapter;
    Rules *rules;
    Checker *checker; /* checks only that there are not two leaders */
    uint64_t seed;
    char folder[32];          /* for settings files */
    int64_t traffic_start_ms; /* time at which traffic starts */
    TopologyNode servers[SERVERS_MAX], agents[AGENTS_MAX];
    size_t server_count, agent_count;
    int64_t controller_fault_ms; /* last fault of any controller, like fault_ms */
    int controller_faults;       /* number of lasting faults of controllers */
    int fault_count_all;         /* number of lasting faults */
    int64_t any_fault_ms;        /* last unplanned fault of any machine or worker, like fault_ms */
    Loop *link;                  /* of the process that delivers late calls; null: the site has none */
    size_t bounds[BOUND_COUNT];
    bool verbose;    /* events of the day are printed */
    const char *job; /* job whose events are printed; null: none */
} Topology;

/* --- topology.c --- */
/* Creates all machines and their checker on mem; no process runs yet. */
Topology *topology_new(void *mem, const Site *site, const Codec *codec, uint64_t seed, Rules *rules);
/* Starts all machines except spares; traffic starts after the site's lead_ms. */
void topology_start(Topology *topology);
/* Prints the flight recorders of all machines in verbose mode. */
void topology_dump(const Topology *topology);

/* Starts an empty process on a machine of the model itself, such as a caller's; its coroutines are spawned later. */
void topology_host(const Topology *topology, int machine);

/* --- topology_log.c --- */
/* The world's clock. */
int64_t topology_now_ms(const Topology *topology);
/* Time since traffic started; negative before. */
int64_t topology_day_ms(const Topology *topology);
/* Prints a line with its time in verbose mode. */
void topology_log(const Topology *topology, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Prints an event of a task if its job is the one whose events are printed. */
void topology_log_task(const Topology *topology, const TaskName *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* --- topology_node.c: a machine's process --- */
/* Starts the process; no effect while it runs. */
void node_start(TopologyNode *node);
/* Kills the process. power: the machine loses power, so that unsynced writes are lost. */
void node_kill(TopologyNode *node, bool power);
/* Restarts the process: a graceful shutdown, forced after the site's grace_ms, then a start. */
void node_roll(TopologyNode *node);

/* --- topology_health.c --- */
/* Cuts a machine off from all others, or reconnects it. */
void node_cut(TopologyNode *node, bool cut);
/* Cuts or restores the link between two machines. */
void topology_cut(TopologyNode *a, TopologyNode *b, bool cut);
/* Suspends the machine's process for this time. */
void node_freeze(TopologyNode *node, int64_t for_ms);
/* Records that a lasting fault of the machine begins (1) or ends (-1), or that a momentary one occurs (0). */
void node_fault(TopologyNode *node, int change);
/* Whether a majority of the controllers runs, and no controller has had a fault for the site's contact_ms. */
bool topology_settled(const Topology *topology);
/* Whether this machine runs and has had no fault for contact_ms, and the topology is settled. */
bool node_in_touch(const TopologyNode *node);
/* Whether there has been no unplanned fault anywhere for contact_ms. */
bool topology_calm(const Topology *topology);
/* Returns the running controller that leads; null: there is none. */
TopologyNode *topology_leader(Topology *topology);

#endif
