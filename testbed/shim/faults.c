/*
 * Fault injection for one process: interposes on system calls (LD_PRELOAD) and makes some of them fail in ways that
 * Linux documents.
 *
 * The file named by SOAK_CONTROL is mapped and shared with the test driver. It holds three arrays of 64-bit numbers:
 * the rate of each fault in parts per million (written by the driver), the number of injections of each fault
 * (written here), and parameters (see enum parameter). testbed/src/soak/shim.rs repeats the numbering.
 *
 * Socket faults affect only sockets, disk faults only regular files.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault {
    RECV_EINTR,
    PEEK_EINTR,
    SEND_EINTR,
    RECV_SHORT,
    SEND_SHORT,
    SEND_ENOBUFS,
    ACCEPT_ECONNABORTED,
    ACCEPT_ENFILE,
    ACCEPT_ENOBUFS,
    ACCEPT_EINTR,
    SOCKET_ENFILE,
    SOCKET_ENOBUFS,
    CONNECT_EADDRNOTAVAIL,
    CONNECT_ENETUNREACH,
    CONNECT_ENOBUFS,
    CONNECT_EINTR,
    RECV_ETIMEDOUT,
    RECV_EHOSTUNREACH,
    STALL_BEFORE_SEND,
    STALL_BEFORE_CONNECT,
    STALL_AFTER_RECV,
    WRITE_ENOSPC,
    WRITE_EIO,
    SYNC_EIO,
    WRITE_SHORT,
    STALL_BEFORE_SENDMSG,
    STALL_AFTER_RECVMSG,
    STALL_BEFORE_LINK_WRITE,
    FAULTS
};

enum parameter { CLOCK_OFFSET_NS, STALL_NS, LISTEN_PORT, PARAMETERS };

#define SLOTS 64

struct control {
    _Atomic uint64_t rate[SLOTS];
    _Atomic uint64_t injected[SLOTS];
    _Atomic int64_t parameter[SLOTS];
};

static struct control *control;
static _Atomic uint64_t state = 0x9e3779b97f4a7c15u;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_CONTROL");
    if (path == NULL) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped == MAP_FAILED) return;
    control = mapped;
    state ^= (uint64_t)getpid() * 0xbf58476d1ce4e5b9u;
}

static uint64_t next_random(void) {
    uint64_t x = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

/* Whether to inject this fault into the current call; counts the injection. */
static int strikes(enum fault fault) {
    if (control == NULL) return 0;
    uint64_t rate = atomic_load_explicit(&control->rate[fault], memory_order_relaxed);
    if (rate == 0 || next_random() % 1000000u >= rate) return 0;
    atomic_fetch_add(&control->injected[fault], 1);
    return 1;
}

static int fails(enum fault fault, int error) {
    if (!strikes(fault)) return 0;
    errno = error;
    return 1;
}

/* The protocol allows that a process is held up for 0.15 s, so one stall does not follow another at once. */
#define STALL_GAP_S 1

/* Stalls the process, and writes a record of it to its log. */
static void stall(enum fault fault) {
    static _Atomic time_t last_stall;
    struct timespec begin;
    int saved = errno;
    if (control == NULL || atomic_load_explicit(&control->rate[fault], memory_order_relaxed) == 0) return;
    syscall(SYS_clock_gettime, CLOCK_REALTIME, &begin);
    if (begin.tv_sec - atomic_load(&last_stall) <= STALL_GAP_S || !strikes(fault)) return;
    int64_t ns = atomic_load(&control->parameter[STALL_NS]);
    struct timespec span = {ns / 1000000000, ns % 1000000000};
    atomic_store(&last_stall, begin.tv_sec);
    nanosleep(&span, NULL);
    dprintf(STDERR_FILENO, "{\"time\":%lld.%03ld,\"event\":\"injected_stall\",\"fault\":%d,\"ms\":%lld}\n",
            (long long)begin.tv_sec, begin.tv_nsec / 1000000, (int)fault, (long long)(ns / 1000000));
    errno = saved;
}

static int is_socket(int fd) {
    struct stat st;
    return control != NULL && fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode);
}

static int has_domain(int fd, int expected) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return control != NULL && getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == expected;
}

static int is_tcp(int fd) {
    return has_domain(fd, AF_INET);
}

static int is_unix_socket(int fd) {
    return has_domain(fd, AF_UNIX);
}

/* Whether the process opened this connection; accepted connections have the listening port as local port. */
static int is_outgoing(int fd) {
    struct sockaddr_in own = {0};
    socklen_t length = sizeof own;
    if (!is_tcp(fd) || getsockname(fd, (struct sockaddr *)&own, &length) != 0) return 0;
    return ntohs(own.sin_port) != atomic_load_explicit(&control->parameter[LISTEN_PORT], memory_order_relaxed);
}

