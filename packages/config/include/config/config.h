#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include "config/check.h"

typedef struct ConfigTenant {
    const char *name;
    Room quota; /* of all its tasks on workers; a part of 0 is without bound */
} ConfigTenant;

typedef struct ConfigQueue {
    const char *name;
    int64_t priority;
} ConfigQueue;

typedef struct ConfigCell {
    const char *name;
    uint64_t share; /* its weight when room is short */
    uint64_t limit; /* waiting tasks before a job is told to come back */
    const char *policy; /* empty: the built-in one */
    size_t tenantCount, queueCount;
    const ConfigTenant *tenants;
    const ConfigQueue *queues;
} ConfigCell;

typedef struct ConfigPolicy {
    const char *name;
    const char *text; /* Lua */
} ConfigPolicy;

/* One revision of the operators' document, read and checked. Immutable; the
 * next one is swapped in whole. */
typedef struct Config {
    uint64_t revision;
    uint64_t r;      /* worker losses that every plan must survive */
    bool zoneLoss;   /* ... and the loss of any one zone */
    bool rackLoss;   /* ... and the loss of any one rack */
    size_t cellCount, policyCount;
    const ConfigCell *cells;
    const ConfigPolicy *policies;
} Config;

/* The document in force until an operator sends one. */
const char *configFirstText(void);
/* Null when there are faults. On mem. */
const Config *configRead(void *mem, const char *text, size_t count, uint64_t revision, Faults *faults);
/* An RFC 7396 merge patch upon a text; null and a fault when either is no JSON object. */
const char *configPatch(void *mem, const char *text, const char *patch, size_t patchCount, Faults *faults);

const ConfigCell *configCell(const Config *config, const char *name);
const ConfigTenant *configTenant(const ConfigCell *cell, const char *name);
const ConfigQueue *configQueue(const ConfigCell *cell, const char *name);
const ConfigPolicy *configPolicy(const Config *config, const char *name);

#endif
