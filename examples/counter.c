/* Example of embedding libspancart: three processes replicate one counter.
 *
 *     counter NAME LISTEN SEED,SEED,SEED FOLDER
 *
 * The holder of the lock adds one to the counter every ADD_INTERVAL_MS; all processes
 * deliver the same additions in the same order. The other processes send heartbeats to
 * the holder, which keeps their live set. Each process prints a line for each delivered
 * addition: the index of its entry, the sum, and the number of processes that the holder
 * counted as ready when it added. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include <heartbeat/liveset.h>
#include <loop/real.h>
#include <replication/replication.h>

#define CHANGE_ADD REPLICATION_CHANGE_FIRST
#define ADD_INTERVAL_MS 200

typedef struct Counter {
    Loop *loop;
    Recorder *recorder;
    const char *name, *listen, *folder;
    const char *seeds[SEEDS];
    Rpc *rpc;
    Members *members;
    Replication *replication;
    Liveset *liveset;
    uint64_t sum;        /* the replicated state */
    uint64_t heartbeats; /* number of heartbeats sent */
} Counter;

/* --- replicated state: delivery of changes, and its snapshot ----------------- */

static void deliver(void *arg, const Record *change, ChangeResult *result)
{
    Counter *counter = arg;
    if (change->change != CHANGE_ADD || change->payload.count != 1)
        return;
    counter->sum++;
    result->number = counter->sum;
    printf("%" PRIu64 " %" PRIu64 " %u\n", change->index, counter->sum, change->payload.data[0]);
    fflush(stdout);
}

static Bytes save(void *arg, void *mem)
{
    const Counter *counter = arg;
    Bytes bytes = {0};
    bytes_add(mem, &bytes, &counter->sum, sizeof(counter->sum));
    return bytes;
}

static Status load(void *arg, Bytes saved)
{
    Counter *counter = arg;
    counter->sum = 0;
    if (saved.count == sizeof(counter->sum))
        memcpy(&counter->sum, saved.data, sizeof(counter->sum));
    return saved.count == 0 || saved.count == sizeof(counter->sum) ? STATUS_OK : STATUS_BAD_FRAME;
}

/* --- live set: heartbeats and leases ------------------------------------------------- */

static Status on_heartbeat(void *arg, void *mem, const void *ask, void *answer)
{
    Counter *counter = arg;
    HeartbeatAnswer *out = answer;
    bool list_counts;
    (void)mem;
    out->term = replication_led_term(counter->replication);
    if (!replication_lease_valid(counter->replication))
        return STATUS_NOT_LEADER;
    out->lease_ms = AGENT_LEASE_MS;
    return liveset_heartbeat(counter->liveset, ask, loop_now_ms(counter->loop), AGENT_LEASE_MS, &list_counts);
}

static void heartbeat_main(void *arg)
{
    Counter *counter = arg;
    while (!loop_stopping(counter->loop)) {
        const char *leader = members_leader_address(counter->members);
        if (leader != NULL && !replication_leading(counter->replication)) {
            void *mem = talloc_new(counter);
            const HeartbeatAsk ask = {.agent = counter->name,
                                      .incarnation = members_self(counter->members)->incarnation,
                                      .number = ++counter->heartbeats,
                                      .worker = {.name = counter->name, .zone = "", .rack = "", .kind = ""},
                                      .worker_live = true,
                                      .settled = true};
            HeartbeatAnswer answer = {0};
            rpc_call(counter->rpc, mem, talloc_strdup(mem, leader), MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &ask,
                     REQUEST_TIMEOUT_MS, &HeartbeatAnswer_shape, &answer);
            talloc_free(mem);
        }
        loop_sleep(counter->loop, HEARTBEAT_MS);
    }
}

static size_t count_ready(const Counter *counter, void *mem)
{
    const LiveRow **rows;
    const size_t count = liveset_rows(counter->liveset, mem, &rows);
    size_t ready = 0;
    for (size_t i = 0; i < count; i++)
        ready += live_row_ready(rows[i], loop_now_ms(counter->loop));
    return ready;
}

