/* Timelines of faults. Each is run with several seeds, and all safety properties are checked at each step. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "sim/timeline.h"

/* With sanitizers, which make runs about ten times slower, each timeline is run with one seed. */
#if defined(__SANITIZE_ADDRESS__)
#define SEEDS_MAX 1
#else
#define SEEDS_MAX UINT64_MAX
#endif

/* Runs the timeline with the seeds from 1 on. */
static void seeds_run(FleetShape shape, const char *text, uint64_t seeds)
{
    char why[512];
    if (seeds > SEEDS_MAX)
        seeds = SEEDS_MAX;
    for (uint64_t seed = 1; seed <= seeds; seed++)
        if (!timeline_run(seed, shape, text, why, sizeof(why)))
            fail_msg("seed %u: %s", (unsigned)seed, why);
}

static const FleetShape TRENTVALE = {3, 3, 11, MIX_TRENTVALE, 0};
static const FleetShape ATLAS = {3, 4, 11, MIX_ATLAS, 0};

/* A test case of its own for each timeline. Columns are nodes, rows are moments. */
#define TIMELINE(name, shape, seeds, text) \
    static void name(void **state)         \
    {                                      \
        (void)state;                       \
        seeds_run(shape, text, seeds);     \
    }

TIMELINE(founding, TRENTVALE, 3,
         "ms     leader  second  third   callers\n"
         "0      leads   !leads  !leads  call:10/4000\n"
         "5000   leads   !leads  !leads  end+gap<1000\n")

TIMELINE(leader_killed, TRENTVALE, 3,
         "ms     leader  second  third   callers\n"
         "0      leads   .       .       call:10\n"
         "4000   kill    .       .       .\n"
         "12000  start   .       .       .\n"
         "20000  up      .       .       end+gap<6000\n")

TIMELINE(worker_killed, TRENTVALE, 3,
         "ms     worker2  agent2  worker3  callers\n"
         "0      .        .       .        call:10\n"
         "4000   kill     .       .        .\n"
         "12000  start    .       kill     .\n"
         "18000  runs     .       start    .\n"
         "20000  .        .       .        end+gap<1000\n")

TIMELINE(machine_off, ATLAS, 3,
         "ms     worker2  agent2  callers\n"
         "0      .        .       call:9\n"
         "4000   off      off     .\n"
         "12000  start    start   .\n"
         "20000  .        .       end+gap<1000\n")

TIMELINE(agent_frozen, TRENTVALE, 3,
         "ms     agent1       worker1  agent2      callers\n"
         "0      .            .        .           call:10\n"
         "4000   freeze:6000  .        freeze:900  .\n"
         "9500   .            idle     .           .\n"
         "16000  .            runs     .           .\n"
         "20000  .            .        .           end+gap<1000\n")

TIMELINE(worker_frozen, TRENTVALE, 3,
         "ms     worker1      worker2      callers\n"
         "0      .            .            call:10\n"
         "4000   freeze:6000  freeze:2500  .\n"
         "16000  runs         runs         .\n"
         "20000  .            .            end+gap<1000\n")

TIMELINE(leader_frozen, TRENTVALE, 3,
         "ms     leader       second  third  callers\n"
         "0      leads        .       .      call:10\n"
         "4000   freeze:7000  .       .      .\n"
         "11100  !leads       .       .      .\n"
         "20000  .            .       .      end+gap<6000\n")

TIMELINE(minority_cut, TRENTVALE, 3,
         "ms     leader  second  third  callers\n"
         "0      .       .       .      call:10\n"
         "4000   cut     .       .      .\n"
         "9000   !leads  .       .      .\n"
         "14000  join    .       .      .\n"
         "20000  .       cut     .      .\n"
         "26000  .       join    .      .\n"
         "30000  .       .       .      end+gap<6000\n")

/* An agent is restarted after its wall clock was set back: guards against the agent being mistaken for an older
 * process. */
TIMELINE(agent_clock_set_back, TRENTVALE, 6,
         "ms     agent1       worker1  callers\n"
         "0      .            .        call:20\n"
         "4000   jump:-60000  .        .\n"
         "4010   kill         .        .\n"
         "4020   start        .        .\n"
         "6500   .            runs     .\n"
         "9000   .            runs     .\n"
         "20000  .            .        end+allDone\n")

