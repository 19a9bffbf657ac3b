#ifndef LOOP_TEST_SOCKET_FIXTURE_H
#define LOOP_TEST_SOCKET_FIXTURE_H

/* The other side of the real loop in its tests: a thread with plain sockets. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection to a port of this machine, by the address that the loop has given. */
static inline int dial(const char *address)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1))};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
        abort();
    return fd;
}

/* Sends the whole text. */
static inline void put(int fd, const char *text)
{
    if (send(fd, text, strlen(text), MSG_NOSIGNAL) != (ssize_t)strlen(text))
        fprintf(stderr, "not all was sent\n");
}

/* One whole answer: head, and as much body as it says. Empty at the end. */
static inline size_t http_answer(int fd, char *text, size_t capacity)
{
    size_t count = 0;
    for (;;) {
        text[count] = '\0';
        const char *end = strstr(text, "\r\n\r\n"), *length = strcasestr(text, "content-length: ");
        if (end != NULL && (length == NULL || count >= (size_t)(end + 4 - text) + (size_t)atol(length + 16)))
            return count;
        /* to the byte, so that the next answer stays in the socket */
        const ssize_t got = recv(fd, text + count, end == NULL ? 1 : capacity - 1 - count < 1 ? 0 : 1, 0);
        if (got <= 0)
            return 0;
        count += (size_t)got;
    }
}

static inline bool ended(int fd)
{
    char byte;
    return recv(fd, &byte, 1, 0) <= 0;
}

/* Asks, each time on a connection of its own, until it is not told 503: those that the caller has just closed may still
 * be counted. */
static inline void ask_until_taken(const char *address, const char *request)
{
    char text[4096] = "";
    do {
        const int fd = dial(address);
        put(fd, request);
        http_answer(fd, text, sizeof(text));
        close(fd);
    } while (strncmp(text, "HTTP/1.1 503", 12) == 0);
}

#endif
