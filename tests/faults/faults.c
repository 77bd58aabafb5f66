/*
 * Makes system calls of a program under test fail, and its wall clock differ. Loaded with LD_PRELOAD.
 *
 * FAULTS       comma-separated `call:error:first:every:times`: of the calls of this name the one numbered `first`, and
 *              then each `every`-th, fail with the error number `error`, `times` times in all. A negative `error` delays
 *              the call by so many milliseconds in place of failing it. `write` counts for regular files only, `socket` and
 *              `connect` for IPv4 only, `socket_unix` and `connect_unix` for local ones, `open` for the configuration and
 *              what lies in $TMPDIR, `epoll_ctl` for what is added,
 *              `epoll_ctl_accepted` for connections of clients that are.
 * FAULTS_WALL  seconds by which the wall clock is ahead.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { MOST_FAULTS = 16 };

static struct fault {
    char call[32];
    long error, first, every, times;
    long seen, done;
} faults[MOST_FAULTS];
static int count;

__attribute__((constructor)) static void read_faults(void) {
    const char *text = getenv("FAULTS");
    for (; text && *text && count < MOST_FAULTS; count++) {
        struct fault *f = &faults[count];
        if (sscanf(text, "%31[^:]:%ld:%ld:%ld:%ld", f->call, &f->error, &f->first, &f->every, &f->times) != 5)
            abort();
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* Whether this call is to fail; sets errno, or delays the call. */
static int fails(const char *call) {
    long error = 0;
    for (int i = 0; i < count; i++) {
        struct fault *f = &faults[i];
        if (strcmp(f->call, call) != 0)
            continue;
        long number = __atomic_add_fetch(&f->seen, 1, __ATOMIC_SEQ_CST);
        if (number < f->first || (number - f->first) % f->every != 0 || f->done >= f->times)
            continue;
        f->done++;
        error = f->error;
    }
    if (error < 0) {
        struct timespec delay = {-error / 1000, -error % 1000 * 1000000};
        nanosleep(&delay, NULL);
    } else if (error > 0) {
        errno = (int)error;
    }
    return error > 0;
}

static int is_file(int fd) {
    struct stat about;
    return fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

#define WRAP(type, name, parameters, arguments, counts)     \
    type name parameters {                                  \
        static type(*real) parameters;                      \
        if (!real)                                          \
            real = (type(*) parameters)dlsym(RTLD_NEXT, #name); \
        if ((counts) && fails(#name))                       \
            return -1;                                      \
        return real arguments;                              \
    }

WRAP(int, socketpair, (int domain, int type, int protocol, int pair[2]), (domain, type, protocol, pair), 1)
WRAP(int, listen, (int fd, int backlog), (fd, backlog), 1)
WRAP(int, getsockname, (int fd, struct sockaddr *at, socklen_t *size), (fd, at, size), 1)
WRAP(int, setsockopt, (int fd, int level, int name, const void *value, socklen_t size), (fd, level, name, value, size), 1)
WRAP(int, epoll_create1, (int flags), (flags), 1)
WRAP(int, eventfd, (unsigned int value, int flags), (value, flags), 1)
WRAP(int, bind, (int fd, const struct sockaddr *to, socklen_t size), (fd, to, size), 1)
WRAP(int, poll, (struct pollfd *fds, nfds_t number, int timeout), (fds, number, timeout), timeout == 0)
WRAP(int, epoll_wait, (int fd, struct epoll_event *events, int most, int timeout), (fd, events, most, timeout), 1)
WRAP(ssize_t, recv, (int fd, void *bytes, size_t size, int flags), (fd, bytes, size, flags), 1)
WRAP(ssize_t, send, (int fd, const void *bytes, size_t size, int flags), (fd, bytes, size, flags), 1)
WRAP(ssize_t, writev, (int fd, const struct iovec *parts, int number), (fd, parts, number), 1)
WRAP(ssize_t, write, (int fd, const void *bytes, size_t size), (fd, bytes, size), is_file(fd))
WRAP(int, rename, (const char *from, const char *to), (from, to), 1)

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    if (fails(to->sa_family == AF_UNIX ? "connect_unix" : to->sa_family == AF_INET ? "connect" : ""))
        return -1;
    return real(fd, to, size);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real)
        real = (int (*)(int, int, int))dlsym(RTLD_NEXT, "socket");
    if (fails(domain == AF_UNIX ? "socket_unix" : domain == AF_INET ? "socket" : ""))
        return -1;
    return real(domain, type, protocol);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *with, void *(*run)(void *), void *value) {
    static int (*real)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    if (!real)
        real = (int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *))dlsym(RTLD_NEXT, "pthread_create");
    return fails("pthread_create") ? errno : real(thread, with, run, value);
}

/* The sockets accepted last, known by their inodes, as a duplicate has the same. */
static ino_t accepted[256];
static unsigned accepted_count;

static ino_t inode(int fd) {
    struct stat about;
    return fstat(fd, &about) == 0 ? about.st_ino : 0;
}

int accept4(int fd, struct sockaddr *to, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    if (fails("accept4"))
        return -1;
    int stream = real(fd, to, size, flags);
    if (stream >= 0)
        accepted[accepted_count++ % 256] = inode(stream);
    return stream;
}

static int is_accepted(int fd) {
    for (int i = 0; i < 256; i++)
        if (accepted[i] && accepted[i] == inode(fd))
            return 1;
    return 0;
}

int epoll_ctl(int fd, int op, int on, struct epoll_event *event) {
    static int (*real)(int, int, int, struct epoll_event *);
    if (!real)
        real = (int (*)(int, int, int, struct epoll_event *))dlsym(RTLD_NEXT, "epoll_ctl");
    if (op == EPOLL_CTL_ADD && (fails("epoll_ctl") || (is_accepted(on) && fails("epoll_ctl_accepted"))))
        return -1;
    return real(fd, op, on, event);
}

static int is_ours(const char *path) {
    const char *config = getenv("PROXY_CONFIG"), *folder = getenv("TMPDIR");
    return (config && strcmp(path, config) == 0) || (folder && strncmp(path, folder, strlen(folder)) == 0);
}

int open64(const char *path, int flags, ...) {
    static int (*real)(const char *, int, ...);
    if (!real)
        real = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    if (is_ours(path) && fails("open"))
        return -1;
    return real(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, now);
    const char *ahead = getenv("FAULTS_WALL");
    if (ahead && clock == CLOCK_REALTIME)
        now->tv_sec += atol(ahead);
    return result;
}
