/* The memory that callers make this process hold: a budget for all connections of its HTTP server together.
 *
 * The limits on one request and one connection bound no process: thousands of connections may each stay inside them. So
 * what all connections hold (buffers of h2o, responses that are not taken, the kernel's queues) is summed at the end of
 * each turn of the loop, and while it exceeds the budget, connections are closed: those that hold most, and of equals
 * those that have stood longest. A request in progress is not closed: it was read whole, and its caller may rely on the
 * answer. Such requests have a budget of their own, and are refused beyond it.
 *
 * Each address has its fair part: a crowd at one address costs the callers of another nothing. */
#include <malloc.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>

#include <linux/sockios.h>

#include "real_serve.h"

#define CONNECTIONS_DIVISOR 4 /* 1 in this many of the memory is for callers' connections */
#define REQUESTS_DIVISOR 8    /* 1 in this many of the memory is for requests in progress, at all addresses */
/* Of the free part of the budget for requests, one request may take 1 in this many: a large one leaves room for small
 * ones */
#define REQUEST_FREE_DIVISOR 4
#define REQUEST_BYTES (24 * 1024)        /* Memory of a request in progress besides its body: its coroutine's stack */
#define REQUEST_BODY_TIMES 3             /* A body is held by h2o, by the handler, and parsed or forwarded */
#define CONNECTION_BYTES (8 * 1024)      /* Memory of a connection without a request */
#define SHED_DIVISOR 8                   /* Closing goes on until 1 in this many of the budget is free */
#define QUEUES_INTERVAL_MS 250           /* Minimum interval between reads of the kernel's queues */
#define TRIM_INTERVAL_MS 1000            /* Interval between checks whether free memory is to be given back */
#define FREE_BYTES_MAX (4 * 1024 * 1024) /* Growth of free memory that is given back to the kernel */
#define ALLOCATION_MAPPED_BYTES (256 * 1024) /* Larger allocations are mapped, so that freeing gives them back */

static size_t connections_budget(const RealLoop *real)
{
    return real->memory_bytes / CONNECTIONS_DIVISOR;
}

static size_t endpoint_count(const RealLoop *real)
{
    size_t count = 0;
    for (const Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next)
        count++;
    return count;
}

void real_loop_set_memory(Loop *loop, size_t bytes)
{
    RealLoop *real = (RealLoop *)loop;
    real->memory_bytes = bytes;
    /* a fixed size: by default glibc raises it with each larger block that is freed, and such blocks are then never
     * given back */
    mallopt(M_MMAP_THRESHOLD, ALLOCATION_MAPPED_BYTES);
}

/* --- requests in progress ------------------------------------------------------------------- */

size_t real_request_bytes(size_t body_bytes)
{
    return REQUEST_BYTES + REQUEST_BODY_TIMES * body_bytes;
}

/* The part of the budget for requests that each address has for itself: half of the budget is divided. */
static size_t own_part(const RealLoop *real)
{
    return real->memory_bytes / REQUESTS_DIVISOR / 2 / endpoint_count(real);
}

/* What is free of the other half, which all addresses share. */
static size_t shared_free(const RealLoop *real)
{
    size_t bytes = real->memory_bytes / REQUESTS_DIVISOR / 2;
    const size_t own = own_part(real);
    for (const Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next) {
        const size_t beyond = endpoint->request_bytes > own ? endpoint->request_bytes - own : 0;
        bytes -= beyond < bytes ? beyond : bytes;
    }
    return bytes;
}

bool real_request_fits(const Endpoint *endpoint, size_t bytes)
{
    const size_t own = own_part(endpoint->real);
    const size_t own_free = endpoint->request_bytes < own ? own - endpoint->request_bytes : 0;
    return endpoint->requests == 0 || bytes <= (own_free + shared_free(endpoint->real)) / REQUEST_FREE_DIVISOR;
}

/* --- what a connection holds ------------------------------------------------------------------ */

/* Bytes of a buffer of h2o; an empty one is a shared prototype. */
static size_t buffer_bytes(const h2o_buffer_t *buffer)
{
    return buffer->bytes != NULL ? buffer->capacity : 0;
}

/* Reads how much the kernel holds of a connection: received and not read, or sent and not taken. */
static void queues_read(CallerConnection *caller)
{
    const int fd = h2o_socket_get_fd(caller->sock);
    int received = 0, sent = 0;
    if (ioctl(fd, SIOCINQ, &received) != 0 || ioctl(fd, SIOCOUTQ, &sent) != 0)
        received = sent = 0;
    caller->queued_bytes = (size_t)received + (size_t)sent;
}

/* Bytes that a connection holds beyond those of an idle one. */
static size_t caller_bytes(CallerConnection *caller)
{
    if (!h2o_socket_is_writing(caller->sock))
        caller->response_bytes = 0;
    size_t bytes = buffer_bytes(caller->sock->input) + caller->response_bytes;
    size_t queued = caller->queued_bytes;
    if (!h2o_socket_is_reading(caller->sock) && queued < CALLER_RECEIVE_BYTES)
        queued = CALLER_RECEIVE_BYTES; /* whatever comes stays with the kernel */
    return bytes + queued;
}

