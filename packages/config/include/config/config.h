#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

/* The operators' configuration (not the voters' list, replication/messages.h): cells with their tenants and queues,
 * kinds of workers, policies, limits. The leader reads each version (packages/controller), checks
 * what operators send by it, and plans by it. docs/api.md describes the document. Nothing
 * here waits. */

#include <glib.h>

#include "config/check.h"
#include "policy/lua.h"
#include "state/change.h"

typedef struct ConfigTenant {
    const char *name;
    Resources quota;       /* of all its tasks on workers; a component of 0 is without bound */
    uint64_t weight_milli; /* thousandths; its share when capacity is short, relative to other tenants' */
    bool keyed;            /* it has a list of keys, which may be empty: its jobs are shown to its own callers only */
    size_t key_count;
    const char *note; /* the operator's; not interpreted */
} ConfigTenant;

/* What is not given is 0 or empty. */
typedef struct ConfigQueue {
    const char *name;
    int64_t priority;
    const char *kind;          /* of worker that serves it; empty: any */
    uint64_t attempts;         /* failed attempts that fail a task */
    uint64_t stretch_milli;    /* thousandths; latency target: stretch x longest chain of work ... */
    int64_t target_ms;         /* ms; ... + this */
    int64_t timeout_ms;        /* ms; deadline of a request there */
    const char *host, *prefix; /* its entry; empty: none. The host in lower case */
    const char *tenant;        /* who submits there; empty: the cell's first one */
    bool is_public;            /* calls there need no key */
    const char *note;          /* the operator's; not interpreted */
} ConfigQueue;

typedef struct ConfigKeys ConfigKeys;

typedef struct ConfigCell {
    const char *name;
    uint64_t share;     /* its weight when capacity is short */
    uint64_t limit;     /* count; waiting tasks beyond which jobs are refused (503) */
    const char *policy; /* empty: the built-in one */
    bool strict;        /* work that no present worker suits is refused; else it waits for one */
    bool keyed;         /* calls of its queues need a tenant's key, except of public ones */
    size_t tenant_count, queue_count;
    const ConfigTenant *tenants;
    GHashTable *tenant_names; /* to ConfigTenant */
    const ConfigKeys *keys;   /* of all its tenants */
    const ConfigQueue *const *queues;
    GHashTable *queue_names; /* to ConfigQueue */
} ConfigCell;

/* A kind of worker that queues name. */
typedef struct ConfigKind {
    const char *name;
    bool guards; /* its workers themselves reject what does not fit */
    const char *health_path;
    const char *note; /* the operator's; not interpreted */
} ConfigKind;

/* Where a request's host and path lead. */
typedef struct ConfigPlace {
    const ConfigCell *cell;
    const ConfigQueue *queue;
    const char *tenant;   /* the queue's own, else the cell's first; empty: the cell has none */
    size_t prefix_length; /* bytes */
} ConfigPlace;

typedef struct ConfigEntries ConfigEntries;

typedef struct ConfigPolicy {
    const char *name;
    LuaPolicy *lua;
} ConfigPolicy;

/* One version of the operators' document, read and checked. Immutable; the next one is
 * swapped in as a whole, and shares with it the parts that are the same. */
typedef struct Config {
    uint64_t version;
    json_object *tree; /* the document; the Config has a use of it */
    uint64_t r;        /* count; worker losses that every plan must survive */
    bool r_named;      /* the document names r: starts that break the plan are delayed (ASSURE_WAIT_MS) */
    bool zone_loss;    /* plans must also survive the loss of any one zone */
    bool rack_loss;    /* ... and of any one rack */
    size_t cell_count, policy_count, kind_count;
    const ConfigCell *cells;
    const ConfigPolicy *const *policies;
    const ConfigKind *kinds;
    ConfigLimits limits;
    const char *note;       /* the operator's; not interpreted */
    GHashTable *cell_names; /* to ConfigCell */
    GHashTable *kind_names; /* to ConfigKind */
    const ConfigEntries *entries;
} Config;

/* The document in force until an operator sends one. */
const char *config_first_text(void);
/* Reads and checks a text of count bytes as that version. Null, and faults, when anything is
 * wrong. Owned by mem. */
const Config *config_read(void *mem, const char *text, size_t count, uint64_t version, Faults *faults);
/* As config_read, from a tree, of which it takes a use of its own. earlier (may be null): its
 * queues and policies that were read from the same values, by pointer, are shared and not
 * read again; it may be freed at any time. */
const Config *config_build(void *mem, json_object *tree, uint64_t version, const Config *earlier, Faults *faults);
/* The text, on mem, with a merge patch (RFC 7396) of patch_count bytes applied. The text must have
 * been checked; null, and a fault, when the patch is no JSON object. */
const char *config_patch(void *mem, const char *text, const char *patch, size_t patch_count, Faults *faults);

/* Each by its name; null: there is none. */
const ConfigCell *config_cell(const Config *config, const char *name);
const ConfigTenant *config_tenant(const ConfigCell *cell, const char *name);
/* The tenant that has the key of this digest (key.h); null: none of the cell has, or digest is empty. */
const ConfigTenant *config_tenant_of_key(const ConfigCell *cell, Bytes digest);
const ConfigQueue *config_queue(const ConfigCell *cell, const char *name);
const ConfigKind *config_kind(const Config *config, const char *name);
const ConfigPolicy *config_policy(const Config *config, const char *name);
/* The queue whose host is the one named (in any case, a port is ignored) and
 * whose prefix is the longest that starts the path; null: none. */
const ConfigPlace *config_entry(const Config *config, const char *host, const char *path);

#endif
