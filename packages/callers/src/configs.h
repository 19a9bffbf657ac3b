#ifndef CALLERS_SRC_CONFIGS_H
#define CALLERS_SRC_CONFIGS_H

#include "request.h"

/* Routes of /v1/config. All but the history wait. */
void config_get(CallerRequest *request);
void config_history(CallerRequest *request);
void config_put(CallerRequest *request);
void config_patched(CallerRequest *request);

#endif
