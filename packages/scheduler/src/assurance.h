#ifndef SCHEDULER_SRC_ASSURANCE_H
#define SCHEDULER_SRC_ASSURANCE_H

#include "pass.h"

/* The r-loss plan (XenServer's HA design): after any r losses, all protected tasks that run assured find
 * capacity on what is left. */

/* Takes the protected tasks that the plan must hold for into pass->input. */
void pass_tasks_add(Pass *pass);
/* Adds one protected task that the plan must include, on the worker of that index. */
void pass_task_add(Pass *pass, const JobSpec *spec, const PlanNeed *need, size_t worker);
/* Checks whether the plan holds with all that is counted; counts against checks_max. */
bool pass_survives_losses(Pass *pass);
/* Waits. Marks running attempts that the plan does not include yet and now can. */
void assure_more(Pass *pass);

#endif
