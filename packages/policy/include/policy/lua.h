#ifndef POLICY_LUA_H
#define POLICY_LUA_H

#include "base/failure.h"
#include "policy/policy.h"

/* An operator's policy: Lua text that defines rank(task) and, optionally, may_preempt(task,
 * running), which says whether a waiting unit may preempt a running one. Made when a
 * configuration is checked or put in force; used by the ordering of the queue. Nothing here
 * waits.
 *
 * It runs in a bare state: no files, no modules, no clock, no randomness, no printing; each
 * call is bounded in instructions, the state in memory. A call that fails gives the plain
 * answer (rank 0, no preemption) and is counted. */
typedef struct LuaPolicy LuaPolicy;

/* Compiles the text and tries it on a made-up task. The policy lives on mem. BAD_POLICY with
 * the line in failure. name is what messages call the text. */
Status lua_policy_new(void *mem, const char *name, const char *text, LuaPolicy **policy, Failure *failure);
/* The interface of the policy; lives as long. */
const Policy *lua_policy(LuaPolicy *policy);
/* Calls that failed since it was made. *last, unless last is null, is why the last one did;
 * it lives as long as the policy. */
uint64_t lua_policy_failures(const LuaPolicy *policy, const char **last);

#endif
