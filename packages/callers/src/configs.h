#ifndef CALLERS_SRC_CONFIGS_H
#define CALLERS_SRC_CONFIGS_H

#include "request.h"

/* Routes of /v1/config. All but the history wait. */
void config_get(Way *way);
void config_history(Way *way);
void config_put(Way *way);
void config_patched(Way *way);

#endif
