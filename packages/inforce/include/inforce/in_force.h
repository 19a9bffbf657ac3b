#ifndef INFORCE_IN_FORCE_H
#define INFORCE_IN_FORCE_H

#include "base/recorder.h"
#include "config/config.h"
#include "policy/policy.h"
#include "state/table.h"

/* The configuration in force: the newest version in the state table, as parsed by this node. It is parsed only when it
 * is requested, and of a newer version only the differences to the previous one are parsed.
 *
 * Used by the controller's scheduler, callers' service and status. No function here suspends the coroutine. Invariant:
 * a configuration is always in force; a version that cannot be parsed leaves the previous one in force, and is recorded
 * once. */
typedef struct InForce InForce;

/* Allocated on mem; loop, recorder and table must outlive it. */
InForce *in_force_new(void *mem, Loop *loop, Recorder *recorder, const Table *table);
/* Returns the configuration in force; never null. Valid until the coroutine is next suspended. */
const Config *in_force_config(InForce *in_force);
/* A number that grows whenever in_force_config returns another configuration. */
uint64_t in_force_generation(const InForce *in_force);
/* The policy of the cell in the configuration that in_force_config last returned; the built-in policy if the cell is
 * null or names none. */
const Policy *in_force_policy(const InForce *in_force, const ConfigCell *cell);
/* Number of failed calls of that configuration's policies. *last is set to the text of the last failure of one of them;
 * "" if there was none. */
uint64_t in_force_policy_failures(const InForce *in_force, const char **last);

/* A configuration that has been checked and is being committed, so that it need not be parsed again once it is in
 * force. Owned by the function that submits it. Invariant: config is null once it is in force. */
typedef struct CheckedConfig {
    struct CheckedConfig *next; /* set by checked_config_add, as loads is */
    ConfigSet set;
    uint64_t loads;       /* table_load_count when the configuration was checked */
    const Config *config; /* ownership passes to in_force_config */
} CheckedConfig;

/* Between these two calls in_force_config uses the checked configuration, once its version is the newest, instead of
 * parsing that version. */
void checked_config_add(InForce *in_force, CheckedConfig *checked);
void checked_config_remove(InForce *in_force, CheckedConfig *checked);

/* Applies the limits of the newest version to this process's HTTP server. Called after each delivered change. */
void in_force_limits_apply(InForce *in_force);

#endif
