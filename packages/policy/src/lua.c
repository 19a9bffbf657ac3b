#include "policy/lua.h"

#include <lauxlib.h>
#include <lualib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* Invariants: bytes is what the state holds now, at most LUA_BYTES_MAX; steps
 * is counted anew for each call. */
struct LuaPolicy {
    Policy policy;
    lua_State *lua;
    size_t bytes;
    unsigned ticks;
    uint64_t failures;
    char last[160];
};

static void *allocate(void *arg, void *old, size_t old_size, size_t size)
{
    LuaPolicy *policy = arg;
    const size_t before = old != NULL ? old_size : 0; /* for a new block old_size is its type */
    if (size == 0) {
        free(old);
        policy->bytes -= before;
        return NULL;
    }
    if (policy->bytes - before + size > LUA_BYTES_MAX)
        return NULL;
    void *fresh = realloc(old, size);
    if (fresh != NULL)
        policy->bytes = policy->bytes - before + size;
    return fresh;
}

static void on_tick(lua_State *lua, lua_Debug *debug)
{
    void *arg;
    lua_getallocf(lua, &arg);
    LuaPolicy *policy = arg;
    if (++policy->ticks <= LUA_STEPS_MAX / LUA_STEPS_TICK)
        return;
    lua_getinfo(lua, "Sl", debug);
    luaL_error(lua, "%s:%d: more than %d steps", debug->short_src, debug->currentline, LUA_STEPS_MAX);
}

static int policy_free(LuaPolicy *policy)
{
    if (policy->lua != NULL)
        lua_close(policy->lua);
    return 0;
}

/* Only what computes. pcall and its kin could catch the bound; string.rep and
 * its like ask for much memory, which is bounded. */
static void bare(lua_State *lua)
{
    static const char *const GONE[] = {"dofile",         "loadfile",     "load",   "require",  "print",
                                       "collectgarbage", "pcall",        "xpcall", "error",    "warn",
                                       "getmetatable",   "setmetatable", "rawset", "coroutine"};
    luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
    luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
    lua_settop(lua, 0);
    for (size_t i = 0; i < sizeof(GONE) / sizeof(GONE[0]); i++) {
        lua_pushnil(lua);
        lua_setglobal(lua, GONE[i]);
    }
    lua_getglobal(lua, LUA_MATHLIBNAME);
    lua_pushnil(lua);
    lua_setfield(lua, -2, "random");
    lua_pushnil(lua);
    lua_setfield(lua, -2, "randomseed");
    lua_settop(lua, 0);
}

static void field(lua_State *lua, const char *name, double value)
{
    lua_pushnumber(lua, value);
    lua_setfield(lua, -2, name);
}

static void text_field(lua_State *lua, const char *name, const char *value)
{
    lua_pushstring(lua, value);
    lua_setfield(lua, -2, name);
}

static void preempt_sight(lua_State *lua, const PolicySight *sight)
{
    const JobSpec *spec = &sight->job->spec;
    lua_createtable(lua, 0, 16);
    text_field(lua, "id", spec->id);
    text_field(lua, "cell", spec->cell);
    text_field(lua, "tenant", spec->tenant);
    text_field(lua, "queue", spec->queue);
    text_field(lua, "step", sight->step->name);
    text_field(lua, "kind", sight->step->kind);
    text_field(lua, "protection", protection_word(spec->protection));
    field(lua, "priority", (double)spec->priority);
    field(lua, "queue_priority", (double)sight->queue_priority);
    field(lua, "number", (double)sight->job->number);
    field(lua, "cpu", (double)sight->step->room.cpu_milli / 1000);
    field(lua, "mem_mb", (double)sight->step->room.mem_mb);
    field(lua, "tasks", (double)sight->job->tasks_count);
    field(lua, "waited_ms", (double)sight->waited_ms);
    field(lua, "cell_used", (double)sight->cell_used / 1000);
    field(lua, "cell_share", (double)sight->cell_share / 1000);
    field(lua, "tenant_used", (double)sight->tenant_used / 1000);
}

/* What runs protected: builds the arguments too, as that takes memory. */
typedef struct LuaCall {
    const char *name;
    const PolicySight *task, *running;
    double number;
    bool flag;
} LuaCall;

