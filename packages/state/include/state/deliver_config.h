#ifndef STATE_DELIVER_CONFIG_H
#define STATE_DELIVER_CONFIG_H

#include "state/table.h"

/* Two calls that build on one version: the one delivered first wins. The result's
 * number is the version that the call brought, or else the current one. */
void deliver_config(Versions *versions, const ConfigSet *set, ChangeResult *result);

#endif