/* There is so much work that no worker is left without a start for two seconds by chance. */
TIMELINE(agent_cut, ATLAS, 3,
         "ms     agent1  worker1  agent2  callers\n"
         "0      .       .        .       call:18\n"
         "4000   cut     .        cut     .\n"
         "5500   .       .        join    .\n"
         "8500   .       idle     .       .\n"
         "12000  join    .        .       .\n"
         "16000  .       runs     .       .\n"
         "20000  .       .        .       end+gap<1000\n")

TIMELINE(zone_off, TRENTVALE, 3,
         "ms     zone:north  callers\n"
         "0      .           call:10\n"
         "4000   off         .\n"
         "16000  start       .\n"
         "30000  .           end+gap<12000\n")

TIMELINE(zone_cut, ATLAS, 3,
         "ms     zone:south  callers\n"
         "0      .           call:9\n"
         "4000   cut         .\n"
         "16000  join        .\n"
         "30000  .           end+gap<12000\n")

TIMELINE(zone_drained, TRENTVALE, 2,
         "ms     zone:west  worker3  worker1  callers\n"
         "0      .          .        .        call:30\n"
         "4000   drain      .        .        .\n"
         "20000  .          idle     runs     .\n"
         "20001  back       .        .        .\n"
         "26000  .          runs     .        .\n"
         "30000  .          .        .        end+gap<1000\n")

TIMELINE(worker_leaves, TRENTVALE, 2,
         "ms     worker1  worker4  callers\n"
         "0      .        .        call:10\n"
         "4000   leave    leave    .\n"
         "6000   .        kill     .\n"
         "12000  idle     start    .\n"
         "20000  .        .        end+gap<1000\n")

TIMELINE(all_voters_killed, TRENTVALE, 3,
         "ms     core1  core2  core3  callers\n"
         "0      .      .      .      call:10\n"
         "4000   kill   kill   kill   .\n"
         "5000   start  start  start  .\n"
         "20000  .      .      .      end+gap<12000\n")

TIMELINE(power_lost_after_acknowledgement, ATLAS, 5,
         "ms     core1      core2      core3      callers\n"
         "0      lie        lie        lie        .\n"
         "1000   .          .          .          call:9\n"
         "4000   off        off        off        .\n"
         "4100   honest     honest     honest     .\n"
         "5000   start      start      start      .\n"
         "25000  .          .          .          end+gap<12000\n")

TIMELINE(one_disk_lies, ATLAS, 3,
         "ms     leader  second  third  callers\n"
         "0      .       lie     .      .\n"
         "1000   .       .       .      call:9\n"
         "4000   .       off     .      .\n"
         "4500   .       start   .      .\n"
         "5000   kill    .       .      .\n"
         "12000  start   honest  .      .\n"
         "25000  .       .       .      end+gap<12000\n")

TIMELINE(slow_disks, TRENTVALE, 3,
         "ms     leader     second     third  callers\n"
         "0      .          .          .      call:10\n"
         "4000   slow:4000  .          .      .\n"
         "12000  slow:3     slow:4000  .      .\n"
         "20000  .          slow:3     .      .\n"
         "26000  .          .          .      end+gap<8000\n")

TIMELINE(disk_fails, ATLAS, 2,
         "ms     leader     second  third  callers\n"
         "0      .          .       .      call:9\n"
         "4000   diskfails  .       .      .\n"
         "20000  .          .       .      end+gap<8000\n")

TIMELINE(clocks_jump, ATLAS, 2,
         "ms     leader        second         agent1        callers\n"
         "0      .             .              .             call:9\n"
         "4000   jump:3600000  .              jump:-600000  .\n"
         "6000   .             jump:-3600000  kill          .\n"
         "7000   .             .              start         .\n"
         "9000   kill          .              .             .\n"
         "20000  .             .              .             end+gap<6000\n")

TIMELINE(one_way_cuts, TRENTVALE, 3,
         "ms     leader       second       third       callers\n"
         "0      .            .            .           call:10\n"
         "4000   cut>second   .            .           .\n"
         "9000   join>second  cut>leader   .           .\n"
         "14000  .            join>leader  .           .\n"
         "24000  .            .            .           end+gap<9000\n")

TIMELINE(entry_point_killed, TRENTVALE, 2,
         "ms     gate1  gate2        callers\n"
         "0      .      .            call:10\n"
         "4000   kill   freeze:3000  .\n"
         "8000   start  .            .\n"
         "12000  .      .            end+gap<2000\n")

/* A new version is rolled out over the running fleet, one process at a time: no job fails, and no caller waits longer
 * than for one change of leader. */
