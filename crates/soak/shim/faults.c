/* Injects system-call faults into one process. The library is preloaded before the C library. Each call may fail in a
 * way that Linux documents, with a probability per thousand calls that an environment variable sets. The soak test
 * compiles the library, and no program links it.
 *
 *   SOAK_SEED           seed of the pseudo-random sequence
 *   SOAK_SHORT          reads and writes of stream sockets that transfer fewer bytes than they could
 *   SOAK_INTERRUPT      reads, writes, accepts and waits that return EINTR
 *   SOAK_ACCEPT         accepts that fail (ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EMFILE)
 *   SOAK_SOCKET         creations of IPv4 sockets that fail (ENFILE, ENOBUFS, ENOMEM)
 *   SOAK_CONNECT        connects of stream sockets that fail immediately (EADDRNOTAVAIL, ENETUNREACH, EAGAIN,
 *                       EHOSTUNREACH)
 *   SOAK_FIRST_CONNECTS number of stream connects, from the first on, that all fail with one of these errors
 *   SOAK_BREAK          reads that break a connection opened by the process and fail (ETIMEDOUT, EHOSTUNREACH)
 *   SOAK_START          number of calls of socket for IPv4, bind and epoll_create1, from the first on, that all fail:
 *                       socket with an error of SOAK_SOCKET, bind with EADDRINUSE, epoll_create1 with ENFILE
 *   SOAK_LOG            writes to standard error that fail (ENOSPC, EIO)
 *   SOAK_SIGNAL         sends on sockets other than IPv4 that fail (ENOBUFS), such as wake-up bytes of signal handlers
 *   SOAK_CLOCK_BY       step of the wall clock in ms
 *   SOAK_CLOCK_AT       time of the step in ms after the start of the process
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static long setting(const char *name) {
    const char *text = getenv(name);
    return text ? strtol(text, NULL, 10) : 0;
}

static int initialized;
static long chance_short, chance_interrupt, chance_accept, chance_socket, chance_connect, chance_break, chance_log, chance_signal;
static long clock_at, clock_by;
static atomic_long start_faults, connect_faults;
static atomic_ulong random_state;
static struct timespec start_time;
/* Whether the process opened a connection on this file descriptor, for descriptors below MAX_FDS. */
#define MAX_FDS 4096
static atomic_uchar opened[MAX_FDS];
static int (*real_clock)(clockid_t, struct timespec *);

__attribute__((constructor)) static void prepare(void) {
    real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    real_clock(CLOCK_MONOTONIC, &start_time);
    chance_short = setting("SOAK_SHORT");
    chance_interrupt = setting("SOAK_INTERRUPT");
    chance_accept = setting("SOAK_ACCEPT");
    chance_socket = setting("SOAK_SOCKET");
    chance_connect = setting("SOAK_CONNECT");
    chance_break = setting("SOAK_BREAK");
    chance_log = setting("SOAK_LOG");
    chance_signal = setting("SOAK_SIGNAL");
    clock_at = setting("SOAK_CLOCK_AT");
    clock_by = setting("SOAK_CLOCK_BY");
    atomic_store(&start_faults, setting("SOAK_START"));
    atomic_store(&connect_faults, setting("SOAK_FIRST_CONNECTS"));
    atomic_store(&random_state, (unsigned long)setting("SOAK_SEED") * 2654435761u + 88172645463325252ul);
    initialized = 1;
}

static unsigned long next_random(void) {
    unsigned long x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15ul);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ul;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebul;
    return x ^ (x >> 31);
}

static int should_fail(long chance) {
    return initialized && chance > 0 && (long)(next_random() % 1000) < chance;
}

static int fail_with_one_of(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}

