#ifndef INFORCE_IN_FORCE_H
#define INFORCE_IN_FORCE_H

#include "base/recorder.h"
#include "config/config.h"
#include "policy/policy.h"
#include "state/table.h"

/* The configuration in force: the newest version in the state table, as this node reads it. It is read only
 * when it is asked for, and of a newer version only what differs from the one before.
 *
 * Used by the controller: its scheduler, its callers, its status. Nothing here waits. Invariant: there is
 * always one; a version that can't be read leaves the one before in force, and is recorded once. */
typedef struct InForce InForce;

/* On mem; the others outlive it. */
InForce *in_force_new(void *mem, Loop *loop, Recorder *recorder, const Table *table);
/* Never null. Valid until the next wait. */
const Config *in_force_config(InForce *in_force);
/* A number that changes with the configuration that in_force_config returns. */
uint64_t in_force_stamp(const InForce *in_force);
/* The policy of the cell (may be null) in the configuration that in_force_config returned last; the built-in
 * one where the cell names none. */
const Policy *in_force_policy(const InForce *in_force, const ConfigCell *cell);
/* How many calls of that configuration's policies have failed; last (out): the text of one of the last failures, ""
 * when there is none. */
uint64_t in_force_policy_failures(const InForce *in_force, const char **last);

/* A configuration that has been checked and is being committed: it is not read again when it is in force.
 * Owned by the caller that has it committed. Invariant: config is null once it is in force. */
typedef struct CheckedConfig {
    struct CheckedConfig *next; /* set by checked_config_add, as is loads */
    ConfigSet set;
    uint64_t loads;       /* of the table, when it was checked */
    const Config *config; /* taken over by in_force_config */
} CheckedConfig;

/* Between these two calls in_force_config takes the checked configuration, once its version is the newest, instead of
 * reading that version. */
void checked_config_add(InForce *in_force, CheckedConfig *checked);
void checked_config_remove(InForce *in_force, CheckedConfig *checked);

/* After each delivered change: keeps this process's callers within the limits of the newest version. */
void in_force_limits_apply(InForce *in_force);

#endif