/* Sums what all connections hold, in total and by address. Returns the total. */
static size_t callers_measure(RealLoop *real)
{
    const int64_t now_ms = loop_now_ms(&real->loop);
    const size_t queues_bytes = real->caller_count * (CALLER_RECEIVE_BYTES + CALLER_SEND_BYTES);
    const bool queues = queues_bytes > connections_budget(real) && now_ms - real->queues_read_ms >= QUEUES_INTERVAL_MS;
    if (queues)
        real->queues_read_ms = now_ms;
    for (Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next)
        endpoint->held_bytes = 0;
    size_t total = 0;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        if (caller->closing)
            continue;
        if (queues)
            queues_read(caller);
        caller->held_bytes = caller_bytes(caller);
        caller->endpoint->held_bytes += CONNECTION_BYTES + caller->held_bytes;
        total += CONNECTION_BYTES + caller->held_bytes;
    }
    return total;
}

/* --- closing ------------------------------------------------------------------------------------ */

void real_caller_close(CallerConnection *caller)
{
    /* reset: what the caller does not take must not stay with the kernel */
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    const int fd = h2o_socket_get_fd(caller->sock);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    caller->closing = true;
    shutdown(fd, SHUT_RDWR); /* h2o reads the end, or fails to write, and closes it */
}

/* The number of bits of a size: sizes with the same number count as equal. */
static int size_class(size_t bytes)
{
    int bits = 0;
    for (; bytes >> bits > 1; bits++)
        ;
    return bits;
}

/* Order in which connections are closed: those that hold most first, of equals those that have stood longest. */
static int compare_callers(const void *a, const void *b)
{
    const CallerConnection *left = *(CallerConnection *const *)a, *right = *(CallerConnection *const *)b;
    const int classes = size_class(right->held_bytes) - size_class(left->held_bytes);
    if (classes != 0)
        return classes;
    return (left->idle_since_ms > right->idle_since_ms) - (left->idle_since_ms < right->idle_since_ms);
}

/* Closes a connection, or, while its request is in progress, has it closed after the answer. Returns the bytes that are
 * freed by that at once. */
static size_t caller_shed(CallerConnection *caller)
{
    if (caller->served != NULL) {
        caller->last_request = true;
        return 0;
    }
    real_caller_close(caller);
    const size_t bytes = CONNECTION_BYTES + caller->held_bytes;
    caller->endpoint->held_bytes -= bytes;
    return bytes;
}

/* Closes connections until no more than the limit is held. Only those of addresses that hold at least their part of the
 * total are closed. */
static void callers_shed(RealLoop *real, size_t total, size_t limit)
{
    CallerConnection **order = talloc_array(real, CallerConnection *, (unsigned)real->caller_count);
    size_t count = 0;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next)
        if (!caller->closing)
            order[count++] = caller;
    qsort(order, count, sizeof(order[0]), compare_callers);
    const size_t endpoints = endpoint_count(real);
    for (size_t i = 0; i < count && total > limit; i++)
        if (order[i]->endpoint->held_bytes >= total / endpoints)
            total -= caller_shed(order[i]);
    talloc_free(order);
}

/* Records what clients make the process hold, and the most of it since memory was last given back. */
static void load_record(RealLoop *real, size_t connections_bytes)
{
    real->load_bytes = connections_bytes + real->peers[PEER_UNVERIFIED].bytes + real->peers[PEER_VERIFIED].bytes;
    for (const Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next)
        real->load_bytes += endpoint->request_bytes;
    if (real->load_bytes > real->load_peak_bytes)
        real->load_peak_bytes = real->load_bytes;
}

void real_memory_enforce(RealLoop *real)
{
    const size_t budget = connections_budget(real);
    const size_t total = real->callers != NULL ? callers_measure(real) : 0;
    load_record(real, total);
    if (total > budget)
        callers_shed(real, total, budget - budget / SHED_DIVISOR);
}

CallerConnection *real_caller_stalled(const RealLoop *real)
{
    const int64_t stalled_before_ms = loop_now_ms(&real->loop) - real->limits.head_ms;
    CallerConnection *longest = NULL;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        const bool stalled = !caller->closing && caller->served == NULL && caller->idle_since_ms < stalled_before_ms;
        if (stalled && (longest == NULL || caller->idle_since_ms < longest->idle_since_ms))
            longest = caller;
    }
    return longest;
}

/* --- memory that is free ---------------------------------------------------------------------------- */

/* Whether much memory has become free since it was last given back: what clients hold has fallen, which the allocator's
 * own figure does not show when the same memory was used again in between, or that figure has grown. */
static bool much_was_freed(RealLoop *real, size_t free_bytes)
{
    if (free_bytes < real->trimmed_free_bytes)
        real->trimmed_free_bytes = free_bytes; /* allocated again since it was given back */
    return real->load_peak_bytes >= real->load_bytes + FREE_BYTES_MAX ||
           free_bytes >= real->trimmed_free_bytes + FREE_BYTES_MAX;
}

void real_memory_trim(RealLoop *real)
{
    const int64_t now_ms = loop_now_ms(&real->loop);
    if (now_ms - real->trimmed_ms < TRIM_INTERVAL_MS)
        return;
    real->trimmed_ms = now_ms;
    const size_t free_bytes = mallinfo2().fordblks;
    if (!much_was_freed(real, free_bytes))
        return;
    malloc_trim(0);
    real->trimmed_free_bytes = free_bytes;
    real->load_peak_bytes = real->load_bytes;
}