static void on_term_opened(void *arg, uint64_t term, bool new_holder, bool repair)
{
    Counter *counter = arg;
    (void)term;
    (void)repair;
    if (new_holder) /* no process counts as lost before all leases that the previous holder granted have expired */
        liveset_reset(counter->liveset,
                      replication_lease_won_ms(counter->replication) + AGENT_LEASE_MS + LEASE_SLACK_MS, NULL, 0);
}

/* --- submission of changes, and start ---------------------------------------------- */

static void add_main(void *arg)
{
    Counter *counter = arg;
    while (!loop_stopping(counter->loop)) {
        loop_sleep(counter->loop, ADD_INTERVAL_MS);
        if (!replication_leading(counter->replication))
            continue;
        void *mem = talloc_new(counter);
        uint8_t ready_count = (uint8_t)count_ready(counter, mem);
        ChangeResult result;
        replication_submit(counter->replication, CHANGE_ADD, (Bytes){&ready_count, 1, 0}, &result);
        talloc_free(mem);
    }
}

static void start_main(void *arg)
{
    Counter *counter = arg;
    Failure failure = {0};
    char address[ADDRESS_MAX];
    const ReplicationSettings settings = {.loop = counter->loop,
                                          .rpc = counter->rpc = rpc_new(counter, counter->loop, counter->recorder),
                                          .recorder = counter->recorder,
                                          .state = {counter, deliver, save, load},
                                          .term_opened = on_term_opened,
                                          .term_opened_arg = counter,
                                          .founding_mode = FOUNDING_BY_THREE_DISKS};
    counter->liveset = liveset_new(counter);
    counter->replication = replication_new(counter, &settings);
    if (replication_open_disk(counter->replication, talloc_asprintf(counter, "%s/journal", counter->folder),
                              counter->name, &failure) != STATUS_OK ||
        rpc_listen(counter->rpc, counter->listen, address, &failure) != STATUS_OK) {
        fprintf(stderr, "counter: %s: %s\n", status_word(failure.status), failure.text);
        loop_stop(counter->loop);
        return;
    }
    const MemberRecord self = {
        .id = talloc_asprintf(counter, "%s@%016" PRIx64, counter->name, replication_disk(counter->replication)),
        .name = counter->name,
        .role = ROLE_CONTROLLER,
        .zone = "",
        .address = address,
        .http = "",
        .incarnation = (uint64_t)loop_wall_ms(counter->loop),
        .disk = replication_disk(counter->replication),
        .empty = !replication_founded(counter->replication)};
    counter->members = members_new(counter, counter->loop, counter->rpc, counter->recorder, &self, counter->seeds);
    replication_start(counter->replication, counter->members);
    rpc_handle(counter->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat, counter);
    members_start(counter->members);
    replication_found_start(counter->replication);
    loop_spawn(counter->loop, "beat", heartbeat_main, counter);
    loop_spawn(counter->loop, "add", add_main, counter);
}

static void stop_main(void *arg)
{
    Counter *counter = arg;
    replication_step_down(counter->replication, INT32_MAX);
    loop_sleep(counter->loop, HEARTBEAT_MS);
    loop_stop(counter->loop);
}

int main(int argc, char **argv)
{
    if (argc != 5) {
        fprintf(stderr, "usage: counter NAME LISTEN SEED,SEED,SEED FOLDER\n");
        return 2;
    }
    void *mem = talloc_new(NULL);
    Counter *counter = talloc_zero(mem, Counter);
    counter->name = argv[1];
    counter->listen = argv[2];
    counter->folder = argv[4];
    char *at = argv[3];
    for (int i = 0; i < SEEDS; i++)
        if ((counter->seeds[i] = strsep(&at, ",")) == NULL || !real_address_valid(counter->seeds[i])) {
            fprintf(stderr, "counter: SEED,SEED,SEED must be three addresses (IP:PORT)\n");
            return 2;
        }
    counter->loop = real_loop_new(mem);
    counter->recorder = recorder_new(mem, counter->name);
    loop_spawn(counter->loop, "start", start_main, counter);
    real_loop_run(counter->loop, stop_main, counter);
    return 0;
}