static int is_file(int fd) {
    struct stat st;
    return control != NULL && fstat(fd, &st) == 0 && S_ISREG(st.st_mode);
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* The link of a handover; the rate is checked first, as most writes are to other sockets. */
static void stall_link_write(int fd) {
    if (control == NULL || atomic_load_explicit(&control->rate[STALL_BEFORE_LINK_WRITE], memory_order_relaxed) == 0)
        return;
    if (is_unix_socket(fd)) stall(STALL_BEFORE_LINK_WRITE);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (is_unix_socket(fd)) stall(STALL_BEFORE_SENDMSG);
    return real(fd, message, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    ssize_t got = real(fd, message, flags);
    if (got > 0 && message->msg_controllen > 0 && is_unix_socket(fd)) stall(STALL_AFTER_RECVMSG);
    return got;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (flags & MSG_PEEK) {
        if (fails(PEEK_EINTR, EINTR)) return -1;
        return real(fd, buffer, length, flags);
    }
    if (fails(RECV_EINTR, EINTR)) return -1;
    if (is_tcp(fd)) {
        /* The kernel ends such a connection. Not for accepted ones: their client would be owed no answer. */
        int error = strikes(RECV_ETIMEDOUT) ? ETIMEDOUT : strikes(RECV_EHOSTUNREACH) ? EHOSTUNREACH : 0;
        if (error != 0 && is_outgoing(fd)) {
            shutdown(fd, SHUT_RDWR);
            errno = error;
            return -1;
        }
        if (length > 1 && strikes(RECV_SHORT)) length = 1 + next_random() % (length < 64 ? length : 64);
    }
    ssize_t got = real(fd, buffer, length, flags);
    if (got > 0) stall(STALL_AFTER_RECV);
    return got;
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(send);
    if (is_tcp(fd)) stall(STALL_BEFORE_SEND);
    stall_link_write(fd);
    if (fails(SEND_EINTR, EINTR) || fails(SEND_ENOBUFS, ENOBUFS)) return -1;
    if (length > 1 && is_tcp(fd) && strikes(SEND_SHORT)) length = 1 + next_random() % (length - 1);
    return real(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (is_socket(fd) && (fails(SEND_EINTR, EINTR) || fails(SEND_ENOBUFS, ENOBUFS))) return -1;
    return real(fd, parts, count);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write);
    stall_link_write(fd);
    if (is_socket(fd) && fails(SEND_EINTR, EINTR)) return -1;
    return real(fd, buffer, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (fails(ACCEPT_ENFILE, ENFILE) || fails(ACCEPT_ENOBUFS, ENOBUFS) || fails(ACCEPT_EINTR, EINTR)) return -1;
    /* On Linux this error belongs to a connection, which accept4 consumes; here none is removed from the queue. */
    if (fails(ACCEPT_ECONNABORTED, ECONNABORTED)) return -1;
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && (fails(SOCKET_ENFILE, ENFILE) || fails(SOCKET_ENOBUFS, ENOBUFS))) return -1;
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (address->sa_family == AF_INET) {
        stall(STALL_BEFORE_CONNECT);
        if (fails(CONNECT_EADDRNOTAVAIL, EADDRNOTAVAIL) || fails(CONNECT_ENETUNREACH, ENETUNREACH) ||
            fails(CONNECT_ENOBUFS, ENOBUFS))
            return -1;
        if (strikes(CONNECT_EINTR)) {
            real(fd, address, length); /* continues in the background */
            errno = EINTR;
            return -1;
        }
    }
    return real(fd, address, length);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(clock_gettime);
    int result = real(clock, at);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL) {
        int64_t offset = atomic_load_explicit(&control->parameter[CLOCK_OFFSET_NS], memory_order_relaxed);
        int64_t ns = at->tv_nsec + offset % 1000000000;
        at->tv_sec += offset / 1000000000;
        if (ns < 0) { ns += 1000000000; at->tv_sec -= 1; }
        if (ns >= 1000000000) { ns -= 1000000000; at->tv_sec += 1; }
        at->tv_nsec = ns;
    }
    return result;
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t offset) {
    REAL(pwrite64);
    if (is_file(fd)) {
        if (fails(WRITE_ENOSPC, ENOSPC) || fails(WRITE_EIO, EIO)) return -1;
        if (length > 1 && strikes(WRITE_SHORT)) length = 1 + next_random() % (length - 1);
    }
    return real(fd, buffer, length, offset);
}

int fsync(int fd) {
    REAL(fsync);
    if (is_file(fd) && fails(SYNC_EIO, EIO)) return -1;
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (is_file(fd) && fails(SYNC_EIO, EIO)) return -1;
    return real(fd);
}
