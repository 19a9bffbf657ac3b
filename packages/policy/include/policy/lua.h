#ifndef POLICY_LUA_H
#define POLICY_LUA_H

#include "base/failure.h"
#include "policy/policy.h"

/* An operator's policy: Lua text that defines rank(task) and, optionally, may_push(task, running), which returns
 * whether a waiting task or gang may preempt a running one. Created when a configuration is checked or put in force;
 * used to order the ready queue. No function here suspends the coroutine.
 *
 * The text runs in a restricted Lua state: no files, no modules, no clock, no random numbers, no output. Each call is
 * bounded in instructions, and the state is bounded in memory. A call that fails returns the default (rank 0, no
 * preemption) and is counted. */
typedef struct LuaPolicy LuaPolicy;

/* Compiles the text and calls its functions on a made-up task. The policy (out) is owned by mem. BAD_POLICY: failure
 * gives the reason and the line. name: how error messages refer to the text. */
Status lua_policy_new(void *mem, const char *name, const char *text, LuaPolicy **policy, Failure *failure);
/* The policy's interface; valid as long as the policy. */
const Policy *lua_policy(LuaPolicy *policy);
/* The number of failed calls since the policy was created. last (out, may be null): the text of the last failure; valid
 * as long as the policy. */
uint64_t lua_policy_failures(const LuaPolicy *policy, const char **last);

#endif
