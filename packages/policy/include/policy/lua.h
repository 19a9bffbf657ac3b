#ifndef POLICY_LUA_H
#define POLICY_LUA_H

#include "base/failure.h"
#include "policy/policy.h"

/* An operator's policy: Lua text that defines rank(task) and, if it likes,
 * may_preempt(task, running). It runs in a bare state: no files, no modules, no
 * clock, no randomness, no printing; bounded in instructions for each call and
 * in memory. A call that fails gives the built-in answer and is counted. */
typedef struct LuaPolicy LuaPolicy;

/* Compiles and tries the text. BAD_POLICY with the line. */
Status lua_policy_new(void *mem, const char *name, const char *text, LuaPolicy **policy, Failure *failure);
const Policy *lua_policy(LuaPolicy *policy);
/* Calls that failed since it was made, and the last one's words. */
uint64_t lua_policy_failures(const LuaPolicy *policy, const char **last);

#endif
