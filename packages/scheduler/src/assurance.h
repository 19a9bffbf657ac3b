#ifndef SCHEDULER_SRC_ASSURANCE_H
#define SCHEDULER_SRC_ASSURANCE_H

#include "pass.h"

/* The r-loss plan (after XenServer's HA design): after any r losses, the remaining workers have capacity for all
 * protected tasks that run assured. */

/* Adds the protected tasks that the plan must include to pass->input. */
void pass_assured_tasks_add(Pass *pass);
/* Adds one protected task that the plan must include, on the worker with that index. */
void pass_assured_task_add(Pass *pass, const JobSpec *spec, const PlanNeed *need, size_t worker);
/* Checks whether the plan holds with all added tasks; each check counts against checks_max. */
bool pass_survives_losses(Pass *pass);
/* Suspends the coroutine. Marks the running attempts as assured that the plan did not include so far and can include
 * now. */
void assure_running_tasks(Pass *pass);

#endif