TIMELINE(rolled_out, TRENTVALE, 2,
         "ms     leader  second  third  gate1  gate2  gate3  agent1  agent2  agent3  callers\n"
         "0      .       .       .      .      .      .      .       .       .       call:20\n"
         "3000   .       roll    .      .      .      .      .       .       .       .\n"
         "10000  .       .       roll   .      .      .      .       .       .       .\n"
         "17000  roll    .       .      .      .      .      .       .       .       .\n"
         "24000  .       .       .      roll   .      .      .       .       .       .\n"
         "27000  .       .       .      .      roll   .      .       .       .       .\n"
         "30000  .       .       .      .      .      roll   .       .       .       .\n"
         "33000  .       .       .      .      .      .      roll    .       .       .\n"
         "37000  .       .       .      .      .      .      .       roll    .       .\n"
         "41000  .       .       .      .      .      .      .       .       roll    .\n"
         "50000  up      up      up     up     up     up     up      up      up      end+allDone+gap<3000\n")

/* A leader that reaches the voters but no other member is not in the best partition, and gives up the lock. */
TIMELINE(leader_blind, TRENTVALE, 3,
         "ms     leader  second  third  callers\n"
         "0      leads   .       .      call:10\n"
         "4000   blind   .       .      .\n"
         "16000  !leads  .       .      .\n"
         "30000  sees    .       .      .\n"
         "40000  .       .       .      end+gap<12000\n")

/* A worker fails every task while it reports itself healthy: jobs succeed on other workers (allDone), the worker is
 * given no tasks for growing periods, and gets tasks again once it has recovered. */
TIMELINE(worker_fails, TRENTVALE, 3,
         "ms     worker1  worker2  callers\n"
         "0      .        .        call:20\n"
         "3000   fails    .        .\n"
         "12000  .        runs     .\n"
         "30000  heals    .        .\n"
         "90000  runs     .        end+allDone+gap<1000\n")

/* All jobs are cancelled while long tasks run: the tasks are stopped. */
TIMELINE(cancelled, TRENTVALE, 3,
         "ms     worker1  callers\n"
         "0      .        call:20/12000\n"
         "9000   runs     cancel\n"
         "22000  idle     end\n")

/* Almost half of the workers fail: no more than a quarter of all workers go without tasks. */
TIMELINE(many_fail, TRENTVALE, 2,
         "ms     worker1  worker2  worker3  worker4  worker5  callers\n"
         "0      .        .        .        .        .        call:10\n"
         "3000   fails    fails    fails    fails    fails    .\n"
         "20000  heals    heals    heals    heals    heals    .\n"
         "30000  .        .        .        .        .        end+gap<1000\n")

static const FleetShape SPARES = {3, 3, 11, MIX_TRENTVALE, 2};

/* Two controllers are replaced in sequence by empty ones at new addresses, which have other seeds. The first one
 * returns with its old disk. In the end, the two new controllers are the only voters left that vote. */
TIMELINE(controllers_replaced, SPARES, 3,
         "ms     core1  core2  core3  core4  core5  callers\n"
         "0      .      .      .      .      .      call:10\n"
         "4000   off    .      .      .      .      .\n"
         "6000   .      .      .      start  .      .\n"
         "40000  start  .      .      up     .      .\n"
         "50000  .      off    .      .      start  .\n"
         "90000  .      .      off    .      up     .\n"
         "105000 .      .      .      .      .      end+gap<12000\n")

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(rolled_out),
        cmocka_unit_test(leader_blind),
        cmocka_unit_test(worker_fails),
        cmocka_unit_test(many_fail),
        cmocka_unit_test(cancelled),
        cmocka_unit_test(founding),
        cmocka_unit_test(leader_killed),
        cmocka_unit_test(worker_killed),
        cmocka_unit_test(machine_off),
        cmocka_unit_test(agent_frozen),
        cmocka_unit_test(worker_frozen),
        cmocka_unit_test(leader_frozen),
        cmocka_unit_test(minority_cut),
        cmocka_unit_test(agent_cut),
        cmocka_unit_test(zone_off),
        cmocka_unit_test(zone_cut),
        cmocka_unit_test(zone_drained),
        cmocka_unit_test(worker_leaves),
        cmocka_unit_test(all_voters_killed),
        cmocka_unit_test(power_lost_after_acknowledgement),
        cmocka_unit_test(one_disk_lies),
        cmocka_unit_test(slow_disks),
        cmocka_unit_test(disk_fails),
        cmocka_unit_test(clocks_jump),
        cmocka_unit_test(agent_clock_set_back),
        cmocka_unit_test(one_way_cuts),
        cmocka_unit_test(entry_point_killed),
        cmocka_unit_test(controllers_replaced),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