static int call_protected(lua_State *lua)
{
    LuaCall *call = lua_touserdata(lua, 1);
    lua_settop(lua, 0);
    lua_getglobal(lua, call->name);
    preempt_sight(lua, call->task);
    if (call->running != NULL)
        preempt_sight(lua, call->running);
    lua_call(lua, call->running != NULL ? 2 : 1, 1);
    if (call->running != NULL) {
        if (!lua_isboolean(lua, -1))
            luaL_error(lua, "%s must return true or false", call->name);
        call->flag = lua_toboolean(lua, -1);
    } else {
        if (lua_type(lua, -1) != LUA_TNUMBER || !isfinite(lua_tonumber(lua, -1)))
            luaL_error(lua, "%s must return a finite number", call->name);
        call->number = lua_tonumber(lua, -1);
    }
    return 0;
}

static bool call_once(LuaPolicy *policy, LuaCall *call)
{
    lua_State *lua = policy->lua;
    policy->ticks = 0;
    lua_settop(lua, 0);
    lua_pushcfunction(lua, call_protected);
    lua_pushlightuserdata(lua, call);
    if (lua_pcall(lua, 1, 0, 0) == LUA_OK)
        return true;
    const char *text = lua_tostring(lua, -1);
    snprintf(policy->last, sizeof(policy->last), "%s", text != NULL ? text : "failed without a word");
    lua_settop(lua, 0);
    return false;
}

static double lua_rank(void *arg, const PolicySight *task)
{
    LuaPolicy *policy = arg;
    LuaCall call = {.name = "rank", .task = task};
    if (call_once(policy, &call))
        return call.number;
    policy->failures++;
    return 0; /* first come, first served */
}

static bool lua_may_preempt(void *arg, const PolicySight *task, const PolicySight *running)
{
    LuaPolicy *policy = arg;
    lua_getglobal(policy->lua, "may_push");
    const bool defined = lua_isfunction(policy->lua, -1);
    lua_settop(policy->lua, 0);
    if (!defined)
        return false;
    LuaCall call = {.name = "may_push", .task = task, .running = running};
    if (call_once(policy, &call))
        return call.flag;
    policy->failures++;
    return false;
}

static int open_protected(lua_State *lua)
{
    bare(lua);
    return 0;
}

/* Tries the functions on a made-up task, so that what fails always fails now. */
static bool try_out(LuaPolicy *policy)
{
    const StepSpec step = {.name = "step", .kind = "std", .room = {1000, 1024, 0}};
    Job job = {
        .spec = {.id = "id", .cell = "cell", .tenant = "tenant", .queue = "queue"}, .number = 1, .tasks_count = 1};
    const PolicySight sight = {.job = &job, .step = &step, .waited_ms = 1000, .cell_share = 1000};
    LuaCall rank = {.name = "rank", .task = &sight};
    if (!call_once(policy, &rank))
        return false;
    lua_getglobal(policy->lua, "may_push");
    const bool defined = lua_isfunction(policy->lua, -1);
    lua_settop(policy->lua, 0);
    LuaCall preemption = {.name = "may_push", .task = &sight, .running = &sight};
    return !defined || call_once(policy, &preemption);
}

Status lua_policy_new(void *mem, const char *name, const char *text, LuaPolicy **out, Failure *failure)
{
    LuaPolicy *policy = talloc_zero(mem, LuaPolicy);
    talloc_set_destructor(policy, policy_free);
    policy->policy = (Policy){talloc_strdup(policy, name), policy, lua_rank, lua_may_preempt};
    policy->lua = lua_newstate(allocate, policy);
    const char *why = "no memory";
    bool good = policy->lua != NULL;
    if (good) {
        lua_State *lua = policy->lua;
        lua_sethook(lua, on_tick, LUA_MASKCOUNT, LUA_STEPS_TICK);
        lua_pushcfunction(lua, open_protected);
        good = lua_pcall(lua, 0, 0, 0) == LUA_OK;
        policy->ticks = 0;
        /* text only: a binary chunk could crash the state */
        if (good)
            good = luaL_loadbufferx(lua, text, strlen(text), name, "t") == LUA_OK && lua_pcall(lua, 0, 0, 0) == LUA_OK;
        if (!good) {
            why = lua_tostring(lua, -1);
            why = why != NULL ? why : "failed without a word";
        } else if (!try_out(policy)) {
            good = false;
            why = policy->last;
        }
    }
    if (!good) {
        failure_set(failure, STATUS_BAD_POLICY, "%s", why);
        talloc_free(policy);
        return STATUS_BAD_POLICY;
    }
    *out = policy;
    return STATUS_OK;
}

const Policy *lua_policy(LuaPolicy *policy)
{
    return &policy->policy;
}

uint64_t lua_policy_failures(const LuaPolicy *policy, const char **last)
{
    if (last != NULL)
        *last = policy->last;
    return policy->failures;
}
