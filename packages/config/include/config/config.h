#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

/* The operators' configuration: cells with their tenants and queues, kinds of workers, policies and limits. (The list
 * of voters is separate, see replication/messages.h.) The leader reads each version, which also checks what operators
 * send, and plans according to it. docs/api.md describes the document. No function here suspends the coroutine. */

#include <glib.h>

#include "config/check.h"
#include "policy/lua.h"
#include "state/change.h"

/* A tenant of a cell. */
typedef struct ConfigTenant {
    const char *name;
    Resources quota;       /* limit on all its tasks on workers; a component of 0 is unlimited */
    uint64_t weight_milli; /* weight relative to other tenants when capacity is scarce, in thousandths */
    bool keyed;            /* has a list of keys, possibly empty: only its own callers can see its jobs */
    size_t key_count;
    const char *note; /* operator's note; not interpreted */
} ConfigTenant;

/* A queue of a cell. Values that the document does not give are 0 or empty. */
typedef struct ConfigQueue {
    const char *name;
    int64_t priority;
    const char *kind;          /* kind of worker that serves it; empty: any */
    uint64_t attempts;         /* number of failed attempts after which a task fails */
    uint64_t stretch_milli;    /* latency target = stretch x critical path + target_ms; stretch in thousandths */
    int64_t target_ms;         /* constant part of the latency target, in ms */
    int64_t timeout_ms;        /* deadline of a request to the queue, in ms */
    const char *host, *prefix; /* route of requests to the queue, the host in lower case; empty: none */
    const char *tenant;        /* tenant of its jobs; empty: the first one of the cell */
    bool is_public;            /* requests need no key */
    const char *note;          /* operator's note; not interpreted */
} ConfigQueue;

typedef struct ConfigKeys ConfigKeys;

/* A cell: a group of tenants and queues that shares the capacity with other cells by weight. */
typedef struct ConfigCell {
    const char *name;
    uint64_t share;     /* weight relative to other cells when capacity is scarce */
    uint64_t limit;     /* maximum number of waiting tasks; beyond it jobs are refused (503) */
    const char *policy; /* empty: the built-in one */
    bool strict;        /* work that fits no present worker is refused; otherwise it waits for one */
    bool keyed;         /* requests to its queues need a tenant's key, except to public ones */
    size_t tenant_count, queue_count;
    const ConfigTenant *tenants;
    GHashTable *tenant_names; /* name to ConfigTenant */
    const ConfigKeys *keys;   /* keys of all its tenants */
    const ConfigQueue *const *queues;
    GHashTable *queue_names; /* name to ConfigQueue */
} ConfigCell;

/* A kind of worker to which queues refer. */
typedef struct ConfigKind {
    const char *name;
    bool guards; /* its workers themselves refuse work that does not fit */
    const char *health_path;
    const char *note; /* operator's note; not interpreted */
} ConfigKind;

/* The route of a request: where its host and path lead. */
typedef struct ConfigRoute {
    const ConfigCell *cell;
    const ConfigQueue *queue;
    const char *tenant;   /* tenant of the queue, else the first of the cell; empty: the cell has none */
    size_t prefix_length; /* in bytes */
} ConfigRoute;

typedef struct ConfigRoutes ConfigRoutes;

typedef struct ConfigPolicy {
    const char *name;
    LuaPolicy *lua;
} ConfigPolicy;

/* One version of the operators' document, read and checked. Immutable: the next version replaces all of it and
 * shares its unchanged parts. */
typedef struct Config {
    uint64_t version;
    json_object *tree; /* the document; the Config owns a reference */
    uint64_t r;        /* number of worker losses that every plan must survive */
    bool r_given;      /* the document sets r: starts that would break the plan are delayed (PROTECTED_START_WAIT_MS) */
    bool zone_loss;    /* plans must also survive the loss of any one zone */
    bool rack_loss;    /* plans must also survive the loss of any one rack */
    size_t cell_count, policy_count, kind_count;
    const ConfigCell *cells;
    const ConfigPolicy *const *policies;
    const ConfigKind *kinds;
    ConfigLimits limits;
    const char *note;       /* operator's note; not interpreted */
    GHashTable *cell_names; /* name to ConfigCell */
    GHashTable *kind_names; /* name to ConfigKind */
    const ConfigRoutes *routes;
} Config;

/* Returns the document that is in force until an operator sends one. */
const char *config_default_text(void);
/* Reads and checks a text of count bytes as this version. Returns null, and records faults, when it is not valid. Owned
 * by mem. */
const Config *config_read(void *mem, const char *text, size_t count, uint64_t version, Faults *faults);
/* Same as config_read, from a tree, of which the result owns a reference. Queues and policies of earlier (may be null)
 * that were read from the same JSON values, compared by pointer, are shared and not read again. earlier may be freed at
 * any time. */
const Config *config_build(void *mem, json_object *tree, uint64_t version, const Config *earlier, Faults *faults);
/* Applies a merge patch (RFC 7396) of patch_count bytes to a text and returns the result, owned by mem. The text must
 * have been checked. Returns null, and records a fault, when the patch is not a JSON object. */
const char *config_patched_text(void *mem, const char *text, const char *patch, size_t patch_count, Faults *faults);

/* Look up by name; null: there is none. */
const ConfigCell *config_cell(const Config *config, const char *name);
const ConfigTenant *config_tenant(const ConfigCell *cell, const char *name);
/* Returns the tenant of the cell whose key has this digest (key.h); null when there is none or digest is empty. */
const ConfigTenant *config_tenant_of_key(const ConfigCell *cell, Bytes digest);
const ConfigQueue *config_queue(const ConfigCell *cell, const char *name);
const ConfigKind *config_kind(const Config *config, const char *name);
const ConfigPolicy *config_policy(const Config *config, const char *name);
/* Returns the route with this host (case-insensitive, without its port) and the longest prefix of the path; null:
 * none. */
const ConfigRoute *config_find_route(const Config *config, const char *host, const char *path);

#endif
