#ifndef GATE_GATE_H
#define GATE_GATE_H

#include "props/props.h"

/* A diskless entry point. It decides nothing: it carries requests to the
 * leader, keeps for a while what was accepted through it, and holds the newest
 * configuration. */
typedef struct Gate Gate;

Status gate_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Gate **gate, Failure *failure);
/* Waits. As controller_take. */
void gate_take(Gate *gate, HttpTask *task);
/* Waits. A configuration that is large, in the task's body or (back) in its result, is
 * no load for a gate's narrow link: its caller is sent to the leader itself. True when
 * the task has its result: 307, and leader is the address, on the task, at which the
 * leader that serves now is asked by callers; or a refusal, when none serves. False:
 * the gate carries it. */
bool gate_elsewhere(Gate *gate, HttpTask *task, bool back, const char **leader);
/* As controller_ready. */
bool gate_ready(const Gate *gate);
/* Waits: not ready at once; requests in work get their result. */
void gate_drain(Gate *gate);
/* Other seeds from now on. */
void gate_seeds(Gate *gate, const char *const seeds[SEEDS]);
const char *gate_http_address(const Gate *gate);

#endif
