#ifndef MODEL_SRC_GROUND_H
#define MODEL_SRC_GROUND_H

#include "face/face.h"
#include "model/dice.h"
#include "model/rules.h"
#include "model/tongue.h"
#include "sim/checker.h"
#include "sim/world.h"

#define EDGES_MAX 32
#define SIDES_MAX 40

/* A machine of the system with its one process.
 * Invariant: trouble_ms is when its last trouble ended or happened, INT64_MAX while one lasts. */
typedef struct GroundNode {
    struct Ground *ground;
    char name[24];
    const char *zone;
    int machine;
    bool side, disk, counted;
    bool used; /* a spare is not before it is started */
    bool gone; /* taken away for good */
    bool up, leaving;
    uint64_t life;
    int64_t trouble_ms;
    int troubles; /* that last now */
    AdapterPlace place;
    AdapterNode node;
    Recorder *recorder;
    void *mem;            /* of the process that runs */
    uint64_t saw_version; /* the newest document whose effect it has shown in this life */
    int64_t saw_ms;
} GroundNode;

/* All machines of a site in one world, and what is known of their health. */
typedef struct Ground {
    SimWorld *world;
    const Site *site;
    const Tongue *tongue;
    const Adapter *adapter;
    Rules *rules;
    Checker *checker; /* of leaders alone */
    uint64_t seed;
    char folder[32];  /* settings files */
    int64_t began_ms; /* traffic begins */
    GroundNode edges[EDGES_MAX], sides[SIDES_MAX];
    size_t edge_count, side_count;
    int64_t controller_ms; /* last trouble of the controller, as trouble_ms */
    int controller_troubles;
    int any_troubles;
    int64_t any_ms; /* of any machine or worker, beyond what is planned */
    bool loud;
    const char *job; /* what happens to it is told */
} Ground;

Ground *ground_new(void *mem, const Site *site, const Tongue *tongue, uint64_t seed, Rules *rules);
/* Starts all machines but the spares. */
void ground_start(Ground *ground);
int64_t ground_now_ms(const Ground *ground);
/* Since traffic began. */
int64_t ground_day_ms(const Ground *ground);
void ground_say(const Ground *ground, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* What happens to a task, when its job is the one that is looked at. */
void ground_tell(const Ground *ground, const TaskName *name, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* The log rings of all machines, when it is loud. */
void ground_dump(const Ground *ground);

void node_start(GroundNode *node);
void node_kill(GroundNode *node, bool power);
/* A polite stop, by force after grace; then it is started again. */
void node_roll(GroundNode *node);
void node_cut(GroundNode *node, bool cut);
void node_freeze(GroundNode *node, int64_t for_ms);
/* A trouble that lasts begins or ends; or one happens. */
void node_trouble(GroundNode *node, int change);
/* The ways between two machines of the system. */
void ground_cut(GroundNode *a, GroundNode *b, bool cut);

/* Health, as the rules reckon it. */
bool ground_settled(const Ground *ground);
bool node_in_touch(const GroundNode *node);
/* Nothing but planned work has happened anywhere for contact_ms. */
bool ground_calm(const Ground *ground);
GroundNode *ground_leader(Ground *ground);

#endif
