#ifndef STATE_DELIVER_CONFIG_H
#define STATE_DELIVER_CONFIG_H

/* Delivering a change of the operators' configuration. Used by the state table for entries of the log, and by the
 * configuration watch (routing/config_watch.h) for the versions that it keeps for repair. */

#include "state/table.h"

/* Adds a version, or refuses it. Of two calls that build on one version the one delivered
 * first wins; the other gets STATUS_STALE_VERSION. A call known by its digest, and a
 * restored one that is not newer, change nothing and are OK. result->number: the version
 * that the call set, or else the current one. */
void deliver_config(Versions *versions, const ConfigSet *set, ChangeResult *result);

#endif
