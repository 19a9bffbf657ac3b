#ifndef CALLERS_SRC_CONFIGS_H
#define CALLERS_SRC_CONFIGS_H

#include "request.h"

/* Routes of /v1/config. All except config_history may suspend the coroutine. */
void config_get(CallerRequest *request);
void config_history(CallerRequest *request);
void config_put(CallerRequest *request);
void config_apply_patch(CallerRequest *request);

#endif
