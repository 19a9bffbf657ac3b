/* Sockets of the real loop: addresses, listening, and the timeouts for unresponsive peers. */
#include "real.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

bool real_address(const char *address, struct sockaddr_in *sin)
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

bool real_address_valid(const char *address)
{
    struct sockaddr_in sin;
    return real_address(address, &sin);
}

h2o_socket_t *real_bind(RealLoop *real, const char *address, h2o_socket_cb on_accept, void *data, char *bound,
                        Failure *failure)
{
    struct sockaddr_in sin;
    if (!real_address(address, &sin)) {
        failure_set(failure, STATUS_BAD_SETTINGS, "%s is not an IP address with a port", address);
        return NULL;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 || listen(fd, SOMAXCONN) != 0) {
        failure_set(failure, STATUS_BAD_SETTINGS, "cannot listen on %s: %s", address, strerror(errno));
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    real_set_timeouts(fd);
    socklen_t size = sizeof(sin);
    getsockname(fd, (struct sockaddr *)&sin, &size);
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
    snprintf(bound, ADDRESS_MAX, "%s:%u", host, (unsigned)ntohs(sin.sin_port));
    h2o_socket_t *sock = h2o_evloop_socket_create(real->evloop, fd, H2O_SOCKET_FLAG_DONT_READ);
    sock->data = data;
    h2o_socket_read_start(sock, on_accept);
    return sock;
}

void real_set_timeouts(int fd)
{
    const int on = 1, idle_s = CONNECTION_KEEPALIVE_IDLE_S, between_s = CONNECTION_KEEPALIVE_INTERVAL_S,
              probes = CONNECTION_KEEPALIVE_PROBES;
    const unsigned unheard_ms = CONNECTION_ACK_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unheard_ms, sizeof(unheard_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &between_s, sizeof(between_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

void real_set_buffers(int fd, int receive_bytes, int send_bytes)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof(send_bytes));
}
