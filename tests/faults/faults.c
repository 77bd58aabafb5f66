/*
 * Makes system calls of a program under test fail, and shifts the program's wall clock. The program
 * loads this library through LD_PRELOAD.
 *
 * FAULTS       Comma-separated `call:error:first:every:times`: call number `first` of this name and
 *              every `every`-th call after it fail with the error number `error`, until `times`
 *              calls have failed. If `error` is negative, these calls are delayed by `-error`
 *              milliseconds instead. Some names select only a part of the calls:
 *                poll                  only with a timeout of 0
 *                write                 only for regular files
 *                recv                  recv and recvmsg, counted together
 *                setsockopt_timestamps only for SO_TIMESTAMPNS
 *                socket, connect       only for IPv4
 *                socket_unix, connect_unix
 *                                      these calls, only for Unix sockets
 *                open                  only for the configuration and for paths in $TMPDIR
 *                epoll_ctl             only when a descriptor is added
 *                epoll_ctl_accepted    only when an accepted connection is added
 * FAULTS_WALL  Seconds that are added to the wall clock.
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

enum { MAX_FAULTS = 16, MAX_ACCEPTED = 256 };

static struct fault {
    char call[32];
    long error, first, every, times;
    long calls, failures;
} faults[MAX_FAULTS];
static int fault_count;

__attribute__((constructor)) static void parse_faults(void) {
    const char *text = getenv("FAULTS");
    for (; text && *text && fault_count < MAX_FAULTS; fault_count++) {
        struct fault *fault = &faults[fault_count];
        if (sscanf(text, "%31[^:]:%ld:%ld:%ld:%ld", fault->call, &fault->error, &fault->first,
                   &fault->every, &fault->times) != 5)
            abort();
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* Counts the call and returns whether it has to fail. Sets errno if so. If the fault has a negative
 * error, waits for that number of milliseconds and returns 0. */
static int must_fail(const char *call) {
    long error = 0;
    for (int i = 0; i < fault_count; i++) {
        struct fault *fault = &faults[i];
        if (strcmp(fault->call, call) != 0)
            continue;
        long number = __atomic_add_fetch(&fault->calls, 1, __ATOMIC_SEQ_CST);
        if (number < fault->first || (number - fault->first) % fault->every != 0
            || fault->failures >= fault->times)
            continue;
        fault->failures++;
        error = fault->error;
    }
    if (error < 0) {
        struct timespec delay = {-error / 1000, -error % 1000 * 1000000};
        nanosleep(&delay, NULL);
    } else if (error > 0) {
        errno = (int)error;
    }
    return error > 0;
}

static int is_regular_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

