#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <glib.h>

#include "config/check.h"
#include "policy/lua.h"
#include "state/change.h"

typedef struct ConfigTenant {
    const char *name;
    Room quota; /* of all its tasks on workers; a part of 0 is without bound */
} ConfigTenant;

/* What is not given is 0 or empty. */
typedef struct ConfigQueue {
    const char *name;
    int64_t priority;
    const char *kind;          /* of worker that serves it; empty: any */
    uint64_t attempts;         /* failed attempts that fail a task */
    uint64_t stretch_milli;    /* a job's target: stretch x its longest chain of work ... */
    int64_t target_ms;         /* ... + this */
    int64_t timeout_ms;        /* a request there is given up after this */
    const char *host, *prefix; /* its entry; empty: none. The host in small letters */
    const char *tenant;        /* who hands in there; empty: the cell's first one */
    const char *note;          /* the operator's, not read */
} ConfigQueue;

typedef struct ConfigCell {
    const char *name;
    uint64_t share;     /* its weight when room is short */
    uint64_t limit;     /* waiting tasks before a job is told to come back */
    const char *policy; /* empty: the built-in one */
    bool strict;        /* work that no present worker suits is refused; else it waits for one */
    size_t tenant_count, queue_count;
    const ConfigTenant *tenants;
    const ConfigQueue *const *queues;
    GHashTable *queue_names; /* to ConfigQueue */
} ConfigCell;

/* A kind of worker that queues name. */
typedef struct ConfigKind {
    const char *name;
    bool guards; /* its workers turn away what does not fit */
    const char *health_path;
    const char *note; /* the operator's, not read */
} ConfigKind;

/* Where a request's host and path lead. */
typedef struct ConfigPlace {
    const ConfigCell *cell;
    const ConfigQueue *queue;
    const char *tenant; /* the queue's own, else the cell's first; empty: the cell has none */
    size_t prefix_length;
} ConfigPlace;

typedef struct ConfigEntries ConfigEntries;

typedef struct ConfigPolicy {
    const char *name;
    LuaPolicy *lua;
} ConfigPolicy;

/* One version of the operators' document, read and checked. Immutable; the
 * next one is swapped in whole, and shares with it what both say alike. */
typedef struct Config {
    uint64_t version;
    json_object *tree; /* the document; the Config's own */
    uint64_t r;        /* worker losses that every plan must survive */
    bool r_named;      /* the document names r: starts that break the plan are held back a while */
    bool zone_loss;    /* ... and the loss of any one zone */
    bool rack_loss;    /* ... and the loss of any one rack */
    size_t cell_count, policy_count, kind_count;
    const ConfigCell *cells;
    const ConfigPolicy *const *policies;
    const ConfigKind *kinds;
    ConfigLimits limits;
    const char *note;       /* the operator's, not read */
    GHashTable *cell_names; /* to ConfigCell */
    GHashTable *kind_names; /* to ConfigKind */
    const ConfigEntries *entries;
} Config;

/* The document in force until an operator sends one. */
const char *config_first_text(void);
/* Null when there are faults. On mem. */
const Config *config_read(void *mem, const char *text, size_t count, uint64_t version, Faults *faults);
/* As config_read, of a tree; earlier (may be null): what stands in its tree too,
 * by pointer, is taken from there and not read again. */
const Config *config_build(void *mem, json_object *tree, uint64_t version, const Config *earlier, Faults *faults);
/* An RFC 7396 merge patch upon a text; null and a fault when either is no JSON object. */
const char *config_patch(void *mem, const char *text, const char *patch, size_t patch_count, Faults *faults);

const ConfigCell *config_cell(const Config *config, const char *name);
const ConfigTenant *config_tenant(const ConfigCell *cell, const char *name);
const ConfigQueue *config_queue(const ConfigCell *cell, const char *name);
const ConfigKind *config_kind(const Config *config, const char *name);
/* The queue whose host is the one named (in any case, a port is left out) and
 * whose prefix is the longest that starts the path; null: none. */
const ConfigPlace *config_entry(const Config *config, const char *host, const char *path);
const ConfigPolicy *config_policy(const Config *config, const char *name);

#endif
