#ifndef LOOP_TEST_SOCKET_FIXTURE_H
#define LOOP_TEST_SOCKET_FIXTURE_H

/* Helpers for the peer of the real loop in its tests: a thread with plain sockets. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connects to the port of an address of the loop, on this machine, and returns the socket. */
static inline int connect_to(const char *address)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1))};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
        abort();
    return fd;
}

/* Sends the entire text. */
static inline void send_text(int fd, const char *text)
{
    if (send(fd, text, strlen(text), MSG_NOSIGNAL) != (ssize_t)strlen(text))
        fprintf(stderr, "not all was sent\n");
}

/* Reads one complete response, the head and the body of the stated length, and returns its size; 0: the connection has
 * ended. */
static inline size_t http_response(int fd, char *text, size_t capacity)
{
    size_t count = 0;
    for (;;) {
        text[count] = '\0';
        const char *end = strstr(text, "\r\n\r\n"), *length = strcasestr(text, "content-length: ");
        if (end != NULL && (length == NULL || count >= (size_t)(end + 4 - text) + (size_t)atol(length + 16)))
            return count;
        /* reads one byte at a time, so that the next response stays in the socket */
        const ssize_t got = recv(fd, text + count, end == NULL ? 1 : capacity - 1 - count < 1 ? 0 : 1, 0);
        if (got <= 0)
            return 0;
        count += (size_t)got;
    }
}

/* Blocks the calling thread until a byte arrives or the connection ends; returns true if it has ended. */
static inline bool is_closed(int fd)
{
    char byte;
    return recv(fd, &byte, 1, 0) <= 0;
}

/* Sends the request, each time on a new connection, until the response is not 503: connections that the caller has just
 * closed may still be counted. */
static inline void request_until_accepted(const char *address, const char *request)
{
    char text[4096] = "";
    do {
        const int fd = connect_to(address);
        send_text(fd, request);
        http_response(fd, text, sizeof(text));
        close(fd);
    } while (strncmp(text, "HTTP/1.1 503", 12) == 0);
}

#endif
