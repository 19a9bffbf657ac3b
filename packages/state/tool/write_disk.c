/* Writes journals in the format of this release, as fixtures for the tests old_disk and old_state of later releases.
 *
 *     spancart-writedisk FOLDER
 *
 * Simulates four controllers, three of them voters. Every change has different values in each of its fields. FOLDER
 * receives a journal for each moment; packages/replication/test/fixtures/README.md describes them. */
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#include "block.h"
#include "inside.h"
#include "sim/fleet.h"

#define PATH "data/journal"
#define CONTROLLERS 4
#define TORN_BYTES 7 /* number of bytes missing from the last block */

static Fleet *fleet;
static const char *folder;

static Replication *replication_at(int controller)
{
    return controller_replication(fleet_node(fleet, FLEET_CONTROLLER, controller)->controller);
}

static void offer(uint64_t change, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Bytes payload = {0};
    shape_pack(shape, body, mem, &payload);
    if (replication_submit_async(replication_at(fleet_leader(fleet)), change, payload) != STATUS_OK)
        fprintf(stderr, "change %" PRIu64 " was not accepted\n", change);
    talloc_free(mem);
}

/* --- the changes ------------------------------------------------------------------- */

static void offer_workers(void)
{
    const char *labels[] = {"label1", "label2"};
    const Worker first = {.name = "w1",
                          .zone = "zone1",
                          .rack = "rack1",
                          .kind = "kind1",
                          .labels = labels,
                          .labels_count = 2,
                          .resources = {64001, 32002, 3}};
    const Worker second = {.name = "w2", .zone = "zone2", .rack = "rack2", .kind = "kind2", .resources = {4, 5, 6}};
    offer(CHANGE_WORKER_SET, &Worker_shape, &first);
    offer(CHANGE_WORKER_SET, &Worker_shape, &second);
}

