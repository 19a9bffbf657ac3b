/* The real loop: clocks, random numbers, process signals, and running h2o's event loop. */
#include "real.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

static int64_t clock_ms(clockid_t clock)
{
    struct timespec at;
    clock_gettime(clock, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

static int64_t real_now_ms(const Loop *loop)
{
    (void)loop;
    return clock_ms(CLOCK_BOOTTIME);
}

static int64_t real_wall_ms(const Loop *loop)
{
    (void)loop;
    return clock_ms(CLOCK_REALTIME);
}

static uint64_t real_random(Loop *loop)
{
    GRand *random = ((RealLoop *)loop)->random;
    const uint64_t high = g_rand_int(random);
    return high << 32 | g_rand_int(random);
}

/* Creates a generator with a random seed: ids of disks and clusters are random, so no two processes may have the same
 * seed. */
static GRand *random_new(void)
{
    guint32 seed[16];
    if (getrandom(seed, sizeof(seed), 0) != (ssize_t)sizeof(seed))
        abort(); /* the kernel never refuses a request of this size once its generator is initialized */
    return g_rand_new_with_seed_array(seed, sizeof(seed) / sizeof(seed[0]));
}

static void real_arm(Loop *loop, int64_t when_ms)
{
    /* not needed: real_loop_run calls loop_next_ms before each turn */
    (void)loop;
    (void)when_ms;
}

static const LoopOps REAL_OPS = {
    real_now_ms,       real_wall_ms,
    real_random,       real_arm,
    real_listen,       real_open,
    real_send,         real_shut,
    real_serve,        real_limit,
    real_leave,        real_serve_status,
    real_serve_close,  real_serve_close_idle,
    real_call,         real_file_open,
    real_file_read,    real_file_append,
    real_file_replace, real_hint_write,
    real_hint_read,
};

Loop *real_loop_new(void *mem)
{
    RealLoop *real = talloc_zero(mem, RealLoop);
    loop_init(&real->loop, &REAL_OPS);
    real->evloop = h2o_evloop_create();
    real->random = random_new();
    real_loop_set_memory(&real->loop, (size_t)MEMORY_DEFAULT_MB * 1024 * 1024);
    real->queue = h2o_multithread_create_queue(real->evloop);
    h2o_multithread_register_receiver(real->queue, &real->disk_done, real_disk_done);
    h2o_multithread_register_receiver(real->queue, &real->host_done, h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(real->evloop, &real->call_timeout, 3600 * 1000);
    real->client = (h2o_http1client_ctx_t){
        .loop = real->evloop, .getaddr_receiver = &real->host_done, .io_timeout = &real->call_timeout};
    return &real->loop;
}

static void on_signal(h2o_socket_t *sock, const char *err)
{
    RealLoop *real = sock->data;
    struct signalfd_siginfo info;
    (void)err;
    if (read(h2o_socket_get_fd(sock), &info, sizeof(info)) != (ssize_t)sizeof(info))
        return;
    if (info.ssi_signo == SIGUSR1) {
        if (real->on_user != NULL)
            loop_spawn(&real->loop, "user", real->on_user, real->on_user_arg);
        return;
    }
    if (info.ssi_signo == SIGHUP) {
        if (real->on_hup != NULL)
            loop_spawn(&real->loop, "hup", real->on_hup, real->on_hup_arg);
        return;
    }
    if (real->on_term != NULL)
        loop_spawn(&real->loop, "term", real->on_term, real->on_term_arg);
    real->on_term = NULL; /* only the first signal has an effect */
}

void real_loop_on_sigusr1(Loop *loop, TaskFn fn, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->on_user = fn;
    real->on_user_arg = arg;
}

void real_loop_on_sighup(Loop *loop, TaskFn fn, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->on_hup = fn;
    real->on_hup_arg = arg;
}

void real_block_sigterm(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void real_block_sighup(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void real_loop_run(Loop *loop, TaskFn on_term, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->on_term = on_term;
    real->on_term_arg = arg;
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    if (real->on_user != NULL)
        sigaddset(&set, SIGUSR1);
    if (real->on_hup != NULL)
        sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    h2o_socket_t *signals = h2o_evloop_socket_create(real->evloop, signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
                                                     H2O_SOCKET_FLAG_DONT_READ);
    signals->data = real;
    real->signals = signals;
    h2o_socket_read_start(signals, on_signal);
    while (!loop->stopping) {
        loop_run(loop);
        real_flush(real);
        if (loop->stopping)
            break;
        const int64_t next_ms = loop_next_ms(loop);
        int64_t wait_ms = next_ms == INT64_MAX ? 1000 : next_ms - loop_now_ms(loop);
        if (wait_ms > 1000)
            wait_ms = 1000;
        h2o_evloop_run(real->evloop, wait_ms < 0 ? 0 : (int32_t)wait_ms);
        real_memory_enforce(real);
        real_serve_sweep(real);
        real_memory_trim(real);
    }
}
