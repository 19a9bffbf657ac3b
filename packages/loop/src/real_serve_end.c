/* The end of the HTTP server: what callers have sent that is not answered yet, and closing listeners and connections so
 * that the end of the process cuts no request.
 *
 * A decision to close looks at the kernel's state right before it, since the loop may not have polled for as long as
 * this process got no processor. What the kernel still held when a process ended would be reset. */
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "real_serve.h"

/* Whether a request on the connection has been read in part, or its response has not all been sent. */
static bool in_progress(const CallerConnection *caller)
{
    return caller->served != NULL || caller->sock->input->size > 0 || h2o_socket_is_writing(caller->sock);
}

/* Whether bytes have arrived that have not been read. */
static bool has_unread(const CallerConnection *caller)
{
    int bytes = 0;
    return ioctl(h2o_socket_get_fd(caller->sock), FIONREAD, &bytes) == 0 && bytes > 0;
}

/* Whether connections to the address wait to be accepted. */
static bool has_unaccepted(const Endpoint *endpoint)
{
    if (endpoint->listener == NULL)
        return false;
    struct pollfd ready = {.fd = h2o_socket_get_fd(endpoint->listener), .events = POLLIN};
    return poll(&ready, 1, 0) > 0;
}

void real_serve_status(const Loop *loop, HttpServeStatus *status)
{
    const RealLoop *real = (const RealLoop *)loop;
    for (const CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        const bool begun = in_progress(caller);
        if (caller->closing)
            continue;
        status->connections++;
        status->in_progress += begun;
        status->unread += !begun && has_unread(caller);
    }
    for (const Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next)
        status->unaccepted += has_unaccepted(endpoint);
}

void real_serve_close(Loop *loop)
{
    RealLoop *real = (RealLoop *)loop;
    for (Endpoint *endpoint = real->endpoints; endpoint != NULL; endpoint = endpoint->next) {
        if (endpoint->listener == NULL)
            continue;
        h2o_socket_read_stop(endpoint->listener);
        real_accept(endpoint->listener, NULL);
        h2o_socket_close(endpoint->listener);
        endpoint->listener = NULL;
    }
}

size_t real_serve_close_idle(Loop *loop)
{
    const RealLoop *real = (RealLoop *)loop;
    const int64_t idle_before_ms = loop_now_ms(loop) - DRAIN_IDLE_MS;
    size_t open = 0;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        if (caller->closing)
            continue;
        open++;
        if (caller->idle_since_ms > idle_before_ms || in_progress(caller) || has_unread(caller))
            continue;
        caller->closing = true;
        open--;
        h2o_socket_read_stop(caller->sock); /* what comes from now on can get no answer, so it is not handled either */
        shutdown(h2o_socket_get_fd(caller->sock), SHUT_RDWR);
    }
    return open;
}