static int is_stream(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

static int is_inet(int fd) {
    struct sockaddr_storage name;
    socklen_t size = sizeof name;
    return getsockname(fd, (struct sockaddr *)&name, &size) == 0 && name.ss_family == AF_INET;
}

static size_t shortened(int fd, size_t length) {
    if (length > 1 && should_fail(chance_short) && is_stream(fd) && is_inet(fd)) {
        return 1 + next_random() % (length < 48 ? length - 1 : 47);
    }
    return length;
}

static int break_connection(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
    if (fd < 0 || fd >= MAX_FDS || !atomic_load(&opened[fd]) || !should_fail(chance_break)) {
        return 0;
    }
    shutdown(fd, SHUT_RDWR);
    fail_with_one_of(errors, 2);
    return 1;
}

static int interrupted(void) {
    if (!should_fail(chance_interrupt)) {
        return 0;
    }
    errno = EINTR;
    return 1;
}

#define REAL(type, name, ...)                      \
    static type (*real)(__VA_ARGS__);              \
    if (!real) {                                   \
        real = dlsym(RTLD_NEXT, name);             \
    }

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int)
    if (interrupted() || break_connection(fd)) {
        return -1;
    }
    return real(fd, buffer, shortened(fd, length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int)
    int inet = is_inet(fd);
    if (inet && interrupted()) {
        return -1;
    }
    if (!inet && should_fail(chance_signal)) {
        errno = ENOBUFS;
        return -1;
    }
    return real(fd, buffer, shortened(fd, length), flags);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    static const int errors[] = {ENOSPC, EIO};
    REAL(ssize_t, "write", int, const void *, size_t)
    if (fd == STDERR_FILENO && should_fail(chance_log)) {
        return fail_with_one_of(errors, 2);
    }
    return real(fd, buffer, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EMFILE};
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    if (interrupted()) {
        return -1;
    }
    if (should_fail(chance_accept)) {
        return fail_with_one_of(errors, 5);
    }
    return real(fd, address, size, flags);
}

static int start_fault(void) {
    if (initialized && atomic_load(&start_faults) > 0 && atomic_fetch_sub(&start_faults, 1) > 0) {
        errno = ENFILE;
        return 1;
    }
    return 0;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, ENOMEM};
    REAL(int, "socket", int, int, int)
    if (domain == AF_INET && (start_fault() || should_fail(chance_socket))) {
        return fail_with_one_of(errors, 3);
    }
    return real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(int, "bind", int, const struct sockaddr *, socklen_t)
    if (start_fault()) {
        errno = EADDRINUSE;
        return -1;
    }
    return real(fd, address, size);
}

int epoll_create1(int flags) {
    REAL(int, "epoll_create1", int)
    return start_fault() ? -1 : real(flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EHOSTUNREACH};
    REAL(int, "connect", int, const struct sockaddr *, socklen_t)
    int first = is_stream(fd) && atomic_load(&connect_faults) > 0 && atomic_fetch_sub(&connect_faults, 1) > 0;
    if (first || (should_fail(chance_connect) && is_stream(fd))) {
        return fail_with_one_of(errors, 4);
    }
    if (fd >= 0 && fd < MAX_FDS && is_stream(fd)) {
        atomic_store(&opened[fd], 1);
    }
    return real(fd, address, size);
}

int close(int fd) {
    REAL(int, "close", int)
    if (fd >= 0 && fd < MAX_FDS) {
        atomic_store(&opened[fd], 0);
    }
    return real(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    return interrupted() ? -1 : real(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *out) {
    if (!real_clock) {
        real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock(clock, out);
    if (result == 0 && clock == CLOCK_REALTIME && clock_by != 0) {
        struct timespec now;
        real_clock(CLOCK_MONOTONIC, &now);
        long elapsed_ms = (now.tv_sec - start_time.tv_sec) * 1000 + (now.tv_nsec - start_time.tv_nsec) / 1000000;
        if (elapsed_ms >= clock_at) {
            long nanos = out->tv_nsec + (clock_by % 1000) * 1000000;
            out->tv_sec += clock_by / 1000;
            if (nanos < 0) {
                nanos += 1000000000;
                out->tv_sec -= 1;
            } else if (nanos >= 1000000000) {
                nanos -= 1000000000;
                out->tv_sec += 1;
            }
            out->tv_nsec = nanos;
        }
    }
    return result;
}
