/* Tests of operators' policies: what is refused when a policy is checked, and what is bounded when it runs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "policy/lua.h"

static void bad_policy_is_refused(void **state)
{
    (void)state;
    static const struct {
        const char *text, *words;
    } ROWS[] = {
        {"function rank(t) return 1", ":1:"},
        {"x = 1", "nil value"},
        {"function rank(t)\n while true do end\nend", ":2: more than"},
        {"while true do end", ":1: more than"},
        {"function rank(t) local s = 'x' while true do s = s .. s end end", "not enough memory"},
        {"function rank(t) local l = {} for i = 1, 1e9 do l[i] = i end end", ""},
        {"function rank(t) return ('x'):rep(1e9) end", "not enough memory"},
        {"function rank(t) return 'high' end", "finite number"},
        {"function rank(t) return '7' end", "finite number"},
        {"function rank(t) return 0/0 end", "finite number"},
        {"function rank(t) return 1/0 end", "finite number"},
        {"function rank(t) end", "finite number"},
        {"function rank(t) return t.x.y end", ":1:"},
        {"function rank(t) os.exit() end", ":1:"},
        {"function rank(t) io.open('x') end", ":1:"},
        {"function rank(t) require('x') end", ":1:"},
        {"function rank(t) return math.random() end", ":1:"},
        {"function rank(t) pcall(rank, t) return 1 end", ":1:"},
        {"function rank(t) return rank(t) + 1 end", ""},
        {"function rank(t) return 1 end function may_push(a, b) return 1 end", "true or false"},
        {"\033Lua", "binary"},
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        Failure failure = {0};
        LuaPolicy *policy;
        const Status status = lua_policy_new(mem, "p", ROWS[i].text, &policy, &failure);
        if (status != STATUS_BAD_POLICY || strstr(failure.text, ROWS[i].words) == NULL)
            fail_msg("row %zu (%s): %s: %s", i, ROWS[i].text, status_word(status), failure.text);
        talloc_free(mem);
    }
}

static PolicyContext context(Job *job, const StepSpec *step, int64_t waited_ms)
{
    *job = (Job){.spec = {.id = "i", .cell = "c", .tenant = "t", .queue = "masks", .priority = 3},
                 .number = 9,
                 .tasks_count = 1};
    return (PolicyContext){.job = job, .step = step, .queue_priority = 2, .waited_ms = waited_ms, .cell_share = 500};
}

static void policy_ranks_and_preempts(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    LuaPolicy *lua;
    Failure failure = {0};
    const StepSpec step = {.name = "s", .kind = "", .resources = {500, 64, 0}};
    Job job;
    assert_int_equal(
        lua_policy_new(mem, "p",
                       "function rank(t) return t.priority + t.queue_priority + t.waited_ms / 1000 - t.cpu end\n"
                       "function may_push(a, b) return a.queue == 'masks' and b.cpu > a.cpu end",
                       &lua, &failure),
        STATUS_OK);
    const Policy *policy = lua_policy(lua);
    const PolicyContext one = context(&job, &step, 4000);
    assert_true(policy->rank(policy->arg, &one) == 8.5);
    const StepSpec large = {.name = "s", .kind = "", .resources = {8000, 64, 0}};
    const PolicyContext other = {.job = &job, .step = &large};
    assert_true(policy->may_preempt(policy->arg, &one, &other));
    assert_false(policy->may_preempt(policy->arg, &other, &one));
    assert_int_equal(lua_policy_failures(lua, NULL), 0);
    talloc_free(mem);
}

/* A policy that passes the check and fails later returns the default, and each failure is counted. */
static void failing_call_gives_the_plain_answer(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    LuaPolicy *lua;
    const StepSpec step = {.name = "s", .kind = "", .resources = {500, 64, 0}};
    Job job;
    assert_int_equal(lua_policy_new(mem, "p",
                                    "local kept = {}\n"
                                    "function rank(t) if t.waited_ms > 5000 then while true do end end\n"
                                    " if t.waited_ms > 3000 then kept[#kept + 1] = ('x'):rep(300000) end return 7 end",
                                    &lua, NULL),
                     STATUS_OK);
    const Policy *policy = lua_policy(lua);
    PolicyContext one = context(&job, &step, 6000);
    const char *last;
    for (int i = 0; i < 50; i++)
        assert_true(policy->rank(policy->arg, &one) == 0);
    assert_int_equal(lua_policy_failures(lua, &last), 50);
    assert_non_null(strstr(last, "steps"));
    one.waited_ms = 4000;
    for (int i = 0; i < 50; i++)
        policy->rank(policy->arg, &one);
    lua_policy_failures(lua, &last);
    assert_non_null(strstr(last, "memory"));
    one.waited_ms = 1;
    assert_true(policy->rank(policy->arg, &one) == 7); /* calls that do not fail still get their result */
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(bad_policy_is_refused),
        cmocka_unit_test(policy_ranks_and_preempts),
        cmocka_unit_test(failing_call_gives_the_plain_answer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