/* Offers a job with all fields set; any two flags differ in at least one of the two steps. */
static void offer_full(void)
{
    const char *after[] = {"first"}, *labels[] = {"label1", "label2"};
    StepSpec steps[] = {{.name = "first",
                         .count = 2,
                         .gang = true,
                         .resources = {101, 102, 103},
                         .kind = "kind1",
                         .labels = labels,
                         .labels_count = 2,
                         .payload = "{\"x\":1}",
                         .est_ms = 104,
                         .apart = 105,
                         .same_rack = true,
                         .near = "rack1"},
                        {.name = "second",
                         .after = after,
                         .after_count = 1,
                         .count = 1,
                         .gang = true,
                         .resources = {111, 112, 113},
                         .kind = "kind2",
                         .payload = "{\"y\":2}",
                         .est_ms = 114,
                         .apart = 115,
                         .near = "rack2",
                         .saves = true}};
    const JobAdd add = {.spec = {.id = "full",
                                 .cell = "cell1",
                                 .tenant = "tenant1",
                                 .queue = "queue1",
                                 .priority = -121,
                                 .protection = PROTECTION_BEST_EFFORT,
                                 .copies = true,
                                 .due_wall_ms = 122,
                                 .delay_ms = 123,
                                 .attempt_limit = 124,
                                 .steps = steps,
                                 .steps_count = 2,
                                 .turns = 2,
                                 .first_wall_ms = 1700000000125,
                                 .period_ms = 126},
                        .terms = {131, 132, 133, -134, "kind3", {135, 136, 137}}};
    offer(CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

static void offer_plain(const char *id, uint64_t count)
{
    StepSpec step = {.name = "only", .count = count, .resources = {1, 2, 0}, .saves = true};
    const JobAdd add = {.spec = {.id = id,
                                 .cell = "cell1",
                                 .tenant = "tenant1",
                                 .queue = "queue1",
                                 .protection = PROTECTION_PROTECTED,
                                 .attempt_limit = 9,
                                 .steps = &step,
                                 .steps_count = 1}};
    offer(CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

/* Brings the tasks of the job "tasks" into different phases: 0 is running, 1 failed once, 2 is done, 3 was lost with
 * its worker, 4 is placed, 5 is stopping. */
static void offer_attempts(void)
{
    Placement places[] = {{"tasks", 0, 2, "w1", 201, true, ""},        {"tasks", 1, 3, "w1", 201, false, ""},
                          {"tasks", 2, 4, "w1", 201, false, ""},       {"tasks", 3, 5, "w2", 202, false, ""},
                          {"tasks", 4, 6, "w1", 201, false, "saved4"}, {"tasks", 5, 8, "w1", 201, false, ""}};
    const PlaceList placed = {places, 6};
    offer(CHANGE_PLACE, &PlaceList_shape, &placed);
    AttemptUpdate rows[] = {
        {.job = "ghost", .task = 1, .attempt = 7, .worker = "w1", .word = ATTEMPT_DONE, .text = "text5"},
        {"tasks", 0, 2, "w1", ATTEMPT_RUNNING, "text0", "saved0", 3, 0},
        {"tasks", 1, 3, "w1", ATTEMPT_FAILED, "text1", "saved1", 4, 0},
        {"tasks", 2, 4, "w1", ATTEMPT_DONE, "text2", "saved2", 5, 0}};
    const AttemptList updates = {rows, 4};
    offer(CHANGE_ATTEMPTS, &AttemptList_shape, &updates);
    const WorkerLost lost = {"w2", 202};
    offer(CHANGE_WORKER_LOST, &WorkerLost_shape, &lost);
    const WorkerLeft left = {"w2", true};
    offer(CHANGE_WORKER_LEFT, &WorkerLeft_shape, &left);
    AttemptId assured = {"tasks", 4, 6}, stopped = {"tasks", 5, 8};
    const StopList assure = {&assured, 1, "why4"}, stop = {&stopped, 1, "why5"};
    offer(CHANGE_ASSURE, &StopList_shape, &assure);
    offer(CHANGE_STOP, &StopList_shape, &stop);
}

static void offer_config(void)
{
    const ConfigSet whole = {
        .base = 0, .version = 4, .text = "{\"a\":1}", .digest = "digest4", .limits = {4031, 5032, 6033, 7034}};
    const ConfigSet patch = {.base = 4,
                             .version = 7,
                             .text = "{\"b\":2}",
                             .patch = true,
                             .digest = "digest7",
                             .limits = {8031, 9032, 10033, 11034}};
    offer(CHANGE_CONFIG_SET, &ConfigSet_shape, &whole);
    offer(CHANGE_CONFIG_SET, &ConfigSet_shape, &patch);
}

static void offer_drains(void)
{
    const ZoneDrain first = {
        .zone = "zone8", .drained = true, .stamp = 41, .order = "order8", .based = true, .base = 40};
    const ZoneDrain second = {.zone = "zone9", .stamp = 39, .order = "before9"};
    const ZoneDrain third = {.zone = "zone9", .drained = true, .stamp = 42, .move = true, .order = "order9"};
    offer(CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &first);
    offer(CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &second);
    offer(CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &third);
}

/* Offers three jobs that end: one is dropped again by FORGET, one is cancelled, and one is ended as failed by
 * JOB_END. */
static void offer_ended(void)
{
    const JobCancel forgotten = {.id = "forgotten"}, cancelled = {.id = "cancelled"};
    const Forget forget = {.before_ms = 20000};
    const JobEnd failed = {"failed", JOB_FAILED};
    offer_plain("forgotten", 1);
    offer(CHANGE_JOB_CANCEL, &JobCancel_shape, &forgotten);
    offer(CHANGE_FORGET, &Forget_shape, &forget);
    offer_plain("cancelled", 1);
    offer(CHANGE_JOB_CANCEL, &JobCancel_shape, &cancelled);
    offer_plain("failed", 1);
    offer(CHANGE_JOB_END, &JobEnd_shape, &failed);
}

static void offer_all(void)
{
    offer_workers();
    offer_ended();
    offer_full();
    offer_plain("tasks", 6);
    offer_attempts();
    offer_config();
    offer_drains();
}

/* --- the files ---------------------------------------------------------------------- */

static void write_file(const char *name, Bytes bytes)
{
    char *path = talloc_asprintf(fleet, "%s/%s", folder, name);
    FILE *file = fopen(path, "wb");
    if (file == NULL) {
        perror(path);
        return;
    }
    if (fwrite(bytes.data, 1, bytes.count, file) != bytes.count)
        perror(path);
    if (fclose(file) != 0)
        perror(path);
    printf("%-20s %5zu bytes\n", name, bytes.count);
}

static Bytes journal_of(int controller)
{
    return *sim_disk_content(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine, PATH);
}

static void write_all(const char *moment)
{
    for (int i = 0; i < CONTROLLERS; i++)
        write_file(talloc_asprintf(fleet, "%s-core%d", moment, i + 1), journal_of(i));
}

/* Writes a journal whose last block is torn, as after a power failure. */
static void write_torn(int controller)
{
    Bytes torn = journal_of(controller);
    torn.count -= TORN_BYTES;
    write_file(talloc_asprintf(fleet, "torn-core%d", controller + 1), torn);
}

/* Writes a journal of a later release, whose version is too new to be read. */
static void write_later(void)
{
    const Record first = {.kind = RECORD_IDENTITY, .term = JOURNAL_VERSION + 1, .index = 99, .name = "core1"};
    Bytes body = {0}, block = {0};
    record_add(fleet, &body, &first);
    block_add(fleet, &block, body);
    write_file("later-core1", block);
}

/* Writes a journal with a record of a kind that earlier releases wrote and this one skips. */
static void write_commit(int controller)
{
    const Record commit = {.kind = RECORD_COMMIT, .index = 21, .name = ""};
    Bytes body = {0}, all = bytes_copy(fleet, journal_of(controller));
    record_add(fleet, &body, &commit);
    block_add(fleet, &all, body);
    write_file(talloc_asprintf(fleet, "commit-core%d", controller + 1), all);
}

/* Writes the journals around a trim: an isolated leader has entries that no other controller has, and they are trimmed
 * after it reconnects. */
static void write_trimmed(void)
{
    const int leader = fleet_leader(fleet);
    fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
    offer_plain("never", 1);
    fleet_run(fleet, 200);
    write_file(talloc_asprintf(fleet, "cut-core%d", leader + 1), journal_of(leader));
    fleet_run(fleet, 15000);
    fleet_node_cut(fleet, FLEET_CONTROLLER, leader, false);
    fleet_run(fleet, 10000);
    write_all("trimmed");
}

int main(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: spancart-writedisk FOLDER\n");
        return 2;
    }
    folder = argv[1];
    const FleetSite site = {
        .zones = 3, .losses = 1, .entry_point_seeds = 1, .founded_by_votes = true, .disks_keep = true};
    fleet = fleet_new_with_site(NULL, 1, (FleetShape){CONTROLLERS, 1, 0, MIX_VARIED, 0}, &site);
    fleet_start(fleet);
    if (!fleet_wait_ready(fleet, 30000))
        return 1;
    fleet_run(fleet, 10000); /* the learner catches up */
    offer_all();
    fleet_run(fleet, 300);
    write_all("entries");
    for (int i = 0; i < CONTROLLERS; i++)
        replication_compact_if_due(replication_at(i), true);
    fleet_run(fleet, 300);
    offer_plain("later", 2);
    fleet_run(fleet, 300);
    write_all("snapshot");
    write_torn(0);
    write_commit(0);
    write_later();
    write_trimmed();
    for (int i = 0; i < CONTROLLERS; i++)
        printf("core%d: disk %" PRIu64 ", %s\n", i + 1, replication_disk(replication_at(i)),
               replication_is_voter(replication_at(i)) ? "voter" : "learner");
    talloc_free(fleet);
    return 0;
}
