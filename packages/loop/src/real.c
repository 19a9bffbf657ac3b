#include "real.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

static int64_t clockMs(clockid_t clock)
{
    struct timespec at;
    clock_gettime(clock, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

static int64_t realNowMs(const Loop *loop)
{
    (void)loop;
    return clockMs(CLOCK_BOOTTIME);
}

static int64_t realWallMs(const Loop *loop)
{
    (void)loop;
    return clockMs(CLOCK_REALTIME);
}

static uint64_t realRandom(Loop *loop)
{
    GRand *draw = ((RealLoop *)loop)->draw;
    const uint64_t high = g_rand_int(draw);
    return high << 32 | g_rand_int(draw);
}

/* Names of disks and clusters are drawn: no two processes may begin alike. */
static GRand *drawNew(void)
{
    guint32 seed[16];
    if (getrandom(seed, sizeof(seed), 0) != (ssize_t)sizeof(seed))
        abort(); /* the kernel never refuses so few bytes once it has booted */
    return g_rand_new_with_seed_array(seed, sizeof(seed) / sizeof(seed[0]));
}

static void realArm(Loop *loop, int64_t whenMs)
{
    /* realLoopRun asks loopNextMs before each turn */
    (void)loop;
    (void)whenMs;
}

static const LoopOps REAL_OPS = {
    realNowMs, realWallMs, realRandom, realArm,  realListen,   realOpen,     realSend,       realShut,        realServe,
    realLimit, realLeave,  realBusy,   realCall, realFileOpen, realFileRead, realFileAppend, realFileReplace,
};

bool realAddress(const char *address, struct sockaddr_in *sin)
{
    char host[ADDRESS_MAX];
    const char *colon = strrchr(address, ':');
    if (colon == NULL || (size_t)(colon - address) >= sizeof(host) || colon[1] == '\0')
        return false;
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    char *end;
    const long port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || port < 0 || port > 65535)
        return false;
    memset(sin, 0, sizeof(*sin));
    sin->sin_family = AF_INET;
    sin->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}

bool realAddressValid(const char *address)
{
    struct sockaddr_in sin;
    return realAddress(address, &sin);
}

h2o_socket_t *realBind(RealLoop *real, const char *address, h2o_socket_cb onAccept, void *data, char *bound,
                       Failure *failure)
{
    struct sockaddr_in sin;
    if (!realAddress(address, &sin)) {
        failure_set(failure, STATUS_BAD_PROPS, "%s is not an IP address with a port", address);
        return NULL;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 || listen(fd, SOMAXCONN) != 0) {
        failure_set(failure, STATUS_BAD_PROPS, "cannot listen on %s: %s", address, strerror(errno));
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    realPatience(fd);
    socklen_t size = sizeof(sin);
    getsockname(fd, (struct sockaddr *)&sin, &size);
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
    snprintf(bound, ADDRESS_MAX, "%s:%u", host, (unsigned)ntohs(sin.sin_port));
    h2o_socket_t *sock = h2o_evloop_socket_create(real->evloop, fd, H2O_SOCKET_FLAG_DONT_READ);
    sock->data = data;
    h2o_socket_read_start(sock, onAccept);
    return sock;
}

void realPatience(int fd)
{
    const int on = 1, idleS = LINE_QUIET_S, betweenS = LINE_PROBE_S, probes = LINE_PROBES;
    const unsigned unheardMs = LINE_UNHEARD_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unheardMs, sizeof(unheardMs));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idleS, sizeof(idleS));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &betweenS, sizeof(betweenS));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

Loop *realLoopNew(void *mem)
{
    RealLoop *real = talloc_zero(mem, RealLoop);
    loopInit(&real->loop, &REAL_OPS);
    real->evloop = h2o_evloop_create();
    real->draw = drawNew();
    real->queue = h2o_multithread_create_queue(real->evloop);
    h2o_multithread_register_receiver(real->queue, &real->diskDone, realDiskDone);
    h2o_multithread_register_receiver(real->queue, &real->hostDone, h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(real->evloop, &real->callTimeout, 3600 * 1000);
    real->client = (h2o_http1client_ctx_t){
        .loop = real->evloop, .getaddr_receiver = &real->hostDone, .io_timeout = &real->callTimeout};
    return &real->loop;
}

static void onSignal(h2o_socket_t *sock, const char *err)
{
    RealLoop *real = sock->data;
    struct signalfd_siginfo info;
    (void)err;
    if (read(h2o_socket_get_fd(sock), &info, sizeof(info)) != (ssize_t)sizeof(info))
        return;
    if (info.ssi_signo == SIGUSR1) {
        if (real->onUser != NULL)
            loopSpawn(&real->loop, "user", real->onUser, real->onUserArg);
        return;
    }
    if (info.ssi_signo == SIGHUP) {
        if (real->onHup != NULL)
            loopSpawn(&real->loop, "hup", real->onHup, real->onHupArg);
        return;
    }
    if (real->onTerm != NULL)
        loopSpawn(&real->loop, "term", real->onTerm, real->onTermArg);
    real->onTerm = NULL; /* once */
}

void realLoopOnUser(Loop *loop, TaskFn fn, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->onUser = fn;
    real->onUserArg = arg;
}

void realLoopOnHup(Loop *loop, TaskFn fn, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->onHup = fn;
    real->onHupArg = arg;
}

void realLoopRun(Loop *loop, TaskFn onTerm, void *arg)
{
    RealLoop *real = (RealLoop *)loop;
    real->onTerm = onTerm;
    real->onTermArg = arg;
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    if (real->onUser != NULL)
        sigaddset(&set, SIGUSR1);
    if (real->onHup != NULL)
        sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    h2o_socket_t *signals = h2o_evloop_socket_create(real->evloop, signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
                                                     H2O_SOCKET_FLAG_DONT_READ);
    signals->data = real;
    h2o_socket_read_start(signals, onSignal);
    while (!loop->stopping) {
        loopRun(loop);
        realFlush(real);
        if (loop->stopping)
            break;
        const int64_t nextMs = loopNextMs(loop);
        int64_t waitMs = nextMs == INT64_MAX ? 1000 : nextMs - loopNowMs(loop);
        if (waitMs > 1000)
            waitMs = 1000;
        h2o_evloop_run(real->evloop, waitMs < 0 ? 0 : (int32_t)waitMs);
        realServeSweep(real);
    }
}