/* Wraps a call whose faults are those of `call`. */
#define WRAP_AS(call, type, name, parameters, arguments, is_counted) \
    type name parameters {                                  \
        static type(*real) parameters;                      \
        if (!real)                                          \
            real = (type(*) parameters)dlsym(RTLD_NEXT, #name); \
        if ((is_counted) && must_fail(call))                    \
            return -1;                                      \
        return real arguments;                              \
    }
#define WRAP(type, name, parameters, arguments, is_counted) \
    WRAP_AS(#name, type, name, parameters, arguments, is_counted)

WRAP(int, socketpair, (int domain, int type, int protocol, int pair[2]),
     (domain, type, protocol, pair), 1)
WRAP(int, listen, (int fd, int backlog), (fd, backlog), 1)
WRAP(int, getsockname, (int fd, struct sockaddr *address, socklen_t *size), (fd, address, size), 1)
WRAP(int, epoll_create1, (int flags), (flags), 1)
WRAP(int, eventfd, (unsigned int value, int flags), (value, flags), 1)
WRAP(int, bind, (int fd, const struct sockaddr *address, socklen_t size), (fd, address, size), 1)
WRAP(int, poll, (struct pollfd *fds, nfds_t count, int timeout),
     (fds, count, timeout), timeout == 0)
WRAP(int, epoll_wait, (int fd, struct epoll_event *events, int max_events, int timeout),
     (fd, events, max_events, timeout), 1)
WRAP(ssize_t, recv, (int fd, void *bytes, size_t size, int flags), (fd, bytes, size, flags), 1)
WRAP_AS("recv", ssize_t, recvmsg, (int fd, struct msghdr *message, int flags),
        (fd, message, flags), 1)
WRAP(ssize_t, send, (int fd, const void *bytes, size_t size, int flags),
     (fd, bytes, size, flags), 1)
WRAP(ssize_t, writev, (int fd, const struct iovec *parts, int count), (fd, parts, count), 1)
WRAP(ssize_t, write, (int fd, const void *bytes, size_t size),
     (fd, bytes, size), is_regular_file(fd))
WRAP(int, rename, (const char *from, const char *to), (from, to), 1)

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    static int (*real)(int, int, int, const void *, socklen_t);
    if (!real)
        real = (int (*)(int, int, int, const void *, socklen_t))dlsym(RTLD_NEXT, "setsockopt");
    if (must_fail("setsockopt"))
        return -1;
    if (level == SOL_SOCKET && name == SO_TIMESTAMPNS && must_fail("setsockopt_timestamps"))
        return -1;
    return real(fd, level, name, value, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    if (must_fail(address->sa_family == AF_UNIX   ? "connect_unix"
                  : address->sa_family == AF_INET ? "connect"
                                                  : ""))
        return -1;
    return real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real)
        real = (int (*)(int, int, int))dlsym(RTLD_NEXT, "socket");
    if (must_fail(domain == AF_UNIX ? "socket_unix" : domain == AF_INET ? "socket" : ""))
        return -1;
    return real(domain, type, protocol);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes,
                   void *(*start_routine)(void *), void *argument) {
    static int (*real)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    if (!real)
        real = (int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *))
            dlsym(RTLD_NEXT, "pthread_create");
    return must_fail("pthread_create") ? errno : real(thread, attributes, start_routine, argument);
}

/* Inodes of the sockets that were accepted last. They identify a connection even if it is
 * registered through a duplicated descriptor, which has the same inode. */
static ino_t accepted_inodes[MAX_ACCEPTED];
static unsigned accepted_count;

static ino_t inode(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 ? status.st_ino : 0;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    if (must_fail("accept4"))
        return -1;
    int accepted_fd = real(fd, address, size, flags);
    if (accepted_fd >= 0)
        accepted_inodes[accepted_count++ % MAX_ACCEPTED] = inode(accepted_fd);
    return accepted_fd;
}

static int is_accepted(int fd) {
    for (int i = 0; i < MAX_ACCEPTED; i++)
        if (accepted_inodes[i] && accepted_inodes[i] == inode(fd))
            return 1;
    return 0;
}

int epoll_ctl(int fd, int op, int target_fd, struct epoll_event *event) {
    static int (*real)(int, int, int, struct epoll_event *);
    if (!real)
        real = (int (*)(int, int, int, struct epoll_event *))dlsym(RTLD_NEXT, "epoll_ctl");
    if (op == EPOLL_CTL_ADD
        && (must_fail("epoll_ctl") || (is_accepted(target_fd) && must_fail("epoll_ctl_accepted"))))
        return -1;
    return real(fd, op, target_fd, event);
}

static int is_test_path(const char *path) {
    const char *config = getenv("PROXY_CONFIG"), *folder = getenv("TMPDIR");
    return (config && strcmp(path, config) == 0)
        || (folder && strncmp(path, folder, strlen(folder)) == 0);
}

int open64(const char *path, int flags, ...) {
    static int (*real)(const char *, int, ...);
    if (!real)
        real = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    if (is_test_path(path) && must_fail("open"))
        return -1;
    return real(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, now);
    const char *offset_seconds = getenv("FAULTS_WALL");
    if (offset_seconds && clock == CLOCK_REALTIME)
        now->tv_sec += atol(offset_seconds);
    return result;
}
