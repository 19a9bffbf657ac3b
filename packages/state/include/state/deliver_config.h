#ifndef STATE_DELIVER_CONFIG_H
#define STATE_DELIVER_CONFIG_H

/* Applies a change of the operators' configuration. The state table uses it for log entries, and the configuration
 * watch (routing/config_watch.h) for the versions that it holds for repair. */

#include "state/table.h"

/* Adds a version or refuses it. Of two calls based on the same version, the one delivered first wins, and the other
 * gets STATUS_STALE_VERSION. A call whose digest is known, and a restored version that is not newer than the current
 * one, change nothing and get STATUS_OK. result->number is the version that the call set, or else the current one. */
void deliver_config(Versions *versions, const ConfigSet *set, ChangeResult *result);

#endif
